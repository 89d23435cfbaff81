// Package bench holds benchmarks of the system. Some of them fail if a result
// misses its stated target.
package bench

import (
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/agatestage/agatestage/internal/limit/trial"
)

const (
	limitSeed = 7
	// maxWrongfulRate is the target without faults, maxWrongfulRateOwnerLost the
	// target in the 10 s after an owner is lost.
	maxWrongfulRate          = 0.001
	maxWrongfulRateOwnerLost = 0.01
)

// withoutFaults holds the cases in which no fault occurs.
var withoutFaults = map[string]bool{"Even": true, "Skewed": true, "Moving": true, "Flood": true}

// ownerLost holds the cases in which an owner is lost.
var ownerLost = map[string]bool{"OwnerLostEven": true, "OwnerLostSkewed": true}

// BenchmarkLimits compares rate-limiting algorithms under the same demand and
// faults.
func BenchmarkLimits(b *testing.B) {
	for range b.N {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "\ncase\tway\toversold\twrongful\tworst share\twait p99\tmessages/request\tB/s an entry")
		for i, scenario := range trial.Scenarios() {
			for _, algorithm := range []string{"Equal", "Paper", "Asked", "Grant"} {
				result := trial.Scenarios()[i].Simulate(trial.Algorithms[algorithm], limitSeed)
				fmt.Fprintf(out, "%s\t%s\t%.0f\t%.2f%%\t%.3f\t%v\t%.2f\t%.0f\n", scenario.Name, algorithm, result.Oversold,
					100*result.Wrongful, result.WorstShare, result.WaitP99.Round(time.Millisecond), result.MessagesPerRequest, result.BytesPerSecond)
				if algorithm == "Grant" {
					checkLimits(b, scenario.Name, result)
				}
			}
		}
		_ = out.Flush()
	}
}

// checkLimits checks the algorithm that the system uses against its targets.
func checkLimits(b *testing.B, name string, result trial.Result) {
	if result.Oversold > 0 {
		b.Errorf("%s: oversold by %.2f requests", name, result.Oversold)
	}
	if withoutFaults[name] && result.Wrongful > maxWrongfulRate {
		b.Errorf("%s: %.3f%% wrongful refusals, the target is %.1f%%", name, 100*result.Wrongful, 100*maxWrongfulRate)
	}
	if ownerLost[name] && result.Wrongful > maxWrongfulRateOwnerLost {
		b.Errorf("%s: %.3f%% wrongful refusals, the target is %.1f%%", name, 100*result.Wrongful, 100*maxWrongfulRateOwnerLost)
	}
}

// BenchmarkLimitsScale measures the cost of rate limiting at the size of the
// two-year plan.
func BenchmarkLimitsScale(b *testing.B) {
	const perSecond = 1600
	for range b.N {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "\nentries\torganisations\tway\tmessages/request\tB/s an entry\twrongful\toversold\twait p99")
		for _, entries := range []int{6, 12, 24} {
			for _, organisations := range []int{300, 3000, 30_000} {
				for _, algorithm := range []string{"Asked", "Grant"} {
					result := trial.Scale(trial.Algorithms[algorithm], entries, organisations, perSecond, 10*time.Second, limitSeed)
					fmt.Fprintf(out, "%d\t%d\t%s\t%.2f\t%.0f\t%.2f%%\t%.0f\t%v\n", entries, organisations, algorithm,
						result.MessagesPerRequest, result.BytesPerSecond, 100*result.Wrongful, result.Oversold, result.WaitP99.Round(time.Millisecond))
				}
			}
		}
		_ = out.Flush()
	}
}
