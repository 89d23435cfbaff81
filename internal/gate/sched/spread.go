package sched

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// keptBack counts how often calls were kept back from targets of other gateways.
var keptBack = metrics.NewCounter("agatestage_calls_kept_back_total")

const (
	// homePreference is how many times longer than the next slot of a full target takes to become
	// free a call waits for a home target's rather than risk meeting a full one elsewhere.
	// In trials with 60 gateways at 0.9 of the capacity, calls met full targets half as often with 2 and a
	// third as often with 4, which made calls begin later than 2.
	homePreference = 3
	// spreadMargin is how many slots must seem to be free at a target of another gateway, as counts are old.
	spreadMargin = 2
	// pressedFactor is how many times as long as it may wait for a home target, or until slots are assigned
	// again, a call must be able to wait to be kept back from targets that seem to have room. It is kept back
	// for no longer than that either.
	pressedFactor = 4
	// spreadPeriod is the longest time between two assignments while calls are kept back.
	spreadPeriod = 100 * time.Millisecond
	// plentyPart is the part of the calls of the other gateways, in the time that counts are old, for
	// which slots must be free elsewhere so that there is no need to wait at home.
	plentyPart = 0.5
	// lotScale is the number of lots in a draw.
	lotScale = 1 << 20
)

// spread decides whether a call that finds no free slot at a home target is sent to a target
// of another gateway, or waits. It handles fleets in which many gateways see the same free slots at
// the same moment, some hundred milliseconds late: without it, those of a few targets attract
// more calls than there are slots, which then wait there while slots elsewhere are free.
//
// A home's slots become free at a known rate, so a call waits there first. Of the slots
// that seem to be free elsewhere, each gateway uses in the time that its knowledge is old
// only an equal share, as the others see and use them, too.
type spread struct {
	// guests holds when calls were lately sent to targets of other gateways, the latest last.
	guests []time.Time
	// waiting is the number of calls that wait for a home target's slot in the current assignment.
	waiting int
}

// homeView is what is known of the home targets: online calls there, the slots of the largest, and
// how long calls hold one in the mean.
type homeView struct {
	used, slots int
	hold        time.Duration
}

// bound returns how long a call waits for a home target.
func (homeView homeView) bound() time.Duration {
	return time.Duration(homePreference * float64(homeView.hold) / float64(max(1, homeView.slots)))
}

// most returns how long a call is kept back at most from targets that seem to have room. No slot at home
// is worth a wait if no online call holds one there.
func (homeView homeView) most() time.Duration {
	if homeView.used == 0 {
		return pressedFactor * spreadPeriod
	}
	return pressedFactor * max(homeView.bound(), spreadPeriod)
}

// elsewhereView is what is known of the targets of other gateways near: the free slots of those with
// enough of them, the age of the oldest count, and how many gateways use them.
type elsewhereView struct {
	free    int
	age     time.Duration
	sharers float64
}

// plenty reports whether so many slots are free elsewhere that there is no need to wait. The other
// gateways are taken to begin as many calls as this one.
func (view elsewhereView) plenty(home homeView) bool {
	calls := float64(home.used) * float64(view.age) / float64(max(1, home.hold))
	return view.free > 0 && float64(view.free) >= plentyPart*calls*(view.sharers-1)
}

// waitsAtHome reports whether a call that has waited for a time waits for the next slot at home, and
// counts it.
func (spread *spread) waitsAtHome(view homeView, waited time.Duration) bool {
	if view.used == 0 || view.hold == 0 {
		return false
	}
	wait := time.Duration(float64(spread.waiting+1) / float64(view.used) * float64(view.hold))
	if wait > view.bound() || waited > view.bound() {
		return false
	}
	spread.waiting++
	return true
}

// hasShare reports whether this gateway has not yet used its share of the free slots elsewhere.
func (spread *spread) hasShare(view elsewhereView, now time.Time) bool {
	spread.guests = slices.DeleteFunc(spread.guests, func(at time.Time) bool { return now.Sub(at) >= view.age })
	return float64(len(spread.guests))*max(1, view.sharers) < float64(view.free)
}

// homeView returns what is known of the home targets that may serve the call.
func (service *serviceState) homeView(request Request, now time.Time) homeView {
	view := homeView{hold: service.meanHold}
	for _, target := range service.targets {
		if target.home && target.accepts(request) {
			view.used += min(target.Slots, target.online+target.remoteCalls(now).Online)
			view.slots = max(view.slots, target.Slots)
		}
	}
	return view
}

// elsewhereView returns what is known of the targets of other gateways in the region that may
// serve the call.
func (service *serviceState) elsewhereView(request Request, now time.Time) (view elsewhereView) {
	near, inReach := 0, service.inReach(request)
	for _, target := range service.targets {
		if !inReach(target) {
			continue
		}
		near++
		if target.home || !target.accepts(request) {
			continue
		}
		if free := target.free(now); free >= spreadMargin {
			view.free += free
			view.age = max(view.age, target.remoteCountsAge(now))
		}
	}
	view.sharers = float64(service.others+1) * float64(near) / float64(max(1, len(service.targets)))
	return view
}

// draw returns a target that may serve the call, drawn with the given weights.
func (service *serviceState) draw(request Request, now time.Time, weight func(target *target, free int) float64) (chosen *target) {
	sum := 0.0
	for _, target := range service.targets {
		if !target.accepts(request) || !service.fits(target, request, now) {
			continue
		}
		if own := weight(target, target.free(now)); own > 0 {
			if sum += own; float64(service.random(lotScale))/lotScale*sum < own {
				chosen = target
			}
		}
	}
	return chosen
}

