// Package sched decides which call runs where and when, at one gateway.
//
// Targets run a number of calls at once, their slots, in order of arrival and
// without priorities; so the order is made here. Each target is the home of one
// gateway, whose batch calls fill what online calls leave there. The others know its
// slots by what gateways tell one another, which is some hundred milliseconds old.
//
// Online calls take a free slot at a home, then one that is spared near by, then
// that of a batch call, which gives way at once: first at a home, then at the home of
// another gateway, which hears of such a guest before the call has arrived. Only if
// there is none they wait, by priority and age, and only if the wait is likely to be
// worth it; otherwise they are refused at once with the time after which a slot
// should be free.
//
// The load that this answers is that of the users' sheets: online demand alternates
// between 0.4 and 1.9 of its mean every few seconds and fills four fifths of the slots
// at its peak, so that batch calls stop and go on all day.
package sched

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

const (
	// staleMargin is how many slots must be free at a target that isn't this
	// gateway's home, as the others' counts are some hundred milliseconds old.
	staleMargin = 3
	// spareMargin is the same for batch calls of a gateway without a home. They give
	// way as soon as they are told that the target is full.
	spareMargin = 2
	// claimMargin is how many slots must not be used by online calls at a target
	// where another gateway's batch call is to give way.
	claimMargin = 2
	// reserved is how many slots batch calls leave free over all homes, for
	// online calls that arrive while none is given back.
	reserved = 1
	// holdWeight is the weight of one call in the mean time that a slot is held.
	holdWeight = 0.05
	// defaultHold is that mean before the first call has ended.
	defaultHold = 500 * time.Millisecond
	// forever is the slack of a call that is never due.
	forever = time.Duration(1<<63 - 1)
	// minRetryAfter is the shortest time after which a refused caller is told to
	// come back: below it, the refusal and the new connection take as long.
	minRetryAfter = 50 * time.Millisecond
)

// Ask is what a call needs.
type Ask struct {
	Service  string
	Batch    bool
	Priority int
	// Patience is how long the call may wait for a slot.
	Patience time.Duration
	// Exclude holds the IDs of targets that must not be used again.
	Exclude []string
	// Due orders batch calls; Need is for how long one is likely to need its slot.
	Due  time.Time
	Need time.Duration
}

// Ticket is the right to run one call at a target.
type Ticket struct {
	Target agatestage.Endpoint
	Batch  bool
	// Waited is how long the call was queued.
	Waited time.Duration
	// Free is how many slots were believed to be free at the target when it was
	// chosen, this one included, and HeardAge the age of the oldest count of another
	// gateway in that.
	Free     int
	HeardAge time.Duration
	// Way is how the slot was found.
	Way Way

	scheduler *Scheduler
	ask       Ask
	began     time.Time
	yield     chan struct{}
	// signed says that the target has sent something of the answer.
	signed bool
	once   sync.Once
}

// waiter is a call without a slot.
type waiter struct {
	ask    Ask
	since  time.Time
	ticket chan *Ticket
	// late says that a batch call can't be done in time.
	late bool
}

// service is what is known of a group of targets.
type service struct {
	targets []*target
	online  []*waiter
	batch   []*waiter
	// hold is the smoothed time that an online call holds a slot.
	hold time.Duration
}

// Scheduler schedules the calls of one gateway.
type Scheduler struct {
	clock    agatestage.Clock
	region   string
	zone     string
	mutex    sync.Mutex
	services map[string]*service
	targets  map[string]*target
	homes    map[string]bool
	// batches names the services that batch calls need; nil for all.
	batches map[string]bool
	usage   usage
	onDown  func(agatestage.Endpoint)
	onGone  func(agatestage.Endpoint)
	onGuest func(target string, held Held)
}

// Option changes how a scheduler is built.
type Option func(*Scheduler)

// WithDown sets what is called, outside any lock, when a target can't be
// reached, so that somebody looks after it.
func WithDown(down func(agatestage.Endpoint)) Option {
	return func(scheduler *Scheduler) { scheduler.onDown = down }
}

// WithGone sets what is called, outside any lock, when a target has left.
func WithGone(gone func(agatestage.Endpoint)) Option {
	return func(scheduler *Scheduler) { scheduler.onGone = gone }
}

// WithGuest sets what is called when an online call is placed at another gateway's
// home, with all that this gateway has there, so that the home hears of it at once.
// It must not block or call the scheduler.
func WithGuest(guest func(target string, held Held)) Option {
	return func(scheduler *Scheduler) { scheduler.onGuest = guest }
}

// New returns a scheduler without targets.
func New(clock agatestage.Clock, region, zone string, options ...Option) *Scheduler {
	scheduler := &Scheduler{
		clock: clock, region: region, zone: zone,
		services: make(map[string]*service), targets: make(map[string]*target), homes: make(map[string]bool),
		onDown: func(agatestage.Endpoint) {}, onGone: func(agatestage.Endpoint) {}, onGuest: func(string, Held) {},
	}
	for _, option := range options {
		option(scheduler)
	}
	return scheduler
}

