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
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/intake"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/base/super"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/trust/certs"
)

const (
	// storeRetryDelay is the pause between two attempts to reach the store at startup.
	storeRetryDelay = 250 * time.Millisecond
	// startupWait is how long a request waits for a gateway that is starting, and the
	// Retry-After of the refusal after that: the store's answers take 4 ms and a round
	// trip between regions.
	startupWait = 400 * time.Millisecond
	// readyCheckPeriod is how often a starting gateway checks whether it is ready.
	readyCheckPeriod = 20 * time.Millisecond
	// idleCheckPeriod is how often idle connections to targets and callers are checked.
	idleCheckPeriod = 250 * time.Millisecond
	// readHeaderTimeout bounds how long a caller may take to send a request's header.
	// The platform's own limit is shorter, and its callers comply with it.
	readHeaderTimeout = 10 * time.Second
	// leaveTimeout bounds the last writes to the store when a gateway stops. As much
	// time again is reserved for the stop itself, but at most half of the drain limit
	// for both. Running requests go on meanwhile.
	leaveTimeout = time.Second
	// requestEighths is the part of the drain limit, in eighths, within which running
	// requests may end: more than the five sixths that callers may rely on.
	requestEighths = 7
)

// Gateway is a running gateway.
type Gateway struct {
	settings   setup.Settings
	drain      atomic.Pointer[setup.Drain]
	clock      agatestage.Clock
	adapter    Adapter
	ready      atomic.Bool
	tree       *super.Tree
	caller     *inlet.Server
	intake     *intake.Pool
	components *components
	// initialized is closed once the configuration and the targets have been read.
	initialized chan struct{}
}

// New returns a Gateway. Run makes it listen; it isn't ready before it has read the
// configuration and the targets.
func New(settings setup.Settings, adapter Adapter, clock agatestage.Clock) *Gateway {
	gateway := &Gateway{settings: settings, clock: clock, adapter: adapter, tree: super.New("gateway"), initialized: make(chan struct{})}
	gateway.drain.Store(&settings.Drain)
	return gateway
}

// Run serves until ctx ends, then drains and stops.
func (gateway *Gateway) Run(ctx context.Context) error {
	gateway.startIntake()
	if err := gateway.listen(); err != nil {
		return err
	}
	bundle, err := gateway.loadCertificate(ctx)
	if ctx.Err() != nil {
		// The gateway was stopped before it reached the store. The requests that wait
		// for its start are refused.
		waiting, cancelWaiting := context.WithTimeout(context.Background(), gateway.drain.Load().Limit.Duration/2)
		defer cancelWaiting()
		gateway.caller.Stop(waiting)
		return nil
	}
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var components components
	if err = assemble(work, gateway.settings, gateway.adapter, gateway.clock, bundle, gateway.intake.Sizes(), &components); err != nil {
		return err
	}
	gateway.startComponents(&components)
	gateway.awaitReady(ctx)
	<-ctx.Done()
	gateway.drainAndStop()
	return nil
}

// Reload applies changed settings. Only the drain times can change while a gateway
// runs; other changes need a restart.
func (gateway *Gateway) Reload(settings setup.Settings) {
	gateway.drain.Store(&settings.Drain)
	before := gateway.settings
	before.Drain = settings.Drain
	klog.InfoS("settings reloaded", "notice", settings.Drain.Notice.Duration, "limit", settings.Drain.Limit.Duration,
		"restartNeeded", !reflect.DeepEqual(before, settings))
}

// listen binds the addresses and starts their servers. Until the gateway is ready,
// callers are refused after a short wait.
func (gateway *Gateway) listen() error {
	caller := &http.Server{Handler: http.HandlerFunc(gateway.serve), ReadHeaderTimeout: readHeaderTimeout}
	status := &http.Server{Handler: gateway.withConfig(gateway.adapter.ReadinessHandler(gateway.ready.Load)), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: probeIdleTime, MaxHeaderBytes: probeHeaderBytes}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(writer, true) })
	for _, bind := range []struct {
		name    string
		address netip.AddrPort
		server  *http.Server
	}{
		{"callers", gateway.settings.Listen.Caller, caller},
		{"readiness", gateway.settings.Listen.Ready, status},
		{"metrics", gateway.settings.Listen.Metrics, &http.Server{Handler: gateway.withConfig(mux), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: probeIdleTime, MaxHeaderBytes: probeHeaderBytes}},
	} {
		listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(bind.address))
		if err != nil {
			return errors.Wrapf(err, "listen for %s", bind.name)
		}
		server := inlet.New(bind.name, bind.server, listener, gateway.clock, inlet.WithIntake(gateway.intake), inlet.WithBodySilence(bodySilence))
		if bind.server == caller {
			gateway.caller = server
		}
		gateway.tree.Start(bind.name, server)
	}
	return nil
}

// serve handles a caller's request. A request that arrives while the gateway is
// starting waits for up to startupWait, within which the store usually answers, and is
// then refused.
func (gateway *Gateway) serve(writer http.ResponseWriter, request *http.Request) {
	select {
	case <-gateway.initialized:
	default:
		timer := gateway.clock.NewTimer(startupWait)
		defer timer.Stop()
		select {
		case <-gateway.initialized:
		case <-timer.C():
			refuseUnready(writer)
			return
		case <-request.Context().Done():
			refuseUnready(writer)
			return
		}
	}
	gateway.components.Handler.ServeHTTP(writer, request)
}

