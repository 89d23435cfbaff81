package blame

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/agatestage/agatestage"
)

// RegisterMetrics exports how many parts of prompts are in quarantine, and for how long the
// first of them has been, in seconds.
func RegisterMetrics(list *List, clock agatestage.Clock) {
	metrics.GetOrCreateGauge("agatestage_quarantined_parts", func() float64 {
		parts, _ := list.Quarantined()
		return float64(parts)
	})
	metrics.GetOrCreateGauge("agatestage_quarantined_parts_seconds", func() float64 {
		parts, since := list.Quarantined()
		if parts == 0 {
			return 0
		}
		return clock.Since(since).Seconds()
	})
}
