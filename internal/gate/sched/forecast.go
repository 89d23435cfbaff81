package sched

import (
	"cmp"
	"slices"
	"time"
)

// The load that this answers is a burst of jobs, or the return of a fleet that was
// down, with more work than can be done in time. In the order of their due times
// alone, calls would be worked on until shortly before they are late, one after the
// other, and few be done in time.

// forecast goes through the waiting batch calls in the order of their due times and
// marks those that can't be done in time if all before them are, which leaves their
// part of the slots to the others; the mutex is held. Then those that can be done go
// first, each kind by due time.
func (scheduler *Scheduler) forecast(entry *service, now time.Time) {
	if len(entry.batch) == 0 {
		return
	}
	slots, work := scheduler.batchWork(entry, now)
	slices.SortStableFunc(entry.batch, func(a, b *waiter) int { return a.ask.Due.Compare(b.ask.Due) })
	for _, waiting := range entry.batch {
		begins := now.Add(time.Duration(float64(work) / slots))
		if waiting.late = waiting.ask.slack(begins) < 0; !waiting.late {
			work += waiting.ask.Need
		}
	}
	slices.SortStableFunc(entry.batch, func(a, b *waiter) int { return cmp.Compare(a.lateness(), b.lateness()) })
}

// batchWork returns the slots of this gateway's homes that online calls leave to a
// service's batch calls, one at least, and what the running ones that can be done in
// time still need.
func (scheduler *Scheduler) batchWork(entry *service, now time.Time) (slots float64, work time.Duration) {
	for _, target := range entry.targets {
		if !target.home || !target.usable() {
			continue
		}
		slots += float64(target.Slots)
		for _, ticket := range target.batch {
			if ask := ticket.remaining(now); ask.slack(now) >= 0 {
				work += ask.Need
			}
		}
	}
	return max(1, slots-scheduler.usage.mean), work
}

// remaining returns what a batch call still needs.
func (ticket *Ticket) remaining(now time.Time) Ask {
	ask := ticket.ask
	ask.Need = max(0, ask.Need-now.Sub(ticket.began))
	return ask
}

// lateness is 0 for calls that can be done in time and 1 for the others.
func (waiting *waiter) lateness() int {
	if waiting.late {
		return 1
	}
	return 0
}
