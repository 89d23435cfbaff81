package sched

import (
	"cmp"
	"slices"
	"time"
)

// Batch calls are not simply run in the order of their due times: after a burst of
// jobs, or when a fleet returns from an outage with more work than it can finish in
// time, that order spends the slots on one call after the other that is about to be
// late, and few calls finish in time.
//
// A call that can't finish in time is still wanted until its job gives it up, and goes by that
// time from then on. So new jobs go before it only until that time comes near.

// forecast walks the waiting batch calls in the order of their due times and marks
// those that cannot finish in time if all feasible calls before them run first.
// Infeasible calls leave their share of the slots to the others. It then sorts the
// queue by the times by which the calls are wanted. The mutex must be held.
func (scheduler *Scheduler) forecast(service *serviceState, now time.Time) {
	if len(service.batch) == 0 {
		return
	}
	slots, work := scheduler.batchWork(service, now)
	slices.SortStableFunc(service.batch, func(a, b *waiter) int { return a.request.Due.Compare(b.request.Due) })
	for _, waiting := range service.batch {
		begins := now.Add(time.Duration(float64(work) / slots))
		if waiting.setInfeasible(waiting.request.slack(begins) < 0, now); !waiting.infeasible && !service.isElsewhere(waiting.request) {
			work += waiting.request.ExpectedDuration
		}
	}
	slices.SortStableFunc(service.batch, compareBatch)
}

// setInfeasible records whether a batch call can finish before it is due, and so by when it has
// to finish.
func (waiting *waiter) setInfeasible(infeasible bool, now time.Time) {
	waiting.infeasible, waiting.wantedBy, waiting.overdue = infeasible, waiting.request.Due, false
	if infeasible {
		waiting.wantedBy = waiting.request.GiveUp
		waiting.overdue = waiting.wantedBy.IsZero() || waiting.request.slackTo(waiting.wantedBy, now) < 0
	}
}

// compareBatch orders batch calls: by the times by which they have to finish, and those that
// can't, or have no such time, last.
func compareBatch(a, b *waiter) int {
	rank := func(waiting *waiter) int {
		if waiting.overdue {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), a.wantedBy.Compare(b.wantedBy), a.request.Due.Compare(b.request.Due))
}

// batchWork returns the average number of slots at this gateway's home targets that
// online calls leave free for batch calls of the service, at least 1, and the
// remaining run time of the running batch calls that can still finish in time.
func (scheduler *Scheduler) batchWork(service *serviceState, now time.Time) (slots float64, work time.Duration) {
	for _, target := range service.targets {
		if !target.home || !target.expected(now) {
			continue
		}
		slots += target.slots(service.batch[0].request.ExpectedDuration)
		for _, reservation := range target.batch {
			if request := reservation.remaining(now); request.slack(now) >= 0 {
				work += request.ExpectedDuration
			}
		}
	}
	return max(1, slots-scheduler.usage.mean), work
}

// remaining returns the request of a running batch call with the run time that is
// left.
func (reservation *Reservation) remaining(now time.Time) Request {
	request := reservation.request
	request.ExpectedDuration = max(0, request.ExpectedDuration-now.Sub(reservation.began))
	return request
}

// slack returns how long a batch call may still wait and finish in time.
func (request Request) slack(now time.Time) time.Duration {
	return request.slackTo(request.Due, now)
}

// slackTo returns how long a batch call may still wait and finish by a time, if there is one.
func (request Request) slackTo(by, now time.Time) time.Duration {
	if by.IsZero() {
		return unlimitedSlack
	}
	return by.Sub(now) - request.ExpectedDuration
}
