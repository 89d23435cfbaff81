// Package sched decides at one gateway where and when each call runs.
//
// A target runs a fixed number of calls at once, its slots, in order of arrival and
// without priorities, so ordering and priorities are implemented here. Each target
// is the home target of one gateway, whose batch calls fill the slots that online
// calls leave free. Other gateways know the use of its slots from gossip, which is
// some hundred milliseconds old.
//
// An online call takes a free slot at a home target, then the slot of a batch call
// there, which is preempted at once, then a slot at a nearby target of another gateway
// that seems to have many free, then the slot of a batch call there. That gateway is notified of the call,
// called a guest, before the call arrives. If there is no such slot, the call
// waits, by priority and age, as long as it is foreseen to be served in the time that its
// caller has (patience.go). Otherwise it is refused at once with the time after which a slot
// should be free.
//
// Batch calls fill whatever online calls leave, so they are preempted and resumed all the
// time where online demand changes from second to second.
package sched

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/gauge"
	"github.com/agatestage/agatestage/internal/gate/pace"
	"github.com/agatestage/agatestage/internal/gate/share"
)

const (
	// staleMargin is the fraction of its slots that must be free at a target of another
	// gateway, because the counts of the other gateways are some hundred milliseconds
	// old, and several gateways see the same free slots: most of them may be taken before
	// the call arrives. crowdedMargin is how many must be free if no target is that free, so
	// that two others may choose the target at the same moment.
	staleMargin   = 0.7
	crowdedMargin = 3
	// spareMargin is the same for batch calls of a gateway without home targets.
	// Those are preempted as soon as the target is reported to be full.
	spareMargin = 2
	// claimMargin is how many slots must not be used by online calls at a target
	// where a batch call of another gateway is to be preempted.
	claimMargin = 2
	// reservedSlots is how many slots over all home targets batch calls leave free,
	// for online calls that arrive before another slot is released.
	reservedSlots = 1
	// holdSmoothing is the weight of one call in the moving average of the time
	// that a slot is held.
	holdSmoothing = 0.05
	// dispatchPeriod is the longest time between two assignments of free slots to the
	// calls that wait. Most become free by an event, upon which they are assigned.
	dispatchPeriod = time.Second
	// unlimitedSlack is the slack of a call without a due time.
	unlimitedSlack = time.Duration(1<<63 - 1)
)

// waiter is a call that waits for a slot.
type waiter struct {
	request Request
	since   time.Time
	// arrived is when the call arrived at this gateway.
	arrived time.Time
	// lineSince is since when calls have waited without a break for the slots of this one.
	lineSince time.Time
	// reservation receives the slot; it is closed if the call is refused while it waits, for
	// the reason in refusal.
	reservation chan *Reservation
	refusal     *agatestage.Refusal
	// infeasible says that a batch call cannot finish before it is due. wantedBy is when it has
	// to finish then, and overdue says that it can't finish before that either.
	infeasible bool
	wantedBy   time.Time
	overdue    bool
	// hasSlot says that the call has a slot at another target meanwhile.
	hasSlot bool
	// immediate says that the call can't wait for a slot at home; holding, that it does.
	// hurried is true if it isn't kept back for the sake of calls behind it.
	immediate bool
	holding   bool
	hurried   bool
}

// serviceState is the state of a group of identical targets and the calls that wait
// for them.
type serviceState struct {
	name    string
	targets []*target
	online  []*waiter
	batch   []*waiter
	// moves holds the calls that use another slot and wait without delaying others.
	moves []*waiter
	// runs holds what calls have lately taken by class, and allRuns that of all classes
	// of online calls.
	runs    map[string]*gauge.Runs
	allRuns gauge.Runs
	// inFlight is the number of online calls that have a slot by class.
	inFlight map[string]int
	// memory is how many tokens each target holds; 0 if no limit is known.
	memory int
	// aside is the target whose memory is kept for a waiting call while slots are assigned to
	// those behind it; nil if none is.
	aside *target
	// meanHold is the moving average of the time that an online call holds a slot; zero before
	// the first has ended.
	meanHold time.Duration
	random   func(n int) int
	// region is that of the gateway.
	region string
	// shares orders the calls of organisations; nil if they go by priority and age alone.
	// returnAt is the time after which the next refused call over its share may return.
	shares   *share.Ledger
	returnAt time.Time
	// lent holds the targets of other gateways that calls over their shares may use, as drawn
	// at lentAt.
	lent   map[*target]bool
	lentAt time.Time
	// table compares the paces of the targets, of which differing differ, with entries as its
	// input; nil if paces aren't measured.
	table     *pace.Table
	entries   []pace.Entry
	differing int
	// even is that of the scheduler.
	even bool
	// others is the number of gateways that report their calls.
	others int
	// spread decides on calls that find no slot at home, and assignedAt is when slots were last assigned.
	spread     spread
	assignedAt time.Time
}

