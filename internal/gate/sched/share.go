package sched

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/share"
)

const (
	// leastShared is the least number of slots that a call over its share counts on: none
	// may be left by the others for some time, but their use changes.
	leastShared = 0.25
	// yieldedSlots is how many slots calls over their shares leave free at each target that is
	// lent, and over all home targets while calls within their shares wait for long somewhere.
	yieldedSlots = 1
	// returnedPart is the part of the slots for calls over their shares that refused callers are
	// told to return for. The others are for calls that come meanwhile.
	returnedPart = 0.75
	// maxReturn is the longest time after which a refused call over its share is told to return.
	// It is ten times as long as use counts, so that a flood is over by then or still refused.
	maxReturn = 30 * time.Second
	// newsAge is how old the counts of other gateways, which are up to 1.5 s old, are taken to be
	// when they arrive: as long as the time between two of them. Too long a time queues calls at
	// targets for a moment, too short a one leaves slots idle.
	newsAge = 500 * time.Millisecond
	// longWait is from when on a call within its share waits for long, if calls hold their
	// slots for less than that: news of free slots elsewhere takes as long.
	longWait = 300 * time.Millisecond
	// lendPeriod is for how long the free slots of a target may be used by the calls over their
	// shares of the gateways that were drawn: as long as it takes nearly always until the others
	// know of them.
	lendPeriod = 500 * time.Millisecond
)

var (
	refusedOverShare = metrics.NewCounter("agatestage_share_refusals_total")
	yieldedCalls     = metrics.NewCounter("agatestage_share_yields_total")
)

// WithShares sets the ledger by which online calls of the same priority are ordered. Without
// it they go by age.
func WithShares(shares *share.Ledger) Option {
	return func(scheduler *Scheduler) { scheduler.shares = shares }
}

// newRanked returns a call that waits for a slot from now on, with the rank of its
// organisation.
func (scheduler *Scheduler) newRanked(request Request, now time.Time) *waiter {
	if scheduler.shares != nil && !request.Batch {
		request.rank = scheduler.shares.Rank(request.Service, request.Organisation)
	}
	return newWaiter(request, now)
}

// rankAll sorts the waiting calls anew if ranks have been computed anew. All calls change
// their ranks together, so that those of one organisation stay in order of age. The mutex must
// be held.
func (scheduler *Scheduler) rankAll(now time.Time) {
	if scheduler.shares == nil || !scheduler.shares.Update() {
		return
	}
	for name, service := range scheduler.services {
		for _, waiting := range slices.Concat(service.online, service.moves) {
			if request := &waiting.request; !request.Batch {
				request.rank = scheduler.shares.Rank(name, request.Organisation)
			}
		}
		if len(service.online) > 0 {
			scheduler.shares.Wait(name)
		}
		// Where a gateway has some home slots, one becomes free in every such time. After half of
		// it, chance made all gateways leave slots free although calls were served in time.
		if slices.ContainsFunc(service.online, func(waiting *waiter) bool {
			return waiting.request.rank == 0 && now.Sub(waiting.since) >= max(longWait, service.meanHold)
		}) {
			scheduler.shares.WaitLong(name)
		}
		slices.SortStableFunc(service.online, compareOnline)
	}
}

// countAsked records that an online call asks for a slot.
func (service *serviceState) countAsked(request Request) {
	if service.shares != nil && !request.Batch {
		service.shares.Ask(service.name, request.Organisation)
	}
}

// countBegin and countEnd charge an online call's slot to its organisation.
func (service *serviceState) countBegin(request Request) {
	if service.shares != nil {
		service.shares.Begin(service.name, request.Organisation)
	}
}

func (service *serviceState) countEnd(request Request) {
	if service.shares != nil {
		service.shares.End(service.name, request.Organisation)
	}
}

// findShared returns a target for an online call, or nil. While slots are short, calls over
// their shares are placed as batch calls are: at home targets, where a slot is left free while
// calls within their shares wait for long somewhere. What other gateways do elsewhere is known
// only some hundred milliseconds later, and many would fill the same slots there, so that calls
// queue at targets where no order holds. The slots that the homes of targets leave free are
// lent to one gateway in the mean at a time, drawn at random. All calls take home slots that
// guests have left by estimate, so that none goes before one of a lower rank.
func (service *serviceState) findShared(call *waiter, now time.Time) (*target, Placement) {
	request := call.request
	if service.shares == nil || !service.shares.Short(service.name) {
		return service.findOnline(call, now)
	}
	if request.rank == 0 {
		if chosen, placement := service.findOnline(call, now); chosen != nil {
			return chosen, placement
		}
		return service.findLeft(request, now)
	}
	free, yielded := 0, 0
	if service.shares.Yields(service.name) {
		yielded = yieldedSlots
	}
	for _, target := range service.targets {
		if target.home && target.accepts(request) && !target.cold.check() {
			free += max(0, target.free(now))
		}
	}
	// Only its home uses a cold target, so there is nothing to leave to others.
	mine := func(target *target) bool { return target.home && (free > yielded || target.cold.check()) }
	if chosen := service.leastLoaded(request, now, oneSlot, mine); chosen != nil {
		return chosen, PlacementHome
	}
	// Online calls never wait behind items.
	if chosen := service.preemptLocal(request, now, anywhere); chosen != nil {
		return chosen, PlacementPreempted
	}
	if chosen := service.claim(request, now, service.inReach(request)); chosen != nil {
		return chosen, PlacementClaimed
	}
	if chosen := service.preemptSeveral(request, now); chosen != nil {
		return chosen, PlacementPreempted
	}
	if yielded == 0 {
		if chosen, placement := service.findLeft(request, now); chosen != nil {
			return chosen, placement
		}
	}
	service.drawLent(now)
	lent := func(target *target) bool { return service.lent[target] }
	leaving := func(target *target) int { return min(1+yieldedSlots, target.Slots) }
	if chosen := service.leastLoaded(request, now, leaving, lent); chosen != nil {
		return chosen, PlacementSpared
	}
	yieldedCalls.Inc()
	return nil, ""
}

