package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/agatestage/agatestage"
)

// newWaiter makes a call that would wait for a slot from now on.
func newWaiter(ask Ask, now time.Time) *waiter {
	return &waiter{ask: ask, since: now, ticket: make(chan *Ticket, 1), late: ask.Batch && ask.slack(now) < 0}
}

// before reports whether a waiting call goes before a new one; the mutex is held.
func (entry *service) before(call *waiter) bool {
	if call.ask.Batch {
		return len(entry.batch) > 0 && !call.goesBefore(entry.batch[0])
	}
	return len(entry.online) > 0 && entry.online[0].ask.Priority <= call.ask.Priority
}

// goesBefore reports whether a batch call goes before another one: those that can
// be done in time first, each kind by due time.
func (waiting *waiter) goesBefore(other *waiter) bool {
	return cmp.Or(cmp.Compare(waiting.lateness(), other.lateness()), waiting.ask.Due.Compare(other.ask.Due)) < 0
}

// push adds a waiter behind those of the same rank.
func (entry *service) push(waiting *waiter) {
	queue := &entry.online
	after := func(other *waiter) bool { return other.ask.Priority > waiting.ask.Priority }
	if waiting.ask.Batch {
		queue = &entry.batch
		after = waiting.goesBefore
	}
	at := slices.IndexFunc(*queue, after)
	if at < 0 {
		at = len(*queue)
	}
	*queue = slices.Insert(*queue, at, waiting)
}

// remove takes a waiter out of its queue; false if it has its slot already.
func (entry *service) remove(waiting *waiter) bool {
	queue := &entry.online
	if waiting.ask.Batch {
		queue = &entry.batch
	}
	at := slices.Index(*queue, waiting)
	if at < 0 {
		return false
	}
	*queue = slices.Delete(*queue, at, at+1)
	return true
}

// expected returns the time until a call behind so many others gets a slot.
func (entry *service) expected(ahead int, now time.Time) time.Duration {
	slots := 0
	for _, target := range entry.targets {
		if target.usable() && target.tier != tierRemote {
			slots += max(0, target.Slots-target.others(now).Online)
		}
	}
	if slots == 0 {
		return entry.hold
	}
	return time.Duration(float64(ahead+1) * float64(entry.hold) / float64(slots))
}

// hopeless refuses a call that is unlikely to get a slot within its patience.
func (entry *service) hopeless(ask Ask, now time.Time) *agatestage.Refusal {
	ahead := 0
	for _, other := range entry.online {
		if other.ask.Priority <= ask.Priority {
			ahead++
		}
	}
	expected := entry.expected(ahead, now)
	var refusal *agatestage.Refusal
	switch {
	case !slices.ContainsFunc(entry.targets, func(target *target) bool { return target.usable() && !slices.Contains(ask.Exclude, target.ID) }):
		refusal = agatestage.Refuse(agatestage.CodeNoTarget, "no target of service %s can be used", ask.Service)
		expected = entry.hold
	case expected > ask.Patience:
		refusal = agatestage.Refuse(agatestage.CodeBusy, "all slots of service %s are taken and %d calls wait", ask.Service, ahead)
	default:
		return nil
	}
	refusal.RetryAfter = max(minRetryAfter, expected)
	return refusal
}

// Waiting returns how many calls of a service wait for a slot.
func (scheduler *Scheduler) Waiting(name string) int {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	entry := scheduler.service(name)
	return len(entry.online) + len(entry.batch)
}
