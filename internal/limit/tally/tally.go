// Package tally is a gossip-based rate limiter: gateways report the requests
// that they admit to one another and limit each organisation over all gateways.
//
// # Model
//
// Each gateway estimates the level of one token bucket per organisation. The
// bucket refills at the organisation's rate. Requests admitted by this gateway
// are deducted at once, those admitted by other gateways when they are reported.
// While the level is high, a request is admitted at any gateway. When the level
// is low, gateways no longer draw on the same tokens: each admits only its share
// of the rate, in proportion to its share of the demand.
//
// # Bound
//
// The requests admitted in a window of length t exceed rate × t + burst at most
// by those that other gateways admitted and have not reported yet. Two rules
// bound these. First, the reserve, below which a gateway admits only its share of
// the rate, covers the demand last reported by the others. Second, a gateway's
// unreported requests are limited to its share of the tokens plus its share of
// the tolerance, so that gateways flooded at the same moment don't each spend the
// whole bucket. A gateway whose estimate is below zero admits nothing until the
// bucket has refilled.
//
// # Failures
//
// An unreachable gateway keeps its share of the rate until it is removed from the
// list of gateways. A gateway that starts has no information about the bucket: it
// adopts the estimate of the first gateway that reports to it, and admits only
// its share until then. So no state has to be stored, and requests within an
// equal share of the rate are not refused after a restart.
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
	// reserveFraction is the part of the burst below which a gateway admits only
	// its share of the rate, however small the demand of the others.
	reserveFraction = 0.1
	// reserveSlack lowers the reserve by a number of requests, which avoids
	// refusing requests that the bucket has room for.
	reserveSlack = 3
	// tolerance is how many requests all gateways together may admit beyond the
	// bucket before they receive one another's reports. The users allow 20.
	tolerance = 15
	// minTolerance is the least share of the tolerance of one gateway, in requests.
	// With less, a caller's second request would be refused at a gateway that gets
	// no other requests.
	minTolerance = 2
	// priorDemand is the demand assumed for all gateways together before any is
	// reported, in requests per second.
	priorDemand = 4.0
	// initialFraction is the part of the burst that a gateway assumes to be left
	// before it has any information.
	initialFraction = 0.5
	// stalePeriods is the number of report periods without a report after which a
	// gateway counts as unreachable.
	stalePeriods = 2
	// shareBurstTime is the time over which a gateway can accumulate its share of
	// the rate.
	shareBurstTime = 300 * time.Millisecond
	// demandDecay is the time constant of the measured demand.
	demandDecay = 1500 * time.Millisecond
	// maxDebtTime bounds how far the level can fall below zero, as a time at the
	// rate. It is the length of the window over which the users measure.
	maxDebtTime = 5 * time.Second
	// activeTime is how long after its last request an organisation is reported.
	activeTime = 3 * time.Second
	// nearFullFraction is the part of the burst above which an organisation is
	// reported less often.
	nearFullFraction = 0.75
	// warmUpTime is the time after which a process that has received no reliable
	// level relies on its own estimate. It is the length of the window over which
	// the users measure.
	warmUpTime = 5 * time.Second
	// retention is how long an organisation without requests is kept.
	retention = 30 * time.Second
	// minRetryAfter is the shortest time after which a refused caller may retry.
	minRetryAfter = 100 * time.Millisecond
)

// Count is a gateway's report on one organisation.
type Count struct {
	// Admitted counts the requests admitted since the gateway's process started.
	Admitted uint64 `cbor:"1,keyasint"`
	// Demand is the rate of requests at the gateway, per second.
	Demand float32 `cbor:"2,keyasint"`
	// Level is the gateway's estimate of the bucket's level.
	Level float32 `cbor:"3,keyasint"`
	// Unreported counts the admitted requests that some gateways may not have received
	// a report of yet.
	Unreported uint32 `cbor:"4,keyasint,omitempty"`
	// Known reports that Level is not based on the initial guess of the process.
	Known bool `cbor:"5,keyasint,omitempty"`
}

// account is this gateway's estimate of one organisation's bucket.
type account struct {
	// level is the estimate at the time refilled.
	level    float64
	refilled time.Time
	// shareTokens is the accumulated share of the rate of this gateway.
	shareTokens   float64
	shareRefilled time.Time
	admitted      uint64
	// unreported holds the times of the admitted requests that some gateways may
	// not have received a report of yet.
	unreported []time.Time
	// demand is the smoothed rate of requests at the time demandUpdated.
	demand        float64
	demandUpdated time.Time
	// created is when this process first saw the organisation.
	created time.Time
	// synced says that the level has been taken from another gateway since.
	synced bool
	// others holds the demand last reported by each other gateway.
	others map[string]float64
}

