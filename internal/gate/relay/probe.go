package relay

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/route/blame"
)

const (
	// stallCheckInterval is the interval at which stalled targets are looked for.
	stallCheckInterval = 50 * time.Millisecond
	// crashProbeDelay is the time between an interrupted response and the attempt
	// to connect to the target, which distinguishes a crash from a mere interruption.
	crashProbeDelay = 20 * time.Millisecond
)

// checkCrash probes a target whose connection broke or fell silent. If its host refuses
// connections, the target ended while it ran the call, and an online call is blamed. A
// dial that times out shows nothing: a sound target may be silent for a while. The returned
// channel is closed once that is known.
func (run *run) checkCrash(endpoint agatestage.Endpoint) (known <-chan struct{}) {
	call, done := run.call, make(chan struct{})
	go func() {
		defer close(done)
		err := run.dial(endpoint)
		if refused(err) {
			run.blameFor(call, endpoint)
		}
		run.conclude(endpoint, err)
	}()
	return done
}

// awaitCheck waits until it is known whether the last target has ended, so that the next
// one isn't chosen for a request that ends it, too. A call whose next slot is held already
// goes on.
func (run *run) awaitCheck(ctx context.Context, known <-chan struct{}) {
	if run.next != nil {
		return
	}
	select {
	case <-known:
	case <-ctx.Done():
	}
}

// blameFor blames a call for the end of a target.
func (relay *Relay) blameFor(call *agatestage.Call, endpoint agatestage.Endpoint) {
	strike := relay.blame.Charge(call, endpoint.ID)
	lost, counted := relay.blame.Counts(strike.Fingerprint)
	klog.InfoS("target went down", "target", endpoint.ID, "address", endpoint.Address, "call", call.ID,
		"body", blame.Name(strike.Fingerprint), "lost", lost, "counted", counted, "parts", blame.PartNames(call), "suspects", blame.Names(strike.Parts))
	relay.strike(strike)
}

// dial tries to connect to a target. The target gets no new calls until conclude is
// called with the error.
func (relay *Relay) dial(endpoint agatestage.Endpoint) error {
	if relay.sched.Lists(endpoint) {
		relay.sched.MarkSuspect(endpoint.ID)
	}
	timer := relay.clock.NewTimer(crashProbeDelay)
	defer timer.Stop()
	<-timer.C()
	return relay.conns.Dial(context.Background(), endpoint.Address)
}

// conclude uses a target again that accepted a connection, and marks it as unreachable
// if it did not.
func (relay *Relay) conclude(endpoint agatestage.Endpoint, err error) {
	if err == nil {
		if relay.sched.Lists(endpoint) {
			relay.sched.ClearSuspect(endpoint.ID)
		}
		return
	}
	klog.InfoS("target accepts no connections", "target", endpoint.ID, "address", endpoint.Address, "cause", err)
	relay.markUnreachable(endpoint, err)
}

// markUnreachable takes a target out of use to which a dial failed, unless another
// incarnation is listed under its ID by now.
func (relay *Relay) markUnreachable(endpoint agatestage.Endpoint, cause error) {
	if refused(cause) {
		for _, call := range relay.abandoned.take(endpoint.ID, relay.clock.Now()) {
			relay.blameFor(call, endpoint)
		}
	}
	switch {
	case !relay.sched.Lists(endpoint):
	case refused(cause):
		relay.sched.MarkDown(endpoint.ID)
	default:
		relay.sched.MarkSilent(endpoint.ID)
	}
}

// probe finds out whether a silent target still accepts connections.
func (relay *Relay) probe(endpoint agatestage.Endpoint) {
	relay.conclude(endpoint, relay.dial(endpoint))
}

// refused reports whether a dial failed because no process listens.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Watch probes stalled targets, and ends what is known of targets for too long, until ctx ends.
func (relay *Relay) Watch(ctx context.Context) error {
	last := relay.clock.Now()
	return ticks.Every(ctx, relay.clock, stallCheckInterval, func(context.Context) {
		relay.sched.Expire()
		// If this process itself was suspended, silence says nothing about the
		// targets.
		since := relay.clock.Since(last)
		if last = relay.clock.Now(); since > 2*stallCheckInterval {
			return
		}
		for _, endpoint := range relay.sched.Stalled() {
			klog.InfoS("target is silent to all calls", "target", endpoint.ID, "service", endpoint.Service, "address", endpoint.Address)
			relay.sched.MarkSuspect(endpoint.ID)
			go relay.probe(endpoint)
		}
	})
}
