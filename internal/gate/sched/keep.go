package sched

import "time"

// A gateway that is cut off from most others and from the store can't know which targets are
// cold, and treats all as cold. The load that this file handles is that of its callers, who
// reach no other gateway. It also handles cold targets after each gateway that joins or ends,
// until gateways have agreed on the set again. In both cases the gateway that has long been a
// target's cold home keeps it for a time, at a part of its rate that the target tolerates in
// addition to the calls of another home that the other gateways have named meanwhile.

// keepTime is how long a gateway keeps a target after its last permission, and how long it must
// have been the target's home by then. As both are the same, a home that follows can't keep the
// target before this one has stopped, so there is one such gateway for a target at a time.
const keepTime = 2 * time.Minute

// tenure is since when and until when a gateway was the home of a target with an undoubted
// permission. Breaks of less than keepTime count, in which no other gateway can have come to keep
// the target.
type tenure struct {
	since, last time.Time
}

// extend records that the gateway is the home and has an undoubted permission.
func (tenure *tenure) extend(now time.Time) {
	if tenure.since.IsZero() || now.Sub(tenure.last) > keepTime {
		tenure.since = now
	}
	tenure.last = now
}

// lasts reports whether the gateway keeps the target at a time.
func (tenure *tenure) lasts(now time.Time) bool {
	return tenure.last.Sub(tenure.since) >= keepTime && now.Sub(tenure.last) < keepTime
}

// extendTenures records a permission for all targets whose home this gateway is. The mutex must
// be held.
func (state *coldState) extendTenures() {
	if !state.mayUse || state.permit.Doubtful {
		return
	}
	for _, cold := range state.targets {
		if cold.home && cold.limit.Rate > 0 {
			cold.tenure.extend(state.now)
		}
	}
}

// mayUse reports whether this gateway may send calls to the target, which counts as cold: as its
// home with a permission, or because it keeps it. An isolated gateway doesn't keep what it knows
// to be cold.
func (cold *coldTarget) mayUse() bool {
	state := cold.state
	switch {
	case !cold.home:
		return false
	case state.mayUse:
		return true
	case state.permit.Isolated && state.now.Before(cold.warmAt):
		return false
	}
	return cold.tenure.lasts(state.now)
}

// kept returns how many targets this gateway keeps, whether or not they count as cold.
func (state *coldState) kept() (count int) {
	if state.mayUse {
		return 0
	}
	for _, cold := range state.targets {
		if cold.limit.Rate > 0 && cold.mayUse() {
			count++
		}
	}
	return count
}
