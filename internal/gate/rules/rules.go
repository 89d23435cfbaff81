// Package rules is the configuration of a gateway: routes, services, organisations
// and the limits on what callers may send.
//
// A Snapshot is one version of the complete configuration, as the operators wrote
// it. It is immutable and indexed once, when it is created. Versions only increase.
package rules

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agatestage/agatestage"
)

// Kind says whether the requests of a route may run more than once.
type Kind string

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "Idempotent"
	// KindOnce requests run at most once.
	KindOnce Kind = "Once"
	// KindStream requests are answered by a stream of numbered events. They run at
	// most once unless the route is resumable.
	KindStream Kind = "Stream"
	// KindBatch routes take batch jobs.
	KindBatch Kind = "Batch"
)

// WeightedService is a service and the weight of its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps requests to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another target after an event.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Shares are the services of the route, among which its requests are split.
	Shares []WeightedService
	// Attempts is the maximum number of targets that a request is sent to.
	Attempts int
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Timeout bounds a request; zero means none.
	Timeout time.Duration
	// CallerSilence is how long a caller waits for the next event of a stream, also for the
	// first, before it leaves; zero if that isn't known.
	CallerSilence time.Duration
	// Due is the time after its submission when the results of a batch job are due.
	// GiveUp is how long its items must be retried.
	Due    time.Duration
	GiveUp time.Duration
	// Regions are the only regions in which the route's requests may be served and kept;
	// none means everywhere.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == KindIdempotent || (route.Kind == KindStream && route.Resumable)
}

// Service returns the service for a request, chosen by the hash of the request's ID
// and the weights.
func (route *Route) Service(request string) string {
	if len(route.Shares) == 0 {
		return ""
	}
	total := 0
	for _, share := range route.Shares {
		total += max(0, share.Weight)
	}
	if total == 0 {
		return route.Shares[0].Service
	}
	point := int(xxhash.Sum64String(request) % uint64(total))
	for _, share := range route.Shares {
		if point -= max(0, share.Weight); point < 0 {
			return share.Service
		}
	}
	return route.Shares[0].Service
}

// Service is a group of identical targets.
type Service struct {
	Name string
	// ColdStart is how long a target of the service is cold after its start; zero if it
	// isn't. While it is cold, it may get ColdRate requests a second from all gateways
	// together; zero means that no limit is configured.
	ColdStart time.Duration
	ColdRate  float64
	// Connections is the maximum number of connections that a target accepts from
	// all callers together.
	Connections int
	// Slots is how many calls a model engine runs at once; 0 if only its registry
	// entry says.
	Slots int
	// Tokens is how many tokens the memory of a model engine holds; 0 if no limit is
	// configured.
	Tokens int
}

// Organisation is a paying customer.
type Organisation struct {
	Name string
	Rate agatestage.Rate
	// Priority overrides the priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// Regions are the only regions in which the organisation's requests may be served and
	// kept; none means everywhere.
	Regions []string
}

// Bounds limits what callers may send and how long they may take.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Content is the data of a Snapshot.
type Content struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Keys maps the digest of each key to the name of its organisation.
	Keys   map[Digest]string
	Bounds Bounds
}

// Digest is the SHA-256 of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	content       Content
	routesByHost  map[string][]*Route
	services      map[string]Service
	organisations map[string]Organisation
	regions       regionIndex
}

// New returns a snapshot of the content, which must not be modified afterwards.
func New(content Content) *Snapshot {
	snapshot := &Snapshot{
		content: content, routesByHost: make(map[string][]*Route),
		services: make(map[string]Service), organisations: make(map[string]Organisation), regions: newRegionIndex(content),
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		snapshot.routesByHost[route.Host] = append(snapshot.routesByHost[route.Host], route)
	}
	for _, routes := range snapshot.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, service := range content.Services {
		snapshot.services[service.Name] = service
	}
	for _, organisation := range content.Organisations {
		snapshot.organisations[organisation.Name] = organisation
	}
	return snapshot
}

// Version returns the version of the configuration.
func (snapshot *Snapshot) Version() uint64 {
	return snapshot.content.Version
}

// Bounds returns the limits on callers.
func (snapshot *Snapshot) Bounds() Bounds {
	return snapshot.content.Bounds
}

// Match returns the route of the host with the longest prefix of the path.
func (snapshot *Snapshot) Match(host, path string) (*Route, bool) {
	for _, route := range snapshot.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// MatchBatch returns the batch route for an item of a job: the batch route of the
// host with the longest prefix of the path. Other routes are ignored, even if their
// prefix is longer.
func (snapshot *Snapshot) MatchBatch(host, path string) (*Route, bool) {
	for _, route := range snapshot.routesByHost[host] {
		if route.Kind == KindBatch && strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// BatchServices returns the services that run the items of batch jobs.
func (snapshot *Snapshot) BatchServices() map[string]bool {
	services := make(map[string]bool)
	for _, route := range snapshot.content.Routes {
		if route.Kind != KindBatch {
			continue
		}
		for _, share := range route.Shares {
			services[share.Service] = true
		}
	}
	return services
}

// Memory returns how many tokens a target of each service holds, of those that state it.
func (snapshot *Snapshot) Memory() map[string]int {
	memory := make(map[string]int)
	for name, service := range snapshot.services {
		if service.Tokens > 0 {
			memory[name] = service.Tokens
		}
	}
	return memory
}

// Service returns a service by its name.
func (snapshot *Snapshot) Service(name string) (Service, bool) {
	service, ok := snapshot.services[name]
	return service, ok
}

// RequiresKeys reports whether callers need keys, which is the case once any
// organisation is configured.
func (snapshot *Snapshot) RequiresKeys() bool {
	return len(snapshot.organisations) > 0
}

// Authenticate returns the organisation that a key belongs to.
func (snapshot *Snapshot) Authenticate(key string) (Organisation, bool) {
	if key == "" {
		return Organisation{}, false
	}
	name, ok := snapshot.content.Keys[DigestOf(key)]
	return snapshot.organisations[name], ok
}

// Organisation returns an organisation by its name.
func (snapshot *Snapshot) Organisation(name string) (Organisation, bool) {
	organisation, ok := snapshot.organisations[name]
	return organisation, ok
}
