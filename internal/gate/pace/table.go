package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// clear is the least ratio to the median target at which a target counts as differing, and
	// clearDeviations how many standard errors the difference must exceed: three, so that of
	// 100 targets that are alike hardly one does.
	clear           = 1.2
	clearDeviations = 3
	// codeDeviation is the standard error assumed of a time that another gateway reports.
	codeDeviation = math.Ln2 / steps
	// maxUncertain is how much the reported logarithm of a time deviates from the median at most if it isn't
	// certain: a third of clear, as the medians of gateways differ.
	maxUncertain = 0.06
	// referenceLoad is the load to which times are converted before they are compared.
	referenceLoad = 0.5
	// comparePeriod is how long the result of a comparison is used.
	comparePeriod = 50 * time.Millisecond
	// maxSlope is the highest growth of the logarithm of a time from an idle target to a full
	// one: a factor of 8. trendDecay is the weight of earlier samples at each new one, and
	// minSpread the sum of squares of changes in load from which a growth is fitted.
	maxSlope   = 3 * math.Ln2
	trendDecay = 0.998
	minSpread  = 1.0
	// maxJump bounds a single deviation in the fit, so that a target that becomes slow
	// while its load changes doesn't determine it.
	maxJump = 0.5
)

// trend fits how the logarithm of a time grows with the load of a target.
type trend struct {
	loads, times float64
}

func (trend *trend) add(deltaLoad, deltaTime float64) {
	deltaTime = max(-maxJump, min(deltaTime, maxJump))
	trend.loads = trendDecay*trend.loads + deltaLoad*deltaLoad
	trend.times = trendDecay*trend.times + deltaLoad*deltaTime
}

func (trend *trend) slope() float64 {
	if trend.loads < minSpread {
		return 0
	}
	return max(0, min(trend.times/trend.loads, maxSlope))
}

// Table compares the targets of one service. Its zero value knows nothing.
type Table struct {
	firstTrend, eventTrend trend
	// streams is true if the times for an event are known of targets.
	streams bool
	// first and event are the medians of the last comparison.
	first, event measure
	comparedAt   time.Time
	scratch      []float64
}

// Entry is what is known of one target, and the result of the comparison.
type Entry struct {
	Meter *Meter
	// Reported is what the target's home gateway tells, if that is another one.
	Reported Report
	// Factor is how much longer than at the median target a call is foreseen to take; 1
	// unless the target clearly differs.
	Factor float64

	first, event measure
}

// measure is the logarithm of a time at the reference load, and its standard error.
type measure struct {
	value, deviation float64
	known            bool
}

func measured(gauge *gauge, code Code, slope float64, now time.Time) measure {
	switch {
	case code != 0:
		return measure{value: code.decode(), deviation: codeDeviation, known: true}
	case gauge.known(now):
		return measure{value: gauge.mean + slope*(referenceLoad-gauge.load), deviation: gauge.deviation(), known: true}
	}
	return measure{}
}

// Due reports whether the targets are to be compared anew.
func (table *Table) Due(now time.Time) bool {
	return now.Sub(table.comparedAt) >= comparePeriod
}

// Compare sets the factors of the targets.
func (table *Table) Compare(entries []Entry, now time.Time) {
	table.comparedAt = now
	firstSlope, eventSlope := table.firstTrend.slope(), table.eventTrend.slope()
	for i := range entries {
		entry := &entries[i]
		entry.first = measured(&entry.Meter.first, entry.Reported.First, firstSlope, now)
		entry.event = measured(&entry.Meter.event, entry.Reported.Event, eventSlope, now)
	}
	first := table.median(entries, func(entry *Entry) measure { return entry.first })
	event := table.median(entries, func(entry *Entry) measure { return entry.event })
	table.streams, table.first, table.event = event.known, first, event
	for i := range entries {
		entry := &entries[i]
		entry.Factor = 1
		own, usual := entry.event, event
		if !own.known || !usual.known {
			own, usual = entry.first, first
		}
		if ratio := own.value - usual.value; own.known && usual.known && math.Abs(ratio) >= max(math.Log(clear), clearDeviations*own.deviation) {
			entry.Factor = math.Exp(ratio)
		}
		entry.Meter.differs = entry.Factor != 1
		if entry.Factor <= 1 {
			entry.Meter.retry = 0
		}
	}
}

// median returns the median of a measure over the targets of which it is known, if these are two or more.
func (table *Table) median(entries []Entry, of func(*Entry) measure) measure {
	values := table.scratch[:0]
	for i := range entries {
		if measured := of(&entries[i]); measured.known {
			values = append(values, measured.value)
		}
	}
	table.scratch = values
	if len(values) < 2 {
		return measure{}
	}
	slices.Sort(values)
	return measure{value: (values[(len(values)-1)/2] + values[len(values)/2]) / 2, known: true}
}

// Growth returns by what factor a call takes longer at a load than at half of the slots.
func (table *Table) Growth(load float64) float64 {
	slope := table.firstTrend.slope()
	if table.streams {
		slope = table.eventTrend.slope()
	}
	return math.Exp(slope * (load - referenceLoad))
}

// Report returns what other gateways are to be told of a target. They take it as exact.
func (table *Table) Report(meter *Meter, now time.Time) Report {
	if event := measured(&meter.event, 0, table.eventTrend.slope(), now); event.known {
		return Report{Event: encode(event.told(meter, table.event))}
	}
	if first := measured(&meter.first, 0, table.firstTrend.slope(), now); first.known {
		return Report{First: encode(first.told(meter, table.first))}
	}
	return Report{}
}

// told returns the value to be reported, which is near the usual one if the target may seem to differ by
// chance. Where all targets change, the usual one follows within some reports.
func (own measure) told(meter *Meter, usual measure) float64 {
	if !usual.known || meter.differs || clearDeviations*own.deviation <= math.Log(clear) {
		return own.value
	}
	return usual.value + max(-maxUncertain, min(own.value-usual.value, maxUncertain))
}
