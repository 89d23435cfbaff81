package start

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/gate/sched"
)

// maxPaceGauges is the number of targets that differ for which gauges are exported. With more, the
// others are in the log only.
const maxPaceGauges = 100

// placementOptions returns the options of the scheduler that the settings turn on.
func placementOptions(placement setup.Placement) (options []sched.Option) {
	if placement.Pace {
		options = append(options, sched.WithPace(newPaceGauges().changed))
	}
	if placement.Even {
		options = append(options, sched.WithEven())
	}
	return options
}

// paceGauges exports the paces of targets that differ from the median of their service.
type paceGauges struct {
	mutex sync.Mutex
	names map[string]bool
}

func newPaceGauges() *paceGauges { return &paceGauges{names: make(map[string]bool)} }

// changed logs a change and exports it.
func (paceGauges *paceGauges) changed(change sched.PaceChange) {
	klog.InfoS("target's pace changed", "target", change.Target.ID, "service", change.Target.Service, "factor", change.Factor, "before", change.Before, "reported", change.Reported)
	metrics.GetOrCreateCounter("agatestage_target_pace_changes_total").Inc()
	paceGauges.mutex.Lock()
	defer paceGauges.mutex.Unlock()
	name := fmt.Sprintf("agatestage_target_pace_ratio{target=%q}", change.Target.ID)
	switch {
	case change.Factor == 1:
		if paceGauges.names[name] {
			delete(paceGauges.names, name)
			metrics.UnregisterMetric(name)
		}
	case paceGauges.names[name] || len(paceGauges.names) < maxPaceGauges:
		paceGauges.names[name] = true
		metrics.GetOrCreateGauge(name, nil).Set(change.Factor)
	}
}
