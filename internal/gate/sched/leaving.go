package sched

import (
	"time"

	"github.com/agatestage/agatestage"
)

// leavingTTL is how long after its last statement that it is leaving a target gets no
// calls: many times longer than targets go on serving after that, so that one which still
// answers gets none. It bounds the loss if a target says so by mistake and stays.
const leavingTTL = 2 * time.Minute

// leave is the statement of an incarnation that it is leaving. It outlives the list, of
// which an older version may arrive later.
type leave struct {
	started time.Time
	until   time.Time
}

// covers reports whether the statement holds for an incarnation with the same ID. Later
// ones have not said anything.
func (leave leave) covers(endpoint agatestage.Endpoint) bool {
	return !endpoint.Started.After(leave.started)
}

// WithReadinessHandler sets the handler that is called when a target is first known to
// be leaving (ready is false), or is used again although it said so. It is called
// without any lock held.
func WithReadinessHandler(readiness func(endpoint agatestage.Endpoint, ready bool)) Option {
	return func(scheduler *Scheduler) { scheduler.onReadiness = readiness }
}

// MarkLeaving records that a target has stated in an answer that it is leaving. It gets
// no new calls, whatever the list says of this incarnation; its running calls continue.
// Answers without the statement don't clear it, as they may have been sent before.
func (scheduler *Scheduler) MarkLeaving(endpoint agatestage.Endpoint) {
	scheduler.mutex.Lock()
	before, known := scheduler.leaves[endpoint.ID]
	if known && before.started.After(endpoint.Started) {
		scheduler.mutex.Unlock()
		return
	}
	scheduler.leaves[endpoint.ID] = leave{started: endpoint.Started, until: scheduler.clock.Now().Add(leavingTTL)}
	if target := scheduler.targets[endpoint.ID]; target != nil {
		target.leaving = target.leaving || scheduler.isLeaving(target.Endpoint)
		scheduler.serviceState(target.Service).refuseStranded()
	}
	scheduler.mutex.Unlock()
	if !known || before.started.Before(endpoint.Started) {
		scheduler.onReadiness(endpoint, false)
	}
}

// isLeaving reports whether an incarnation has stated that it is leaving. The mutex must
// be held.
func (scheduler *Scheduler) isLeaving(endpoint agatestage.Endpoint) bool {
	leave, known := scheduler.leaves[endpoint.ID]
	return known && leave.covers(endpoint)
}

// ExpireLeaving uses targets again that stated long ago that they were leaving and are
// still listed.
func (scheduler *Scheduler) ExpireLeaving() {
	scheduler.mutex.Lock()
	now := scheduler.clock.Now()
	var endpoints []agatestage.Endpoint
	for id, leave := range scheduler.leaves {
		if now.Before(leave.until) {
			continue
		}
		delete(scheduler.leaves, id)
		if target := scheduler.targets[id]; target != nil && target.leaving {
			target.leaving = false
			endpoints = append(endpoints, target.Endpoint)
			scheduler.dispatch(scheduler.serviceState(target.Service), now)
		}
	}
	scheduler.mutex.Unlock()
	for _, endpoint := range endpoints {
		scheduler.onReadiness(endpoint, true)
	}
}

// Endpoints returns the listed targets. Those that have stated that they are leaving, seem to
// have been replaced, or are in an evacuated zone, are draining.
func (scheduler *Scheduler) Endpoints() []agatestage.Endpoint {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	endpoints := make([]agatestage.Endpoint, 0, len(scheduler.targets))
	for _, target := range scheduler.targets {
		endpoint := target.Endpoint
		endpoint.Draining = target.ends()
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
