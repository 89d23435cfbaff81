// Package rules is the configuration by which a gateway serves: routes,
// services, organisations and the bounds on what callers may send.
//
// A Snapshot is one version of the whole, as its operators wrote it. It is
// immutable and indexed once, when it is made; versions only ever go up.
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

// Kind is what may be repeated of a route's requests.
type Kind string

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "Idempotent"
	// KindOnce requests run at most once.
	KindOnce Kind = "Once"
	// KindStream requests are answered by a series of numbered events. They run
	// at most once unless the route is resumable.
	KindStream Kind = "Stream"
	// KindBatch routes take batch jobs.
	KindBatch Kind = "Batch"
)

// Share is a service and its part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route opens services to callers.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another target after an event.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Shares are the services of the route; several split its requests.
	Shares []Share
	// Attempts is how many targets one request may be sent to.
	Attempts int
	// Priority is the rank of the route's requests; 0 goes first.
	Priority int
	// Timeout bounds a request; zero means none.
	Timeout time.Duration
	// Aim is the time to the answer, or to a stream's first event, that
	// operators want kept.
	Aim time.Duration
	// Gap is the longest pause between two events that operators want.
	Gap time.Duration
	// Due is how long after its submission a batch job's results are due;
	// GiveUp is how long its items must be tried.
	Due    time.Duration
	GiveUp time.Duration
}

// Repeatable reports whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == KindIdempotent || (route.Kind == KindStream && route.Resumable)
}

// Service returns the service of one request, by its share of the weights.
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

// Service is a group of targets that are alike.
type Service struct {
	Name string
	// Connections is how many a target accepts from all callers together.
	Connections int
	// Slots is how many calls a model engine runs at once; 0 if only its
	// registry entry tells.
	Slots int
}

// Organisation is a tenant.
type Organisation struct {
	Name string
	Rate agatestage.Rate
	// Priority goes before a route's if Ranked is true.
	Priority int
	Ranked   bool
}

// Bounds limits what callers may send and how long they may take.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Content is what a Snapshot is made of.
type Content struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Keys maps the digest of each key to its organisation's name.
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
	hosts         map[string][]*Route
	services      map[string]Service
	organisations map[string]Organisation
}

// New indexes the content, which must not be changed any more.
func New(content Content) *Snapshot {
	snapshot := &Snapshot{
		content: content, hosts: make(map[string][]*Route),
		services: make(map[string]Service), organisations: make(map[string]Organisation),
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		snapshot.hosts[route.Host] = append(snapshot.hosts[route.Host], route)
	}
	for _, routes := range snapshot.hosts {
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

// Version returns the version of the whole.
func (snapshot *Snapshot) Version() uint64 {
	return snapshot.content.Version
}

// Bounds returns the bounds on callers.
func (snapshot *Snapshot) Bounds() Bounds {
	return snapshot.content.Bounds
}

// Match returns the route with the longest prefix of the path on the host.
func (snapshot *Snapshot) Match(host, path string) (*Route, bool) {
	for _, route := range snapshot.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// MatchBatch returns the batch route of a job's item: the one with the longest
// prefix of the path among the host's batch routes, whatever other routes begin
// there.
func (snapshot *Snapshot) MatchBatch(host, path string) (*Route, bool) {
	for _, route := range snapshot.hosts[host] {
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

// HasHost reports whether any route has the host.
func (snapshot *Snapshot) HasHost(host string) bool {
	return len(snapshot.hosts[host]) > 0
}

// Service returns a service by its name.
func (snapshot *Snapshot) Service(name string) (Service, bool) {
	service, ok := snapshot.services[name]
	return service, ok
}

// Keyed reports whether callers need keys at all.
func (snapshot *Snapshot) Keyed() bool {
	return len(snapshot.organisations) > 0
}

// Caller returns the organisation that holds a key.
func (snapshot *Snapshot) Caller(key string) (Organisation, bool) {
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
