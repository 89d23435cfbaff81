// Package slots decides which calls run on a target.
//
// A target has a number of slots: the calls that it can serve concurrently at full
// speed. An online call takes a free slot, or else preempts a batch call, which is
// cancelled at once, or else waits in a queue. Batch calls use the slots that
// online calls leave free, minus a headroom derived from the recent rate of online
// arrivals. An online call therefore never waits for batch work.
//
// An engine that processes several prompts in one step delays all its callers
// meanwhile. So while online calls run, batch calls start one at a time, spaced by
// more than a step.
package slots

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

const (
	// slotReleaseTime is the time that a target needs to free the slot of a
	// cancelled call.
	slotReleaseTime = 30 * time.Millisecond
	// rateDecay is the time constant of the exponentially decaying rate of online
	// arrivals.
	rateDecay = 2 * time.Second
)

// Pool admits calls to the slots of one target.
//
// Invariants: online+len(batch) <= slots; a batch call is only admitted while no
// online call waits; at most one suspect call runs or waits.
type Pool struct {
	clock   agatestage.Clock
	slots   int
	queue   int
	spacing time.Duration
	mutex   sync.Mutex
	online  int
	// batch holds the tickets of running batch calls, the oldest first.
	batch   []*Ticket
	waiters []*waiter
	// suspect is set while a suspect call runs or waits.
	suspect bool
	// rate is the smoothed number of online arrivals per second at lastArrival, the
	// time of the last arrival.
	rate        float64
	lastArrival time.Time
	// lastStart is the time at which a call was last admitted.
	lastStart time.Time
	changed   func()
}

// waiter is an online call that waits for a slot; ready is closed when it gets one.
type waiter struct {
	ready chan struct{}
}

// Ticket represents the slot of an admitted call.
type Ticket struct {
	pool      *Pool
	batch     bool
	suspect   bool
	preempted chan struct{}
	once      sync.Once
}

// Option configures a pool.
type Option func(*Pool)

// WithSpacing sets the minimum time between the start of any call and the start
// of a batch call after it, while online calls run.
func WithSpacing(spacing time.Duration) Option {
	return func(pool *Pool) { pool.spacing = spacing }
}

