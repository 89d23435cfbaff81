package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Placement is how the slot of a call was found.
type Placement string

// The placements, which are logged by their values.
const (
	// PlacementHome is a free slot at a home target of the gateway.
	PlacementHome Placement = "Home"
	// PlacementSpared is a free slot at another target, with a margin for calls
	// that other gateways have not reported yet.
	PlacementSpared Placement = "Spared"
	// PlacementPreempted is the slot of a batch call of this gateway.
	PlacementPreempted Placement = "Preempted"
	// PlacementClaimed is the slot of another gateway's batch call, which that
	// gateway preempts when it is notified of the call.
	PlacementClaimed Placement = "Claimed"
	// PlacementLast is a slot that seems to be free, without a margin.
	PlacementLast Placement = "Last"
	// PlacementFaster is a free slot at another target near, as home targets with room are
	// clearly slower.
	PlacementFaster Placement = "Faster"
	// PlacementLeft is a slot at a home target that a call of another gateway has left by
	// estimate.
	PlacementLeft Placement = "Left"
)

// Filters for the targets that one step of the search considers.
func atHome(target *target) bool   { return target.home }
func inZone(target *target) bool   { return target.tier == tierZone }
func inRegion(target *target) bool { return target.tier != tierRemote }
func anywhere(*target) bool        { return true }

// place reserves a slot for the call if one is available now. The mutex must be
// held.
func (scheduler *Scheduler) place(service *serviceState, call *waiter, now time.Time) *Reservation {
	scheduler.cold.observe(now)
	var chosen *target
	var placement Placement
	scheduler.comparePaces(service, now)
	call.holding = false
	if call.request.Batch {
		chosen, placement = service.findBatch(call.request, now.Sub(call.since), now)
	} else {
		chosen, placement = service.findShared(call, now)
	}
	if chosen == nil {
		return nil
	}
	return scheduler.reserve(chosen, placement, call.request, now)
}

// Margins of free slots that a target must have.
func oneSlot(*target) int           { return 1 }
func spareSlots(target *target) int { return min(spareMargin, target.Slots) }
func crowdedSlots(*target) int      { return crowdedMargin }
func staleSlots(target *target) int { return int(math.Ceil(float64(target.Slots) * staleMargin)) }

// findOnline returns a target for an online call, or nil. This gateway's counts are
// exact at its home targets, so free slots and those of its batch calls there come
// first. In large fleets many gateways see the same free slots elsewhere, and would
// send more calls there than fit: there, many slots must be free, or a batch call
// must be available for preemption.
func (service *serviceState) findOnline(call *waiter, now time.Time) (*target, Placement) {
	request := call.request
	if chosen, placement := service.homeFirst(request, now); chosen != nil {
		return chosen, placement
	}
	if service.even {
		// The steps after these are decided by spread.
		if chosen := service.preemptLocal(request, now, atHome); chosen != nil {
			return chosen, PlacementPreempted
		}
		return service.findSpread(call, now)
	}
	inReach := service.inReach(request)
	for _, step := range []struct {
		placement Placement
		find      func() *target
	}{
		{PlacementPreempted, func() *target { return service.preemptLocal(request, now, atHome) }},
		{PlacementSpared, func() *target { return service.leastLoaded(request, now, staleSlots, inZone) }},
		{PlacementSpared, func() *target { return service.leastLoaded(request, now, staleSlots, inReach) }},
		{PlacementClaimed, func() *target { return service.claim(request, now, inReach) }},
		{PlacementPreempted, func() *target { return service.preemptLocal(request, now, anywhere) }},
		{PlacementSpared, func() *target { return service.leastLoaded(request, now, crowdedSlots, inReach) }},
		{PlacementSpared, func() *target { return service.leastLoaded(request, now, staleSlots, anywhere) }},
		{PlacementLast, func() *target { return service.leastLoaded(request, now, oneSlot, anywhere) }},
		{PlacementPreempted, func() *target { return service.preemptSeveral(request, now) }},
	} {
		if chosen := step.find(); chosen != nil {
			return chosen, step.placement
		}
	}
	return nil, ""
}

