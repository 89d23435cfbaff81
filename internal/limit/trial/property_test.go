package trial

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agatestage/agatestage"
)

// The seed and the number of cases are fixed, so that every run has the same
// result. The flags -rapid.seed and -rapid.checks select other cases.
const (
	rapidSeed   = "7"
	rapidChecks = "40"
)

func TestMain(m *testing.M) {
	fixed := map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks, "rapid.nofailfile": "true"}
	for name, value := range fixed {
		// The flags exist and accept these values, so this doesn't fail.
		_ = flag.Set(name, value)
	}
	m.Run()
}

// event is one random fault.
type event struct {
	at    time.Duration
	kind  string
	entry int
	ends  time.Duration
}

// drawEvents draws one to five random faults that may overlap.
func drawEvents(t *rapid.T) []event {
	kinds := rapid.SampledFrom([]string{"kill", "pause", "cut", "outage", "add", "drain"})
	const longest = 15_000
	draw := rapid.Custom(func(t *rapid.T) event {
		begin := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "begin")) * time.Millisecond
		length := time.Duration(rapid.IntRange(300, longest).Draw(t, "length")) * time.Millisecond
		return event{at: begin, kind: kinds.Draw(t, "kind"), entry: rapid.IntRange(0, 3).Draw(t, "entry"), ends: begin + length}
	})
	return rapid.SliceOfN(draw, 1, 5).Draw(t, "events")
}

// apply starts or ends an event.
func (event event) apply(world *World, begins bool) {
	entry := world.Entries[event.entry]
	switch event.kind {
	case "pause":
		world.Pause(entry, begins)
	case "cut":
		world.Cut(begins)
	case "outage":
		world.Outage(begins)
	case "kill":
		if begins {
			world.Kill(entry)
		}
	case "drain":
		if begins && !entry.dead && !entry.paused {
			world.Drain(entry)
		}
	case "add":
		if begins {
			world.Add()
		}
	}
}

// expectBounded checks the invariant that the bound on windows rests on: the tokens
// that could be used in the whole fleet now are at most the burst.
func (world *World) expectBounded(t *rapid.T, since time.Duration) {
	for name, rate := range world.Rates {
		sum := 0.0
		for _, entry := range world.Entries {
			if !entry.dead {
				sum += entry.algorithm.(*grantAlgorithm).usableTokens(name)
			}
		}
		if sum > rate.Burst+slack {
			t.Fatalf("%s: %.2f tokens could be used at %v, the burst is %.0f", name, sum, since, rate.Burst)
		}
	}
}

// TestNeverOversold checks that random, overlapping faults of all kinds never lead
// to more admissions than the rate and burst allow.
func TestNeverOversold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := drawEvents(t)
		load := rapid.Float64Range(0.2, 4).Draw(t, "load")
		favourite := rapid.IntRange(0, 3).Draw(t, "favourite")
		rates := Rates{}
		var names []string
		for i := range 4 {
			names = append(names, fmt.Sprintf("organisation-%d", i))
			rates[names[i]] = agatestage.Rate{PerSecond: 30, Burst: 60}
		}
		world := New(NewGrant, rates, 4, time.Second, rapid.Uint64().Draw(t, "seed"))
		began, ended := make([]bool, len(events)), make([]bool, len(events))
		world.Run(35*time.Second, func(since time.Duration, arrive func(*Entry, string)) {
			for i, event := range events {
				if !began[i] && since >= event.at {
					began[i] = true
					event.apply(world, true)
				}
				if !ended[i] && since >= event.ends {
					ended[i] = true
					event.apply(world, false)
				}
			}
			world.expectBounded(t, since)
			for _, name := range names {
				for range world.poisson(rates[name].PerSecond * load * step.Seconds()) {
					entry := world.random.IntN(4)
					if world.random.Float64() < 0.7 {
						entry = favourite
					}
					arrive(world.Entries[entry], name)
				}
			}
		})
		if result := world.Result(0, time.Hour); result.Oversold > 0 {
			t.Fatalf("oversold by %.2f requests under %+v", result.Oversold, events)
		}
	})
}
