package start

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/base/super"
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
	// joinPause is the time between two tries to reach the store at the start.
	joinPause = 250 * time.Millisecond
	// memberWait and memberPace set how the members are followed; which of them are
	// alive, gateways tell one another.
	memberWait = 15 * time.Second
	memberPace = time.Second
	// startWait is how long a request waits for a gateway that starts, and when its
	// caller may come back after that: the store's answers take 4 ms and a round
	// trip between regions.
	startWait = 400 * time.Millisecond
	// readyPeriod is how often a gateway that starts looks whether it is ready.
	readyPeriod = 20 * time.Millisecond
	// sweepPeriod is how often idle connections to targets are looked at.
	sweepPeriod = 250 * time.Millisecond
	// headerTime bounds how long a caller may take to send a request's head; the
	// platform's own bound on it is shorter, and its callers keep to it.
	headerTime = 10 * time.Second
	// leaveTime bounds what a gateway still writes to the store as it stops; as
	// much again is kept for the stop itself.
	leaveTime = time.Second
	// instanceLength tells the processes of one gateway apart.
	instanceLength = 12
)

// Gateway is a running gateway.
type Gateway struct {
	settings setup.Settings
	drain    atomic.Pointer[setup.Drain]
	clock    agatestage.Clock
	adapter  Adapter
	ready    atomic.Bool
	tree     *super.Tree
	caller   *http.Server
	status   *http.Server
	metrics  *http.Server
	idle     *idleTracker
	parts    *parts
	// knows is closed once the configuration and the targets are known.
	knows chan struct{}
}

// parts are what a gateway is made of once it has reached the store.
type parts struct {
	node    *link.Node
	roster  *member.Roster
	view    *view
	mesh    *gossip.Mesh
	jobs    *batch.Manager
	handler http.Handler
}

// New returns a gateway that listens, and isn't ready before Run has reached
// the store.
func New(settings setup.Settings, adapter Adapter, clock agatestage.Clock) *Gateway {
	gateway := &Gateway{settings: settings, clock: clock, adapter: adapter, tree: super.New("gateway"), idle: newIdleTracker(clock), knows: make(chan struct{})}
	gateway.drain.Store(&settings.Drain)
	return gateway
}

// Run serves until ctx ends, then drains and stops.
func (gateway *Gateway) Run(ctx context.Context) error {
	if err := gateway.listen(); err != nil {
		return err
	}
	bundle, err := gateway.join(ctx)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err = gateway.assemble(work, bundle); err != nil {
		return err
	}
	gateway.start()
	gateway.awaitReady(ctx)
	<-ctx.Done()
	gateway.stop()
	return nil
}

// Reload puts changed settings in force. Only the pace of a planned stop can
// change while a gateway runs.
func (gateway *Gateway) Reload(settings setup.Settings) {
	gateway.drain.Store(&settings.Drain)
	before := gateway.settings
	before.Drain = settings.Drain
	klog.InfoS("settings reloaded", "notice", settings.Drain.Notice.Duration, "limit", settings.Drain.Limit.Duration,
		"restartNeeded", !reflect.DeepEqual(before, settings))
}

// listen binds the addresses. Callers are refused until the gateway is ready.
func (gateway *Gateway) listen() error {
	gateway.caller = &http.Server{
		Handler:           http.HandlerFunc(gateway.serve),
		ReadHeaderTimeout: headerTime,
		ConnState:         gateway.idle.follow,
	}
	gateway.status = &http.Server{Handler: gateway.adapter.Readiness(gateway.ready.Load), ReadHeaderTimeout: headerTime}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(writer, true) })
	gateway.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}
	for _, bind := range []struct {
		name    string
		address netip.AddrPort
		server  *http.Server
	}{
		{"callers", gateway.settings.Listen.Caller, gateway.caller},
		{"readiness", gateway.settings.Listen.Ready, gateway.status},
		{"metrics", gateway.settings.Listen.Metrics, gateway.metrics},
	} {
		listener, err := net.Listen("tcp4", bind.address.String())
		if err != nil {
			return errors.Wrapf(err, "listen for %s", bind.name)
		}
		gateway.tree.Start(bind.name, super.HTTP(bind.name, bind.server, listener))
	}
	return nil
}

// serve passes a caller's request on. One that comes while the gateway starts
// waits for a moment, as the store answers within that.
func (gateway *Gateway) serve(writer http.ResponseWriter, request *http.Request) {
	select {
	case <-gateway.knows:
	default:
		timer := gateway.clock.NewTimer(startWait)
		defer timer.Stop()
		select {
		case <-gateway.knows:
		case <-timer.C():
			writer.Header().Set("Retry-After", strconv.FormatFloat(startWait.Seconds(), 'f', -1, 64))
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		case <-request.Context().Done():
			return
		}
	}
	gateway.parts.handler.ServeHTTP(writer, request)
}

