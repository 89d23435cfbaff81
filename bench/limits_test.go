// Package bench measures the system and holds its figures to bounds that come
// from the stated targets.
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
	// maxWrongful is the target when nothing fails, maxWrongfulLost that in
	// the 10 s after an owner is lost.
	maxWrongful     = 0.001
	maxWrongfulLost = 0.01
)

// quiet are the cases in which nothing fails.
var quiet = map[string]bool{"Even": true, "Skewed": true, "Moving": true, "Flood": true}

// ownerLost are the cases of an owner that is lost.
var ownerLost = map[string]bool{"OwnerLostEven": true, "OwnerLostSkewed": true}

// BenchmarkLimits compares the ways of limiting on the same demand and faults.
func BenchmarkLimits(b *testing.B) {
	for range b.N {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "\ncase\tway\toversold\twrongful\tworst share\twait p99\tmessages/request\tB/s an entry")
		for i, script := range trial.Scenarios() {
			for _, way := range []string{"Equal", "Paper", "Asked", "Grant"} {
				result := trial.Scenarios()[i].Simulate(trial.Algorithms[way], limitSeed)
				fmt.Fprintf(out, "%s\t%s\t%.0f\t%.2f%%\t%.3f\t%v\t%.2f\t%.0f\n", script.Name, way, result.Oversold,
					100*result.Wrongful, result.WorstShare, result.WaitP99.Round(time.Millisecond), result.MessagesPerRequest, result.BytesPerSecond)
				if way == "Grant" {
					checkLimits(b, script.Name, result)
				}
			}
		}
		_ = out.Flush()
	}
}

// checkLimits holds the way that ships to its targets.
func checkLimits(b *testing.B, name string, result trial.Result) {
	if result.Oversold > 0 {
		b.Errorf("%s: oversold by %.2f requests", name, result.Oversold)
	}
	if quiet[name] && result.Wrongful > maxWrongful {
		b.Errorf("%s: %.3f%% wrongful refusals, the target is %.1f%%", name, 100*result.Wrongful, 100*maxWrongful)
	}
	if ownerLost[name] && result.Wrongful > maxWrongfulLost {
		b.Errorf("%s: %.3f%% wrongful refusals, the target is %.1f%%", name, 100*result.Wrongful, 100*maxWrongfulLost)
	}
}

// BenchmarkLimitsScale measures the cost at the size of the two-year plan.
func BenchmarkLimitsScale(b *testing.B) {
	const perSecond = 1600
	for range b.N {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "\nentries\torganisations\tway\tmessages/request\tB/s an entry\twrongful\toversold\twait p99")
		for _, entries := range []int{6, 12, 24} {
			for _, organisations := range []int{300, 3000, 30_000} {
				for _, way := range []string{"Asked", "Grant"} {
					result := trial.Scale(trial.Algorithms[way], entries, organisations, perSecond, 10*time.Second, limitSeed)
					fmt.Fprintf(out, "%d\t%d\t%s\t%.2f\t%.0f\t%.2f%%\t%.0f\t%v\n", entries, organisations, way,
						result.MessagesPerRequest, result.BytesPerSecond, 100*result.Wrongful, result.Oversold, result.WaitP99.Round(time.Millisecond))
				}
			}
		}
		_ = out.Flush()
	}
}
