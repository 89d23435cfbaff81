package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/agatestage/agatestage"
)

// before reports whether a waiting call goes before a new one; the mutex is held.
func (entry *service) before(ask Ask, now time.Time) bool {
	if ask.Batch {
		return len(entry.batch) > 0 && !goesBefore(ask, entry.batch[0].ask, now)
	}
	return len(entry.online) > 0 && entry.online[0].ask.Priority <= ask.Priority
}

// goesBefore reports whether a batch call goes before another one: those that can
// be done in time first, each by its due time.
func goesBefore(a, b Ask, now time.Time) bool {
	return cmp.Or(cmp.Compare(lateness(a, now), lateness(b, now)), a.Due.Compare(b.Due)) < 0
}

// push adds a waiter behind those of the same rank.
func (entry *service) push(waiting *waiter, now time.Time) {
	queue := &entry.online
	after := func(other *waiter) bool { return other.ask.Priority > waiting.ask.Priority }
	if waiting.ask.Batch {
		queue = &entry.batch
		after = func(other *waiter) bool { return goesBefore(waiting.ask, other.ask, now) }
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
