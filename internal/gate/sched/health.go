package sched

import (
	"time"

	"github.com/agatestage/agatestage"
)

// Sign notes that the target has sent something of the call's answer.
func (ticket *Ticket) Sign() {
	scheduler := ticket.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	target := scheduler.current(ticket)
	if target == nil {
		return
	}
	target.signed = scheduler.clock.Now()
	if !ticket.signed {
		ticket.signed = true
		target.streams++
	}
}

// current returns the target of a ticket if it is still that incarnation; the mutex
// is held.
func (scheduler *Scheduler) current(ticket *Ticket) *target {
	if target := scheduler.targets[ticket.Target.ID]; target != nil && target.Started.Equal(ticket.Target.Started) {
		return target
	}
	return nil
}

// Stalled returns the targets that have fallen silent to all calls which run there,
// as engines do that go dark without closing their connections.
func (scheduler *Scheduler) Stalled() (endpoints []agatestage.Endpoint) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	for _, target := range scheduler.targets {
		if target.usable() && target.stalled(now) {
			endpoints = append(endpoints, target.Endpoint)
		}
	}
	return endpoints
}

// Suspect keeps new calls from a target while it is examined whether it can be
// reached. Clear or Down ends that.
func (scheduler *Scheduler) Suspect(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[id]; target != nil {
		target.suspect = true
	}
}

// Clear says that a suspect target can be reached.
func (scheduler *Scheduler) Clear(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[id]; target != nil && target.suspect {
		target.suspect = false
		// Its calls may go on being silent; they are listened to anew.
		target.signed = scheduler.clock.Now()
		scheduler.dispatch(scheduler.service(target.Service), scheduler.clock.Now())
	}
}

// Down notes that a target couldn't be reached. The prober that OnDown starts
// calls Up when it can.
func (scheduler *Scheduler) Down(id string) {
	scheduler.mutex.Lock()
	target := scheduler.targets[id]
	if target == nil || target.down {
		scheduler.mutex.Unlock()
		return
	}
	target.down, target.suspect = true, false
	endpoint := target.Endpoint
	scheduler.mutex.Unlock()
	scheduler.onDown(endpoint)
}

// Up notes that a target can be reached again.
func (scheduler *Scheduler) Up(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[id]; target != nil {
		target.down = false
		scheduler.dispatch(scheduler.service(target.Service), scheduler.clock.Now())
	}
}

// Leave stops using an incarnation whose address another one has, until the
// list of targets says more.
func (scheduler *Scheduler) Leave(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[id]; target != nil {
		target.Draining = true
	}
}

// Backoff returns how long to wait before the n-th look at a target that
// couldn't be reached.
func Backoff(n int) time.Duration {
	return min(lastBackoff, firstBackoff<<min(n, 8))
}

// Has reports whether a target is listed.
func (scheduler *Scheduler) Has(id string) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.targets[id] != nil
}
