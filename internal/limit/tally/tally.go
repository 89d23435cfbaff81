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
// what others admit before they are heard. Two things bound that. The reserve
// below which only parts of the rate are admitted covers the demand that was last
// told. And until a gateway's requests have been told, it takes no more than its
// part of the tokens and its part of the tolerance, so that gateways which are
// flooded at the same moment don't each spend the whole bucket. An estimate below
// zero admits nothing until it has filled again.
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
	"slices"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

const (
	// reserveFraction is the part of the burst below which only parts of the rate
	// are admitted, however small the others' demand.
	reserveFraction = 0.1
	// reserveSlack is how many requests the reserve may be short of, for the sake
	// of not refusing others that the bucket has room for.
	reserveSlack = 3
	// tolerance is how many requests all gateways together may admit beyond the
	// bucket before they hear one another. The users allow 20.
	tolerance = 15
	// minTolerance is a gateway's least part of the tolerance, in requests: with
	// less, a caller's second request would be refused wherever it is alone.
	minTolerance = 2
	// priorDemand is the demand that all gateways together are taken to have
	// before any is told, in requests per second.
	priorDemand = 4.0
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
	// floorTime bounds the debt of a bucket, in time at its rate: the length of the
	// window over which the users count.
	floorTime = 5 * time.Second
	// activeFor is how long after its last request an organisation is told of.
	activeFor = 3 * time.Second
	// quietFraction is the part of the burst above which an organisation is told
	// of less often.
	quietFraction = 0.75
	// knownAfter is how long after its start a process that has heard of nobody
	// who knows the bucket takes its own estimate as known: the window over which
	// the users count.
	knownAfter = 5 * time.Second
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
	// Untold counts those of the admitted requests of which some gateway may not
	// have heard yet.
	Untold uint32 `cbor:"4,keyasint,omitempty"`
	// Known says that the level doesn't rest on a guess at the start of the process.
	Known bool `cbor:"5,keyasint,omitempty"`
}

// account is one organisation's bucket as it is estimated here.
type account struct {
	level float64
	at    time.Time
	// paced holds this gateway's part of the rate that is saved up.
	paced    float64
	pacedAt  time.Time
	admitted uint64
	// untold holds when requests were admitted that some gateway may not have
	// heard of yet.
	untold []time.Time
	demand float64
	seen   time.Time
	// began is when this process took the organisation up; told says that the
	// level comes from another gateway since.
	began time.Time
	told  bool
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
	others, delay := tally.gateways(), tally.delay()
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := tally.clock.Now()
	account := tally.account(organisation, rate, now)
	part := account.part(others)
	tally.fill(account, rate, others, now)
	account.pace(rate, part, now)
	account.arrive(now)
	account.forgetTold(now.Add(-delay))
	if !account.admits(part, account.reserve(rate, others, delay), len(others)) {
		return account.refuse(organisation, rate, part)
	}
	account.level--
	account.paced = max(0, account.paced-1)
	account.admitted++
	account.untold = append(account.untold, now)
	return nil
}

// admits reports whether one more request may be admitted: within this gateway's
// part of the rate, or from a bucket that is filled above the reserve, as long as
// the others hear of it before their parts of the tokens are gone.
func (account *account) admits(part, reserve float64, others int) bool {
	switch {
	case account.level < 1:
		return false
	case account.paced >= 1:
		return true
	case account.level-1 < reserve:
		return false
	}
	untold := float64(len(account.untold))
	return untold+1 <= (account.level+untold)*part+max(minTolerance, tolerance/float64(others+1))
}

// forgetTold drops the admissions that all others have heard of by now.
func (account *account) forgetTold(before time.Time) {
	account.untold = slices.DeleteFunc(account.untold, func(at time.Time) bool { return at.Before(before) })
}

// account returns an organisation's account.
func (tally *Tally) account(organisation string, rate agatestage.Rate, now time.Time) *account {
	found := tally.accounts[organisation]
	if found == nil {
		found = &account{level: burst(rate) * startFraction, at: now, paced: 1, pacedAt: now, seen: now, began: now, others: make(map[string]float64)}
		tally.accounts[organisation] = found
	}
	return found
}

// burst returns the capacity of a bucket, which holds one request at least.
func burst(rate agatestage.Rate) float64 {
	return max(1, rate.Burst)
}

// part returns this gateway's part of the rate, which is its part of the demand.
// Each gateway counts as if it had some demand more, so that a new caller isn't
// refused where none was before.
func (account *account) part(others []string) float64 {
	prior := priorOf(others)
	return (account.demand + prior) / account.weight(others)
}

// weight sums the demands of all gateways.
func (account *account) weight(others []string) float64 {
	sum := account.demand + priorDemand
	for _, name := range others {
		sum += account.others[name]
	}
	return sum
}

// priorOf returns the demand that each gateway is taken to have besides its own.
func priorOf(others []string) float64 {
	return priorDemand / float64(len(others)+1)
}

// reserve returns the level below which only a part of the rate is admitted.
func (account *account) reserve(rate agatestage.Rate, others []string, delay time.Duration) float64 {
	demand := 0.0
	for _, name := range others {
		demand += account.others[name]
	}
	return max(0, min(burst(rate)-1, max(burst(rate)*reserveFraction, demand*delay.Seconds()))-reserveSlack)
}

// fill brings the estimate of the bucket up to now. Gateways that aren't heard
// are taken to use their parts of the rate.
func (tally *Tally) fill(account *account, rate agatestage.Rate, others []string, now time.Time) {
	share, sum, prior := 1.0, account.weight(others), priorOf(others)
	for _, name := range others {
		if known := tally.peers[name]; known == nil || now.Sub(known.heard) > heardPeriods*tally.delay() {
			share -= (account.others[name] + prior) / sum
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
	refusal.RetryAfter = max(minRetryAfter, rate.RefillTime(lacking))
	return refusal
}

// Counts returns what to tell the others: all active organisations, or only those
// whose buckets run low.
func (tally *Tally) Counts(all bool) map[string]Count {
	delay := tally.delay()
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
		account.forgetTold(now.Add(-delay))
		counts[organisation] = Count{
			Admitted: account.admitted, Demand: float32(account.demand), Level: float32(account.level),
			Untold: uint32(len(account.untold)), Known: account.known(now),
		}
	}
	return counts
}

// Hear takes what a process of another gateway has told.
func (tally *Tally) Hear(gateway, instance string, counts map[string]Count) {
	others, delay := tally.gateways(), tally.delay()
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
		account.forgetTold(now.Add(-delay))
		before, heard := known.admitted[organisation]
		switch {
		case !account.known(now) && count.Known:
			// The other knows the bucket better, but for what was admitted here.
			account.level, account.told = min(account.level, float64(count.Level)-float64(len(account.untold))), true
		case !heard:
			account.level -= float64(count.Untold)
		case count.Admitted > before:
			account.level -= float64(count.Admitted - before)
		}
		account.level = max(account.level, -rate.PerSecond*floorTime.Seconds())
		if count.Admitted >= before {
			known.admitted[organisation] = count.Admitted
		}
		account.others[gateway] = float64(count.Demand)
	}
}

// known reports whether the level rests on more than the guess at the start.
func (account *account) known(now time.Time) bool {
	return account.told || now.Sub(account.began) > knownAfter
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
