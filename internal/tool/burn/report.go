package burn

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/agatestage/agatestage/internal/conf/model"
)

// FirstTokenLimit is the objective's limit on the time to the first token.
const FirstTokenLimit = 1700 * time.Millisecond

// Objective is a service-level objective.
type Objective string

// The objectives.
const (
	ObjectiveAvailable Objective = "Availability"
	ObjectiveFirst     Objective = "FirstToken"
	ObjectiveWrongful  Objective = "WrongfulRefusals"
)

// budgets holds the error budget of each objective, as a fraction of the requests.
var budgets = map[Objective]float64{ObjectiveAvailable: 0.001, ObjectiveFirst: 0.05, ObjectiveWrongful: 0.001}

// budgetWindow is the period that an error budget covers.
const budgetWindow = 3 * 24 * time.Hour

// Pair is a short and a long window, and the burn rate above which they fire.
type Pair struct {
	Short     time.Duration
	Long      time.Duration
	Threshold float64
}

// Pairs are the pairs of windows that are evaluated, the most urgent first.
var Pairs = []Pair{
	{5 * time.Minute, time.Hour, 14.4},
	{30 * time.Minute, 6 * time.Hour, 6},
	{2 * time.Hour, 24 * time.Hour, 3},
	{6 * time.Hour, 3 * 24 * time.Hour, 1},
}

// Burn is the use of the error budget of one objective for one series.
type Burn struct {
	Series
	Objective Objective
	// Budget is the fraction of requests that may miss the objective, Left the
	// fraction of the budget that remains; it is negative if the budget is overspent.
	Budget float64
	Left   float64
	Events float64
	Bad    float64
	// Short and Long are the burn rates over the windows of each pair. A burn rate of 1
	// uses up the budget exactly.
	Short []float64
	Long  []float64
	// Fires is the first pair with both windows above its threshold, such as
	// "5m0s/1h0m0s"; it is empty if there is none.
	Fires string
	// Points is the burn rate over time, for the plot.
	Points []Point
}

// Point is the burn rate at one time.
type Point struct {
	At   time.Time
	Rate float64
}

// Report holds the burns of all series and objectives at one time.
type Report struct {
	At      time.Time
	Samples int
	Pairs   []Pair
	Burns   []Burn
}

// events returns the number of requests that count for the objective and the number
// of those that missed it.
func (objective Objective) events(counts Counts, span time.Duration, organisation model.Organisation) (all, bad float64) {
	switch objective {
	case ObjectiveAvailable:
		return counts.Requests, counts.Failed
	case ObjectiveFirst:
		return counts.First, counts.Late
	}
	// A refusal for the rate was wrongful if the other requests of the organisation
	// left room for it within rate × t + burst.
	if organisation.Rate <= 0 {
		return counts.Requests, 0
	}
	allowed := organisation.Rate*span.Seconds() + organisation.Burst - (counts.Requests - counts.Limited)
	return counts.Requests, min(counts.Limited, max(0, allowed))
}

// increase returns the increase of the counts of a series over a window that ends at
// samples[end], and the time that it covers. It starts at the last sample at or before
// the start of the window, or at the oldest one. A counter that decreased was reset by a
// restart of its entry, so its new value is the increase.
func increase(samples []Sample, series Series, window time.Duration, end int) (Counts, time.Duration) {
	last := samples[end]
	begin := end
	for begin > 0 && last.At.Sub(samples[begin].At) < window {
		begin--
	}
	var sum Counts
	for i := begin + 1; i <= end; i++ {
		before := entryCounts(samples[i-1], series)
		for entry, counts := range entryCounts(samples[i], series) {
			if previous, ok := before[entry]; ok && previous.Requests <= counts.Requests {
				counts = counts.sub(previous)
			}
			sum = sum.add(counts)
		}
	}
	return sum, last.At.Sub(samples[begin].At)
}

func entryCounts(sample Sample, series Series) map[string]Counts {
	counts := make(map[string]Counts)
	for _, line := range sample.Lines {
		if line.Series == series {
			counts[line.Entry] = line.Counts
		}
	}
	return counts
}

// burnRate returns the burn rate of an objective over a window.
func burnRate(samples []Sample, series Series, objective Objective, window time.Duration, end int, organisation model.Organisation) float64 {
	counts, span := increase(samples, series, window, end)
	all, bad := objective.events(counts, span, organisation)
	if all == 0 {
		return 0
	}
	return bad / all / budgets[objective]
}

// NewReport computes the report from the samples of a history.
func NewReport(samples []Sample, organisations []model.Organisation) Report {
	report := Report{Samples: len(samples), Pairs: Pairs}
	if len(samples) == 0 {
		return report
	}
	report.At = samples[len(samples)-1].At
	byName := make(map[string]model.Organisation)
	for _, organisation := range organisations {
		byName[organisation.Name] = organisation
	}
	for _, series := range allSeries(samples) {
		for _, objective := range []Objective{ObjectiveAvailable, ObjectiveFirst, ObjectiveWrongful} {
			report.Burns = append(report.Burns, newBurn(samples, series, objective, byName[series.Organisation]))
		}
	}
	return report
}

func allSeries(samples []Sample) (list []Series) {
	for _, line := range samples[len(samples)-1].Lines {
		if line.Route != "" && !slices.Contains(list, line.Series) {
			list = append(list, line.Series)
		}
	}
	slices.SortFunc(list, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route))
	})
	return list
}

func newBurn(samples []Sample, series Series, objective Objective, organisation model.Organisation) Burn {
	end := len(samples) - 1
	burn := Burn{Series: series, Objective: objective, Budget: budgets[objective], Left: 1}
	counts, span := increase(samples, series, budgetWindow, end)
	if burn.Events, burn.Bad = objective.events(counts, span, organisation); burn.Events > 0 {
		burn.Left = 1 - burn.Bad/burn.Events/burn.Budget
	}
	for _, pair := range Pairs {
		short := burnRate(samples, series, objective, pair.Short, end, organisation)
		long := burnRate(samples, series, objective, pair.Long, end, organisation)
		burn.Short, burn.Long = append(burn.Short, short), append(burn.Long, long)
		if burn.Fires == "" && short > pair.Threshold && long > pair.Threshold {
			burn.Fires = fmt.Sprintf("%v/%v", pair.Short, pair.Long)
		}
	}
	for i := 1; i < len(samples); i++ {
		burn.Points = append(burn.Points, Point{At: samples[i].At, Rate: burnRate(samples, series, objective, Pairs[0].Short, i, organisation)})
	}
	return burn
}

// Print writes the report as a table.
func (report Report) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "organisation\troute\tobjective\trequests\tmissed\tbudget left\tburn 5m\tburn 1h\tfires")
	for _, burn := range report.Burns {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.0f\t%.0f\t%.1f%%\t%.2f\t%.2f\t%s\n", cmp.Or(burn.Organisation, "(none)"), burn.Route, burn.Objective,
			burn.Events, burn.Bad, 100*burn.Left, burn.Short[0], burn.Long[0], burn.Fires)
	}
	_ = table.Flush()
}
