// Package start wires the components of an entry and runs them.
package start

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/intake"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/base/super"
	"github.com/agatestage/agatestage/internal/batch/claims"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/ledger"
	"github.com/agatestage/agatestage/internal/batch/owner"
	"github.com/agatestage/agatestage/internal/batch/remote"
	"github.com/agatestage/agatestage/internal/batch/repair"
	"github.com/agatestage/agatestage/internal/batch/sites"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/conf/plans"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/entry/fleet"
	"github.com/agatestage/agatestage/internal/entry/front"
	"github.com/agatestage/agatestage/internal/entry/guard"
	"github.com/agatestage/agatestage/internal/entry/jobs"
	"github.com/agatestage/agatestage/internal/entry/peers"
	"github.com/agatestage/agatestage/internal/entry/permit"
	"github.com/agatestage/agatestage/internal/entry/relay"
	"github.com/agatestage/agatestage/internal/limit/agent"
	"github.com/agatestage/agatestage/internal/plat/hosts"
	"github.com/agatestage/agatestage/internal/plat/store"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/route/pick"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// leaveTimeout bounds the handover of limit partitions and the revocation of
	// the entry's membership lease when it stops.
	leaveTimeout = 2 * time.Second
)

// Module provides an *Entry from the settings and a clock.
var Module = fx.Module("entry",
	fx.Provide(
		openBundle, newNode, newStore, newHosts, newFeed, newRoster, newFleet, newMesh, newGuard,
		newRouter, blame.New, newArchive, newRelay, newAgent, newPlanner, newAdmin,
		newLedger, newSites, heads.New, owner.New, newDispatcher, newJobs, newRepairer, newAuthorizer, newFront, newEntry,
	),
	fx.Invoke(run),
)

func openBundle(settings setup.Settings, clock agatestage.Clock) (*certs.Bundle, error) {
	return certs.Open(settings.Trust.Folder, clock)
}

func newNode(settings setup.Settings, bundle *certs.Bundle, clock agatestage.Clock, options []link.Option) (*link.Node, error) {
	return link.New(settings.Listen.Peer, bundle, append(options, link.WithClock(clock))...)
}

func newStore(settings setup.Settings) agatestage.Store {
	return store.New(settings.Platform.Store)
}

func newHosts(settings setup.Settings) agatestage.HostList {
	return hosts.New(settings.Platform.Hosts)
}

func newFeed(settings setup.Settings, store agatestage.Store, clock agatestage.Clock) (*feed.Feed, error) {
	if err := makeDataFolder(settings); err != nil {
		return nil, err
	}
	return feed.New(store, clock, feed.WithFolder(settings.DataFolder)), nil
}

func newRoster(settings setup.Settings, store agatestage.Store, node *link.Node, clock agatestage.Clock) *member.Roster {
	self := member.Member{Name: settings.Name, Region: settings.Region, Zone: settings.Zone, Address: node.Address(), Ledger: settings.DataFolder != ""}
	if settings.Listen.Advertise.IsValid() {
		self.Address = settings.Listen.Advertise
	}
	return member.New(store, clock, self)
}

func newFleet(settings setup.Settings, node *link.Node, list agatestage.HostList, feed *feed.Feed, clock agatestage.Clock) *fleet.Fleet {
	return fleet.New(settings.Name, settings.Region, node, list, feed, clock)
}

func newMesh(node *link.Node, roster *member.Roster, feed *feed.Feed, list *blame.List, fleet *fleet.Fleet, clock agatestage.Clock) *peers.Mesh {
	return peers.New(node, roster, feed, list, fleet.Hosts, clock)
}

func newGuard(settings setup.Settings, feed *feed.Feed, mesh *peers.Mesh, clock agatestage.Clock) *guard.Guard {
	return guard.New(feed, mesh, settings.Trust.OperatorDigests, clock)
}

func newRouter(settings setup.Settings) agatestage.Router {
	return pick.NewAffinity(settings.Region, settings.Zone, xxhash.Sum64String(settings.Name))
}

func newRelay(node *link.Node, fleet *fleet.Fleet, router agatestage.Router, list *blame.List, mesh *peers.Mesh, clock agatestage.Clock) *relay.Relay {
	list.SetPermit(mesh.PermitTrial)
	list.SetReport(func(strike blame.Strike) { go mesh.Strike(context.Background(), strike) })
	blame.RegisterMetrics(list, clock)
	return relay.New(node, fleet, router, list, clock, relay.WithStrikes(mesh.Strike))
}

