package trial

import (
	"fmt"
	"math"
	"time"

	"github.com/agatestage/agatestage"
)

// askTimeout bounds a request to an owner. It is the same as between real entries.
const askTimeout = 700 * time.Millisecond

// Scenario is one case of demand and faults.
type Scenario struct {
	Name string
	// Spread returns the fraction of an organisation's demand at an entry.
	Spread func(since time.Duration, entry, entries int) float64
	// Load returns the demand of an organisation relative to its rate.
	Load func(organisation int) float64
	// Fault is called at each step before the requests arrive.
	Fault func(world *World, since time.Duration)
	// From and To bound the period in which wrongful refusals are counted.
	From time.Duration
	To   time.Duration
}

// The size of a scenario's run.
const (
	entries       = 6
	organisations = 12
	runTime       = 40 * time.Second
	faultTime     = 10 * time.Second
	// normalLoad is a demand within the rate.
	normalLoad = 0.5
	// floodLoad is a demand far above the rate.
	floodLoad = 8
	// rate and burst are those of each organisation.
	rate  = 40
	burst = 80
	// limitWait is the longest time that a request waits for a token.
	limitWait = 3 * time.Second
)

// even spreads the demand evenly.
func even(_ time.Duration, _, entries int) float64 {
	return 1 / float64(entries)
}

// skewed sends nine tenths of the demand to one entry.
func skewed(_ time.Duration, entry, entries int) float64 {
	if entry == 1 {
		return 0.9
	}
	return 0.1 / float64(entries-1)
}

// moving sends nine tenths of the demand to one entry, another one every 5 s.
func moving(since time.Duration, entry, entries int) float64 {
	const stay = 5 * time.Second
	if entry == int(since/stay)%entries {
		return 0.9
	}
	return 0.1 / float64(entries-1)
}

// uniformLoad makes all organisations send half their rates.
func uniformLoad(int) float64 { return normalLoad }

// flooded makes the first organisation send eight times its rate.
func flooded(organisation int) float64 {
	if organisation == 0 {
		return floodLoad
	}
	return normalLoad
}

// at returns a fault that happens once, at the given time.
func at(when time.Duration, happen func(world *World)) func(world *World, since time.Duration) {
	done := false
	return func(world *World, since time.Duration) {
		if !done && since >= when {
			done = true
			happen(world)
		}
	}
}

// during returns a fault that lasts from begin to end.
func during(begin, end time.Duration, set func(world *World, on bool)) func(world *World, since time.Duration) {
	start := at(begin, func(world *World) { set(world, true) })
	stop := at(end, func(world *World) { set(world, false) })
	return func(world *World, since time.Duration) {
		start(world, since)
		stop(world, since)
	}
}

// faultyEntry is the index of the entry that the faults of scenarios affect. It
// owns partitions and isn't the entry to which skewed sends most of the demand.
const faultyEntry = 2

