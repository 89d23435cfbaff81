package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// stallCheckInterval is the interval at which stalled targets are looked for.
	stallCheckInterval = 50 * time.Millisecond
	// crashProbeDelay is the time between an interrupted response and the attempt
	// to connect to the target, which distinguishes a crash from a mere interruption.
	crashProbeDelay = 20 * time.Millisecond
)

// checkCrash probes whether a target whose connection broke still accepts others.
// If it does not, it crashed while it ran the call, and an online call is blamed.
func (run *run) checkCrash(endpoint agatestage.Endpoint) {
	call := run.call
	go func() {
		if run.probe(endpoint) {
			return
		}
		klog.InfoS("target went down", "target", endpoint.ID, "address", endpoint.Address, "call", call.ID)
		run.strike(run.blame.Charge(call, endpoint.ID))
	}()
}

// probe reports whether a target accepts connections and marks it as down if it
// does not. The target gets no new calls meanwhile.
func (relay *Relay) probe(endpoint agatestage.Endpoint) bool {
	relay.sched.MarkSuspect(endpoint.ID)
	timer := relay.clock.NewTimer(crashProbeDelay)
	defer timer.Stop()
	<-timer.C()
	if err := relay.conns.Dial(context.Background(), endpoint.Address); err == nil {
		relay.sched.ClearSuspect(endpoint.ID)
		return true
	}
	relay.sched.MarkDown(endpoint.ID)
	return false
}

// Watch probes stalled targets, and ends what they stated too long ago, until ctx ends.
func (relay *Relay) Watch(ctx context.Context) error {
	last := relay.clock.Now()
	return ticks.Every(ctx, relay.clock, stallCheckInterval, func(context.Context) {
		relay.sched.ExpireLeaving()
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
