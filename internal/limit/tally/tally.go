// Package tally limits organisations over all gateways by what gateways tell
// one another of the requests that they admit.
//
// # Model
//
// Each gateway keeps an estimate of every organisation's one token bucket: it
// fills at the rate, and what any gateway admits is taken out, its own requests
// at once and those of others when they tell. While the bucket is well filled,
// a request is admitted wherever it arrives. When it runs low, gateways no
// longer draw on the same tokens: each admits only its part of the rate, by its
// part of the demand.
//
// # Bound
//
// What is admitted in a window of length t exceeds rate × t + burst at most by
// what others admit before they are heard. The reserve below which only parts
// of the rate are admitted covers that at the demand that was last told, and an
// estimate below zero admits nothing until it has filled again.
//
// # Failures
//
// A gateway that isn't heard keeps its part of the rate until it is gone. A
// gateway that starts knows nothing of the bucket: it takes the estimate of the
// first gateway that it hears, and until then admits its part only. So nothing
// has to be kept, and nothing is refused after a restart that is within an even
// part of the rate.
package tally

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

const (
	// reserveFraction is the part of the burst below which only parts of the rate
	// are admitted, however small the others' demand.
	reserveFraction = 0.1
	// tolerance is how many requests may be admitted beyond the bucket for the
	// sake of not refusing others that it has room for. The users allow 20.
	tolerance = 3
	// startFraction is the part of the burst that a gateway which knows nothing
	// assumes.
	startFraction = 0.5
	// heardPeriods is how many messages of a gateway may be missing before it
	// counts as not heard.
	heardPeriods = 2
	// pacedTime is for how long a gateway's part of the rate can be saved up.
	pacedTime = 300 * time.Millisecond
	// demandDecay is the time constant of the measured demand.
	demandDecay = 1500 * time.Millisecond
	// floorTime bounds the debt of a bucket, in time at its rate.
	floorTime = 2 * time.Second
	// activeFor is how long after its last request an organisation is told of.
	activeFor = 3 * time.Second
	// quietFraction is the part of the burst above which an organisation is told
	// of less often.
	quietFraction = 0.75
	// forgetAfter is how long an organisation without requests is remembered.
	forgetAfter = 30 * time.Second
	// minRetryAfter is the shortest time after which a refused caller may return.
	minRetryAfter = 100 * time.Millisecond
)

// Count is what a gateway tells of one organisation.
type Count struct {
	// Admitted counts the requests that the gateway's process has admitted.
	Admitted uint64 `cbor:"1,keyasint"`
	// Demand is the rate of requests there, per second.
	Demand float32 `cbor:"2,keyasint"`
	// Level is its estimate of the bucket.
	Level float32 `cbor:"3,keyasint"`
}

// account is one organisation's bucket as it is estimated here.
type account struct {
	level float64
	at    time.Time
	// paced holds this gateway's part of the rate that is saved up.
	paced    float64
	pacedAt  time.Time
	admitted uint64
	demand   float64
	seen     time.Time
	// told says that the level comes from another gateway or has been filled
	// from a known one.
	told bool
	// others holds the demand that each gateway has last told.
	others map[string]float64
}

// peer is another gateway.
type peer struct {
	instance string
	heard    time.Time
	admitted map[string]uint64
}

// Tally implements agatestage.Limiter.
type Tally struct {
	clock agatestage.Clock
	rates agatestage.RateSource
	// gateways returns the names of the other gateways that admit requests, as far
	// as is known.
	gateways func() []string
	// delay is how long a request may go untold.
	delay    func() time.Duration
	mutex    sync.Mutex
	accounts map[string]*account
	peers    map[string]*peer
	swept    time.Time
}

// New returns a tally that knows nothing yet. Gateways names the other gateways
// that may admit requests, heard or not; delay is how long a request there may go
// untold.
func New(clock agatestage.Clock, rates agatestage.RateSource, gateways func() []string, delay func() time.Duration) *Tally {
	return &Tally{
		clock: clock, rates: rates, gateways: gateways, delay: delay,
		accounts: make(map[string]*account), peers: make(map[string]*peer), swept: clock.Now(),
	}
}

// Admit implements agatestage.Limiter. It decides at once.
func (tally *Tally) Admit(_ context.Context, organisation string) error {
	rate, ok := tally.rates.Rate(organisation)
	if !ok {
		return agatestage.Refuse(agatestage.CodeForbidden, "organisation %q doesn't exist", organisation)
	}
	if rate.PerSecond <= 0 {
		return nil
	}
	others := tally.gateways()
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := tally.clock.Now()
	account := tally.account(organisation, rate, now)
	part := account.part(others)
	tally.fill(account, rate, others, now)
	account.pace(rate, part, now)
	account.arrive(now)
	if account.level < 1 || (account.paced < 1 && account.level-1 < account.reserve(rate, others, tally.delay())) {
		return account.refuse(organisation, rate, part)
	}
	account.level--
	account.paced = max(0, account.paced-1)
	account.admitted++
	return nil
}

// account returns an organisation's account.
func (tally *Tally) account(organisation string, rate agatestage.Rate, now time.Time) *account {
	found := tally.accounts[organisation]
	if found == nil {
		found = &account{level: burst(rate) * startFraction, at: now, paced: 1, pacedAt: now, seen: now, others: make(map[string]float64)}
		tally.accounts[organisation] = found
	}
	return found
}

