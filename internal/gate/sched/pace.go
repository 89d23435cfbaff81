package sched

import (
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/gauge"
	"github.com/agatestage/agatestage/internal/gate/pace"
)

const (
	// elsewhereGain is the ratio of factors from which a target of another gateway is
	// preferred to a slower home target with room: what is known of its slots is old, so that
	// some of the calls wait there.
	elsewhereGain = 1.25
	// alike is the ratio of factors up to which two targets are chosen between by their slots in
	// use: measurements differ by as much.
	alike = 1.1
	// noticeable is the ratio by which a factor must change before the change is told to the
	// pace handler.
	noticeable = 1.25
	// tellPeriod is the shortest time between two calls of the handler for a target, so that noise
	// doesn't fill the log.
	tellPeriod = time.Second
)

// PaceChange tells how much longer than at the median target of its service calls are
// foreseen to take at a target, and before the change.
type PaceChange struct {
	Target         agatestage.Endpoint
	Factor, Before float64
	// Reported is true if the target's home gateway has measured this.
	Reported bool
}

// WithPace measures the targets and places calls by what they are foreseen to take.
// The handler is called when a target begins to differ, changes, or no longer differs or is
// removed (factor 1). It must not block or call the scheduler.
func WithPace(changed func(PaceChange)) Option {
	return func(scheduler *Scheduler) { scheduler.onPace = changed }
}

// targetPace is the pace of a target as known to this gateway.
type targetPace struct {
	pace.Meter
	// slowness is the factor of the comparison, 0 before the first one; told is the one that
	// the handler was last called with, and load the fraction of slots in use at the last comparison.
	slowness float64
	told     float64
	toldAt   time.Time
	load     float64
}

// factor returns how much longer than at the median target a call is foreseen to take.
func (target *target) factor() float64 {
	if target.pace.slowness == 0 {
		return 1
	}
	return target.pace.slowness
}

// paces returns the factor of a target for one more call, by its load if that slows targets. The
// home gateway uses a slow target without calls once in a while as if it were the median one.
func (service *serviceState) paces(target *target, now time.Time) float64 {
	factor := target.factor()
	if service.table == nil || factor == 1 {
		return 1
	}
	if factor > 1 && target.home && target.free(now) == target.Slots && target.pace.Retry(now, false) {
		return 1
	}
	return factor
}

// differ reports whether any target of the service is clearly faster or slower than others.
func (service *serviceState) differ() bool { return service.table != nil && service.differing > 0 }

// comparePaces compares the targets of a service if that is due. The mutex must be held.
func (scheduler *Scheduler) comparePaces(service *serviceState, now time.Time) {
	service.others = len(scheduler.reported)
	if service.table == nil || !service.table.Due(now) {
		return
	}
	entries := service.entries[:0]
	for _, target := range service.targets {
		entries = append(entries, pace.Entry{Meter: &target.pace.Meter, Reported: target.reportedPace(now)})
		target.pace.load = float64(target.Slots-target.free(now)) / float64(max(1, target.Slots))
	}
	service.entries = entries
	service.table.Compare(entries, now)
	service.differing = 0
	for i, target := range service.targets {
		target.pace.slowness = entries[i].Factor
		if target.pace.slowness != 1 {
			service.differing++
		}
		if now.Sub(target.pace.toldAt) >= tellPeriod {
			scheduler.tellPace(target, entries[i].Reported != pace.Report{})
		}
	}
}

// tellPace calls the handler if a target's factor has changed noticeably.
func (scheduler *Scheduler) tellPace(target *target, reported bool) {
	before, factor := max(target.pace.told, 0), target.factor()
	if before == 0 {
		before = 1
	}
	if ratio := factor / before; factor == before || factor != 1 && before != 1 && ratio < noticeable && ratio > 1/noticeable {
		return
	}
	target.pace.told, target.pace.toldAt = factor, scheduler.clock.Now()
	scheduler.onPace(PaceChange{Target: target.Endpoint, Factor: factor, Before: before, Reported: reported})
}

// forgetPace tells the handler of a removed target.
func (scheduler *Scheduler) forgetPace(target *target) {
	if target.pace.slowness = 1; scheduler.onPace != nil {
		scheduler.tellPace(target, false)
	}
}

// reportedPace returns what the target's home gateway tells of its pace, if that is another one.
func (target *target) reportedPace(now time.Time) (report pace.Report) {
	if target.home {
		return pace.Report{}
	}
	var latest time.Time
	for _, remote := range target.remote {
		if (remote.First != 0 || remote.Event != 0) && now.Sub(remote.at) < remoteCountsTTL && remote.at.After(latest) {
			report, latest = pace.Report{First: remote.First, Event: remote.Event}, remote.at
		}
	}
	return report
}

