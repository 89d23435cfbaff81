// Package pace measures how fast targets serve, and compares those of one service.
//
// A Meter holds what is known of one target: the time to the first event, or to the whole
// answer of a plain call, and the time for one event. Both are kept as logarithms, as a
// target that is slow multiplies them. Where events are known, they alone decide: the time to
// the first one also contains the wait for a slot if more calls come than the target runs. Times grow with the number of calls that a target
// runs; a Table fits that growth per service from the changes within each target, so that
// targets are compared as under the same load.
//
// A Table compares the targets of one service. The result is a factor for each: how much
// longer than at the median target a call is foreseen to take. The factor is 1 unless the target clearly
// differs, so that a decision by factors is the same as without them where targets are alike.
//
// It handles targets that differ constantly, that are slowed for some tenths of a second,
// and that become several times slower for seconds.
package pace

import (
	"math"
	"time"
)

const (
	// life is how long a measurement is valid without a new sample.
	life = 10 * time.Second
	// smoothing is the weight of a sample in the moving means once there are many, and
	// timeConstant that of these means for samples that are rare: a target that is hardly used is
	// judged anew by its next few responses.
	smoothing    = 1.0 / 16
	timeConstant = time.Second
	// minSamples is how many samples must be known of a target before it is compared.
	minSamples = 6
	// leastVariance is added to the measured variance of samples, since few that happen to
	// be equal don't show that the next ones are.
	leastVariance = 0.04
	// samplePeriod is the time over which the events of a call are averaged to one sample.
	// Targets write several events at once, so that single intervals say little.
	samplePeriod = 100 * time.Millisecond
	// minRetry and maxRetry bound the time after which one call is sent to a slow target
	// that has none.
	minRetry = 500 * time.Millisecond
	maxRetry = 2 * time.Second
)

// gauge is a moving mean and variance of the logarithm of a time, and the mean of the load
// under which it was measured.
type gauge struct {
	mean, variance, load float64
	// share is the sum of the squares of the weights of the samples: 1 divided by the number of samples that the
	// mean is worth.
	share   float64
	samples int
	at      time.Time
}

// record adds a sample and returns its deviations from the means before it.
func (gauge *gauge) record(took time.Duration, load float64, now time.Time) (deltaLoad, deltaTime float64) {
	if now.Sub(gauge.at) >= life {
		gauge.samples = 0
	}
	value := math.Log(max(took, shortest).Seconds())
	if gauge.samples == 0 {
		gauge.mean, gauge.variance, gauge.load, gauge.share = value, 0, load, 1
	}
	gauge.samples++
	weight := max(smoothing, 1/float64(gauge.samples), 1-math.Exp(-now.Sub(gauge.at).Seconds()/timeConstant.Seconds()))
	gauge.at = now
	deltaLoad, deltaTime = load-gauge.load, value-gauge.mean
	gauge.load += weight * deltaLoad
	gauge.mean += weight * deltaTime
	gauge.share = (1-weight)*(1-weight)*gauge.share + weight*weight
	// The mean of rare samples is worth few of them, but a variance from few is often near zero by chance.
	weight = max(smoothing, 1/float64(gauge.samples))
	gauge.variance = (1 - weight) * (gauge.variance + weight*deltaTime*deltaTime)
	return deltaLoad, deltaTime
}

func (gauge *gauge) known(now time.Time) bool {
	return gauge.samples >= minSamples && now.Sub(gauge.at) < life
}

// deviation returns the standard error of the mean.
func (gauge *gauge) deviation() float64 {
	return math.Sqrt((gauge.variance + leastVariance) * gauge.share)
}

// Meter holds the measurements of one target. Its zero value is empty.
type Meter struct {
	first gauge
	event gauge
	// retry is after which time without a sample a call is sent to the target although it
	// is slow, and retried when that was last done.
	retry   time.Duration
	retried time.Time
	// differs says that the target clearly differed in the last comparison.
	differs bool
}

// Known reports whether anything was measured lately.
func (meter *Meter) Known(now time.Time) bool {
	return meter.first.known(now) || meter.event.known(now)
}

// Call measures the events of one call. Its zero value is that of a call without any.
type Call struct {
	last   time.Time
	events int
	total  int
}

// First records the time from the beginning of a call to its first event, or to its whole
// answer. Load is the fraction of the target's slots in use.
func (table *Table) First(meter *Meter, took time.Duration, load float64, now time.Time) {
	table.firstTrend.add(meter.first.record(took, load, now))
}

// Least records a call that was cut off after a time without its first event. That it took no longer
// says nothing of the target unless this is more than what is known of it, or of the median one.
func (table *Table) Least(meter *Meter, took time.Duration, load float64, now time.Time) {
	usual, known := table.first.value, table.first.known
	if meter.first.known(now) {
		usual, known = meter.first.mean, true
	}
	if known && took > 0 && math.Log(took.Seconds()) > usual {
		table.First(meter, took, load, now)
	}
}

// Events records a number of events of a call that have arrived together.
func (table *Table) Events(meter *Meter, call *Call, count int, load float64, now time.Time) {
	call.total += count
	if call.last.IsZero() {
		// When the others that arrive with the first event were written isn't known.
		call.last, call.total = now, 1
		return
	}
	call.events += count
	if took := now.Sub(call.last); took >= samplePeriod {
		table.eventTrend.add(meter.event.record(took/time.Duration(call.events), load, now))
		call.last, call.events = now, 0
	}
}

// End records the end of a call whose events were too few for a sample.
func (table *Table) End(meter *Meter, call *Call, load float64, now time.Time) {
	if call.total == 0 {
		return
	}
	if call.events > 1 && call.events == call.total-1 {
		// The call was shorter than samplePeriod.
		table.eventTrend.add(meter.event.record(now.Sub(call.last)/time.Duration(call.events), load, now))
	}
}

// Retry reports whether one call may be sent to a slow target without calls, to see
// whether it has recovered, and counts it as sent if taken is true.
func (meter *Meter) Retry(now time.Time, taken bool) bool {
	since := meter.first.at
	for _, at := range []time.Time{meter.event.at, meter.retried} {
		if at.After(since) {
			since = at
		}
	}
	if now.Sub(since) < max(minRetry, meter.retry) {
		return false
	}
	if taken {
		meter.retried, meter.retry = now, min(maxRetry, 2*max(minRetry, meter.retry))
	}
	return true
}