// burst returns the capacity of a bucket, which holds one request at least.
func burst(rate agatestage.Rate) float64 {
	return max(1, rate.Burst)
}

// part returns this gateway's part of the rate, which is its part of the demand.
// Each gateway counts as if it had one request a second more, so that a new
// caller isn't refused where none was before.
func (account *account) part(others []string) float64 {
	sum := account.demand + 1
	for _, name := range others {
		sum += account.others[name] + 1
	}
	return (account.demand + 1) / sum
}

// reserve returns the level below which only a part of the rate is admitted.
func (account *account) reserve(rate agatestage.Rate, others []string, delay time.Duration) float64 {
	demand := 0.0
	for _, name := range others {
		demand += account.others[name]
	}
	return max(0, min(burst(rate)-1, max(burst(rate)*reserveFraction, demand*delay.Seconds()))-tolerance)
}

// fill brings the estimate of the bucket up to now. Gateways that aren't heard
// are taken to use their parts of the rate.
func (tally *Tally) fill(account *account, rate agatestage.Rate, others []string, now time.Time) {
	share, sum := 1.0, account.demand+1
	for _, name := range others {
		sum += account.others[name] + 1
	}
	for _, name := range others {
		if known := tally.peers[name]; known == nil || now.Sub(known.heard) > heardPeriods*tally.delay() {
			share -= (account.others[name] + 1) / sum
		}
	}
	elapsed := max(0, now.Sub(account.at).Seconds())
	account.at = now
	account.level = min(burst(rate), account.level+rate.PerSecond*share*elapsed)
}

// pace brings this gateway's part of the rate up to now.
func (account *account) pace(rate agatestage.Rate, part float64, now time.Time) {
	elapsed := max(0, now.Sub(account.pacedAt).Seconds())
	account.pacedAt = now
	account.paced = min(max(1, rate.PerSecond*part*pacedTime.Seconds()), account.paced+rate.PerSecond*part*elapsed)
}

// arrive takes a request into the measured demand.
func (account *account) arrive(now time.Time) {
	account.decay(now)
	account.demand += 1 / demandDecay.Seconds()
}

func (account *account) decay(now time.Time) {
	if elapsed := now.Sub(account.seen); elapsed > 0 {
		account.demand *= math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
		account.seen = now
	}
}

// refuse tells when this gateway's part of the rate should have room again.
func (account *account) refuse(organisation string, rate agatestage.Rate, part float64) error {
	refusal := agatestage.Refuse(agatestage.CodeRateLimited, "organisation %s is above its rate of %g requests a second: level %.1f of %g, part %.2f",
		organisation, rate.PerSecond, account.level, rate.Burst, part)
	lacking := max((1-account.paced)/part, 1-account.level, 1)
	refusal.RetryAfter = max(minRetryAfter, rate.Period(lacking))
	return refusal
}

// Counts returns what to tell the others: all active organisations, or only those
// whose buckets run low.
func (tally *Tally) Counts(all bool) map[string]Count {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := tally.clock.Now()
	tally.sweep(now)
	counts := make(map[string]Count)
	for organisation, account := range tally.accounts {
		rate, ok := tally.rates.Rate(organisation)
		if !ok || account.admitted == 0 || now.Sub(account.seen) > activeFor {
			continue
		}
		if !all && account.level > burst(rate)*quietFraction {
			continue
		}
		account.decay(now)
		counts[organisation] = Count{Admitted: account.admitted, Demand: float32(account.demand), Level: float32(account.level)}
	}
	return counts
}

// Hear takes what a process of another gateway has told.
func (tally *Tally) Hear(gateway, instance string, counts map[string]Count) {
	others := tally.gateways()
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := tally.clock.Now()
	known := tally.peers[gateway]
	if known == nil || known.instance != instance {
		known = &peer{instance: instance, admitted: make(map[string]uint64)}
		tally.peers[gateway] = known
	}
	known.heard = now
	for organisation, count := range counts {
		rate, ok := tally.rates.Rate(organisation)
		if !ok {
			continue
		}
		account := tally.account(organisation, rate, now)
		tally.fill(account, rate, others, now)
		before, heard := known.admitted[organisation]
		switch {
		case !account.told:
			// The other knows the bucket better than a gateway that has just started.
			account.level, account.told = min(float64(count.Level), burst(rate)), true
		case heard && count.Admitted > before:
			account.level -= float64(count.Admitted - before)
		case !heard:
			account.level = min(account.level, max(float64(count.Level), account.level-float64(count.Admitted)))
		}
		account.level = max(account.level, -rate.PerSecond*floorTime.Seconds())
		if count.Admitted >= before {
			known.admitted[organisation] = count.Admitted
		}
		account.others[gateway] = float64(count.Demand)
	}
}

// sweep forgets organisations without requests and gateways that are gone.
func (tally *Tally) sweep(now time.Time) {
	if now.Sub(tally.swept) < forgetAfter {
		return
	}
	tally.swept = now
	for organisation, account := range tally.accounts {
		if now.Sub(account.seen) > forgetAfter && now.Sub(account.at) > forgetAfter {
			delete(tally.accounts, organisation)
		}
	}
}
