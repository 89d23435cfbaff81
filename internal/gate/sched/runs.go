package sched

import (
	"time"

	"github.com/agatestage/agatestage/internal/gate/gauge"
)

// RecordRun records what the call took at its target, from its beginning to its end.
func (reservation *Reservation) RecordRun(run gauge.Run) {
	scheduler := reservation.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	service := scheduler.serviceState(reservation.Target.Service)
	class := reservation.request.Class
	if service.runs[class] == nil {
		service.runs[class] = &gauge.Runs{}
	}
	service.runs[class].Record(run, now)
	scheduler.recordWhole(service, reservation, run, now)
	// Items may take many times what online calls take, and no item's patience depends on it.
	if !run.Cut && !reservation.Batch {
		service.allRuns.Record(run, now)
	}
}

// endFlight counts an online call of a class that has released its slot.
func (service *serviceState) endFlight(class string) {
	if service.inFlight[class]--; service.inFlight[class] <= 0 {
		delete(service.inFlight, class)
	}
}

// Takes returns what calls of a class have lately taken at the targets of a service.
func (scheduler *Scheduler) Takes(name, class string) gauge.Estimate {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	service := scheduler.services[name]
	if service == nil {
		return gauge.Estimate{}
	}
	return service.takes(class, scheduler.clock.Now())
}

// takes returns what calls of a class have lately taken. While nothing is known of them, it
// returns what those of the other classes have, but not the least: calls of this class may
// take less. The mutex must be held.
func (service *serviceState) takes(class string, now time.Time) gauge.Estimate {
	if runs := service.runs[class]; runs != nil {
		if estimate := runs.Estimate(now); estimate.Known() {
			return estimate
		}
	}
	estimate := service.allRuns.Estimate(now)
	estimate.Fastest = 0
	return estimate
}

// stallLimit returns how long a target may send nothing on any of its calls: as long as nearly
// all answers pause, or as long as sound targets are silent while that isn't known. The mutex
// must be held.
func (service *serviceState) stallLimit(now time.Time) time.Duration {
	limit := time.Duration(0)
	for _, runs := range service.runs {
		limit = max(limit, runs.Estimate(now).Pause)
	}
	if limit == 0 {
		return silenceTolerance
	}
	return max(minStall, limit)
}

// forgetRuns drops the classes of which nothing is known any more, so that their number
// doesn't grow with the changes of the configuration. The mutex must be held.
func (service *serviceState) forgetRuns(now time.Time) {
	for class, runs := range service.runs {
		if !runs.Estimate(now).Known() {
			delete(service.runs, class)
		}
	}
}
