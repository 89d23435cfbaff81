package sched

import (
	"time"

	"github.com/agatestage/agatestage"
)

// RecordProgress records that the target has sent a part of the response.
func (reservation *Reservation) RecordProgress() { reservation.RecordEvents(1) }

// RecordEvents records that the target has sent a number of events.
func (reservation *Reservation) RecordEvents(count int) {
	scheduler := reservation.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	target := scheduler.currentTarget(reservation)
	if target == nil {
		return
	}
	target.progressed = scheduler.clock.Now()
	scheduler.recordEvents(target, reservation, count, target.progressed)
	if !reservation.progressed {
		reservation.progressed = true
		target.respondingCalls++
	}
}

// Stalled returns the targets that have stopped sending on all calls of this
// gateway, as a hung engine does that keeps its connections open.
func (scheduler *Scheduler) Stalled() (endpoints []agatestage.Endpoint) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	for _, service := range scheduler.services {
		limit := service.stallLimit(now)
		for _, target := range service.targets {
			if target.answers() && target.stalled(limit, now) {
				endpoints = append(endpoints, target.Endpoint)
			}
		}
	}
	return endpoints
}

// MarkSuspect keeps new calls away from a target while it is probed for
// reachability, until ClearSuspect, MarkDown or MarkSilent is called.
func (scheduler *Scheduler) MarkSuspect(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[id]; target != nil {
		target.suspect = true
	}
}

// ClearSuspect records that a suspect target is reachable.
func (scheduler *Scheduler) ClearSuspect(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[id]; target != nil && target.suspect {
		target.suspect = false
		// Its calls may remain silent, so the stall timeout starts anew.
		target.progressed = scheduler.clock.Now()
		scheduler.dispatch(scheduler.serviceState(target.Service), scheduler.clock.Now())
	}
}

// MarkDown records that a target's host refuses connections and calls the handler set
// by WithDownHandler, whose prober calls MarkUp once the target is reachable again.
func (scheduler *Scheduler) MarkDown(id string) {
	scheduler.markDown(id, func(target *target) { target.silentSince = time.Time{} })
}

// MarkSilent does the same for a target to which connections time out. It may be sound,
// so calls that have no other target wait for it for silenceTolerance.
func (scheduler *Scheduler) MarkSilent(id string) {
	scheduler.markDown(id, func(target *target) {
		if !target.down {
			target.silentSince = scheduler.clock.Now()
		}
	})
}

func (scheduler *Scheduler) markDown(id string, cause func(*target)) {
	scheduler.mutex.Lock()
	target := scheduler.targets[id]
	if target == nil {
		scheduler.mutex.Unlock()
		return
	}
	// A target that was down already may have been probed all the same.
	known := target.down
	cause(target)
	target.down, target.suspect = true, false
	// Batch calls no longer wait for a target that is down for good.
	scheduler.dispatch(scheduler.serviceState(target.Service), scheduler.clock.Now())
	endpoint := target.Endpoint
	scheduler.mutex.Unlock()
	if !known {
		scheduler.onDown(endpoint)
	}
}

// MarkUp records that a target is reachable again. The calls that failed before a
// silence say nothing about it: the silence itself ended them.
func (scheduler *Scheduler) MarkUp(id string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[id]; target != nil {
		if !target.silentSince.IsZero() {
			target.failures, target.silentSince = 0, time.Time{}
		}
		target.down = false
		scheduler.dispatch(scheduler.serviceState(target.Service), scheduler.clock.Now())
	}
}

// replacedTTL is how long a target is left out that seems to have been replaced and is still
// listed: longer than three heartbeat intervals of 1.2 s, after which the platform removes
// the record of a target that has ended. It bounds the loss if the answer was wrong.
const replacedTTL = 5 * time.Second

// MarkReplaced stops using the target's incarnation, whose address belongs to another
// one now, until the list of targets is updated or replacedTTL has passed.
func (reservation *Reservation) MarkReplaced() {
	scheduler := reservation.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.currentTarget(reservation); target != nil {
		target.replacedUntil = scheduler.clock.Now().Add(replacedTTL)
	}
}

// replaced reports whether the target's address seems to belong to another incarnation.
func (target *target) replaced() bool { return !target.replacedUntil.IsZero() }

// expireReplaced uses targets again that seemed to have been replaced replacedTTL ago. The
// mutex must be held.
func (scheduler *Scheduler) expireReplaced(now time.Time) {
	for _, target := range scheduler.targets {
		if target.replaced() && !now.Before(target.replacedUntil) {
			target.replacedUntil = time.Time{}
			scheduler.dispatch(scheduler.serviceState(target.Service), now)
		}
	}
}

// Expire ends what targets and other gateways have stated and not repeated for too long. Slots
// that become free in this way are assigned to waiting calls within dispatchPeriod.
func (scheduler *Scheduler) Expire() {
	scheduler.ExpireLeaving()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	scheduler.expireReplaced(now)
	scheduler.expireReports(now)
	scheduler.expireWeights(now)
	scheduler.checkCold(now)
	scheduler.rankAll(now)
	for _, service := range scheduler.services {
		if service.keepsBack(now) {
			scheduler.dispatch(service, now)
		}
		service.refuseLate(now)
	}
	if now.Sub(scheduler.dispatchedAt) >= dispatchPeriod {
		for _, service := range scheduler.services {
			service.forgetRuns(now)
		}
		scheduler.dispatchAll()
	}
}

// Backoff returns the delay before the n-th probe of an unreachable target.
func Backoff(n int) time.Duration {
	return min(maxBackoff, minBackoff<<min(n, 8))
}

// Lists reports whether a target is listed with the same incarnation and address.
func (scheduler *Scheduler) Lists(endpoint agatestage.Endpoint) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	target := scheduler.targets[endpoint.ID]
	return target != nil && target.sameAs(endpoint)
}