// peer is the state of another gateway.
type peer struct {
	instance string
	// reported is when the last report was received.
	reported time.Time
	// admitted holds the last reported Count.Admitted of each organisation.
	admitted map[string]uint64
}

// Tally implements agatestage.Limiter.
type Tally struct {
	clock agatestage.Clock
	rates agatestage.RateSource
	// gateways returns the names of the other gateways known to admit requests.
	gateways func() []string
	// delay returns how long after its admission a request may be unreported.
	delay    func() time.Duration
	mutex    sync.Mutex
	accounts map[string]*account
	peers    map[string]*peer
	swept    time.Time
}

// New returns a tally without any estimates. The function gateways returns the
// names of the other gateways that may admit requests, whether reachable or not;
// delay returns how long a request there may be unreported.
func New(clock agatestage.Clock, rates agatestage.RateSource, gateways func() []string, delay func() time.Duration) *Tally {
	return &Tally{
		clock: clock, rates: rates, gateways: gateways, delay: delay,
		accounts: make(map[string]*account), peers: make(map[string]*peer), swept: clock.Now(),
	}
}

// Admit implements agatestage.Limiter. It never waits.
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
	share := account.share(others)
	tally.refill(account, rate, others, now)
	account.refillShare(rate, share, now)
	account.recordArrival(now)
	account.dropReported(now.Add(-delay))
	if !account.admits(share, account.reserve(rate, others, delay), len(others)) {
		return account.refuse(organisation, rate, share)
	}
	account.level--
	account.shareTokens = max(0, account.shareTokens-1)
	account.admitted++
	account.unreported = append(account.unreported, now)
	return nil
}

// admits reports whether one more request may be admitted: either within this
// gateway's share of the rate, or from a bucket whose level is above the reserve,
// as long as the unreported requests stay within this gateway's share of the
// tokens and of the tolerance.
func (account *account) admits(share, reserve float64, others int) bool {
	switch {
	case account.level < 1:
		return false
	case account.shareTokens >= 1:
		return true
	case account.level-1 < reserve:
		return false
	}
	unreported := float64(len(account.unreported))
	return unreported+1 <= (account.level+unreported)*share+max(minTolerance, tolerance/float64(others+1))
}

// dropReported removes the admissions that have been reported to all other
// gateways by now.
func (account *account) dropReported(before time.Time) {
	account.unreported = slices.DeleteFunc(account.unreported, func(at time.Time) bool { return at.Before(before) })
}

// account returns an organisation's account. It creates one if there is none.
func (tally *Tally) account(organisation string, rate agatestage.Rate, now time.Time) *account {
	found := tally.accounts[organisation]
	if found == nil {
		found = &account{level: burst(rate) * initialFraction, refilled: now, shareTokens: 1, shareRefilled: now, demandUpdated: now, created: now, others: make(map[string]float64)}
		tally.accounts[organisation] = found
	}
	return found
}

// burst returns the capacity of a bucket, which is at least one request.
func burst(rate agatestage.Rate) float64 {
	return max(1, rate.Burst)
}

// share returns this gateway's share of the rate, which is its share of the
// demand. A prior demand is added to that of each gateway, so that the first
// caller at a gateway isn't refused.
func (account *account) share(others []string) float64 {
	prior := priorPerGateway(others)
	return (account.demand + prior) / account.totalDemand(others)
}

// totalDemand returns the sum of the demand of all gateways and the prior demand.
func (account *account) totalDemand(others []string) float64 {
	sum := account.demand + priorDemand
	for _, name := range others {
		sum += account.others[name]
	}
	return sum
}

// priorPerGateway returns the prior demand that is added to that of each gateway.
func priorPerGateway(others []string) float64 {
	return priorDemand / float64(len(others)+1)
}

// reserve returns the level below which only this gateway's share of the rate is
// admitted.
func (account *account) reserve(rate agatestage.Rate, others []string, delay time.Duration) float64 {
	demand := 0.0
	for _, name := range others {
		demand += account.others[name]
	}
	return max(0, min(burst(rate)-1, max(burst(rate)*reserveFraction, demand*delay.Seconds()))-reserveSlack)
}