// refuseUnready refuses a request that has waited for the start.
func refuseUnready(writer http.ResponseWriter) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(startupWait.Seconds(), 'f', -1, 64))
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// loadCertificate gets the gateway's certificate from the store; it retries until the
// store answers.
func (gateway *Gateway) loadCertificate(ctx context.Context) (*certs.Bundle, error) {
	for {
		bundle, err := certs.OpenShared(ctx, gateway.adapter.Store(), gateway.settings.Name, agatestage.RoleEntry, gateway.clock)
		if err == nil {
			return bundle, nil
		}
		klog.InfoS("store not reachable at startup; retrying", "error", err.Error())
		ticks.Wait(ctx, gateway.clock, storeRetryDelay)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// startComponents starts the components, each after those that it depends on.
func (gateway *Gateway) startComponents(components *components) {
	gateway.components = components
	components.Holder.OnChange(func(snapshot *rules.Snapshot) {
		gateway.caller.SetIdleLimit(snapshot.Bounds().IdleTime)
		gateway.caller.SetHeadLimit(snapshot.Bounds().HeaderBytes)
		components.View.SetBatchServices(snapshot.BatchServices())
		components.View.applyServices(snapshot)
		components.View.SetMemory(snapshot.Memory())
		if components.Mesh.Watching() {
			components.Mesh.Announce()
		}
	})
	gateway.tree.Start("links", components.Bundle, components.Node)
	gateway.tree.Start("state", components.Roster.Renewer(), components.Roster, components.View.config, components.View.targets, components.Archive)
	gateway.tree.Start("gateways", components.Mesh)
	gateway.tree.Start("connections", super.Func("connections", func(ctx context.Context) error {
		return ticks.Every(ctx, gateway.clock, idleCheckPeriod, func(context.Context) {
			components.Pool.CloseExpired()
			gateway.caller.CloseIdle()
		})
	}))
	gateway.tree.Start("targets", super.Func("silent targets", components.Relay.Watch))
	gateway.tree.Start("batch", components.Jobs)
	klog.InfoS("gateway starts", "name", gateway.settings.Name, "zone", gateway.settings.Zone, "region", gateway.settings.Region,
		"callers", gateway.settings.Listen.Caller, "peers", gateway.settings.Listen.Peer, "metrics", gateway.settings.Listen.Metrics)
}

// awaitReady waits until the configuration, the targets, the evacuations, the other gateways and
// the requests in quarantine are known, then reports the gateway ready.
func (gateway *Gateway) awaitReady(ctx context.Context) {
	for ctx.Err() == nil {
		if gateway.components.Holder.Current() != nil && gateway.components.View.targets.Listed() && gateway.knowsEvacuations() && gateway.knowsOthers() && gateway.knowsQuarantine() {
			close(gateway.initialized)
			gateway.ready.Store(true)
			klog.InfoS("gateway ready", "version", gateway.components.Holder.Version())
			return
		}
		ticks.Wait(ctx, gateway.clock, readyCheckPeriod)
	}
}

// knowsEvacuations reports whether the evacuated zones have been read from the store. While it is
// out, the other gateways send them.
func (gateway *Gateway) knowsEvacuations() bool {
	view := gateway.components.View
	return view.evacuations.Read() || view.StoreOutage() > 0 && view.evacuations.Known()
}

// knowsOthers reports whether the list of the gateways has been read or a message of another
// gateway has come. Without either, this gateway would admit each organisation's whole rate.
func (gateway *Gateway) knowsOthers() bool {
	return !gateway.components.Roster.ConfirmedAt().IsZero() || len(gateway.components.Mesh.Admitting()) > 0
}

// knowsQuarantine reports whether the requests in quarantine have been read from the store.
// While it is out, the other gateways send them.
func (gateway *Gateway) knowsQuarantine() bool {
	return gateway.components.Archive.Loaded() || gateway.components.View.StoreOutage() > 0 && len(gateway.components.Mesh.Admitting()) > 0
}

// drainAndStop reports the gateway not ready, so that the load balancer sends requests
// elsewhere, and hands its jobs over. After the notice time it closes each kept
// connection after its next answer and waits for running requests, then stops.
func (gateway *Gateway) drainAndStop() {
	gateway.ready.Store(false)
	gateway.components.Mesh.Leave()
	drain := gateway.drain.Load()
	klog.InfoS("gateway drains", "notice", drain.Notice.Duration, "limit", drain.Limit.Duration)
	limit := drain.Limit.Duration
	ctx, cancel := context.WithTimeout(context.Background(), max(limit/2, limit-2*leaveTimeout))
	defer cancel()
	requests, cancelRequests := context.WithTimeout(context.Background(), limit*requestEighths/8)
	defer cancelRequests()
	jobs, callers := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(jobs)
		gateway.components.Jobs.Drain(ctx)
	}()
	ticks.Wait(ctx, gateway.clock, drain.Notice.Duration)
	go func() {
		defer close(callers)
		gateway.caller.Stop(requests)
	}()
	for _, done := range []<-chan struct{}{jobs, callers} {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	last, cancelLast := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLast()
	gateway.components.Roster.Leave(last)
	<-callers
	_ = gateway.components.Node.Close()
	klog.InfoS("gateway stops")
	klog.Flush()
}
