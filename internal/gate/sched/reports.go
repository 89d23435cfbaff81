package sched

import "time"

// Gateways end and are replaced by others with new names. Those that have not reported for
// remoteCountsTTL count no more, neither with their calls nor as users of the same targets.

// expireReports forgets what gateways reported remoteCountsTTL ago. The mutex must be held.
func (scheduler *Scheduler) expireReports(now time.Time) {
	for gateway, at := range scheduler.reportedAt {
		if now.Sub(at) < remoteCountsTTL {
			continue
		}
		for id := range scheduler.reported[gateway] {
			if target := scheduler.targets[id]; target != nil {
				delete(target.remote, gateway)
			}
		}
		delete(scheduler.reported, gateway)
		delete(scheduler.reportedAt, gateway)
	}
}
