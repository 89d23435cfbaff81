package sched

import (
	"slices"
	"time"
)

// place gives the call a slot if there is one for it now; the mutex is held.
func (scheduler *Scheduler) place(entry *service, ask Ask, now time.Time) *Ticket {
	if ask.Batch {
		return scheduler.placeBatch(entry, ask, now)
	}
	choice := entry.best(ask, now, 1, func(target *target) bool {
		return target.tier == tierZone && (target.home || target.others(now) == Held{})
	})
	if choice == nil {
		choice = entry.best(ask, now, staleMargin, func(target *target) bool { return target.tier != tierRemote })
	}
	if choice == nil {
		if choice = entry.preempt(ask, now); choice != nil {
			ticket := scheduler.give(choice, ask, now)
			ticket.Preempted = true
			return ticket
		}
	}
	if choice == nil {
		choice = entry.best(ask, now, staleMargin, func(*target) bool { return true })
	}
	if choice == nil {
		choice = entry.best(ask, now, 1, func(*target) bool { return true })
	}
	if choice == nil {
		return nil
	}
	return scheduler.give(choice, ask, now)
}

// placeBatch gives a batch call a slot that online calls leave.
func (scheduler *Scheduler) placeBatch(entry *service, ask Ask, now time.Time) *Ticket {
	if len(entry.online) > 0 {
		return nil
	}
	free := 0
	for _, target := range entry.targets {
		if target.home && target.usable() {
			free += max(0, target.free(now))
		}
	}
	var choice *target
	if free > reserved {
		choice = entry.best(ask, now, 1, func(target *target) bool { return target.home })
	}
	if choice == nil {
		choice = entry.best(ask, now, spareMargin, func(target *target) bool { return !target.home && target.tier != tierRemote })
	}
	if choice == nil {
		choice = entry.best(ask, now, remoteMargin, func(target *target) bool { return !target.home })
	}
	if choice == nil {
		return nil
	}
	return scheduler.give(choice, ask, now)
}

// give books a slot of the target.
func (scheduler *Scheduler) give(target *target, ask Ask, now time.Time) *Ticket {
	ticket := &Ticket{
		Target: target.Endpoint, Batch: ask.Batch, Free: target.free(now), HeardAge: target.heardAge(now),
		scheduler: scheduler, began: now, yield: make(chan struct{}),
	}
	if ask.Batch {
		target.batch = append(target.batch, ticket)
	} else {
		target.online++
	}
	return ticket
}

// best returns the target with the least of its slots in use, among those that
// suit and have at least so many free. Targets that fail many calls come last.
func (entry *service) best(ask Ask, now time.Time, least int, suits func(*target) bool) (choice *target) {
	better := func(a, b *target) bool {
		if a.poor(now) != b.poor(now) {
			return b.poor(now)
		}
		if a.tier != b.tier {
			return a.tier < b.tier
		}
		return a.free(now)*b.Slots > b.free(now)*a.Slots
	}
	for _, target := range entry.targets {
		if !target.usable() || slices.Contains(ask.Exclude, target.ID) || target.free(now) < least || !suits(target) {
			continue
		}
		if choice == nil || better(target, choice) {
			choice = target
		}
	}
	return choice
}

// preempt ends the batch call that began last at the nearest target, as it has
// the least to lose, and returns that target.
func (entry *service) preempt(ask Ask, now time.Time) *target {
	var victim *Ticket
	var choice *target
	for _, target := range entry.targets {
		if !target.usable() || slices.Contains(ask.Exclude, target.ID) || len(target.batch) == 0 {
			continue
		}
		last := target.batch[len(target.batch)-1]
		if choice == nil || target.tier < choice.tier || (target.tier == choice.tier && last.began.After(victim.began)) {
			choice, victim = target, last
		}
	}
	if choice == nil {
		return nil
	}
	choice.yield(victim)
	return choice
}

// yield ends a batch call; its slot counts as free at once.
func (target *target) yield(ticket *Ticket) {
	target.leave(ticket)
	close(ticket.yield)
}

// Held returns what this gateway has at each target, for the others.
func (scheduler *Scheduler) Held() map[string]Held {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	held := make(map[string]Held)
	for id, target := range scheduler.targets {
		if target.online > 0 || len(target.batch) > 0 {
			held[id] = Held{Online: target.online, Batch: len(target.batch)}
		}
	}
	return held
}

// Hear takes what another gateway has at each target. Batch calls of this
// gateway give way at targets that have become full and aren't its home.
func (scheduler *Scheduler) Hear(gateway string, held map[string]Held) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	for id, target := range scheduler.targets {
		if counts, ok := held[id]; ok {
			target.remote[gateway] = remote{Held: counts, at: now}
		} else {
			delete(target.remote, gateway)
		}
		for !target.home && len(target.batch) > 0 && target.free(now) < 1 {
			target.yield(target.batch[len(target.batch)-1])
		}
	}
	scheduler.dispatchAll()
}
