package sched

import (
	"slices"
	"time"
)

// Move is the wait of a call that has a slot for one at another target. It doesn't
// delay or refuse other calls: it gets a slot when it is its turn by priority and age.
type Move struct {
	*waiter
	scheduler *Scheduler
	service   *serviceState
}

// RequestMove waits for a slot until Cancel is called.
func (scheduler *Scheduler) RequestMove(request Request) *Move {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	service := scheduler.serviceState(request.Service)
	move := &Move{waiter: scheduler.newRanked(request, now), scheduler: scheduler, service: service}
	move.hasSlot = true
	if reservation := scheduler.try(service, move.waiter, now); reservation != nil {
		move.reservation <- reservation
	} else {
		service.enqueueMove(move.waiter)
	}
	return move
}

// TryAcquire reserves a slot for the call like Acquire, but returns nil if none is
// available at once.
func (scheduler *Scheduler) TryAcquire(request Request) *Reservation {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	call := scheduler.newRanked(request, now)
	call.immediate = true
	return scheduler.try(scheduler.serviceState(request.Service), call, now)
}

// try reserves a slot for a new call if one is available and no call that waits goes
// before, but for memory. The mutex must be held.
func (scheduler *Scheduler) try(service *serviceState, call *waiter, now time.Time) *Reservation {
	if service.hasAhead(call) {
		first := service.waitsForMemory(call, now)
		if first == nil {
			return scheduler.placeBeside(service, call, now)
		}
		service.setAside(first, now)
		defer func() { service.aside = nil }()
	}
	service.spread.waiting = 0
	return scheduler.place(service, call, now)
}

func (service *serviceState) enqueueMove(waiting *waiter) {
	service.moves = append(service.moves, waiting)
}

// hasUsable reports whether a target may get the call now.
func (service *serviceState) hasUsable(request Request) bool {
	return slices.ContainsFunc(service.targets, func(target *target) bool { return target.accepts(request) })
}

// Slot returns a channel that receives the slot.
func (move *Move) Slot() <-chan *Reservation { return move.reservation }

// Cancel ends the wait and releases the slot if it hasn't been received.
func (move *Move) Cancel() {
	move.scheduler.mutex.Lock()
	move.service.dequeue(move.waiter)
	move.scheduler.mutex.Unlock()
	select {
	case reservation := <-move.reservation:
		reservation.Release(false)
	default:
	}
}

// turns returns the calls that wait for a slot in the order in which they get one: online
// calls by priority and age, and batch calls. The mutex must be held.
func (service *serviceState) turns() []*waiter {
	online, batch := slices.Clone(service.online), slices.Clone(service.batch)
	for _, move := range service.moves {
		if move.request.Batch {
			batch = append(batch, move)
		} else {
			online = append(online, move)
		}
	}
	if len(service.moves) > 0 {
		slices.SortStableFunc(online, compareOnline)
		slices.SortStableFunc(batch, compareBatch)
	}
	return append(online, batch...)
}

// dispatch assigns free slots to waiting calls. The mutex must be held.
func (scheduler *Scheduler) dispatch(service *serviceState, now time.Time) {
	scheduler.forecast(service, now)
	service.spread.waiting, service.assignedAt = 0, now
	turns := service.turns()
	service.hurry(turns, now)
	for _, waiting := range turns {
		if reservation := scheduler.place(service, waiting, now); reservation != nil {
			reservation.Waited = now.Sub(waiting.since)
			service.dequeue(waiting)
			waiting.reservation <- reservation
		} else if service.aside == nil && !waiting.hasSlot && service.lacksMemory(waiting.request, now) {
			service.setAside(waiting, now)
		}
	}
	service.aside = nil
}
