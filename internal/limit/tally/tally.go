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
// unreported requests are limited to its share of the tokens plus unheardRequests, so
// that gateways flooded at the same moment don't each spend the whole bucket. A
// gateway whose estimate is below zero admits nothing until the bucket has
// refilled.
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
	// unheardRequests is how many requests a gateway may admit beyond its share of the tokens
	// before the others have its report. With fewer, a caller's second request would be refused
	// at a gateway that gets no other requests, though the bucket has room for it.
	unheardRequests = 2
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
	// activeTime is how long after its last request an organisation is reported.
	activeTime = 3 * time.Second
	// nearFullFraction is the part of the burst above which an organisation is
	// reported less often.
	nearFullFraction = 0.75
	// retention is how long an organisation without requests is kept.
	retention = 30 * time.Second
	// viewPeriod is how often the set of gateways is read. It is the shortest period
	// of reports, so a more recent set wouldn't be known anyway.
	viewPeriod = 100 * time.Millisecond
	// cleanupPeriod is how often demand that is no longer reported is dropped.
	cleanupPeriod = time.Second
	// demandTTL is how long the demand in a gateway's last report counts. A gateway
	// stops reporting an organisation activeTime after its last request.
	demandTTL = 2 * activeTime
	// minRetryAfter is the shortest time after which a refused caller may retry: until the next
	// reports no gateway knows more.
	minRetryAfter = viewPeriod
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
	// lastArrival is when this gateway last got a request of the organisation.
	lastArrival time.Time
	// created is when this process first saw the organisation.
	created time.Time
	// synced says that the level has been taken from another gateway since.
	synced bool
	// others holds the demand last reported by each other gateway, and othersDemand
	// its sum.
	others       map[string]reportedDemand
	othersDemand float64
}

// reportedDemand is the demand in a report and when it was received.
type reportedDemand struct {
	demand   float64
	received time.Time
}

// view is what is known of the other gateways, as read at the time at.
type view struct {
	at time.Time
	// others is the number of the other gateways that may admit requests, stale holds
	// the names of those whose last report is overdue.
	others int
	stale  []string
	// delay is how long after its admission a request may be unreported.
	delay time.Duration
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
	view     view
	accounts map[string]*account
	peers    map[string]*peer
	swept    time.Time
	cleaned  time.Time
}

// New returns a tally without any estimates. The function gateways returns the
// names of the other gateways that may admit requests, whether reachable or not;
// delay returns how long a request there may be unreported.
func New(clock agatestage.Clock, rates agatestage.RateSource, gateways func() []string, delay func() time.Duration) *Tally {
	return &Tally{
		clock: clock, rates: rates, gateways: gateways, delay: delay,
		accounts: make(map[string]*account), peers: make(map[string]*peer), swept: clock.Now(), cleaned: clock.Now(),
	}
}

// currentView returns the view of the other gateways, which it reads again once per
// viewPeriod: the cost of a request or report must not grow with their number. The
// mutex must be held.
func (tally *Tally) currentView(now time.Time) view {
	if !tally.view.at.IsZero() && now.Sub(tally.view.at) < viewPeriod {
		return tally.view
	}
	names := tally.gateways()
	tally.view = view{at: now, others: len(names), delay: tally.delay()}
	for _, name := range names {
		if peer := tally.peers[name]; peer == nil || now.Sub(peer.reported) > stalePeriods*tally.view.delay {
			tally.view.stale = append(tally.view.stale, name)
		}
	}
	if now.Sub(tally.cleaned) >= cleanupPeriod {
		tally.cleaned = now
		tally.dropOldDemand(names, now)
	}
	return tally.view
}

// dropOldDemand removes the demand of gateways that no longer admit requests, and
// demand that has not been reported for demandTTL.
func (tally *Tally) dropOldDemand(names []string, now time.Time) {
	admitting := make(map[string]bool, len(names))
	for _, name := range names {
		admitting[name] = true
	}
	for _, account := range tally.accounts {
		for name, reported := range account.others {
			if !admitting[name] || now.Sub(reported.received) > demandTTL {
				account.setOthersDemand(name, reportedDemand{})
				delete(account.others, name)
			}
		}
	}
}