// refill advances the estimate of the bucket to now. Unreachable gateways are
// assumed to use their shares of the rate.
func (tally *Tally) refill(account *account, rate agatestage.Rate, others []string, now time.Time) {
	share, sum, prior := 1.0, account.totalDemand(others), priorPerGateway(others)
	for _, name := range others {
		if peer := tally.peers[name]; peer == nil || now.Sub(peer.reported) > stalePeriods*tally.delay() {
			share -= (account.others[name] + prior) / sum
		}
	}
	elapsed := max(0, now.Sub(account.refilled).Seconds())
	account.refilled = now
	account.level = min(burst(rate), account.level+rate.PerSecond*share*elapsed)
}

// refillShare advances the tokens of this gateway's share of the rate to now.
func (account *account) refillShare(rate agatestage.Rate, share float64, now time.Time) {
	elapsed := max(0, now.Sub(account.shareRefilled).Seconds())
	account.shareRefilled = now
	account.shareTokens = min(max(1, rate.PerSecond*share*shareBurstTime.Seconds()), account.shareTokens+rate.PerSecond*share*elapsed)
}

// recordArrival adds a request to the measured demand.
func (account *account) recordArrival(now time.Time) {
	account.decayDemand(now)
	account.demand += 1 / demandDecay.Seconds()
}

func (account *account) decayDemand(now time.Time) {
	if elapsed := now.Sub(account.demandUpdated); elapsed > 0 {
		account.demand *= math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
		account.demandUpdated = now
	}
}

// refuse returns a refusal with the time after which this gateway's share of the
// rate should admit a request again.
func (account *account) refuse(organisation string, rate agatestage.Rate, share float64) error {
	refusal := agatestage.Refuse(agatestage.CodeRateLimited, "organisation %s is above its rate of %g requests a second: level %.1f of %g, part %.2f",
		organisation, rate.PerSecond, account.level, rate.Burst, share)
	lacking := max((1-account.shareTokens)/share, 1-account.level, 1)
	refusal.RetryAfter = max(minRetryAfter, rate.RefillTime(lacking))
	return refusal
}

// Counts returns the report for the other gateways: on all active organisations,
// or only on those whose level is not near the burst.
func (tally *Tally) Counts(all bool) map[string]Count {
	delay := tally.delay()
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := tally.clock.Now()
	tally.sweep(now)
	counts := make(map[string]Count)
	for organisation, account := range tally.accounts {
		rate, ok := tally.rates.Rate(organisation)
		if !ok || account.admitted == 0 || now.Sub(account.demandUpdated) > activeTime {
			continue
		}
		if !all && account.level > burst(rate)*nearFullFraction {
			continue
		}
		account.decayDemand(now)
		account.dropReported(now.Add(-delay))
		counts[organisation] = Count{
			Admitted: account.admitted, Demand: float32(account.demand), Level: float32(account.level),
			Unreported: uint32(len(account.unreported)), Known: account.known(now),
		}
	}
	return counts
}

// Merge applies a report from a process of another gateway.
func (tally *Tally) Merge(gateway, instance string, counts map[string]Count) {
	others, delay := tally.gateways(), tally.delay()
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := tally.clock.Now()
	known := tally.peers[gateway]
	if known == nil || known.instance != instance {
		known = &peer{instance: instance, admitted: make(map[string]uint64)}
		tally.peers[gateway] = known
	}
	known.reported = now
	for organisation, count := range counts {
		rate, ok := tally.rates.Rate(organisation)
		if !ok {
			continue
		}
		account := tally.account(organisation, rate, now)
		tally.refill(account, rate, others, now)
		account.dropReported(now.Add(-delay))
		before, reported := known.admitted[organisation]
		switch {
		case !account.known(now) && count.Known:
			// The level of the other gateway is more reliable than the initial guess,
			// but lacks the requests that were admitted here and not reported yet.
			account.level, account.synced = min(account.level, float64(count.Level)-float64(len(account.unreported))), true
		case !reported:
			account.level -= float64(count.Unreported)
		case count.Admitted > before:
			account.level -= float64(count.Admitted - before)
		}
		account.level = max(account.level, -rate.PerSecond*maxDebtTime.Seconds())
		if count.Admitted >= before {
			known.admitted[organisation] = count.Admitted
		}
		account.others[gateway] = float64(count.Demand)
	}
}

// known reports whether the level is based on more than the initial guess.
func (account *account) known(now time.Time) bool {
	return account.synced || now.Sub(account.created) > warmUpTime
}

// sweep removes the accounts of organisations without requests.
func (tally *Tally) sweep(now time.Time) {
	if now.Sub(tally.swept) < retention {
		return
	}
	tally.swept = now
	for organisation, account := range tally.accounts {
		if now.Sub(account.demandUpdated) > retention && now.Sub(account.refilled) > retention {
			delete(tally.accounts, organisation)
		}
	}
}