// ownHeld returns the calls of this gateway at a target, and the target's pace if this is
// its home; false if there is nothing to tell. The mutex must be held.
func (scheduler *Scheduler) ownHeld(target *target, now time.Time) (Held, bool) {
	held := target.held()
	used := held.Online > 0 || held.Batch > 0
	if service := scheduler.services[target.Service]; target.home && service != nil && service.table != nil && (used || target.factor() != 1) {
		report := service.table.Report(&target.pace.Meter, now)
		held.First, held.Event = report.First, report.Event
	}
	return held, used || held.First != 0 || held.Event != 0
}

// recordEvents measures events of a call, and the time to its first one.
func (scheduler *Scheduler) recordEvents(target *target, reservation *Reservation, count int, now time.Time) {
	table := scheduler.serviceState(target.Service).table
	if table == nil {
		return
	}
	if !reservation.progressed {
		table.First(&target.pace.Meter, now.Sub(reservation.began), target.pace.load, now)
	}
	table.Events(&target.pace.Meter, &reservation.events, count, target.pace.load, now)
}

// recordWhole measures the whole answer of an online call without events. One that was cut off by its
// deadline has taken that long at least. Items may take many times what online calls take, and go to the slowest target.
func (scheduler *Scheduler) recordWhole(service *serviceState, reservation *Reservation, run gauge.Run, now time.Time) {
	target := scheduler.currentTarget(reservation)
	if service.table == nil || target == nil || reservation.progressed || reservation.Batch {
		return
	}
	record := service.table.First
	if run.Cut {
		record = service.table.Least
	}
	record(&target.pace.Meter, run.Total, target.pace.load, now)
}

// recordEnd measures what is left of the last events of a call that releases its slot.
func (scheduler *Scheduler) recordEnd(service *serviceState, target *target, reservation *Reservation, now time.Time) {
	if service.table != nil {
		service.table.End(&target.pace.Meter, &reservation.events, target.pace.load, now)
	}
}

// compareEnds compares targets for an online call by what it is foreseen to take there; 0 if that is alike.
func (service *serviceState) compareEnds(a, b *target, now time.Time) int {
	first, second := service.paces(a, now), service.paces(b, now)
	if first == second {
		return 0
	}
	first *= service.table.Growth(float64(a.Slots-a.free(now)+1) / float64(a.Slots))
	second *= service.table.Growth(float64(b.Slots-b.free(now)+1) / float64(b.Slots))
	switch {
	case first*alike < second:
		return -1
	case first > second*alike:
		return 1
	}
	return 0
}

// preemptsFirst reports whether a target's batch call is to be preempted rather than that of another
// one at the same distance: at the faster target, else the one with more slack.
func (service *serviceState) preemptsFirst(target *target, call *Reservation, other *target, otherCall *Reservation, now time.Time) bool {
	if own, others := service.paces(target, now), service.paces(other, now); own != others {
		return own < others
	}
	return call.preemptionSlack(now) > otherCall.preemptionSlack(now)
}

// fasterSlots returns how many slots must be free at a faster target of another gateway: more
// the more gateways may choose it before this one is told, up to half of the slots.
func (service *serviceState) fasterSlots(target *target) int {
	return min((target.Slots+1)/2, 1+service.others/2)
}

// homeFirst returns the home target with room at which an online call is foreseen to end
// first, or one near that is foreseen to be faster by more than elsewhereGain.
func (service *serviceState) homeFirst(request Request, now time.Time) (*target, Placement) {
	home := service.leastLoaded(request, now, oneSlot, atHome)
	if home == nil || !service.differ() {
		return home, PlacementHome
	}
	if slowness := service.paces(home, now); slowness > 1 {
		inReach := service.inReach(request)
		// Drawn at random, so that gateways which choose at the same time choose different targets.
		faster := service.draw(request, now, func(target *target, free int) float64 {
			factor, margin := service.paces(target, now), service.fasterSlots(target)
			if target.home || !inReach(target) || free < margin || factor*elsewhereGain > slowness || target.unreliable(now) {
				return 0
			}
			return float64(free-margin+1) / factor
		})
		if faster != nil && faster.has(request.Weights) == home.has(request.Weights) {
			return faster, PlacementFaster
		}
	}
	return home, PlacementHome
}

// suitable returns a filter that leaves out the targets at which a batch call can't be done by
// the time by which it is wanted, if others match and have so many free slots.
func (service *serviceState) suitable(request Request, now time.Time, minFree func(*target) int, match func(*target) bool) func(*target) bool {
	if !service.differ() {
		return match
	}
	fits := func(target *target) bool {
		longer := request
		longer.ExpectedDuration = time.Duration(float64(request.ExpectedDuration) * max(1, service.paces(target, now)))
		return match(target) && longer.slack(now) >= 0
	}
	for _, target := range service.targets {
		if target.accepts(request) && fits(target) && target.free(now) >= minFree(target) && service.fits(target, request, now) {
			return fits
		}
	}
	return match
}
