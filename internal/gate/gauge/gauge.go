// Package gauge measures what calls take where they run.
//
// Runs keeps the latest runs of calls that are alike. Its estimate answers two
// questions. Fastest says what a call needs at least: with less time left it can't be
// served. Total, First and Pause say within what time nearly all calls were served: with so
// much time left it is safe to wait for a slot, and a target that is silent for clearly
// longer isn't as it was.
//
// Old runs are forgotten, so that an estimate which keeps calls from being sent is checked
// again by the next one.
package gauge

import (
	"math"
	"slices"
	"time"
)

const (
	// kept is the number of runs that are remembered, and life how long: a target that was
	// slow, cold or silent for some seconds doesn't shape the estimate for longer.
	kept = 64
	life = 10 * time.Second
	// nearlyAll is the fraction of the runs that Total, First and Pause cover.
	nearlyAll = 0.9
	// cutFactor multiplies the time of a run that was cut off by its deadline, of which only
	// a lower bound is known: as timeouts are doubled while nothing can be measured.
	cutFactor = 2
)

// Run is what one run of a call at a target took, from the moment at which it was sent.
type Run struct {
	// First is the time to the first event or the whole answer, Pause the longest time
	// between two events, and Total the time to the end.
	First time.Duration
	Pause time.Duration
	Total time.Duration
	// Cut says that the run ended with its deadline, so that it would have taken longer.
	Cut bool
}

// Estimate is what calls have lately taken; all zero if nothing is known.
type Estimate struct {
	// Fastest is the shortest time of a whole run.
	Fastest time.Duration
	// Total, First and Pause are the times that nearly all runs have kept.
	Total time.Duration
	First time.Duration
	Pause time.Duration
}

// Known reports whether any run has lately ended.
func (estimate Estimate) Known() bool { return estimate.Total > 0 }

// Rest returns the estimate for a call of whose answer an unknown part is there already: it takes
// a new run until that goes on, and nothing more is certain.
func (estimate Estimate) Rest() Estimate {
	estimate.Fastest, estimate.Total = 0, estimate.First
	return estimate
}

// Served reports whether any did before its deadline.
func (estimate Estimate) Served() bool { return estimate.First > 0 }

// Runs holds the latest runs. Its zero value is empty.
type Runs struct {
	runs []timedRun
	// estimate is that of the runs, unless stale.
	estimate Estimate
	stale    bool
}

type timedRun struct {
	Run
	at time.Time
}

// Record adds a run that has ended.
func (runs *Runs) Record(run Run, now time.Time) {
	if len(runs.runs) == kept {
		runs.runs = slices.Delete(runs.runs, 0, 1)
	}
	runs.runs = append(runs.runs, timedRun{Run: run, at: now})
	runs.stale = true
}

// Estimate returns what calls have lately taken. Runs that were cut off count only if no
// other has ended lately: they say nothing of how long the others take.
func (runs *Runs) Estimate(now time.Time) Estimate {
	if !runs.stale && (len(runs.runs) == 0 || now.Sub(runs.runs[0].at) < life) {
		return runs.estimate
	}
	runs.runs = slices.DeleteFunc(runs.runs, func(run timedRun) bool { return now.Sub(run.at) >= life })
	var first, pause, total, cut []time.Duration
	for _, run := range runs.runs {
		if run.Cut {
			cut = append(cut, cutFactor*run.Total)
			continue
		}
		first, pause, total = append(first, run.First), append(pause, run.Pause), append(total, run.Total)
	}
	if len(total) == 0 {
		total = cut
	}
	runs.stale = false
	runs.estimate = Estimate{First: quantile(first), Pause: quantile(pause), Total: quantile(total)}
	if len(total) > 0 {
		runs.estimate.Fastest = slices.Min(total)
	}
	return runs.estimate
}

// quantile sorts the values and returns the one that nearlyAll of them don't exceed.
func quantile(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(math.Ceil(nearlyAll*float64(len(values))))-1]
}