// setOthersDemand records the demand that another gateway has reported.
func (account *account) setOthersDemand(gateway string, reported reportedDemand) {
	account.othersDemand = max(0, account.othersDemand+reported.demand-account.others[gateway].demand)
	account.others[gateway] = reported
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
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := tally.clock.Now()
	view := tally.currentView(now)
	account := tally.account(organisation, rate, now)
	share := account.share(view.others)
	account.refill(rate, view, now)
	account.refillShare(rate, share, now)
	account.recordArrival(now)
	account.dropReported(now.Add(-view.delay))
	if !account.admits(share, account.reserve(rate, view.delay)) {
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
// tokens and unheardRequests.
func (account *account) admits(share, reserve float64) bool {
	switch {
	case account.level < 1:
		return false
	case account.shareTokens >= 1:
		return true
	case account.level-1 < reserve:
		return false
	}
	unreported := float64(len(account.unreported))
	return unreported+1 <= (account.level+unreported)*share+unheardRequests
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
		found = &account{level: burst(rate) * initialFraction, refilled: now, shareTokens: 1, shareRefilled: now, demandUpdated: now, created: now, others: make(map[string]reportedDemand)}
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
func (account *account) share(others int) float64 {
	return (account.demand + priorPerGateway(others)) / account.totalDemand()
}

// totalDemand returns the sum of the demand of all gateways and the prior demand.
func (account *account) totalDemand() float64 {
	return account.demand + account.othersDemand + priorDemand
}

// priorPerGateway returns the prior demand that is added to that of each gateway.
func priorPerGateway(others int) float64 {
	return priorDemand / float64(others+1)
}

// reserve returns the level below which only this gateway's share of the rate is
// admitted.
func (account *account) reserve(rate agatestage.Rate, delay time.Duration) float64 {
	return max(0, min(burst(rate)-1, max(burst(rate)*reserveFraction, account.othersDemand*delay.Seconds()))-reserveSlack)
}

// refill advances the estimate of the bucket to now. Gateways whose reports are
// overdue are assumed to use their shares of the rate.
func (account *account) refill(rate agatestage.Rate, view view, now time.Time) {
	share, sum, prior := 1.0, account.totalDemand(), priorPerGateway(view.others)
	for _, name := range view.stale {
		share -= (account.others[name].demand + prior) / sum
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
	account.lastArrival = now
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
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := tally.clock.Now()
	tally.sweep(now)
	delay := tally.currentView(now).delay
	counts := make(map[string]Count)
	for organisation, account := range tally.accounts {
		rate, ok := tally.rates.Rate(organisation)
		if !ok || account.admitted == 0 || now.Sub(account.lastArrival) > activeTime {
			continue
		}
		if !all && account.level > burst(rate)*nearFullFraction {
			continue
		}
		account.decayDemand(now)
		account.dropReported(now.Add(-delay))
		counts[organisation] = Count{
			Admitted: account.admitted, Demand: float32(account.demand), Level: float32(account.level),
			Unreported: uint32(len(account.unreported)), Known: account.known(rate, now),
		}
	}
	return counts
}

// Merge applies a report from a process of another gateway. Reports of one process must
// be passed in the order in which it made them.
func (tally *Tally) Merge(gateway, instance string, counts map[string]Count) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	now := tally.clock.Now()
	view := tally.currentView(now)
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
		account.refill(rate, view, now)
		account.dropReported(now.Add(-view.delay))
		before, reported := known.admitted[organisation]
		switch {
		case !account.known(rate, now) && count.Known:
			// The level of the other gateway is more reliable than the initial guess,
			// but lacks the requests that were admitted here and not reported yet.
			account.level, account.synced = min(account.level, float64(count.Level)-float64(len(account.unreported))), true
		case !reported, count.Admitted < before:
			// A lower count means that the gateway has dropped the organisation since and
			// counts from zero again.
			account.level -= float64(count.Unreported)
		default:
			account.level -= float64(count.Admitted - before)
		}
		known.admitted[organisation] = count.Admitted
		account.setOthersDemand(gateway, reportedDemand{demand: float64(count.Demand), received: now})
	}
}

// known reports whether the level is based on more than the initial guess: on another gateway's,
// or on what was admitted since an empty bucket would have filled.
func (account *account) known(rate agatestage.Rate, now time.Time) bool {
	return account.synced || now.Sub(account.created) > rate.RefillTime(burst(rate))
}

// sweep removes the accounts of organisations without requests.
func (tally *Tally) sweep(now time.Time) {
	if now.Sub(tally.swept) < retention {
		return
	}
	tally.swept = now
	for organisation, account := range tally.accounts {
		if now.Sub(account.lastArrival) > retention && now.Sub(account.refilled) > retention {
			delete(tally.accounts, organisation)
		}
	}
}