func newArchive(store agatestage.Store, clock agatestage.Clock, list *blame.List, mesh *peers.Mesh) *blame.Archive {
	return blame.NewArchive(store, clock, list, blame.WithOwned(mesh.OwnsTrials))
}

func newAgent(settings setup.Settings, node *link.Node, roster *member.Roster, store agatestage.Store, feed *feed.Feed, fleet *fleet.Fleet, clock agatestage.Clock) *agent.Agent {
	return agent.New(node, roster, store, feed, fleet.Hosts, settings.Bounds.LimitWait.Duration, clock)
}

func newFront(settings setup.Settings, feed *feed.Feed, guard *guard.Guard, limiter *agent.Agent, relay *relay.Relay, jobs *jobs.Jobs, clock agatestage.Clock) *front.Front {
	return front.New(feed, guard, limiter, relay, settings.Bounds, clock, jobs)
}

// newLedger opens the ledger of an entry that has a data folder, or returns nil.
func newLedger(settings setup.Settings, node *link.Node) (*ledger.Ledger, error) {
	if settings.DataFolder == "" {
		return nil, nil
	}
	local, err := ledger.New(settings.DataFolder, settings.Bounds.DiskBytes)
	if err != nil {
		return nil, err
	}
	remote.Serve(node, local)
	return local, nil
}

func newSites(roster *member.Roster, node *link.Node, local *ledger.Ledger) *sites.Sites {
	if local == nil {
		return sites.New(roster, node, nil)
	}
	return sites.New(roster, node, local)
}

func newDispatcher(node *link.Node, manager *owner.Manager, feed *feed.Feed, fleet *fleet.Fleet) *claims.Dispatcher {
	dispatcher := claims.New(node, manager, func(organisation string) float64 {
		if weight := feed.Current().Organisations[organisation].Weight; weight > 0 {
			return weight
		}
		return 1
	})
	fleet.Work(dispatcher.Work)
	manager.OnChange(dispatcher.Announcer(fleet.ResendPolicies), dispatcher.Revoke)
	return dispatcher
}

func newJobs(settings setup.Settings, feed *feed.Feed, guard *guard.Guard, limiter *agent.Agent, registry *heads.Registry, manager *owner.Manager, sites *sites.Sites, roster *member.Roster, node *link.Node, clock agatestage.Clock) *jobs.Jobs {
	return jobs.New(feed, guard, limiter, registry, manager, sites, roster, node, settings.Bounds, clock)
}

func newAuthorizer(node *link.Node, store agatestage.Store, feed *feed.Feed, fleet *fleet.Fleet, limiter *agent.Agent) *permit.Authorizer {
	return permit.New(node, store, feed, fleet, limiter)
}

// newRepairer returns the repairer of an entry that has a ledger, or nil.
func newRepairer(settings setup.Settings, sites *sites.Sites, registry *heads.Registry, roster *member.Roster, local *ledger.Ledger, fleet *fleet.Fleet, clock agatestage.Clock) *repair.Repairer {
	if local == nil {
		return nil
	}
	return repair.New(sites, registry, roster, local, fleet.Hosts, settings.Bounds.Retain.Duration, clock)
}

func newPlanner(store agatestage.Store, clock agatestage.Clock) *plans.Planner {
	return plans.New(store, clock)
}

func newAdmin(feed *feed.Feed, guard *guard.Guard, planner *plans.Planner, fleet *fleet.Fleet, mesh *peers.Mesh, jobs *jobs.Jobs) *admin.Admin {
	return admin.New(feed, guard, planner, fleet, mesh, jobs)
}

// Entry is a running entry.
type Entry struct {
	Node     *link.Node
	Feed     *feed.Feed
	settings setup.Settings
	tree     *super.Tree
	ready    atomic.Bool
	intake   *intake.Pool
	caller   *inlet.Server
	admin    *inlet.Server
	metrics  *inlet.Server
}

func listen(address netip.AddrPort, name string, handler http.Handler, clock agatestage.Clock, pool *intake.Pool) (*inlet.Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	return inlet.New(name, &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, listener, clock, inlet.WithIntake(pool)), nil
}

// makeDataFolder creates the data folder of an entry that is configured with one.
func makeDataFolder(settings setup.Settings) error {
	if settings.DataFolder == "" {
		return nil
	}
	return errors.Wrap(os.MkdirAll(settings.DataFolder, 0o700), "make data folder")
}

