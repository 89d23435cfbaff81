package sched

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/agatestage/agatestage"
)

// Calls that may be served in some regions only. Targets elsewhere don't suit them. Without
// such calls nothing here has any effect.

// isElsewhere reports whether a call may not be served in the gateway's region.
func (service *serviceState) isElsewhere(request Request) bool {
	return !request.Regions.Allows(service.region)
}

// inReach returns the filter for the targets that a call uses as those of the gateway's
// region: these or, if it may not be served there, all others. Those that aren't allowed
// don't suit it.
func (service *serviceState) inReach(request Request) func(*target) bool {
	if service.isElsewhere(request) {
		return anywhere
	}
	return inRegion
}

// countsFor returns whether a target that suits a call and another one which goes before it
// counts in the forecast of the call's wait. If the regions of either are restricted, the
// target must be one whose slots the forecast counts.
func (service *serviceState) countsFor(request Request) func(target *target, other Request) bool {
	inReach := service.inReach(request)
	return func(target *target, other Request) bool {
		return !request.Regions.Restricted && !other.Regions.Restricted || inReach(target)
	}
}

// placeBeside reserves a slot for a new call although others wait that go before it, if its
// regions are restricted or those of a waiting call are, or if it is within its share and a
// waiting call isn't. The others are tried first, so that it only gets what none of them may
// use. It handles the load in which calls wait for the full targets of one region while those
// of another are free, and that of calls of a higher priority that leave slots to those within
// their shares. The mutex must be held.
func (scheduler *Scheduler) placeBeside(service *serviceState, call *waiter, now time.Time) *Reservation {
	beside := call.request.Regions.Restricted || service.hasRestricted() || !call.request.Batch && call.request.rank == 0 && service.hasOver()
	if !beside {
		return nil
	}
	scheduler.dispatch(service, now)
	return scheduler.place(service, call, now)
}

// hasRestricted reports whether a call waits whose regions are restricted.
func (service *serviceState) hasRestricted() bool {
	restricted := func(waiting *waiter) bool { return waiting.request.Regions.Restricted }
	return slices.ContainsFunc(service.online, restricted) || slices.ContainsFunc(service.batch, restricted)
}

// outOfRegions reports whether the service has targets, but none in a region that is allowed
// to a call.
func (service *serviceState) outOfRegions(request Request) bool {
	return len(service.targets) > 0 && !slices.ContainsFunc(service.targets, func(target *target) bool { return request.Regions.Allows(target.Region) })
}

// refuseRegions returns the refusal of a call that no target in its regions can serve.
func refuseRegions(request Request) *agatestage.Refusal {
	metrics.GetOrCreateCounter("agatestage_region_refusals_total").Inc()
	return agatestage.Refuse(agatestage.CodeNoTarget, "service %s has no target in the regions that are allowed: %s", request.Service, request.Regions)
}
