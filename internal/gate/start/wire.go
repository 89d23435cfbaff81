package start

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
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
	// instanceLength tells the processes of one gateway apart.
	instanceLength = 12
	// memberWait and memberPace set how the members are followed; which of them are
	// alive, gateways tell one another.
	memberWait = 15 * time.Second
	memberPace = time.Second
)

// parts are what a gateway is made of once it has reached the store.
type parts struct {
	fx.In

	Bundle  *certs.Bundle
	Node    *link.Node
	Roster  *member.Roster
	Holder  *rules.Holder
	Pool    *conns.Pool
	Relay   *relay.Relay
	View    *view
	Mesh    *gossip.Mesh
	Jobs    *batch.Manager
	Handler http.Handler
}

// instance names one process of a gateway.
type instance string

// assemble makes the parts. Work bounds what they do in the background.
func assemble(work context.Context, settings setup.Settings, adapter Adapter, clock agatestage.Clock, bundle *certs.Bundle, made *parts) error {
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(settings, bundle, instance(uuid.NewString()[:instanceLength])),
		fx.Provide(
			func() context.Context { return work },
			func() Adapter { return adapter },
			func() agatestage.Clock { return clock },
			func() agatestage.Transactor { return adapter.Store() },
			newNode, newRoster, conns.New, rules.NewHolder, feeds.NewContact, blame.New, newView, schedulerOf, newMesh, newTally, newRelay, newJobs, newHandler,
		),
		fx.Invoke(func(parts parts) { *made = parts }),
	)
	return app.Err()
}

func newNode(settings setup.Settings, bundle *certs.Bundle, clock agatestage.Clock) (*link.Node, error) {
	return link.New(settings.Listen.Peer, bundle, link.WithClock(clock))
}

func newRoster(settings setup.Settings, store agatestage.Transactor, clock agatestage.Clock, node *link.Node, contact *feeds.Contact) *member.Roster {
	self := member.Member{Name: settings.Name, Region: settings.Region, Zone: settings.Zone, Address: node.Address()}
	return member.New(store, clock, self, member.WithWatchOptions(watch.WithWait(memberWait), watch.WithMinInterval(memberPace), watch.WithRetryWait(contact.Retry)))
}

// newView makes the view, which the mesh and the limits complete: they ask it, and
// it asks them.
func newView(work context.Context, settings setup.Settings, adapter Adapter, clock agatestage.Clock, pool *conns.Pool, holder *rules.Holder, contact *feeds.Contact, list *blame.List) *view {
	view := &view{holder: holder, contact: contact, blame: list, self: settings.Name}
	prober := &prober{ctx: work, clock: clock, pool: pool}
	view.Scheduler = sched.New(clock, settings.Region, settings.Zone, sched.WithGuest(view.guest), sched.WithDown(prober.watch),
		sched.WithGone(func(endpoint agatestage.Endpoint) { pool.Forget(endpoint.Address) }))
	prober.sched = view.Scheduler
	view.config = feeds.NewConfig(adapter.Store(), clock, adapter.ConfigKey(), adapter.Config, holder, contact)
	view.targets = feeds.NewTargets(adapter.Store(), clock, adapter.TargetPrefix(), adapter.Target, contact, view.Apply)
	return view
}

func schedulerOf(view *view) *sched.Scheduler { return view.Scheduler }

func newMesh(node *link.Node, roster *member.Roster, instance instance, clock agatestage.Clock, view *view) *gossip.Mesh {
	view.mesh = gossip.New(node, roster, string(instance), clock, view)
	return view.mesh
}

func newTally(clock agatestage.Clock, holder *rules.Holder, mesh *gossip.Mesh, view *view) *tally.Tally {
	view.limits = tally.New(clock, holder, mesh.Admitting, mesh.Delay)
	return view.limits
}

func newRelay(clock agatestage.Clock, scheduler *sched.Scheduler, pool *conns.Pool, adapter Adapter, list *blame.List, mesh *gossip.Mesh) *relay.Relay {
	return relay.New(clock, scheduler, pool, adapter, list, relay.WithStrikes(mesh.Tell))
}

func newJobs(settings setup.Settings, instance instance, store agatestage.Transactor, clock agatestage.Clock, relay *relay.Relay, holder *rules.Holder, view *view, contact *feeds.Contact, node *link.Node, mesh *gossip.Mesh) *batch.Manager {
	self := batch.Gateway{Name: settings.Name, Instance: string(instance), Region: settings.Region}
	jobs := batch.New(self, store, clock, relay, holder, view, serve.Fingerprint,
		batch.WithContact(contact), batch.WithOthers(&owners{node: node, mesh: mesh}))
	node.Handle(kindJob, serveJob(jobs))
	node.Handle(kindSubmit, serveSubmit(jobs))
	return jobs
}

func newHandler(adapter Adapter, holder *rules.Holder, limits *tally.Tally, relay *relay.Relay, view *view, jobs *batch.Manager, clock agatestage.Clock) http.Handler {
	return adapter.Callers(serve.New(holder, limits, relay, view, clock), jobs, holder, clock)
}