// findBatch returns a target for a batch call that has waited for a time, or nil: a home
// target at which online calls leave a slot free. Batch calls don't use free slots
// elsewhere: several gateways that see the same free slots would all fill them, and all
// would have to preempt their calls again. A gateway with too many items hands jobs over
// instead. Two kinds of calls use slots elsewhere, near ones first, so that work which can
// run anywhere runs in the end: those without a home target that may serve them, and those
// that have waited for as long as they take to run and can't finish in time any more, at targets
// that are nearly idle: for so long the slots near may be taken by online calls in passing.
func (service *serviceState) findBatch(request Request, waited time.Duration, now time.Time) (*target, Placement) {
	homes, slots, free := 0, 0, 0
	for _, target := range service.targets {
		if !target.home || !target.expected(now) || !target.suits(request) {
			continue
		}
		homes++
		if target.usable() {
			slots += target.Slots
			free += max(0, target.free(now))
		}
	}
	var chosen *target
	placement := PlacementSpared
	switch {
	case homes == 0 && service.expects(request, now, inRegion):
		chosen = service.leastLoaded(request, now, spareSlots, service.suitable(request, now, spareSlots, inRegion))
	case homes == 0:
		chosen = service.leastLoaded(request, now, spareSlots, service.suitable(request, now, spareSlots, anywhere))
	case free > min(reservedSlots, slots-1):
		chosen, placement = service.leastLoaded(request, now, oneSlot, service.suitable(request, now, oneSlot, atHome)), PlacementHome
	}
	if chosen == nil && waited >= request.nearbyWait() && (request.Due.IsZero() || request.slack(now) < 0) {
		chosen, placement = service.leastLoaded(request, now, staleSlots, anywhere), PlacementSpared
	}
	if chosen == nil || service.onlineWaits(chosen) {
		return nil, ""
	}
	return chosen, placement
}

// nearbyWait returns how long a late batch call waits for a slot near: as long as it takes to
// run, or until free slots have been assigned anew while that isn't known.
func (request Request) nearbyWait() time.Duration {
	if request.ExpectedDuration <= 0 {
		return dispatchPeriod
	}
	return request.ExpectedDuration
}

// expects reports whether a target that matches may serve the call now or in a moment.
func (service *serviceState) expects(request Request, now time.Time, match func(*target) bool) bool {
	return slices.ContainsFunc(service.targets, func(target *target) bool {
		return match(target) && target.expected(now) && target.suits(request)
	})
}

// claim returns a target among those that match and whose slots are filled by batch
// calls of other gateways, one of which is preempted once its gateway is notified of
// the call. It draws one of these batch calls, so that gateways which claim at the same
// time choose different targets.
func (service *serviceState) claim(request Request, now time.Time, match func(*target) bool) (chosen *target) {
	claimable := 0
	for _, target := range service.targets {
		if !target.accepts(request) || !match(target) || !service.fitsClaimed(target, request, now) {
			continue
		}
		remoteCalls := target.remoteCalls(now)
		if remoteCalls.Batch == 0 || target.online+remoteCalls.Online+claimMargin > target.Slots {
			continue
		}
		if claimable += remoteCalls.Batch; service.random(claimable) < remoteCalls.Batch {
			chosen = target
		}
	}
	return chosen
}

// reserve takes a slot of the target.
func (scheduler *Scheduler) reserve(target *target, placement Placement, request Request, now time.Time) *Reservation {
	target.cold.take()
	if target.home && target.factor() > 1 && target.free(now) == target.Slots {
		target.pace.Retry(now, true)
	}
	reservation := &Reservation{
		Target: target.Endpoint, Batch: request.Batch, Placement: placement, Free: target.free(now), RemoteCountsAge: target.remoteCountsAge(now),
		scheduler: scheduler, request: request, began: now, preempt: make(chan struct{}),
	}
	target.tokens += request.Tokens
	if request.Batch {
		target.batch = append(target.batch, reservation)
	} else {
		target.online++
		service := scheduler.serviceState(target.Service)
		service.inFlight[request.Class]++
		service.countBegin(request)
		if !target.home {
			scheduler.onGuest(target.ID, target.held())
		}
	}
	return reservation
}

// leastLoaded returns the target with the smallest share of its slots in use, among
// those that match and have at least minFree free slots, and one of them at random if
// several are equal. Targets that are known to have the expected weights come first, and
// those that fail many calls last. Where targets clearly differ in pace, an online call goes
// where it is foreseen to end first, and a batch call to the slowest.
func (service *serviceState) leastLoaded(request Request, now time.Time, minFree func(*target) int, match func(*target) bool) (chosen *target) {
	if len(service.targets) == 0 {
		return nil
	}
	differ := service.differ()
	preferred := func(a, b *target) bool {
		if a.has(request.Weights) != b.has(request.Weights) {
			return a.has(request.Weights)
		}
		if a.unreliable(now) != b.unreliable(now) {
			return b.unreliable(now)
		}
		if a.tier != b.tier {
			return a.tier < b.tier
		}
		if differ {
			if order := service.compareEnds(a, b, now); order != 0 {
				return (order < 0) != request.Batch
			}
		}
		return a.free(now)*b.Slots > b.free(now)*a.Slots
	}
	first := service.random(len(service.targets))
	for i := range service.targets {
		target := service.targets[(first+i)%len(service.targets)]
		if !target.accepts(request) || !match(target) || target.free(now) < minFree(target) || !service.fits(target, request, now) {
			continue
		}
		if chosen == nil || preferred(target, chosen) {
			chosen = target
		}
	}
	return chosen
}

