package sched

import (
	"time"

	"github.com/agatestage/agatestage"
)

// A target's record may be missing, or name no target, for a moment while its calls run.
// Unlisted targets are remembered until their calls have ended, so that their slots count
// as taken if the record returns.

// relist returns the state of a listed target: that of previous if it is the same, that
// of an unlisted one, or a new one. The mutex must be held.
func (scheduler *Scheduler) relist(previous *target, endpoint agatestage.Endpoint) *target {
	if previous != nil && previous.sameAs(endpoint) {
		return previous
	}
	if unlisted := scheduler.unlisted[endpoint.ID]; unlisted != nil && unlisted.sameAs(endpoint) {
		delete(scheduler.unlisted, endpoint.ID)
		// Its probes have ended.
		unlisted.down, unlisted.suspect, unlisted.silentSince = false, false, time.Time{}
		return unlisted
	}
	return &target{remote: make(map[string]remote)}
}

// unlist remembers a target that is no longer listed while it has calls. The mutex must
// be held.
func (scheduler *Scheduler) unlist(target *target) {
	if target.busy() {
		scheduler.unlisted[target.ID] = target
	}
}

// currentTarget returns the target of a reservation, also if it is no longer listed, or
// nil if it has been replaced by another incarnation. The mutex must be held.
func (scheduler *Scheduler) currentTarget(reservation *Reservation) *target {
	for _, target := range []*target{scheduler.targets[reservation.Target.ID], scheduler.unlisted[reservation.Target.ID]} {
		if target != nil && target.sameAs(reservation.Target) {
			return target
		}
	}
	return nil
}

// forgetIdle forgets an unlisted target whose calls have ended. The mutex must be held.
func (scheduler *Scheduler) forgetIdle(target *target) {
	if !target.busy() && scheduler.unlisted[target.ID] == target {
		delete(scheduler.unlisted, target.ID)
	}
}

// busy reports whether this gateway has calls at the target.
func (target *target) busy() bool {
	return target.online > 0 || len(target.batch) > 0
}

// unused reports whether nothing is known of the service: it has no target and no waiting
// call, and no call has ended.
func (service *serviceState) unused() bool {
	return len(service.targets) == 0 && len(service.online)+len(service.batch)+len(service.moves) == 0 && service.meanHold == 0 && len(service.runs) == 0
}