// drawFree returns a target that matches and has some free slots, drawn by these and by pace, those
// that are known to have the expected weights first, those that fail many calls last, and nearer ones
// before others.
func (service *serviceState) drawFree(request Request, now time.Time, margin func(*target) int, match func(*target) bool, nearest bool) (chosen *target) {
	best, sum := 0, 0.0
	for _, target := range service.targets {
		if !match(target) || !target.accepts(request) || !service.fits(target, request, now) {
			continue
		}
		free := target.free(now)
		if free < margin(target) {
			continue
		}
		rank := 1
		if target.has(request.Weights) {
			rank += 4
		}
		if !target.unreliable(now) {
			rank += 2
		}
		if nearest && target.tier == tierZone {
			rank++
		}
		if rank < best {
			continue
		}
		if rank > best {
			best, sum = rank, 0
		}
		own := float64(free) / service.paces(target, now)
		if sum += own; float64(service.random(lotScale))/lotScale*sum < own {
			chosen = target
		}
	}
	return chosen
}

func drawnSlots(*target) int { return spreadMargin }

// findSpread returns a target of another gateway for an online call, or nil: one with many free
// slots, else the slot of a batch call, else one that seems to have room, within this
// gateway's share. A call that can't wait takes any slot that seems to be free.
func (service *serviceState) findSpread(call *waiter, now time.Time) (chosen *target, placement Placement) {
	request, inReach := call.request, service.inReach(call.request)
	if chosen = service.drawFree(request, now, staleSlots, inReach, true); chosen != nil {
		return chosen, PlacementSpared
	}
	if chosen = service.claim(request, now, inReach); chosen != nil {
		return chosen, PlacementClaimed
	}
	if chosen = service.preemptLocal(request, now, anywhere); chosen != nil {
		return chosen, PlacementPreempted
	}
	if chosen = service.preemptSeveral(request, now); chosen != nil {
		return chosen, PlacementPreempted
	}
	home := service.homeView(request, now)
	pressed := call.hurried || service.pressed(call, home, now) || now.Sub(call.since) >= home.most()
	elsewhere := service.elsewhereView(request, now)
	if !pressed && (!elsewhere.plenty(home) && service.spread.waitsAtHome(home, now.Sub(call.since)) || !service.spread.hasShare(elsewhere, now)) {
		return service.keepBack(call)
	}
	if elsewhere.plenty(home) {
		chosen = service.drawFree(request, now, crowdedSlots, inReach, false)
	}
	if chosen == nil {
		chosen = service.drawFree(request, now, drawnSlots, inReach, false)
	}
	if chosen == nil {
		chosen = service.drawFree(request, now, staleSlots, anywhere, false)
	}
	if chosen != nil {
		service.spread.guests = append(service.spread.guests, now)
		return chosen, PlacementSpared
	}
	if pressed {
		return service.leastLoaded(request, now, oneSlot, anywhere), PlacementLast
	}
	return service.keepBack(call)
}

// pressed reports whether a call can't wait for long.
func (service *serviceState) pressed(call *waiter, home homeView, now time.Time) bool {
	return call.immediate || call.hasSlot || service.patience(call.request, now) < pressedFactor*max(home.bound(), spreadPeriod)
}

// keepBack records that a call waits although a slot elsewhere may be free.
func (service *serviceState) keepBack(call *waiter) (*target, Placement) {
	keptBack.Inc()
	call.holding = true
	return nil, ""
}

// keepsBack reports whether a call waits although a slot elsewhere seems to be free, and whether slots have not
// been assigned for spreadPeriod. The mutex must be held.
func (service *serviceState) keepsBack(now time.Time) bool {
	return now.Sub(service.assignedAt) >= spreadPeriod && service.hasKeptBack()
}

func (service *serviceState) hasKeptBack() bool {
	return service.even && slices.ContainsFunc(service.online, func(waiting *waiter) bool { return waiting.holding })
}

// passes reports whether a new online call that waits behind one that is kept back can't wait until
// slots are next assigned, and a slot seems to be free. The mutex must be held.
func (service *serviceState) passes(call *waiter, now time.Time) bool {
	return !call.request.Batch && service.hasKeptBack() && service.pressed(call, service.homeView(call.request, now), now) &&
		service.leastLoaded(call.request, now, oneSlot, anywhere) != nil
}

// hurry determines which calls aren't kept back: those that can't wait for long, and the online calls before
// them, as they would be passed otherwise. Moves have a slot, so that nobody hurries for them. The mutex must be held.
func (service *serviceState) hurry(turns []*waiter, now time.Time) {
	if !service.even {
		return
	}
	hurried := false
	for _, call := range slices.Backward(turns) {
		if call.request.Batch || call.hasSlot {
			continue
		}
		hurried = hurried || service.pressed(call, service.homeView(call.request, now), now)
		call.hurried = hurried
	}
}

// placeAtOnce reserves a slot for a call that had better not wait, if that is possible without
// keeping it back. The mutex must be held.
func (scheduler *Scheduler) placeAtOnce(service *serviceState, call *waiter, now time.Time) *Reservation {
	if !service.even {
		return nil
	}
	call.immediate = true
	if !service.passes(call, now) {
		return scheduler.place(service, call, now)
	}
	service.enqueue(call)
	scheduler.dispatch(service, now)
	if service.dequeue(call) {
		return nil
	}
	return <-call.reservation
}