// preemptLocal ends a batch call of this gateway at the nearest target that matches
// and has any, the fastest of these where they clearly differ, and returns that target.
func (service *serviceState) preemptLocal(request Request, now time.Time, match func(*target) bool) (chosen *target) {
	var victim *Reservation
	for _, target := range service.targets {
		if !target.accepts(request) || len(target.batch) == 0 || !match(target) {
			continue
		}
		candidate := target.victim(now)
		if !service.fitsWithout(target, request, candidate, now) {
			continue
		}
		if chosen == nil || target.tier < chosen.tier || (target.tier == chosen.tier && service.preemptsFirst(target, candidate, chosen, victim, now)) {
			chosen, victim = target, candidate
		}
	}
	if chosen != nil {
		chosen.preempt(victim)
	}
	return chosen
}

// victim returns the batch call to preempt: the one with the most slack.
func (target *target) victim(now time.Time) *Reservation {
	return slices.MaxFunc(target.batch, func(a, b *Reservation) int { return cmp.Compare(a.preemptionSlack(now), b.preemptionSlack(now)) })
}

// preemptionSlack ranks a batch call for preemption: by the time left beyond its run time, until
// it is due or, if it can't finish by then, until it is given up. A call that can't finish by
// that either ranks highest.
func (reservation *Reservation) preemptionSlack(now time.Time) time.Duration {
	request := reservation.remaining(now)
	if slack := request.slack(now); slack >= 0 {
		return slack
	}
	if slack := request.slackTo(request.GiveUp, now); slack >= 0 {
		return slack
	}
	return unlimitedSlack
}

// preempt ends a batch call. Its slot counts as free at once.
func (target *target) preempt(reservation *Reservation) {
	target.removeCall(reservation)
	close(reservation.preempt)
}

// Held returns the calls that this gateway has at each target, to be reported to
// the other gateways.
func (scheduler *Scheduler) Held() map[string]Held {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	held := make(map[string]Held)
	for id, target := range scheduler.targets {
		if own, ok := scheduler.ownHeld(target, now); ok {
			held[id] = own
		}
	}
	return held
}

// ReceiveHeld records the calls that another gateway reports for each target.
func (scheduler *Scheduler) ReceiveHeld(gateway string, held map[string]Held) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	scheduler.reportedAt[gateway] = now
	released := false
	for id := range scheduler.reported[gateway] {
		if _, ok := held[id]; ok {
			continue
		}
		if target := scheduler.targets[id]; target != nil {
			target.setRemote(gateway, Held{}, false, now)
			released = true
		}
	}
	reported := make(map[string]bool, len(held))
	for id, counts := range held {
		reported[id] = true
		if target := scheduler.targets[id]; target != nil {
			before := target.remote[gateway]
			target.setRemote(gateway, counts, true, now)
			released = released || counts.Online+counts.Batch < before.Online+before.Batch || counts.Tokens < before.Tokens
		}
	}
	scheduler.reported[gateway] = reported
	if released {
		scheduler.dispatchAll()
	}
}

// ReceiveGuestCalls records the calls that another gateway reports for one target.
func (scheduler *Scheduler) ReceiveGuestCalls(gateway, id string, held Held) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[id]; target != nil {
		target.setRemote(gateway, held, true, scheduler.clock.Now())
		if scheduler.reported[gateway] == nil {
			scheduler.reported[gateway] = make(map[string]bool)
		}
		scheduler.reported[gateway][id] = true
		scheduler.reportedAt[gateway] = scheduler.clock.Now()
	}
}

// setRemote records the calls that another gateway has at the target, or that it
// has none. If the target has more calls than slots then, or online calls and too little
// memory, batch calls of this gateway are preempted.
func (target *target) setRemote(gateway string, held Held, present bool, now time.Time) {
	if present {
		target.remote[gateway] = remote{Held: held, at: now}
	} else {
		delete(target.remote, gateway)
	}
	for range target.excess(now) {
		target.preempt(target.victim(now))
	}
	for target.overfilled(now) {
		target.preempt(target.victim(now))
	}
}