// Scheduler assigns the calls of one gateway to targets.
type Scheduler struct {
	clock    agatestage.Clock
	region   string
	zone     string
	mutex    sync.Mutex
	services map[string]*serviceState
	targets  map[string]*target
	// unlisted holds targets that are no longer listed and have calls.
	unlisted map[string]*target
	homes    map[string]bool
	// reported holds the targets at which each other gateway has calls.
	reported map[string]map[string]bool
	// reportedAt is when each of them last reported.
	reportedAt map[string]time.Time
	// leaves maps IDs to the newest incarnation that stated that it is leaving.
	leaves map[string]leave
	// batchServices holds the services that batch calls use; nil means all.
	batchServices map[string]bool
	// memory is how many tokens the targets of each service hold.
	memory map[string]int
	usage  usage
	cold   *coldState
	shares *share.Ledger
	// dispatchedAt is when the free slots of all services were last assigned.
	dispatchedAt time.Time
	random       func(n int) int
	onDown       func(agatestage.Endpoint)
	onRemoved    func(agatestage.Endpoint)
	onReadiness  func(endpoint agatestage.Endpoint, ready bool)
	onGuest      func(target string, held Held)
	// even draws targets of other gateways at random.
	even bool
	// onPace is nil if the paces of targets aren't measured.
	onPace func(PaceChange)
}

// Option configures a scheduler.
type Option func(*Scheduler)

// WithDownHandler sets the handler that is called when a target becomes
// unreachable, which has to probe the target until it is reachable again. It is
// called without any lock held.
func WithDownHandler(down func(agatestage.Endpoint)) Option {
	return func(scheduler *Scheduler) { scheduler.onDown = down }
}

// WithRemovedHandler sets the handler that is called when a target has been removed
// from the list. It is called without any lock held.
func WithRemovedHandler(removed func(agatestage.Endpoint)) Option {
	return func(scheduler *Scheduler) { scheduler.onRemoved = removed }
}

// WithRandom sets the function that draws a number from 0 to n-1, to choose among equal
// targets.
func WithRandom(random func(n int) int) Option {
	return func(scheduler *Scheduler) { scheduler.random = random }
}

// WithEven draws targets of other gateways at random for online calls that find no slot at home.
func WithEven() Option {
	return func(scheduler *Scheduler) { scheduler.even = true }
}

// WithGuestHandler sets the handler that is called when an online call is placed at
// the home target of another gateway. It receives all calls that this gateway has
// there, so that the home gateway can be notified at once. It must not block or
// call the scheduler.
func WithGuestHandler(guest func(target string, held Held)) Option {
	return func(scheduler *Scheduler) { scheduler.onGuest = guest }
}

// New returns a scheduler without targets.
func New(clock agatestage.Clock, region, zone string, options ...Option) *Scheduler {
	scheduler := &Scheduler{
		clock: clock, region: region, zone: zone, random: rand.IntN,
		services: make(map[string]*serviceState), targets: make(map[string]*target), unlisted: make(map[string]*target), homes: make(map[string]bool), reported: make(map[string]map[string]bool), reportedAt: make(map[string]time.Time), leaves: make(map[string]leave),
		onDown: func(agatestage.Endpoint) {}, onRemoved: func(agatestage.Endpoint) {}, onReadiness: func(agatestage.Endpoint, bool) {}, onGuest: func(string, Held) {},
	}
	scheduler.cold = newColdState()
	for _, option := range options {
		option(scheduler)
	}
	return scheduler
}

// Apply replaces the list of targets. Calls at removed targets continue.
func (scheduler *Scheduler) Apply(endpoints []agatestage.Endpoint) {
	scheduler.mutex.Lock()
	previous := scheduler.targets
	scheduler.targets = make(map[string]*target, len(endpoints))
	for _, service := range scheduler.services {
		service.targets = nil
	}
	for _, endpoint := range endpoints {
		known := scheduler.relist(previous[endpoint.ID], endpoint)
		if !slices.Equal(known.Weights, endpoint.Weights) {
			known.stateListed(endpoint.Weights, scheduler.clock.Now())
		}
		known.Endpoint = endpoint
		known.tier, known.home, known.leaving = scheduler.tierOf(endpoint), scheduler.homes[endpoint.ID], scheduler.isLeaving(endpoint)
		known.replacedUntil = time.Time{}
		scheduler.listCold(known, scheduler.clock.Now())
		scheduler.targets[endpoint.ID] = known
		service := scheduler.serviceState(endpoint.Service)
		known.memory = service.memory
		service.targets = append(service.targets, known)
	}
	scheduler.cold.endList(scheduler.clock.Now())
	var removed []agatestage.Endpoint
	for id, target := range previous {
		if scheduler.targets[id] != target {
			removed = append(removed, target.Endpoint)
			scheduler.forgetPace(target)
			scheduler.unlist(target)
		}
	}
	scheduler.dispatchAll()
	for name, service := range scheduler.services {
		service.refuseStranded()
		if service.unused() {
			delete(scheduler.services, name)
		}
	}
	scheduler.mutex.Unlock()
	for _, endpoint := range removed {
		scheduler.onRemoved(endpoint)
	}
}

