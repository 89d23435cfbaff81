// Package start assembles and runs a side.
package start

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/intake"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/base/super"
	"github.com/agatestage/agatestage/internal/plat/engine"
	"github.com/agatestage/agatestage/internal/side/claim"
	"github.com/agatestage/agatestage/internal/side/order"
	"github.com/agatestage/agatestage/internal/side/serve"
	"github.com/agatestage/agatestage/internal/side/slots"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// Side is a running side.
type Side struct {
	Node   *link.Node
	Server *serve.Server
	// pullers claim batch items, one for each engine.
	pullers []*claim.Puller
	// reconcilers make engines hold the models that the configuration assigns to
	// them, one for each engine.
	reconcilers []*order.Reconciler
	tree        *super.Tree
	metrics     *inlet.Server
	intake      *intake.Pool
	drainLimits setup.Drain
}

const (
	// readHeaderTimeout and idleTimeout bound the waits for clients of the metrics, and
	// maxHeaderBytes the head of their requests.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// metricsStopTime is how long a stop waits for the last answers of the metrics.
	metricsStopTime = time.Second
)

// Module provides a *Side from the settings and a clock.
var Module = fx.Module("side", fx.Provide(openBundle, newNode, newServer, newSide), fx.Invoke(run))

func openBundle(settings setup.Settings, clock agatestage.Clock) (*certs.Bundle, error) {
	return certs.Open(settings.Trust.Folder, clock)
}

func newNode(settings setup.Settings, bundle *certs.Bundle, clock agatestage.Clock, options []link.Option) (*link.Node, error) {
	return link.New(settings.Listen.Peer, bundle, append(options, link.WithClock(clock))...)
}

// newServer returns a server with the targets in the settings.
func newServer(settings setup.Settings, clock agatestage.Clock) *serve.Server {
	server := serve.New(clock, serve.WithNotice(settings.Drain.Notice.Duration))
	for _, target := range settings.Targets {
		pool := slots.New(clock, target.Slots, target.Queue, server.Changed, slots.WithSpacing(target.Spacing.Duration))
		var backend agatestage.Target
		if backend = engine.New(target.Address); target.Kind == agatestage.KindService {
			backend = engine.NewService(target.Address)
		}
		server.Add(state.New(target.Name, target.Kind, backend, pool, clock, server.Changed))
	}
	return server
}

func newSide(settings setup.Settings, node *link.Node, server *serve.Server, clock agatestage.Clock) (*Side, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(settings.Listen.Metrics))
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	side := &Side{Node: node, Server: server, tree: super.New("side"), intake: newIntake(settings, clock), drainLimits: settings.Drain}
	side.metrics = inlet.New("metrics", &http.Server{
		Handler: side.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, listener, clock, inlet.WithIntake(side.intake))
	memory := claim.NewMemory()
	for _, target := range server.Targets() {
		if target.Kind == agatestage.KindEngine {
			side.pullers = append(side.pullers, claim.New(target, settings.Region, node, clock, memory))
			side.reconcilers = append(side.reconcilers, order.New(target, node, clock))
		}
	}
	server.OnPolicy(side.applyPolicy)
	server.OnChange(side.wake)
	server.Register(node)
	return side, nil
}

// newIntake returns the pool that bounds what the clients of the metrics may take.
func newIntake(settings setup.Settings, clock agatestage.Clock) *intake.Pool {
	sizes := intake.SizesOf(settings.Limits)
	sizes.LimitRuntime()
	pool := intake.New(sizes, clock)
	pool.RegisterMetrics()
	klog.InfoS("limits of clients", "memory", sizes.Memory, "requests", sizes.Pool, "connections", sizes.Conns)
	return pool
}

// applyPolicy passes an entry's policy to the pullers and reconcilers.
func (side *Side) applyPolicy(policy calls.Policy) {
	for _, puller := range side.pullers {
		puller.ApplyPolicy(policy)
	}
	for _, reconciler := range side.reconcilers {
		reconciler.ApplyPolicy(policy)
	}
}

// wake tells the pullers that a slot may have become free.
func (side *Side) wake() {
	for _, puller := range side.pullers {
		puller.Wake()
	}
}

// drain refuses new calls and items and waits for the running ones.
func (side *Side) drain() {
	var waits sync.WaitGroup
	for _, puller := range side.pullers {
		waits.Go(puller.Drain)
	}
	side.Server.Drain(side.drainLimits.Limit.Duration)
	waits.Wait()
}

// handler serves health, readiness and metrics to the platform.
func (side *Side) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	router.HandleFunc("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if side.Server.Report().Leaving {
			http.Error(writer, "leaving", http.StatusServiceUnavailable)
		}
	})
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(writer, true)
	})
	return router
}

// run starts the services of the side with the application. When the application
// stops, it drains the side and then stops them.
func run(lifecycle fx.Lifecycle, side *Side, bundle *certs.Bundle) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			side.tree.Start("links", bundle, side.Node)
			for _, target := range side.Server.Targets() {
				side.tree.Start("target "+target.Name, target)
			}
			for _, puller := range side.pullers {
				side.tree.Start("claims", puller)
			}
			for _, reconciler := range side.reconcilers {
				side.tree.Start("orders", reconciler)
			}
			side.tree.Start("intake", super.Func("intake", side.intake.Trim), super.Func("sockets", side.intake.Watch))
			side.tree.Start("metrics", side.metrics)
			klog.InfoS("side serves", "peer", side.Node.Address(), "metrics", side.metrics.Addr().String())
			return nil
		},
		OnStop: func(context.Context) error {
			side.drain()
			ctx, cancel := context.WithTimeout(context.Background(), metricsStopTime)
			defer cancel()
			side.metrics.Stop(ctx)
			side.tree.Stop()
			return side.Node.Close()
		},
	})
}
