package trial

import (
	"fmt"
	"math"
	"time"

	"github.com/agatestage/agatestage"
)

// askTimeout bounds a request to an owner, as between real entries.
const askTimeout = 700 * time.Millisecond

// Script is one case of demand and faults.
type Script struct {
	Name string
	// Spread returns the part of an organisation's demand at each entry.
	Spread func(since time.Duration, entry, entries int) float64
	// Load is the demand of each organisation relative to its rate.
	Load func(organisation int) float64
	// Fault is called at each step before the arrivals.
	Fault func(world *World, since time.Duration)
	// From and To bound what counts for wrongful refusals.
	From time.Duration
	To   time.Duration
}

// The standard size of a script's run.
const (
	entries       = 6
	organisations = 12
	runTime       = 40 * time.Second
	faultTime     = 10 * time.Second
	// inside is a demand within the rate.
	inside = 0.5
	// flood is the demand of an organisation far above its rate.
	flood     = 8
	rate      = 40
	burst     = 80
	limitWait = 3 * time.Second
)

func even(_ time.Duration, _, entries int) float64 {
	return 1 / float64(entries)
}

// skewed sends nine tenths to one entry.
func skewed(_ time.Duration, entry, entries int) float64 {
	if entry == 1 {
		return 0.9
	}
	return 0.1 / float64(entries-1)
}

// moving sends nine tenths to an entry that changes every few seconds.
func moving(since time.Duration, entry, entries int) float64 {
	const stay = 5 * time.Second
	if entry == int(since/stay)%entries {
		return 0.9
	}
	return 0.1 / float64(entries-1)
}

func within(int) float64 { return inside }

// flooded makes the first organisation send eight times its rate.
func flooded(organisation int) float64 {
	if organisation == 0 {
		return flood
	}
	return inside
}

// at returns a fault that happens once.
func at(when time.Duration, happen func(world *World)) func(world *World, since time.Duration) {
	done := false
	return func(world *World, since time.Duration) {
		if !done && since >= when {
			done = true
			happen(world)
		}
	}
}

// during returns a fault that begins and ends.
func during(begin, end time.Duration, set func(world *World, on bool)) func(world *World, since time.Duration) {
	start := at(begin, func(world *World) { set(world, true) })
	stop := at(end, func(world *World) { set(world, false) })
	return func(world *World, since time.Duration) {
		start(world, since)
		stop(world, since)
	}
}

// lost is the entry that scripts harm; it owns partitions and isn't the one
// that skewed demand goes to.
const lost = 2

// Scripts returns the standard cases.
func Scripts() []Script {
	quiet := func(*World, time.Duration) {}
	scripts := []Script{
		{Name: "Even", Spread: even, Load: within, Fault: quiet, To: runTime},
		{Name: "Skewed", Spread: skewed, Load: within, Fault: quiet, To: runTime},
		{Name: "Moving", Spread: moving, Load: within, Fault: quiet, To: runTime},
		{Name: "Flood", Spread: skewed, Load: flooded, Fault: quiet, To: runTime},
	}
	faults := []struct {
		name  string
		fault func() func(*World, time.Duration)
		from  time.Duration
		to    time.Duration
	}{
		{"OwnerLost", func() func(*World, time.Duration) {
			return at(faultTime, func(world *World) { world.Kill(world.Entries[lost]) })
		}, faultTime, 2 * faultTime},
		{"OwnerPaused", func() func(*World, time.Duration) {
			return during(faultTime, 2*faultTime, func(world *World, on bool) { world.Pause(world.Entries[lost], on) })
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
			return at(faultTime, func(world *World) { world.Drain(world.Entries[lost]) })
		}, faultTime, 4 * faultTime},
	}
	for _, fault := range faults {
		for _, spread := range []struct {
			name string
			of   func(time.Duration, int, int) float64
		}{{"Even", even}, {"Skewed", skewed}} {
			scripts = append(scripts, Script{Name: fault.name + spread.name, Spread: spread.of, Load: within, Fault: fault.fault(), From: fault.from, To: fault.to})
		}
	}
	return scripts
}

// Play runs a script on a way.
func (script Script) Play(build Build, seed uint64) Result {
	rates := make(Rates)
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%02d", i)
		rates[names[i]] = agatestage.Rate{PerSecond: rate, Burst: burst}
	}
	world := New(build, rates, entries, limitWait, seed)
	world.Run(runTime, func(since time.Duration, arrive func(*Entry, string)) {
		script.Fault(world, since)
		for number, name := range names {
			for i := range entries {
				mean := rate * script.Load(number) * script.Spread(since, i, entries) * step.Seconds()
				for range world.poisson(mean) {
					arrive(world.Entries[i], name)
				}
			}
		}
	})
	world.Run(limitWait+time.Second, nil)
	return world.Result(script.From, script.To)
}

// poisson draws how many requests arrive.
func (world *World) poisson(mean float64) (count int) {
	limit := math.Exp(-mean)
	for product := world.random.Float64(); product > limit; product *= world.random.Float64() {
		count++
	}
	return count
}

// Scale runs a fleet of a size with many organisations, few of them large, and
// returns the cost.
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
