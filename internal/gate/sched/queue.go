package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/agatestage/agatestage"
)

// noTargetRetryAfter is when a caller may come back that no target can serve: the platform's
// list of targets is read that often, and those that are down are probed as soon.
const noTargetRetryAfter = 500 * time.Millisecond

// newWaiter returns a call that waits for a slot from now on.
func newWaiter(request Request, now time.Time) *waiter {
	arrived := request.Arrived
	if arrived.IsZero() {
		arrived = now
	}
	waiting := &waiter{request: request, since: now, arrived: arrived, reservation: make(chan *Reservation, 1)}
	waiting.setInfeasible(request.Batch && request.slack(now) < 0, now)
	return waiting
}

// compareOnline orders online calls: by priority, then by the rank of the organisation, then by
// age.
func compareOnline(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.request.rank, b.request.rank), a.arrived.Compare(b.arrived))
}

// hasAhead reports whether a waiting call goes before a new one. Those that can't use any
// target at the moment don't. The mutex must be held.
func (service *serviceState) hasAhead(call *waiter) bool {
	queue, goesBefore := service.online, func(other *waiter) bool { return compareOnline(other, call) <= 0 }
	if call.request.Batch {
		queue, goesBefore = service.batch, func(other *waiter) bool { return !call.precedes(other) }
	}
	for _, other := range queue {
		// The queue is in this order.
		if !goesBefore(other) {
			return false
		}
		if service.hasUsable(other.request) {
			return true
		}
	}
	return false
}

// onlineWaits reports whether an online call waits that may use a target. The mutex must be
// held.
func (service *serviceState) onlineWaits(target *target) bool {
	return slices.ContainsFunc(service.online, func(waiting *waiter) bool { return target.accepts(waiting.request) })
}

// precedes reports whether a batch call goes before another one.
func (waiting *waiter) precedes(other *waiter) bool {
	return compareBatch(waiting, other) < 0
}

// enqueue adds a waiter behind those of the same rank.
func (service *serviceState) enqueue(waiting *waiter) {
	queue := &service.online
	after := func(other *waiter) bool { return compareOnline(other, waiting) > 0 }
	if waiting.request.Batch {
		queue = &service.batch
		after = waiting.precedes
	}
	at := slices.IndexFunc(*queue, after)
	if at < 0 {
		at = len(*queue)
	}
	*queue = slices.Insert(*queue, at, waiting)
}

// dequeue removes a waiter from its queue. It returns false if the waiter has been
// given a slot already.
func (service *serviceState) dequeue(waiting *waiter) bool {
	for _, queue := range []*[]*waiter{&service.online, &service.batch, &service.moves} {
		if at := slices.Index(*queue, waiting); at >= 0 {
			*queue = slices.Delete(*queue, at, at+1)
			return true
		}
	}
	return false
}

// expectedWait returns the expected time until a call with so many calls ahead of
// it gets a slot; zero as long as nothing is known of that.
func (service *serviceState) expectedWait(request Request, ahead int, now time.Time) time.Duration {
	slots, returningSlots, remoteSlots := 0.0, 0.0, 0.0
	inReach := service.inReach(request)
	for _, target := range service.targets {
		switch {
		case !inReach(target), !target.suits(request):
		case target.usable():
			remote, all := float64(target.remoteCalls(now).Online), target.slots(service.meanHold)
			slots += max(0, all-remote)
			remoteSlots += min(all, remote)
		case target.returning(now):
			returningSlots += float64(target.Slots)
		}
	}
	usable := service.sharedSlots(request, slots, remoteSlots)
	if usable == 0 {
		usable = returningSlots
	}
	if usable == 0 {
		return service.meanHold
	}
	return time.Duration(float64(ahead+1) * float64(service.meanHold) / usable)
}

// ahead returns those of the calls, which go before this one, that may take a slot that it
// could use.
func (service *serviceState) ahead(calls []*waiter, request Request, now time.Time) (ahead []*waiter) {
	counts := service.countsFor(request)
	for _, other := range calls {
		if slices.ContainsFunc(service.targets, func(target *target) bool {
			return counts(target, other.request) && target.expected(now) && target.suits(request) && target.suits(other.request)
		}) {
			ahead = append(ahead, other)
		}
	}
	return ahead
}

