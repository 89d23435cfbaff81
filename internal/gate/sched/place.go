package sched

import (
	"cmp"
	"slices"
	"time"
)

// Way is how a slot was found.
type Way string

// The ways in which a slot is found.
const (
	// WayHome slots were free at a home of the gateway.
	WayHome Way = "Home"
	// WaySpared slots were free elsewhere, with a margin for what isn't told yet.
	WaySpared Way = "Spared"
	// WayPreempted slots are those of a batch call of this gateway.
	WayPreempted Way = "Preempted"
	// WayClaimed slots are those of another gateway's batch call, which gives way
	// when its gateway hears of the call.
	WayClaimed Way = "Claimed"
	// WayLast slots seem to be free, without a margin.
	WayLast Way = "Last"
)

// The targets that suit one step of the search for a slot.
func atHome(target *target) bool   { return target.home }
func inZone(target *target) bool   { return target.tier == tierZone }
func inRegion(target *target) bool { return target.tier != tierRemote }
func anywhere(*target) bool        { return true }

// place gives the call a slot if there is one for it now; the mutex is held.
func (scheduler *Scheduler) place(entry *service, ask Ask, now time.Time) *Ticket {
	find := entry.findOnline
	if ask.Batch {
		find = entry.findBatch
	}
	choice, way := find(ask, now)
	if choice == nil {
		return nil
	}
	return scheduler.give(choice, way, ask, now)
}

// findOnline returns a target for an online call, or nil. What this gateway has at
// its homes it knows for certain, so these go first, with the slots of its batch
// calls; then what the region has to spare, then the slots of others' batch calls.
func (entry *service) findOnline(ask Ask, now time.Time) (*target, Way) {
	for _, step := range []struct {
		way  Way
		find func() *target
	}{
		{WayHome, func() *target { return entry.best(ask, now, 1, atHome) }},
		{WaySpared, func() *target { return entry.best(ask, now, staleMargin, inZone) }},
		{WayPreempted, func() *target { return entry.preempt(ask, now, atHome) }},
		{WaySpared, func() *target { return entry.best(ask, now, staleMargin, inRegion) }},
		{WayClaimed, func() *target { return entry.claim(ask, now, inRegion) }},
		{WayPreempted, func() *target { return entry.preempt(ask, now, anywhere) }},
		{WaySpared, func() *target { return entry.best(ask, now, staleMargin, anywhere) }},
		{WayLast, func() *target { return entry.best(ask, now, 1, anywhere) }},
	} {
		if choice := step.find(); choice != nil {
			return choice, step.way
		}
	}
	return nil, ""
}

// findBatch returns a home of this gateway that online calls leave a slot at, or
// nil. Several gateways that see the same free slots elsewhere would all fill them
// and all give way again; a gateway with too many items gives jobs away instead.
// Only one that has no home for the call uses what others spare.
func (entry *service) findBatch(ask Ask, now time.Time) (*target, Way) {
	if len(entry.online) > 0 {
		return nil, ""
	}
	homes, free := 0, 0
	for _, target := range entry.targets {
		if target.home && target.takes(ask) {
			homes++
			free += max(0, target.free(now))
		}
	}
	switch {
	case homes == 0:
		return entry.best(ask, now, spareMargin, inRegion), WaySpared
	case free > reserved:
		return entry.best(ask, now, 1, atHome), WayHome
	}
	return nil, ""
}

// claim returns the target with the fewest online calls among those that suit and
// whose slots are filled by other gateways' batch calls, one of which gives way
// once its gateway hears of the call.
func (entry *service) claim(ask Ask, now time.Time, suits func(*target) bool) (choice *target) {
	least := 0
	for _, target := range entry.targets {
		if !target.takes(ask) || !suits(target) {
			continue
		}
		others := target.others(now)
		online := target.online + others.Online
		if others.Batch == 0 || online+claimMargin > target.Slots {
			continue
		}
		if choice == nil || online < least {
			choice, least = target, online
		}
	}
	return choice
}

// give books a slot of the target.
func (scheduler *Scheduler) give(target *target, way Way, ask Ask, now time.Time) *Ticket {
	ticket := &Ticket{
		Target: target.Endpoint, Batch: ask.Batch, Way: way, Free: target.free(now), HeardAge: target.heardAge(now),
		scheduler: scheduler, ask: ask, began: now, yield: make(chan struct{}),
	}
	if ask.Batch {
		target.batch = append(target.batch, ticket)
	} else {
		target.online++
		if !target.home {
			scheduler.onGuest(target.ID, Held{Online: target.online, Batch: len(target.batch)})
		}
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
		if !target.takes(ask) || target.free(now) < least || !suits(target) {
			continue
		}
		if choice == nil || better(target, choice) {
			choice = target
		}
	}
	return choice
}

// preempt ends a batch call at the nearest target that suits and has any, and
// returns that target.
func (entry *service) preempt(ask Ask, now time.Time, suits func(*target) bool) (choice *target) {
	var victim *Ticket
	for _, target := range entry.targets {
		if !target.takes(ask) || len(target.batch) == 0 || !suits(target) {
			continue
		}
		candidate := target.victim(now)
		if choice == nil || target.tier < choice.tier || (target.tier == choice.tier && candidate.spare(now) > victim.spare(now)) {
			choice, victim = target, candidate
		}
	}
	if choice != nil {
		choice.yield(victim)
	}
	return choice
}

// victim returns the batch call that can best do without its slot.
func (target *target) victim(now time.Time) *Ticket {
	return slices.MaxFunc(target.batch, func(a, b *Ticket) int { return cmp.Compare(a.spare(now), b.spare(now)) })
}

// spare returns how well a batch call can do without its slot: one that can't be done
// in time anyway can best, then the one with the most time left beyond its need.
func (ticket *Ticket) spare(now time.Time) time.Duration {
	if slack := ticket.remaining(now).slack(now); slack >= 0 {
		return slack
	}
	return forever
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

// Hear takes what another gateway has at each target.
func (scheduler *Scheduler) Hear(gateway string, held map[string]Held) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	for id, target := range scheduler.targets {
		counts, ok := held[id]
		target.hear(gateway, counts, ok, now)
	}
	scheduler.dispatchAll()
}

// HearGuest takes what another gateway has at one target.
func (scheduler *Scheduler) HearGuest(gateway, id string, held Held) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[id]; target != nil {
		target.hear(gateway, held, true, scheduler.clock.Now())
	}
}

// hear takes what another gateway has at the target, if it is there at all. Batch calls of
// this gateway give way if that makes the target's calls too many.
func (target *target) hear(gateway string, held Held, there bool, now time.Time) {
	if there {
		target.remote[gateway] = remote{Held: held, at: now}
	} else {
		delete(target.remote, gateway)
	}
	for range target.excess(now) {
		target.yield(target.victim(now))
	}
}