// Apply replaces the list of targets. Calls on targets that have left go on.
func (scheduler *Scheduler) Apply(endpoints []agatestage.Endpoint) {
	scheduler.mutex.Lock()
	before := scheduler.targets
	scheduler.targets = make(map[string]*target, len(endpoints))
	for _, entry := range scheduler.services {
		entry.targets = nil
	}
	for _, endpoint := range endpoints {
		known := before[endpoint.ID]
		if known == nil || known.Address != endpoint.Address || !known.Started.Equal(endpoint.Started) || known.Service != endpoint.Service {
			known = &target{remote: make(map[string]remote)}
		}
		known.Endpoint = endpoint
		known.tier, known.home = scheduler.tierOf(endpoint), scheduler.homes[endpoint.ID]
		scheduler.targets[endpoint.ID] = known
		entry := scheduler.service(endpoint.Service)
		entry.targets = append(entry.targets, known)
	}
	var gone []agatestage.Endpoint
	for id, target := range before {
		if scheduler.targets[id] != target {
			gone = append(gone, target.Endpoint)
		}
	}
	scheduler.dispatchAll()
	scheduler.mutex.Unlock()
	for _, endpoint := range gone {
		scheduler.onGone(endpoint)
	}
}

// SetHomes names the targets whose batch work is this gateway's.
func (scheduler *Scheduler) SetHomes(homes map[string]bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.homes = homes
	for id, target := range scheduler.targets {
		target.home = homes[id]
	}
	scheduler.dispatchAll()
}

func (scheduler *Scheduler) tierOf(endpoint agatestage.Endpoint) tier {
	switch {
	case endpoint.Zone == scheduler.zone:
		return tierZone
	case endpoint.Region == scheduler.region:
		return tierRegion
	}
	return tierRemote
}

func (scheduler *Scheduler) service(name string) *service {
	entry := scheduler.services[name]
	if entry == nil {
		entry = &service{hold: defaultHold}
		scheduler.services[name] = entry
	}
	return entry
}

// Acquire gives the call a slot, now or within its patience. Its error is a
// *agatestage.Refusal with RanNo.
func (scheduler *Scheduler) Acquire(ctx context.Context, ask Ask) (*Ticket, error) {
	scheduler.mutex.Lock()
	now := scheduler.clock.Now()
	entry, waiting := scheduler.service(ask.Service), newWaiter(ask, now)
	if !entry.before(waiting) {
		if ticket := scheduler.place(entry, ask, now); ticket != nil {
			scheduler.mutex.Unlock()
			return ticket, nil
		}
	}
	if !ask.Batch {
		if refusal := entry.hopeless(ask, now); refusal != nil {
			scheduler.mutex.Unlock()
			return nil, refusal
		}
	}
	entry.push(waiting)
	scheduler.mutex.Unlock()
	return scheduler.wait(ctx, entry, waiting)
}

// wait waits for the slot of a queued call.
func (scheduler *Scheduler) wait(ctx context.Context, entry *service, waiting *waiter) (*Ticket, error) {
	var late <-chan time.Time
	if !waiting.ask.Batch {
		timer := scheduler.clock.NewTimer(waiting.ask.Patience)
		defer timer.Stop()
		late = timer.C()
	}
	select {
	case ticket := <-waiting.ticket:
		return ticket, nil
	case <-ctx.Done():
	case <-late:
	}
	scheduler.mutex.Lock()
	left := entry.remove(waiting)
	expected := entry.expected(len(entry.online), scheduler.clock.Now())
	scheduler.mutex.Unlock()
	if !left {
		// The slot was handed over at the same moment.
		ticket := <-waiting.ticket
		if ctx.Err() == nil {
			return ticket, nil
		}
		ticket.Release(false)
	}
	refusal := agatestage.Refuse(agatestage.CodeBusy, "no slot became free in time")
	refusal.RetryAfter = max(minRetryAfter, expected)
	return nil, refusal
}

// Release gives the slot back. Failed says that the target broke the call. It
// may be called more than once.
func (ticket *Ticket) Release(failed bool) {
	ticket.once.Do(func() { ticket.scheduler.release(ticket, failed) })
}

// Yield is closed when a batch call must end for an online one.
func (ticket *Ticket) Yield() <-chan struct{} {
	return ticket.yield
}

func (scheduler *Scheduler) release(ticket *Ticket, failed bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	entry := scheduler.service(ticket.Target.Service)
	if target := scheduler.current(ticket); target != nil {
		target.leave(ticket)
		target.note(failed, now)
		if ticket.signed {
			target.streams--
		}
	}
	if !ticket.Batch {
		entry.hold += time.Duration(holdWeight * float64(now.Sub(ticket.began)-entry.hold))
	}
	scheduler.dispatch(entry, now)
}

// leave takes a ticket off the target's books.
func (target *target) leave(ticket *Ticket) {
	if !ticket.Batch {
		target.online = max(0, target.online-1)
		return
	}
	if i := slices.Index(target.batch, ticket); i >= 0 {
		target.batch = slices.Delete(target.batch, i, i+1)
	}
}

// dispatchAll serves the queues of all services; the mutex is held.
func (scheduler *Scheduler) dispatchAll() {
	now := scheduler.clock.Now()
	for _, entry := range scheduler.services {
		scheduler.dispatch(entry, now)
	}
}

// dispatch gives free slots to waiting calls; the mutex is held.
func (scheduler *Scheduler) dispatch(entry *service, now time.Time) {
	scheduler.forecast(entry, now)
	for _, queue := range []*[]*waiter{&entry.online, &entry.batch} {
		kept := (*queue)[:0]
		for _, waiting := range *queue {
			if ticket := scheduler.place(entry, waiting.ask, now); ticket != nil {
				ticket.Waited = now.Sub(waiting.since)
				waiting.ticket <- ticket
			} else {
				kept = append(kept, waiting)
			}
		}
		clear((*queue)[len(kept):])
		*queue = kept
	}
}

// slack returns for how long a batch call may still wait and be done in time.
func (ask Ask) slack(now time.Time) time.Duration {
	if ask.Due.IsZero() {
		return forever
	}
	return ask.Due.Sub(now) - ask.Need
}
