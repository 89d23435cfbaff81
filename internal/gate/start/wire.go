package start

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/intake"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/conns"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/gate/gossip"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/gate/serve"
	"github.com/agatestage/agatestage/internal/limit/tally"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/state/watch"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// instanceLength is the length of the ID that distinguishes the processes of one
	// gateway.
	instanceLength = 12
	// memberPollWait and memberPollInterval set the polling of the membership records.
	// They may be long, as gateways exchange directly which of them are alive.
	memberPollWait     = 15 * time.Second
	memberPollInterval = time.Second
)

// components are the components of a gateway, which exist once it has reached the store.
type components struct {
	fx.In

	Bundle  *certs.Bundle
	Node    *link.Node
	Roster  *member.Roster
	Holder  *rules.Holder
	Pool    *conns.Pool
	Relay   *relay.Relay
	Archive *blame.Archive
	View    *clusterView
	Mesh    *gossip.Mesh
	Jobs    *batch.Manager
	Handler http.Handler
}

// instance identifies one process of a gateway.
type instance string

// assemble creates the components. Their background work ends with the context
// background.
func assemble(background context.Context, settings setup.Settings, adapter Adapter, clock agatestage.Clock, bundle *certs.Bundle, sizes intake.Sizes, assembled *components) error {
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(settings, bundle, sizes, instance(uuid.NewString()[:instanceLength])),
		fx.Provide(
			func() context.Context { return background },
			func() Adapter { return adapter },
			func() agatestage.Clock { return clock },
			func() agatestage.Transactor { return adapter.Store() },
			newNode, newRoster, conns.New, rules.NewHolder, feeds.NewStoreHealth, feeds.NewDuty, blame.New, newClusterView, provideScheduler, newMesh, newTally, newRelay, newArchive, newJobs, newHandler,
		),
		fx.Invoke(func(components components) { *assembled = components }),
	)
	return app.Err()
}

func newNode(settings setup.Settings, bundle *certs.Bundle, clock agatestage.Clock) (*link.Node, error) {
	return link.New(settings.Listen.Peer, bundle, link.WithClock(clock), link.WithPacketKey(bundle.PacketKey()))
}

func newRoster(settings setup.Settings, instance instance, store agatestage.Transactor, clock agatestage.Clock, node *link.Node, storeHealth *feeds.StoreHealth, duty *feeds.Duty) *member.Roster {
	self := member.Member{Name: settings.Name, Region: settings.Region, Zone: settings.Zone, Address: node.Address(), Instance: string(instance)}
	// A gateway that follows the store knows from its polls whether the store answers.
	onRenewal := func(err error) {
		if !duty.On() {
			storeHealth.RecordRenewal(err)
		}
	}
	return member.New(store, clock, self, member.WithRenewalHandler(onRenewal), member.WithWatchOptions(watch.WithGate(duty.Await), watch.WithWait(memberPollWait), watch.WithMinInterval(memberPollInterval), watch.WithRetryWait(storeHealth.AwaitRetry)))
}

// newClusterView creates the view. As the mesh and the limits depend on the view and
// the view on them, newMesh, newTally and newJobs set its fields for them later.
func newClusterView(background context.Context, settings setup.Settings, adapter Adapter, clock agatestage.Clock, pool *conns.Pool, holder *rules.Holder, storeHealth *feeds.StoreHealth, duty *feeds.Duty, blameList *blame.List) *clusterView {
	clusterView := &clusterView{duty: duty, holder: holder, storeHealth: storeHealth, blame: blameList, self: settings.Name}
	prober := &prober{ctx: background, clock: clock, pool: pool}
	options := append(placementOptions(settings.Placement), sched.WithGuestHandler(clusterView.sendGuestCalls), sched.WithDownHandler(prober.watch),
		sched.WithReadinessHandler(clusterView.readinessChanged), clusterView.useShares(settings, clock, holder),
		sched.WithRemovedHandler(func(endpoint agatestage.Endpoint) { pool.CloseIdle(endpoint.Address) }))
	clusterView.Scheduler = sched.New(clock, settings.Region, settings.Zone, options...)
	prober.sched = clusterView.Scheduler
	clusterView.evacuations = feeds.NewEvacuations(adapter.EvacuationPrefix(), clusterView.applyEvacuations)
	clusterView.config = feeds.NewConfig(adapter.Store(), clock, adapter.ConfigKey(), adapter.Config, holder, storeHealth, duty,
		feeds.WithEvacuations(adapter.OperatorPrefix(), clusterView.evacuations))
	clusterView.targets = feeds.NewTargets(adapter.Store(), clock, adapter.TargetPrefix(), adapter.Target, storeHealth, duty, clusterView.Apply, feeds.WithColdHandler(clusterView.MarkCold))
	return clusterView
}