// before returns the waiting online calls that go before a new one.
func (service *serviceState) before(waiting *waiter) []*waiter {
	end := slices.IndexFunc(service.online, func(other *waiter) bool { return compareOnline(other, waiting) > 0 })
	if end < 0 {
		end = len(service.online)
	}
	return service.online[:end]
}

// checkWait returns a refusal for a call that is foreseen to get its slot too late to be
// served, or never, as the given calls go before it.
func (service *serviceState) checkWait(before []*waiter, request Request, now time.Time) *agatestage.Refusal {
	if !service.expects(request, now, anywhere) {
		return service.noTarget(request)
	}
	ahead := len(service.ahead(before, request, now))
	if expectedWait := service.expectedWait(request, ahead, now); expectedWait > service.patience(request, now) {
		return service.crowded(request, ahead, expectedWait, now)
	}
	return nil
}

// crowded returns the refusal of a call that would wait for too long.
func (service *serviceState) crowded(request Request, ahead int, expectedWait time.Duration, now time.Time) *agatestage.Refusal {
	refusal := agatestage.Refuse(agatestage.CodeBusy, "all slots of service %s are taken and %d calls wait", request.Service, ahead)
	if request.rank > 0 {
		refusal = service.overShare(request, ahead)
	}
	refusal.RetryAfter = service.retryAfter(request, expectedWait, now)
	return refusal
}

// refuseLate refuses the waiting online calls that a new one in their place would be refused
// for: targets have left, slowed down or taken calls of a higher priority meanwhile. The mutex
// must be held.
func (service *serviceState) refuseLate(now time.Time) {
	kept := make([]*waiter, 0, len(service.online))
	for _, waiting := range service.online {
		refusal := service.checkWait(kept, waiting.request, now)
		if refusal == nil {
			kept = append(kept, waiting)
			continue
		}
		waiting.refuse(refusal)
	}
	service.online = kept
}

// refuse ends the wait of a call that is no longer queued.
func (waiting *waiter) refuse(refusal *agatestage.Refusal) {
	waiting.refusal = refusal
	close(waiting.reservation)
}

// noTarget returns the refusal of a call that no target can serve.
func (service *serviceState) noTarget(request Request) *agatestage.Refusal {
	refusal := agatestage.Refuse(agatestage.CodeNoTarget, "no target of service %s can be used", request.Service)
	if slices.ContainsFunc(service.targets, func(target *target) bool { return target.lacks(request.Weights) }) {
		refusal = agatestage.Refuse(agatestage.CodeNoTarget, "no target of service %s that can be used is known to have version %s of the weights", request.Service, request.Weights.Version)
	}
	if service.outOfRegions(request) {
		refusal = refuseRegions(request)
	}
	refusal.RetryAfter = noTargetRetryAfter
	if wait := service.warmsAfter(request); wait > 0 {
		refusal = agatestage.Refuse(agatestage.CodeNoTarget, "the targets of service %s that could be used are cold, and this gateway sends nothing to them", request.Service)
		refusal.RetryAfter = wait
	}
	return refusal
}

// refuseStranded refuses the waiting online calls for which no target is left but those
// that are leaving or have other weights than expected; unreachable ones may come back in time. Batch calls wait for the
// next target, and calls that have a slot keep it. The mutex must be held.
func (service *serviceState) refuseStranded() {
	for _, queue := range []*[]*waiter{&service.online, &service.moves} {
		*queue = slices.DeleteFunc(*queue, func(waiting *waiter) bool {
			stranded := !waiting.request.Batch && !waiting.hasSlot && !slices.ContainsFunc(service.targets, func(target *target) bool {
				return !target.ends() && target.suits(waiting.request)
			})
			if stranded {
				waiting.refuse(service.noTarget(waiting.request))
			}
			return stranded
		})
	}
}

// QueueLength returns the number of calls of a service that wait for a slot.
func (scheduler *Scheduler) QueueLength(name string) int {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	service := scheduler.serviceState(name)
	return len(service.online) + len(service.batch)
}

// Moves returns the number of calls of a service that wait without delaying others.
func (scheduler *Scheduler) Moves(name string) int {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return len(scheduler.serviceState(name).moves)
}
