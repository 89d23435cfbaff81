package sched

import (
	"sync"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/pace"
)

// Request describes a call that needs a slot.
type Request struct {
	Service  string
	Batch    bool
	Priority int
	// Arrived is when the call did, if it has waited or run before; it orders calls of the same
	// priority.
	Arrived time.Time
	// Deadline is when the caller stops waiting for the end of the answer, FirstBy when it stops
	// waiting for the first event of a stream; zero means never.
	Deadline time.Time
	FirstBy  time.Time
	// Exclude holds the IDs of targets that must not be used.
	Exclude []string
	// Weights is what the target's weights have to be; its version is empty if any will do.
	Weights agatestage.Weights
	// Tokens is how many tokens of the target's memory the call may take; 0 if that isn't known.
	Tokens int
	// Due orders batch calls; those that can't finish by then are wanted until GiveUp, zero if for
	// ever. ExpectedDuration is how long the call is expected to hold its slot.
	Due              time.Time
	GiveUp           time.Time
	ExpectedDuration time.Duration
	// Organisation is the one that the call runs for.
	Organisation string
	// Class names the calls of the service that are alike, so that what they have lately
	// taken says what this one will take. Resumed says that a part of the answer is there, so
	// that an unknown part of that work is left.
	Class   string
	Resumed bool
	// Regions are those in which the call may be served.
	Regions agatestage.Regions
	// rank is that of the organisation; see share.Ledger. It is 0 without shares.
	rank int
}

// Reservation is a slot of a target, reserved for one call.
type Reservation struct {
	Target agatestage.Endpoint
	Batch  bool
	// Waited is how long the call was queued.
	Waited time.Duration
	// Free is the number of slots believed to be free at the target when it was
	// chosen, including this one. RemoteCountsAge is the age of the oldest count of
	// another gateway that this number relies on.
	Free            int
	RemoteCountsAge time.Duration
	// Placement is how the slot was found.
	Placement Placement

	scheduler *Scheduler
	request   Request
	began     time.Time
	preempt   chan struct{}
	// progressed says that the target has sent a part of the response; events measures it.
	progressed bool
	events     pace.Call
	once       sync.Once
}

// Release returns the slot. Failed says that the target failed the call. Further
// calls have no effect.
func (reservation *Reservation) Release(failed bool) {
	reservation.once.Do(func() { reservation.scheduler.release(reservation, failed) })
}

// Preempted returns a channel that is closed when a batch call must end in favour
// of an online call.
func (reservation *Reservation) Preempted() <-chan struct{} {
	return reservation.preempt
}

func (scheduler *Scheduler) release(reservation *Reservation, failed bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	service := scheduler.serviceState(reservation.Target.Service)
	if target := scheduler.currentTarget(reservation); target != nil {
		target.removeCall(reservation)
		target.recordOutcome(failed, now)
		scheduler.recordEnd(service, target, reservation, now)
		if reservation.progressed {
			target.respondingCalls--
		}
		scheduler.forgetIdle(target)
	}
	if !reservation.Batch {
		service.endFlight(reservation.request.Class)
		service.countEnd(reservation.request)
	}
	if held := now.Sub(reservation.began); !reservation.Batch && service.meanHold == 0 {
		service.meanHold = held
	} else if !reservation.Batch {
		service.meanHold += time.Duration(holdSmoothing * float64(held-service.meanHold))
	}
	scheduler.dispatch(service, now)
}