func provideScheduler(clusterView *clusterView) *sched.Scheduler { return clusterView.Scheduler }

func newMesh(node *link.Node, roster *member.Roster, instance instance, clock agatestage.Clock, clusterView *clusterView) *gossip.Mesh {
	clusterView.roster = roster
	clusterView.mesh = gossip.New(node, roster, string(instance), clock, clusterView)
	return clusterView.mesh
}

func newTally(clock agatestage.Clock, holder *rules.Holder, mesh *gossip.Mesh, clusterView *clusterView) *tally.Tally {
	clusterView.limits = tally.New(clock, holder, mesh.Admitting, mesh.MaxSendDelay)
	return clusterView.limits
}

func newRelay(clock agatestage.Clock, scheduler *sched.Scheduler, pool *conns.Pool, adapter Adapter, blameList *blame.List, mesh *gossip.Mesh, sizes intake.Sizes) *relay.Relay {
	blameList.SetPermit(mesh.PermitTrial)
	blameList.SetReport(mesh.BroadcastStrike)
	blame.RegisterMetrics(blameList, clock)
	return relay.New(clock, scheduler, pool, adapter, blameList, relay.WithStrikes(mesh.BroadcastStrike), relay.WithMemory(sizes.Responses))
}

func newArchive(store agatestage.Transactor, clock agatestage.Clock, blameList *blame.List, mesh *gossip.Mesh, storeHealth *feeds.StoreHealth) *blame.Archive {
	return blame.NewArchive(store, clock, blameList, blame.WithOwned(mesh.OwnsTrials), blame.WithRetryWait(func(ctx context.Context) {
		ticks.Wait(ctx, clock, storeRetryDelay)
		storeHealth.AwaitRecovery(ctx)
	}))
}

func newJobs(settings setup.Settings, instance instance, store agatestage.Transactor, clock agatestage.Clock, relay *relay.Relay, holder *rules.Holder, clusterView *clusterView, storeHealth *feeds.StoreHealth, duty *feeds.Duty, node *link.Node, mesh *gossip.Mesh, sizes intake.Sizes) *batch.Manager {
	self := batch.Gateway{Name: settings.Name, Instance: string(instance), Region: settings.Region}
	jobs := batch.New(self, store, clock, relay, holder, clusterView, serve.Fingerprint,
		batch.WithStoreHealth(storeHealth), batch.WithDuty(duty), batch.WithPeers(&peerClient{node: node, mesh: mesh}), batch.WithMemory(sizes.Inputs, sizes.Cache),
		batch.WithResultsWait(settings.Limits.ResultsWait.Duration))
	clusterView.jobs = jobs
	node.Handle(kindJob, serveJob(jobs))
	node.Handle(kindSubmit, serveSubmit(jobs))
	return jobs
}

func newHandler(adapter Adapter, holder *rules.Holder, limits *tally.Tally, relay *relay.Relay, scheduler *sched.Scheduler, clusterView *clusterView, jobs *batch.Manager, clock agatestage.Clock) http.Handler {
	return adapter.CallerHandler(serve.New(holder, limits, relay, clusterView, clock, serve.WithForecast(scheduler)), jobs, holder, clock)
}
