package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// arrival is one scheduled online request.
type arrival struct {
	at           time.Duration
	organisation string
	entry        int
	lookup       bool
	tokens       int
	prompt       string
}

const (
	// In every burstPeriod the arrival rate is burstFactor times the base rate for
	// burstDuration.
	burstPeriod   = 10 * time.Second
	burstDuration = time.Second
	// maxArrivals bounds the length of a schedule.
	maxArrivals = 1_000_000
)

// schedule returns the arrivals of a run as a Poisson process with periodic bursts.
// The same seed gives the same arrivals.
func (profile Profile) schedule(length time.Duration, entries int, seed uint64) (arrivals []arrival) {
	random := rand.New(rand.NewPCG(seed, seed))
	total := profile.Online + profile.Lookups
	baseRate := total / (1 + (burstFactor-1)*burstDuration.Seconds()/burstPeriod.Seconds())
	for at := time.Duration(0); len(arrivals) < maxArrivals; {
		rate := baseRate
		if at%burstPeriod < burstDuration {
			rate *= burstFactor
		}
		at += time.Duration(-math.Log(1-random.Float64()) / rate * float64(time.Second))
		if at >= length {
			break
		}
		arrivals = append(arrivals, profile.sample(random, at, entries, len(arrivals)))
	}
	return arrivals
}

// sample draws the entry, organisation, kind and length of one request.
func (profile Profile) sample(random *rand.Rand, at time.Duration, entries, number int) arrival {
	next := arrival{at: at, entry: random.IntN(entries), lookup: random.Float64()*(profile.Online+profile.Lookups) < profile.Lookups}
	sample := random.Float64()
	for _, organisation := range profile.Organisations {
		next.organisation = organisation.Name
		if sample -= organisation.Share; sample < 0 {
			break
		}
	}
	next.tokens = max(2, int(float64(profile.Tokens)*(0.5+random.Float64())))
	next.prompt = promptText(fmt.Sprintf("request %d", number), profile.PromptWords)
	return next
}

// promptText returns a text of n words after a prefix.
func promptText(prefix string, n int) string {
	var text strings.Builder
	text.WriteString(prefix)
	for i := range n {
		fmt.Fprintf(&text, " word%d", i)
	}
	return text.String()
}