func newEntry(settings setup.Settings, node *link.Node, feed *feed.Feed, front *front.Front, admin *admin.Admin, clock agatestage.Clock) (entry *Entry, err error) {
	entry = &Entry{Node: node, Feed: feed, settings: settings, tree: super.New("entry"), intake: newIntake(settings, clock)}
	if entry.caller, err = listen(settings.Listen.Caller, "callers", front.Handler(), clock, entry.intake); err != nil {
		return nil, err
	}
	if entry.admin, err = listen(settings.Listen.Admin, "operators", admin.Handler(), clock, entry.intake); err != nil {
		return nil, err
	}
	entry.metrics, err = listen(settings.Listen.Metrics, "metrics", entry.metricsHandler(), clock, entry.intake)
	return entry, err
}

// CallerAddress returns the listen address of the callers' API.
func (entry *Entry) CallerAddress() string {
	return entry.caller.Addr().String()
}

// AdminAddress returns the listen address of the operators' API.
func (entry *Entry) AdminAddress() string {
	return entry.admin.Addr().String()
}

// MetricsAddress returns the listen address of the metrics and health checks.
func (entry *Entry) MetricsAddress() string {
	return entry.metrics.Addr().String()
}

// metricsHandler serves the health and readiness checks and the metrics.
func (entry *Entry) metricsHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	router.HandleFunc("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !entry.ready.Load() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
		}
	})
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(writer, true)
	})
	return router
}

// components are the services of an entry's stages, in the order of their start.
type components struct {
	fx.In

	Bundle     *certs.Bundle
	Roster     *member.Roster
	Feed       *feed.Feed
	Archive    *blame.Archive
	Mesh       *peers.Mesh
	Fleet      *fleet.Fleet
	Limits     *agent.Agent
	Heads      *heads.Registry
	Owner      *owner.Manager
	Dispatcher *claims.Dispatcher
	Repair     *repair.Repairer
	// Permits only serves exchanges. It is listed, like Dispatcher, so that fx
	// constructs it.
	Permits *permit.Authorizer
}

// run starts the entry's stages with the application and stops them in reverse
// order.
func run(lifecycle fx.Lifecycle, entry *Entry, components components) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			entry.start(components)
			return nil
		},
		OnStop: func(context.Context) error {
			entry.stop(components)
			return entry.Node.Close()
		},
	})
}

func (entry *Entry) start(components components) {
	entry.tree.Start("links", components.Bundle, entry.Node)
	entry.tree.Start("state", components.Roster.Renewer(), components.Roster, components.Feed, components.Archive)
	entry.tree.Start("peers", components.Mesh, components.Fleet)
	entry.tree.Start("limits", components.Limits.Services()...)
	batch := []super.Service{components.Heads, components.Owner}
	if components.Repair != nil {
		batch = append(batch, components.Repair)
	}
	entry.tree.Start("batch", batch...)
	entry.tree.Start("intake", super.Func("intake", entry.intake.Trim), super.Func("sockets", entry.intake.Watch))
	entry.tree.Start("listeners", entry.caller, entry.admin, entry.metrics)
	entry.ready.Store(true)
	klog.InfoS("entry serves", "peer", entry.Node.Address(), "callers", entry.CallerAddress(),
		"operators", entry.AdminAddress(), "metrics", entry.metrics.Addr().String())
}

// stop drains the entry. It first reports not ready for the drain notice, so that
// the load balancer stops sending requests, then accepts no new connections and
// waits for the requests in progress up to the drain limit.
func (entry *Entry) stop(components components) {
	entry.ready.Store(false)
	klog.InfoS("entry drains", "notice", entry.settings.Drain.Notice.Duration)
	notice := time.NewTimer(entry.settings.Drain.Notice.Duration)
	<-notice.C
	ctx, cancel := context.WithTimeout(context.Background(), entry.settings.Drain.Limit.Duration)
	defer cancel()
	entry.caller.Stop(ctx)
	entry.admin.Stop(ctx)
	components.Owner.Drain()
	entry.metrics.Stop(ctx)
	ctx, cancel = context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := components.Limits.Reconciler().Leave(ctx); err != nil {
		klog.InfoS("limit partitions not handed over", "error", err.Error())
	}
	components.Roster.Leave(ctx)
	entry.tree.Stop()
}
