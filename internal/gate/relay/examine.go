package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/route/blame"
)

const (
	// stallLook is how often targets that have fallen silent are looked for.
	stallLook = 50 * time.Millisecond
	// crashNotice is how long after a broken answer the target is asked for a
	// connection, to tell a crash from a broken answer.
	crashNotice = 20 * time.Millisecond
)

// examine looks whether a target whose connection broke still accepts others. If
// it doesn't, it went down with the call in its hands.
func (run *run) examine(endpoint agatestage.Endpoint) {
	call := run.call
	go func() {
		if run.reachable(endpoint) {
			return
		}
		klog.InfoS("target went down", "target", endpoint.ID, "address", endpoint.Address, "call", call.ID)
		strike := blame.Strike{Fingerprint: call.Fingerprint, Target: endpoint.ID}
		run.blame.Add(strike)
		run.strike(strike)
	}()
}

// reachable looks whether a target accepts connections, and notes it as down if it
// doesn't. No new calls go there meanwhile.
func (relay *Relay) reachable(endpoint agatestage.Endpoint) bool {
	relay.sched.MarkSuspect(endpoint.ID)
	timer := relay.clock.NewTimer(crashNotice)
	defer timer.Stop()
	<-timer.C()
	if err := relay.conns.Dial(context.Background(), endpoint.Address); err == nil {
		relay.sched.ClearSuspect(endpoint.ID)
		return true
	}
	relay.sched.MarkDown(endpoint.ID)
	return false
}

// Watch examines targets that have fallen silent to all their calls until ctx ends.
func (relay *Relay) Watch(ctx context.Context) error {
	last := relay.clock.Now()
	return ticks.Every(ctx, relay.clock, stallLook, func(context.Context) {
		// A process that was held up hears nothing either.
		since := relay.clock.Since(last)
		if last = relay.clock.Now(); since > 2*stallLook {
			return
		}
		for _, endpoint := range relay.sched.Stalled() {
			klog.InfoS("target is silent to all calls", "target", endpoint.ID, "service", endpoint.Service, "address", endpoint.Address)
			relay.sched.MarkSuspect(endpoint.ID)
			go relay.reachable(endpoint)
		}
	})
}
