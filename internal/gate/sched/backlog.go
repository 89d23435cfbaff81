package sched

import (
	"math"
	"time"
)

// usageTimeConstant is the time constant of the moving average of the home slots
// that online calls use: twice as long as a job stays with its owner at least, so that a
// passing peak moves no jobs between gateways.
const usageTimeConstant = 6 * time.Second

// usage is the moving average of the number of home slots that online calls use.
type usage struct {
	mean float64
	at   time.Time
}

// update advances the average to now.
func (usage *usage) update(slots int, now time.Time) {
	if usage.at.IsZero() {
		usage.mean, usage.at = float64(slots), now
		return
	}
	part := 1 - math.Exp(-now.Sub(usage.at).Seconds()/usageTimeConstant.Seconds())
	usage.mean += part * (float64(slots) - usage.mean)
	usage.at = now
}

// SetBatchServices sets the services that batch calls use. Until it is called, the
// slots of all services count.
func (scheduler *Scheduler) SetBatchServices(services map[string]bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.batchServices = services
}

// Backlog returns the number of batch calls that run or wait at this gateway, and
// the average number of slots at its home targets that online calls leave free for
// them. The latter is at least 1 if the gateway has home targets for batch calls.
func (scheduler *Scheduler) Backlog() (calls, slots int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	used := 0
	for name, service := range scheduler.services {
		calls += len(service.batch)
		for _, target := range service.targets {
			calls += len(target.batch)
			if target.home && target.expected(now) && (scheduler.batchServices == nil || scheduler.batchServices[name]) {
				available := int(math.Ceil(target.slots(service.meanHold)))
				slots += available
				used += min(available, target.online+target.remoteCalls(now).Online)
			}
		}
	}
	scheduler.usage.update(used, now)
	if slots == 0 {
		return calls, 0
	}
	return calls, max(1, slots-int(math.Round(scheduler.usage.mean)))
}