// join gets the gateway's certificate, for which it needs the store.
func (gateway *Gateway) join(ctx context.Context) (*certs.Bundle, error) {
	for {
		bundle, err := certs.OpenShared(ctx, gateway.adapter.Store(), gateway.settings.Name, agatestage.RoleEntry, gateway.clock)
		if err == nil {
			return bundle, nil
		}
		klog.InfoS("store not reached at the start", "error", err.Error())
		ticks.Wait(ctx, gateway.clock, joinPause)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// assemble makes the parts from the bottom up.
func (gateway *Gateway) assemble(ctx context.Context, bundle *certs.Bundle) error {
	settings, clock, adapter := gateway.settings, gateway.clock, gateway.adapter
	node, err := link.New(settings.Listen.Peer, bundle, link.WithClock(clock))
	if err != nil {
		return err
	}
	instance := uuid.NewString()[:instanceLength]
	store := adapter.Store()
	self := member.Member{Name: settings.Name, Region: settings.Region, Zone: settings.Zone, Address: node.Address()}
	roster := member.New(store, clock, self, member.WithPolls(watch.WithWait(memberWait), watch.WithPace(memberPace)))
	pool := conns.New(clock)
	holder := rules.NewHolder(clock)
	contact := feeds.NewContact(clock)
	prober := &prober{ctx: ctx, clock: clock, pool: pool}
	scheduler := sched.New(clock, settings.Region, settings.Zone,
		sched.WithDown(prober.watch), sched.WithGone(func(endpoint agatestage.Endpoint) { pool.Forget(endpoint.Address) }))
	prober.sched = scheduler
	view := &view{Scheduler: scheduler, holder: holder, contact: contact, blame: blame.New(clock), self: settings.Name}
	view.config = feeds.NewConfig(store, clock, adapter.ConfigKey(), adapter.Config, holder, contact)
	view.targets = feeds.NewTargets(store, clock, adapter.TargetPrefix(), adapter.Target, contact, view.Apply)
	view.mesh = gossip.New(node, roster, instance, clock, view)
	relay := relay.New(clock, scheduler, pool, adapter, view.blame, relay.WithStrikes(view.mesh.Tell))
	view.limits = tally.New(clock, holder, view.mesh.Admitting, view.mesh.Delay)
	jobs := batch.New(batch.Gateway{Name: settings.Name, Instance: instance, Region: settings.Region}, store, clock, relay, holder, view,
		serve.Fingerprint, batch.WithFailure(contact.Failed), batch.WithOthers(&owners{node: node, mesh: view.mesh}))
	node.Handle(kindJob, serveJob(jobs))
	server := serve.New(holder, view.limits, relay, view, clock)
	holder.OnChange(func(snapshot *rules.Snapshot) { gateway.idle.setLimit(snapshot.Bounds().IdleTime) })
	gateway.parts = &parts{node: node, roster: roster, view: view, mesh: view.mesh, jobs: jobs,
		handler: adapter.Callers(server, jobs, holder, clock)}
	gateway.tree.Start("links", bundle, node)
	gateway.tree.Start("state", roster.Renewer(), roster, view.config, view.targets)
	gateway.tree.Start("gateways", view.mesh)
	gateway.tree.Start("connections", super.Func("connections", func(ctx context.Context) error {
		return ticks.Every(ctx, clock, sweepPeriod, func(context.Context) {
			pool.Sweep()
			gateway.idle.sweep()
		})
	}))
	gateway.tree.Start("batch", jobs)
	return nil
}

// start lets callers in.
func (gateway *Gateway) start() {
	klog.InfoS("gateway starts", "name", gateway.settings.Name, "zone", gateway.settings.Zone, "region", gateway.settings.Region,
		"callers", gateway.settings.Listen.Caller, "peers", gateway.settings.Listen.Peer, "metrics", gateway.settings.Listen.Metrics)
}

// awaitReady reports the gateway ready once it knows the configuration and the
// targets.
func (gateway *Gateway) awaitReady(ctx context.Context) {
	for ctx.Err() == nil {
		if gateway.parts.view.holder.Current() != nil && gateway.parts.view.targets.Listed() {
			close(gateway.knows)
			gateway.ready.Store(true)
			klog.InfoS("gateway ready", "version", gateway.parts.view.Version())
			return
		}
		ticks.Wait(ctx, gateway.clock, readyPeriod)
	}
}

// stop drains: the gateway reports not ready, so that the balancer looks
// elsewhere, then ends kept connections with their next answer, finishes what
// runs and gives its jobs away.
func (gateway *Gateway) stop() {
	gateway.ready.Store(false)
	gateway.parts.mesh.Leave()
	drain := gateway.drain.Load()
	klog.InfoS("gateway drains", "notice", drain.Notice.Duration, "limit", drain.Limit.Duration)
	ctx, cancel := context.WithTimeout(context.Background(), drain.Limit.Duration-2*leaveTime)
	defer cancel()
	jobs := make(chan struct{})
	go func() {
		defer close(jobs)
		gateway.parts.jobs.Drain(ctx)
	}()
	ticks.Wait(ctx, gateway.clock, drain.Notice.Duration)
	if err := gateway.caller.Shutdown(ctx); err != nil {
		klog.InfoS("requests cut off at the drain limit", "error", err.Error())
	}
	select {
	case <-jobs:
	case <-ctx.Done():
	}
	last, cancelLast := context.WithTimeout(context.Background(), leaveTime)
	defer cancelLast()
	gateway.parts.roster.Leave(last)
	_ = gateway.parts.node.Close()
	klog.InfoS("gateway stops")
	klog.Flush()
}
