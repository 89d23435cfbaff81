package sched

import (
	"slices"

	"k8s.io/klog/v2"
)

// SetEvacuated sets the availability zones whose targets get no new calls. Calls that run there
// continue, and those that wait for nothing else are refused. The end of an evacuation may leave
// the zone's targets cold.
func (scheduler *Scheduler) SetEvacuated(zones []string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	for zone := range scheduler.cold.evacuated {
		if !slices.Contains(zones, zone) {
			scheduler.cold.evacuationEnds[zone] = now
		}
	}
	clear(scheduler.cold.evacuated)
	for _, zone := range zones {
		scheduler.cold.evacuated[zone] = true
		delete(scheduler.cold.evacuationEnds, zone)
	}
	scheduler.cold.observe(now)
	scheduler.cold.update()
	count, running := 0, 0
	for _, target := range scheduler.targets {
		if target.Evacuated = scheduler.cold.evacuated[target.Zone]; target.Evacuated {
			count++
			running += target.online + len(target.batch)
		}
	}
	klog.InfoS("evacuated zones applied", "zones", zones, "targets", len(scheduler.targets), "evacuated", count, "running", running)
	scheduler.dispatchAll()
	for _, service := range scheduler.services {
		service.refuseStranded()
	}
}

// answers reports whether the target may be expected to answer its calls, whether or not it may
// get new ones.
func (target *target) answers() bool {
	return !target.Draining && !target.leaving && !target.replaced() && !target.down && !target.suspect
}