// Scenarios returns the standard scenarios.
func Scenarios() []Scenario {
	noFault := func(*World, time.Duration) {}
	scenarios := []Scenario{
		{Name: "Even", Spread: even, Load: uniformLoad, Fault: noFault, To: runTime},
		{Name: "Skewed", Spread: skewed, Load: uniformLoad, Fault: noFault, To: runTime},
		{Name: "Moving", Spread: moving, Load: uniformLoad, Fault: noFault, To: runTime},
		{Name: "Flood", Spread: skewed, Load: flooded, Fault: noFault, To: runTime},
	}
	faults := []struct {
		name  string
		fault func() func(*World, time.Duration)
		from  time.Duration
		to    time.Duration
	}{
		{"OwnerLost", func() func(*World, time.Duration) {
			return at(faultTime, func(world *World) { world.Kill(world.Entries[faultyEntry]) })
		}, faultTime, 2 * faultTime},
		{"OwnerPaused", func() func(*World, time.Duration) {
			return during(faultTime, 2*faultTime, func(world *World, on bool) { world.Pause(world.Entries[faultyEntry], on) })
		}, faultTime, 3 * faultTime},
		{"RegionCut", func() func(*World, time.Duration) {
			return during(faultTime, 2*faultTime, func(world *World, on bool) { world.Cut(on) })
		}, faultTime, 3 * faultTime},
		{"StoreOutage", func() func(*World, time.Duration) {
			return during(faultTime, 3*faultTime, func(world *World, on bool) { world.Outage(on) })
		}, faultTime, 4 * faultTime},
		{"EntryAdded", func() func(*World, time.Duration) {
			return at(faultTime, func(world *World) { world.Add() })
		}, faultTime, 4 * faultTime},
		{"EntryDrained", func() func(*World, time.Duration) {
			return at(faultTime, func(world *World) { world.Drain(world.Entries[faultyEntry]) })
		}, faultTime, 4 * faultTime},
	}
	for _, fault := range faults {
		for _, spread := range []struct {
			name string
			of   func(time.Duration, int, int) float64
		}{{"Even", even}, {"Skewed", skewed}} {
			scenarios = append(scenarios, Scenario{Name: fault.name + spread.name, Spread: spread.of, Load: uniformLoad, Fault: fault.fault(), From: fault.from, To: fault.to})
		}
	}
	return scenarios
}

// Simulate runs a scenario with an algorithm.
func (scenario Scenario) Simulate(build Build, seed uint64) Result {
	rates := make(Rates)
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%02d", i)
		rates[names[i]] = agatestage.Rate{PerSecond: rate, Burst: burst}
	}
	world := New(build, rates, entries, limitWait, seed)
	world.Run(runTime, func(since time.Duration, arrive func(*Entry, string)) {
		scenario.Fault(world, since)
		for number, name := range names {
			for i := range entries {
				mean := rate * scenario.Load(number) * scenario.Spread(since, i, entries) * step.Seconds()
				for range world.poisson(mean) {
					arrive(world.Entries[i], name)
				}
			}
		}
	})
	world.Run(limitWait+time.Second, nil)
	return world.Result(scenario.From, scenario.To)
}

// poisson draws a number of requests from a Poisson distribution.
func (world *World) poisson(mean float64) (count int) {
	limit := math.Exp(-mean)
	for product := world.random.Float64(); product > limit; product *= world.random.Float64() {
		count++
	}
	return count
}

// Scale runs a fleet of the given size without faults and returns the result. The
// rates of the organisations follow Zipf's law, so that few of them are large.
func Scale(build Build, entries, organisations int, perSecond float64, length time.Duration, seed uint64) Result {
	rates := make(Rates)
	names := make([]string, organisations)
	weights := make([]float64, organisations)
	sum := 0.0
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%05d", i)
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
		rates[names[i]] = agatestage.Rate{PerSecond: max(1, perSecond*2*weights[i]/harmonic(organisations)), Burst: max(10, perSecond*4*weights[i]/harmonic(organisations))}
	}
	for i := range weights {
		weights[i] /= sum
		if i > 0 {
			weights[i] += weights[i-1]
		}
	}
	world := New(build, rates, entries, limitWait, seed)
	world.Run(length, func(_ time.Duration, arrive func(*Entry, string)) {
		for range world.poisson(perSecond * step.Seconds()) {
			arrive(world.Entries[world.random.IntN(entries)], names[search(weights, world.random.Float64())])
		}
	})
	world.Run(limitWait+time.Second, nil)
	return world.Result(0, length)
}

// harmonic returns the n-th harmonic number.
func harmonic(n int) (sum float64) {
	for i := range n {
		sum += 1 / float64(i+1)
	}
	return sum
}

// search returns the first index whose cumulative weight is at least x.
func search(cumulative []float64, x float64) int {
	low, high := 0, len(cumulative)-1
	for low < high {
		if middle := (low + high) / 2; cumulative[middle] < x {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
