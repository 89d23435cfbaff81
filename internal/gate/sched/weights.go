package sched

import (
	"slices"
	"time"

	"github.com/agatestage/agatestage"
)

const (
	// weightsTTL is how long a target's statement about its weights is relied on. It bounds how
	// long a call is kept from a target whose weights have been replaced since. Targets in
	// use state their version with each answer.
	weightsTTL = 5 * time.Second
	// maxWeights bounds the statements that are kept of one target, whatever models and
	// versions callers name.
	maxWeights = 8
)

// statedWeights is what a target has stated of its weights.
type statedWeights struct {
	agatestage.Weights
	// rejected says that the target doesn't have this version, otherwise it does.
	rejected bool
	at       time.Time
}

// lacks reports whether the target has stated that its weights aren't those expected.
func (target *target) lacks(expected agatestage.Weights) bool {
	return expected.Version != "" && slices.ContainsFunc(target.weights, func(stated statedWeights) bool {
		return stated.Model == expected.Model && stated.rejected == (stated.Version == expected.Version)
	})
}

// has reports whether the target has stated that its weights are those expected.
func (target *target) has(expected agatestage.Weights) bool {
	return slices.ContainsFunc(target.weights, func(stated statedWeights) bool { return !stated.rejected && stated.Weights == expected })
}

// state records a statement of the target. One that names the version of a model replaces all
// statements about that model, and a rejection those about that version.
func (target *target) state(statement statedWeights) {
	target.weights = slices.DeleteFunc(target.weights, func(stated statedWeights) bool {
		return stated.Model == statement.Model && (!statement.rejected || stated.Version == statement.Version)
	})
	target.weights = append(target.weights, statement)
	if excess := len(target.weights) - maxWeights; excess > 0 {
		target.weights = slices.Delete(target.weights, 0, excess)
	}
}

// stateListed records the statements of the target's record in the list.
func (target *target) stateListed(all []agatestage.Weights, now time.Time) {
	for _, weights := range all {
		target.state(statedWeights{Weights: weights, at: now})
	}
}

// RecordWeights records the version of a model's weights that the target has stated.
func (reservation *Reservation) RecordWeights(weights agatestage.Weights) {
	reservation.recordWeights(statedWeights{Weights: weights})
}

// RecordMismatch records that the target has rejected a call that expects these weights.
func (reservation *Reservation) RecordMismatch(expected agatestage.Weights) {
	reservation.recordWeights(statedWeights{Weights: expected, rejected: true})
}

func (reservation *Reservation) recordWeights(statement statedWeights) {
	if statement.Version == "" {
		return
	}
	scheduler := reservation.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	target := scheduler.currentTarget(reservation)
	if target == nil {
		return
	}
	changes := target.has(statement.Weights) == statement.rejected || target.lacks(statement.Weights) != statement.rejected
	statement.at = scheduler.clock.Now()
	target.state(statement)
	if service := scheduler.serviceState(target.Service); changes && service.expectsWeights() {
		scheduler.dispatch(service, statement.at)
		service.refuseStranded()
	}
}

// expectsWeights reports whether a waiting call expects a version of the weights.
func (service *serviceState) expectsWeights() bool {
	for _, queue := range [][]*waiter{service.online, service.batch, service.moves} {
		if slices.ContainsFunc(queue, func(waiting *waiter) bool { return waiting.request.Weights.Version != "" }) {
			return true
		}
	}
	return false
}

// expireWeights forgets what targets stated weightsTTL ago. The mutex must be held.
func (scheduler *Scheduler) expireWeights(now time.Time) {
	for _, target := range scheduler.targets {
		known := len(target.weights)
		target.weights = slices.DeleteFunc(target.weights, func(stated statedWeights) bool { return now.Sub(stated.at) >= weightsTTL })
		if service := scheduler.serviceState(target.Service); len(target.weights) < known && service.expectsWeights() {
			scheduler.dispatch(service, now)
		}
	}
}
