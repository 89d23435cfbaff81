package sched

import (
	"math"
	"time"
)

// usageTime is the time constant of the mean use of homes by online calls: the
// users' demand goes up and down again in six seconds.
const usageTime = 6 * time.Second

// usage is the smoothed number of slots at homes that online calls have.
type usage struct {
	mean float64
	at   time.Time
}

// take brings the mean up to now.
func (usage *usage) take(slots int, now time.Time) {
	if usage.at.IsZero() {
		usage.mean, usage.at = float64(slots), now
		return
	}
	part := 1 - math.Exp(-now.Sub(usage.at).Seconds()/usageTime.Seconds())
	usage.mean += part * (float64(slots) - usage.mean)
	usage.at = now
}

// SetBatchServices names the services that batch calls need. Until it is called,
// all count.
func (scheduler *Scheduler) SetBatchServices(services map[string]bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.batches = services
}

// Backlog returns the batch calls that run or wait here, and the slots of this
// gateway's homes that online calls leave them in the mean, one at least if it has
// homes for them.
func (scheduler *Scheduler) Backlog() (calls, slots int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	used := 0
	for name, entry := range scheduler.services {
		calls += len(entry.batch)
		for _, target := range entry.targets {
			calls += len(target.batch)
			if target.home && target.usable() && (scheduler.batches == nil || scheduler.batches[name]) {
				slots += target.Slots
				used += min(target.Slots, target.online+target.others(now).Online)
			}
		}
	}
	scheduler.usage.take(used, now)
	if slots == 0 {
		return calls, 0
	}
	return calls, max(1, slots-int(math.Round(scheduler.usage.mean)))
}