// findLeft returns the home target at which most of the slots that the counts of other gateways
// say are taken are free by estimate, or nil. The load that this handles is that of a fleet
// without a free slot in which many calls run at targets of other gateways: their homes are
// told of each call that begins there at once, but of its end only by the next counts, and
// the slot would be idle until then.
func (service *serviceState) findLeft(request Request, now time.Time) (chosen *target, placement Placement) {
	most := 0
	for _, target := range service.targets {
		if !target.home || !target.accepts(request) || !service.fits(target, request, now) {
			continue
		}
		if free := target.free(now) + target.left(service.meanHold, now); free > most {
			chosen, placement, most = target, PlacementLeft, free
		}
	}
	return chosen, placement
}

// left returns how many of the online calls that other gateways have reported at the target
// have ended since by estimate, if each holds its slot for the given time.
func (target *target) left(hold time.Duration, now time.Time) int {
	if hold <= 0 {
		return 0
	}
	// Sums of whole numbers don't depend on the order of the map.
	ended := hold / 2
	for _, remote := range target.remote {
		if age := now.Sub(remote.at); age < remoteCountsTTL {
			ended += time.Duration(remote.Online) * min(hold, age+newsAge)
		}
	}
	return int(ended / hold)
}

// drawLent draws the targets of other gateways whose free slots calls over their shares may use
// here.
func (service *serviceState) drawLent(now time.Time) {
	if now.Sub(service.lentAt) < lendPeriod && !service.lentAt.IsZero() {
		return
	}
	service.lentAt, service.lent = now, make(map[*target]bool)
	gateways := service.shares.Waiting(service.name)
	for _, target := range service.targets {
		if !target.home && service.random(gateways) == 0 {
			service.lent[target] = true
		}
	}
}

// hasOver reports whether a call over its share waits. It may leave slots free that others use.
func (service *serviceState) hasOver() bool {
	return slices.ContainsFunc(service.online, func(waiting *waiter) bool { return waiting.request.rank > 0 })
}

// sharedSlots returns how many slots calls like this one share at this gateway in the mean, if
// other gateways' online calls leave it some and hold others near. A call within its share also
// gets those that organisations over their shares hold elsewhere, one over its share only what
// the others leave here.
func (service *serviceState) sharedSlots(request Request, slots, remoteSlots float64) float64 {
	switch {
	case service.shares == nil || slots+remoteSlots == 0:
		return slots
	case request.rank > 0:
		return max(leastShared, slots-service.shares.OwnWithin(service.name))
	}
	return slots + min(remoteSlots, service.shares.OthersOver(service.name))
}

// overShare returns the refusal of a call over its share that would wait for too long.
func (service *serviceState) overShare(request Request, ahead int) *agatestage.Refusal {
	refusedOverShare.Inc()
	refusal := agatestage.Refuse(agatestage.CodeBusy, "organisation %s is over its share of service %s (rank %d), all slots are taken and %d calls wait",
		request.Organisation, request.Service, request.rank, ahead)
	refusal.Firm = true
	return refusal
}

// retryAfter returns after what time a refused call may return. Calls over their shares are
// told successive times, as far apart as slots become free for them, so that each finds one. As
// calls that come meanwhile take places that become free in the line, they come one hold later
// than this line would be served. Times don't go beyond maxReturn: else those of a long flood
// would put the next callers off for many times as long after it.
func (service *serviceState) retryAfter(request Request, expectedWait time.Duration, now time.Time) time.Duration {
	if service.shares == nil {
		return expectedWait
	}
	service.shares.Wait(service.name)
	if request.rank == 0 {
		return expectedWait
	}
	at := now.Add(expectedWait + service.meanHold)
	if service.returnAt.After(at) {
		at = service.returnAt
	}
	if latest := now.Add(maxReturn); at.After(latest) {
		at = latest
	}
	service.returnAt = at.Add(time.Duration(float64(service.expectedWait(request, 0, now)) / returnedPart))
	return at.Sub(now)
}