// SetHomes sets the home targets of this gateway, whose free slots its batch calls
// may fill.
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

func (scheduler *Scheduler) serviceState(name string) *serviceState {
	service := scheduler.services[name]
	if service == nil {
		service = &serviceState{
			name: name, region: scheduler.region, memory: scheduler.memory[name], shares: scheduler.shares, even: scheduler.even,
			runs: make(map[string]*gauge.Runs), inFlight: make(map[string]int), random: scheduler.random,
		}
		if scheduler.onPace != nil {
			service.table = &pace.Table{}
		}
		scheduler.services[name] = service
	}
	return service
}

// Acquire reserves a slot for the call. An online call waits as long as it can still be
// served by its deadline. The error is a *agatestage.Refusal with RanNo.
func (scheduler *Scheduler) Acquire(ctx context.Context, request Request) (*Reservation, error) {
	scheduler.mutex.Lock()
	now := scheduler.clock.Now()
	service, waiting := scheduler.serviceState(request.Service), scheduler.newRanked(request, now)
	refusal := service.tooLate(request, now)
	if refusal == nil {
		refusal = service.tooLarge(request)
	}
	if refusal != nil {
		scheduler.mutex.Unlock()
		return nil, refusal
	}
	service.countAsked(request)
	if reservation := scheduler.try(service, waiting, now); reservation != nil {
		scheduler.mutex.Unlock()
		return reservation, nil
	}
	if !request.Batch {
		if refusal := service.join(waiting, now); refusal != nil {
			reservation := scheduler.placeAtOnce(service, waiting, now)
			scheduler.mutex.Unlock()
			if reservation != nil {
				return reservation, nil
			}
			return nil, refusal
		}
	}
	if service.lacksMemory(request, now) {
		memoryWaits.Inc()
	}
	patience := service.patience(request, now)
	service.enqueue(waiting)
	if service.keepsBack(now) || service.passes(waiting, now) {
		scheduler.dispatch(service, now)
	}
	scheduler.mutex.Unlock()
	return scheduler.wait(ctx, service, waiting, patience)
}

// wait waits until a queued call gets a slot, its patience ends or ctx does.
func (scheduler *Scheduler) wait(ctx context.Context, service *serviceState, waiting *waiter, patience time.Duration) (*Reservation, error) {
	var timeout <-chan time.Time
	if patience < unlimitedSlack {
		timer := scheduler.clock.NewTimer(patience)
		defer timer.Stop()
		timeout = timer.C()
	}
	select {
	case reservation := <-waiting.reservation:
		if reservation == nil {
			return nil, waiting.refusal
		}
		return reservation, nil
	case <-ctx.Done():
	case <-timeout:
	}
	scheduler.mutex.Lock()
	left := service.dequeue(waiting)
	now := scheduler.clock.Now()
	expectedWait := service.expectedWait(waiting.request, len(service.ahead(service.before(waiting), waiting.request, now)), now)
	retryAfter, firm := service.retryAfter(waiting.request, expectedWait, now), waiting.request.rank > 0
	scheduler.mutex.Unlock()
	if !left {
		// The slot was assigned at the same moment.
		reservation := <-waiting.reservation
		if reservation == nil {
			return nil, waiting.refusal
		}
		if ctx.Err() == nil {
			return reservation, nil
		}
		reservation.Release(false)
	}
	refusal := agatestage.Refuse(agatestage.CodeBusy, "no slot became free in time")
	refusal.RetryAfter, refusal.Firm = retryAfter, firm
	return nil, refusal
}

// dispatchAll assigns free slots in all services. The mutex must be held.
func (scheduler *Scheduler) dispatchAll() {
	now := scheduler.clock.Now()
	scheduler.dispatchedAt = now
	for _, service := range scheduler.services {
		scheduler.dispatch(service, now)
	}
}