// New returns a pool with the given number of slots and a queue for that many
// waiting online calls. Changed is called without any lock held after a call has
// entered the queue or released its slot.
func New(clock agatestage.Clock, slots, queue int, changed func(), options ...Option) *Pool {
	pool := &Pool{clock: clock, slots: slots, queue: queue, lastArrival: clock.Now(), changed: changed}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Acquire waits until the call is admitted or ctx ends. A batch call is admitted or
// refused at once. The error is a *agatestage.Refusal with RanNo.
func (pool *Pool) Acquire(ctx context.Context, call *agatestage.Call) (*Ticket, error) {
	ticket, waiter, err := pool.admit(call)
	if err != nil || waiter == nil {
		return ticket, err
	}
	pool.changed()
	select {
	case <-waiter.ready:
		return ticket, nil
	case <-ctx.Done():
	}
	if pool.removeWaiter(waiter, ticket.suspect) {
		return nil, agatestage.Refuse(agatestage.CodeDeadline, "no slot became free in time")
	}
	// The slot was assigned concurrently with the cancellation: release it.
	ticket.Release()
	return nil, agatestage.Refuse(agatestage.CodeDeadline, "no slot became free in time")
}

// admit returns a ticket for a call that may run now, a ticket and a waiter for
// one that is queued, or a refusal.
func (pool *Pool) admit(call *agatestage.Call) (*Ticket, *waiter, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if call.Suspect && pool.suspect {
		return nil, nil, agatestage.Refuse(agatestage.CodeBusy, "the target runs another call that is under suspicion")
	}
	ticket := &Ticket{pool: pool, batch: call.Batch, suspect: call.Suspect, preempted: make(chan struct{})}
	if call.Batch {
		if pool.available() <= 0 || pool.withinSpacing() {
			return nil, nil, agatestage.Refuse(agatestage.CodeBusy, "no slot is left for batch work")
		}
		pool.lastStart = pool.clock.Now()
		pool.batch = append(pool.batch, ticket)
		pool.suspect = pool.suspect || call.Suspect
		return ticket, nil, nil
	}
	pool.recordArrival()
	switch {
	case pool.used() < pool.slots:
	case len(pool.batch) > 0:
		pool.preempt()
	case len(pool.waiters) < pool.queue:
		waiter := &waiter{ready: make(chan struct{})}
		pool.waiters = append(pool.waiters, waiter)
		pool.suspect = pool.suspect || call.Suspect
		return ticket, waiter, nil
	default:
		return nil, nil, agatestage.Refuse(agatestage.CodeBusy, "all slots and places in the queue are taken")
	}
	pool.online++
	pool.lastStart = pool.clock.Now()
	pool.suspect = pool.suspect || call.Suspect
	return ticket, nil, nil
}

// withinSpacing reports whether the spacing forbids starting a batch call now.
func (pool *Pool) withinSpacing() bool {
	return pool.online > 0 && pool.clock.Since(pool.lastStart) < pool.spacing
}

func (pool *Pool) used() int {
	return pool.online + len(pool.batch)
}

// preempt cancels the batch call that was admitted last, because it loses the
// least work.
func (pool *Pool) preempt() {
	last := len(pool.batch) - 1
	ticket := pool.batch[last]
	pool.batch = pool.batch[:last]
	close(ticket.preempted)
}

// recordArrival updates the rate of online arrivals.
func (pool *Pool) recordArrival() {
	now := pool.clock.Now()
	pool.rate = pool.rate*math.Exp(-now.Sub(pool.lastArrival).Seconds()/rateDecay.Seconds()) + 1/rateDecay.Seconds()
	pool.lastArrival = now
}

// headroom returns the number of slots that batch calls must leave free: the
// online arrivals expected within slotReleaseTime, rounded down.
func (pool *Pool) headroom() int {
	rate := pool.rate * math.Exp(-pool.clock.Since(pool.lastArrival).Seconds()/rateDecay.Seconds())
	return int(rate * slotReleaseTime.Seconds())
}

// available returns the number of slots available to batch calls; it may be
// negative.
func (pool *Pool) available() int {
	if len(pool.waiters) > 0 {
		return 0
	}
	return pool.slots - pool.used() - pool.headroom()
}

// Available returns the number of slots available to batch calls, ignoring the
// spacing.
func (pool *Pool) Available() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return max(0, pool.available())
}

// Load returns the part of the target's load that the pool knows; Ready is not set.
func (pool *Pool) Load() agatestage.Load {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return agatestage.Load{Online: pool.online, Batch: len(pool.batch), Waiting: len(pool.waiters), Slots: pool.slots}
}

// removeWaiter removes a waiter, whose call may be a suspect, from the queue. It returns
// false if the waiter has already got a slot.
func (pool *Pool) removeWaiter(waiter *waiter, suspect bool) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for i := range pool.waiters {
		if pool.waiters[i] == waiter {
			pool.waiters = append(pool.waiters[:i], pool.waiters[i+1:]...)
			pool.suspect = pool.suspect && !suspect
			return true
		}
	}
	return false
}

// Preempted returns a channel that is closed when the call has lost its slot to an
// online call and must be cancelled.
func (ticket *Ticket) Preempted() <-chan struct{} {
	return ticket.preempted
}

// Release releases the slot. Further calls have no effect.
func (ticket *Ticket) Release() {
	ticket.once.Do(func() {
		ticket.pool.release(ticket)
		ticket.pool.changed()
	})
}

func (pool *Pool) release(ticket *Ticket) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if ticket.suspect {
		pool.suspect = false
	}
	if !ticket.batch {
		pool.online--
	} else if !pool.removeBatch(ticket) {
		return
	}
	if len(pool.waiters) > 0 {
		next := pool.waiters[0]
		pool.waiters = pool.waiters[1:]
		pool.online++
		pool.lastStart = pool.clock.Now()
		close(next.ready)
	}
}

// removeBatch removes the ticket of a batch call. It returns false if the call had
// been preempted.
func (pool *Pool) removeBatch(ticket *Ticket) bool {
	for i := range pool.batch {
		if pool.batch[i] == ticket {
			pool.batch = append(pool.batch[:i], pool.batch[i+1:]...)
			return true
		}
	}
	return false
}
