package grant

import (
	"math"
	"time"

	"github.com/agatestage/agatestage"
)

// held is a grant that an entry can still use.
type held struct {
	tokens  float64
	expires time.Time
}

// balance is the state of one organisation's tokens at an entry.
type balance struct {
	grants []held
	// waiting is the number of requests that wait for a token.
	waiting int
	// demand is the smoothed rate of requests at the time demandUpdated.
	demand        float64
	demandUpdated time.Time
	// level is the level of the static share's bucket at the time shareRefilled,
	// which is zero if the share has not been used.
	level         float64
	shareRefilled time.Time
	used          time.Time
	// retryAt is when to request tokens again after the owner granted fewer than
	// requested.
	retryAt time.Time
}

// expire removes the grants that have expired or are used up.
func (balance *balance) expire(now time.Time) {
	kept := balance.grants[:0]
	for _, grant := range balance.grants {
		if now.Before(grant.expires) && grant.tokens > 0 {
			kept = append(kept, grant)
		}
	}
	balance.grants = kept
}

// tokens returns the number of tokens left in the grants.
func (balance *balance) tokens() (sum float64) {
	for _, grant := range balance.grants {
		sum += grant.tokens
	}
	return sum
}

// recordArrival adds a request to the measured demand.
func (balance *balance) recordArrival(now time.Time) {
	balance.decayDemand(now)
	balance.demand += 1 / demandDecay.Seconds()
	balance.used = now
}

func (balance *balance) decayDemand(now time.Time) {
	if elapsed := now.Sub(balance.demandUpdated); elapsed > 0 {
		balance.demand *= math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
		balance.demandUpdated = now
	}
}

// takeGrant uses one token of the grant that expires first.
func (balance *balance) takeGrant(now time.Time) bool {
	balance.expire(now)
	if len(balance.grants) == 0 {
		return false
	}
	balance.grants[0].tokens--
	return true
}

// takeShare uses one token of the static share, whose bucket is empty when the
// entry falls back to it.
func (balance *balance) takeShare(rate agatestage.Rate, share float64, since, now time.Time) bool {
	balance.refillShare(rate, share, since, now)
	if balance.level < 1 {
		return false
	}
	balance.level--
	return true
}

// refillShare advances the bucket of the static share to now.
func (balance *balance) refillShare(rate agatestage.Rate, share float64, since, now time.Time) {
	if balance.shareRefilled.Before(since) {
		balance.level, balance.shareRefilled = 0, since
	}
	elapsed := max(0, now.Sub(balance.shareRefilled).Seconds())
	balance.level = min(rate.Burst*share, balance.level+rate.PerSecond*share*elapsed)
	balance.shareRefilled = now
}

// desired returns the number of tokens to hold: the demand of demandHorizon without
// the newest request. Leaving that request out keeps entries with occasional
// requests of an organisation from holding tokens that other entries need.
func (balance *balance) desired() float64 {
	return math.Floor(max(0, balance.demand-1/demandDecay.Seconds()) * demandHorizon.Seconds())
}

// want returns the report to the owner: the tokens held, those returned because
// the demand has fallen, and those requested.
func (balance *balance) want(organisation string, now time.Time) Want {
	balance.expire(now)
	balance.decayDemand(now)
	want := Want{Organisation: organisation, Waiting: float64(balance.waiting)}
	wanted := want.Waiting + balance.desired() - balance.tokens()
	if balance.waiting == 0 && balance.tokens() > surplusFactor*balance.desired() {
		want.Returned = balance.release(math.Floor(-wanted))
	}
	want.Tokens, want.Held = max(0, wanted), balance.tokens()
	return want
}

// renew sets a new expiry for all tokens held.
func (balance *balance) renew(expires time.Time) {
	for i := range balance.grants {
		balance.grants[i].expires = expires
	}
}

// release removes up to n whole tokens, first from the grants that expire last.
func (balance *balance) release(n float64) (given float64) {
	for i := len(balance.grants) - 1; i >= 0 && n >= 1; i-- {
		amount := math.Floor(min(n, balance.grants[i].tokens))
		balance.grants[i].tokens -= amount
		given, n = given+amount, n-amount
	}
	return given
}

// low reports whether more tokens should be requested.
func (balance *balance) low(now time.Time) bool {
	balance.expire(now)
	balance.decayDemand(now)
	return balance.waiting > 0 || balance.tokens() < balance.desired()*lowFraction
}
