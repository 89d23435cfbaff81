package relay

import (
	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/sched"
)

// regions returns the regions in which the call may be served now.
func (run *run) regions() agatestage.Regions {
	if run.plan.Regions == nil {
		return agatestage.Regions{}
	}
	return run.plan.Regions()
}

// checkRegion reports whether a slot may still be used by the configuration in force, and
// releases it otherwise: the configuration may have changed while the call waited for it.
func (run *run) checkRegion(reservation *sched.Reservation) bool {
	regions := run.regions()
	if regions.Allows(reservation.Target.Region) {
		return true
	}
	reservation.Release(false)
	metrics.GetOrCreateCounter("agatestage_region_slots_released_total").Inc()
	klog.InfoS("slot released, as its region is not allowed any more", "call", run.call.ID, "target", reservation.Target.ID,
		"region", reservation.Target.Region, "allowed", regions)
	return false
}
