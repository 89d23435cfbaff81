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
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/base/super"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/trust/certs"
)

const (
	// joinPause is the time between two tries to reach the store at the start.
	joinPause = 250 * time.Millisecond
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
	if ctx.Err() != nil {
		// Told to stop before the store was reached.
		return nil
	}
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var parts parts
	if err = assemble(work, gateway.settings, gateway.adapter, gateway.clock, bundle, &parts); err != nil {
		return err
	}
	gateway.start(&parts)
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
	gateway.parts.Handler.ServeHTTP(writer, request)
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

// start runs the parts, from the bottom up.
func (gateway *Gateway) start(parts *parts) {
	gateway.parts = parts
	parts.Holder.OnChange(func(snapshot *rules.Snapshot) {
		gateway.idle.setLimit(snapshot.Bounds().IdleTime)
		parts.View.SetBatchServices(snapshot.BatchServices())
	})
	gateway.tree.Start("links", parts.Bundle, parts.Node)
	gateway.tree.Start("state", parts.Roster.Renewer(), parts.Roster, parts.View.config, parts.View.targets)
	gateway.tree.Start("gateways", parts.Mesh)
	gateway.tree.Start("connections", super.Func("connections", func(ctx context.Context) error {
		return ticks.Every(ctx, gateway.clock, sweepPeriod, func(context.Context) {
			parts.Pool.CloseExpired()
			gateway.idle.sweep()
		})
	}))
	gateway.tree.Start("targets", super.Func("silent targets", parts.Relay.Watch))
	gateway.tree.Start("batch", parts.Jobs)
	klog.InfoS("gateway starts", "name", gateway.settings.Name, "zone", gateway.settings.Zone, "region", gateway.settings.Region,
		"callers", gateway.settings.Listen.Caller, "peers", gateway.settings.Listen.Peer, "metrics", gateway.settings.Listen.Metrics)
}

// awaitReady reports the gateway ready once it knows the configuration and the
// targets.
func (gateway *Gateway) awaitReady(ctx context.Context) {
	for ctx.Err() == nil {
		if gateway.parts.Holder.Current() != nil && gateway.parts.View.targets.Listed() {
			close(gateway.knows)
			gateway.ready.Store(true)
			klog.InfoS("gateway ready", "version", gateway.parts.Holder.Version())
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
	gateway.parts.Mesh.Leave()
	drain := gateway.drain.Load()
	klog.InfoS("gateway drains", "notice", drain.Notice.Duration, "limit", drain.Limit.Duration)
	ctx, cancel := context.WithTimeout(context.Background(), drain.Limit.Duration-2*leaveTime)
	defer cancel()
	jobs := make(chan struct{})
	go func() {
		defer close(jobs)
		gateway.parts.Jobs.Drain(ctx)
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
	gateway.parts.Roster.Leave(last)
	_ = gateway.parts.Node.Close()
	klog.InfoS("gateway stops")
	klog.Flush()
}
