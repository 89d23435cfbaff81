package grant

import (
	"math"
	"sort"
	"time"

	"github.com/agatestage/agatestage"
)

// outstanding is a grant that an entry may still use.
type outstanding struct {
	entry   string
	tokens  float64
	expires time.Time
}

// account is one organisation's bucket at its owner.
//
// Invariant after update: level + granted <= burst × the partition's unreserved
// fraction, or level is 0.
type account struct {
	// level is the number of available tokens at the time at.
	level float64
	at    time.Time
	// grants are the outstanding grants by expiry, granted is the sum of their
	// tokens.
	grants  []outstanding
	granted float64
	// requesters holds when each entry last requested tokens.
	requesters map[string]time.Time
}

// segment is a period during which a constant fraction of each bucket isn't
// reserved. It lasts until the next segment begins.
type segment struct {
	from     time.Time
	fraction float64
}

// update brings the account to now. Between two events, which are changes of the
// unreserved fraction and expiries of grants, the level grows by the unreserved
// part of the rate, up to the unreserved part of the burst less the outstanding
// grants.
func (account *account) update(rate agatestage.Rate, segments []segment, now time.Time) {
	if account.at.Before(segments[0].from) {
		// Earlier segments have been dropped. To assume an empty bucket is safe.
		account.level, account.at = 0, segments[0].from
	}
	i := sort.Search(len(segments), func(i int) bool { return segments[i].from.After(account.at) }) - 1
	for account.at.Before(now) {
		end := now
		if i+1 < len(segments) && segments[i+1].from.Before(end) {
			end = segments[i+1].from
		}
		expiry := len(account.grants) > 0 && !account.grants[0].expires.After(end)
		if expiry {
			end = account.grants[0].expires
		}
		account.refill(rate, segments[i].fraction, end)
		if expiry {
			account.expireFirst()
		}
		if i+1 < len(segments) && !segments[i+1].from.After(account.at) {
			i++
		}
	}
	account.refill(rate, segments[len(segments)-1].fraction, account.at)
}

// refill advances the level to end at a constant unreserved fraction.
func (account *account) refill(rate agatestage.Rate, fraction float64, end time.Time) {
	limit := max(0, rate.Burst*fraction-account.granted)
	elapsed := max(0, end.Sub(account.at).Seconds())
	account.level = min(min(account.level, limit)+rate.PerSecond*fraction*elapsed, limit)
	if end.After(account.at) {
		account.at = end
	}
}

// expireFirst removes the grant that expires first.
func (account *account) expireFirst() {
	account.granted = max(0, account.granted-account.grants[0].tokens)
	account.grants = account.grants[1:]
	if len(account.grants) == 0 {
		account.granted = 0
	}
}

// replaceGrants replaces an entry's grants by a single one of the tokens that the
// entry holds.
func (account *account) replaceGrants(entry string, held float64, expires time.Time) {
	kept := account.grants[:0]
	known := 0.0
	for _, grant := range account.grants {
		if grant.entry == entry {
			known += grant.tokens
			// If the reply is lost, the entry uses the former expiry.
			if grant.expires.After(expires) {
				expires = grant.expires
			}
			continue
		}
		kept = append(kept, grant)
	}
	account.grants = kept
	account.granted = max(0, account.granted-known)
	if len(kept) == 0 {
		account.granted = 0
	}
	// An entry can't hold more than it was granted.
	if held = min(held, known); held > 0 {
		account.addGrant(outstanding{entry: entry, tokens: held, expires: expires})
	}
}

// returnTokens moves unused tokens of an entry's grants back to the level.
func (account *account) returnTokens(entry string, tokens float64) {
	for i := range account.grants {
		if account.grants[i].entry == entry {
			amount := min(tokens, account.grants[i].tokens)
			account.grants[i].tokens -= amount
			account.granted -= amount
			account.level += amount
			tokens -= amount
		}
	}
}

// grantTokens grants a whole number of tokens to an entry, up to the number
// requested: enough for the requests that wait there, or, if that is more, an equal
// part of the level among the entries with a recent request.
func (account *account) grantTokens(entry string, want Want, life time.Duration, now time.Time) float64 {
	if account.requesters == nil {
		account.requesters = make(map[string]time.Time)
	}
	account.requesters[entry] = now
	for name, asked := range account.requesters {
		if now.Sub(asked) > requesterTimeout {
			delete(account.requesters, name)
		}
	}
	share := max(want.Waiting, math.Floor(account.level/float64(len(account.requesters))))
	tokens := math.Floor(min(want.Tokens, share, account.level))
	if tokens < 1 {
		return 0
	}
	account.level -= tokens
	account.addGrant(outstanding{entry: entry, tokens: tokens, expires: now.Add(life)})
	return tokens
}

// addGrant inserts a grant in the order of expiry.
func (account *account) addGrant(grant outstanding) {
	i := sort.Search(len(account.grants), func(i int) bool { return account.grants[i].expires.After(grant.expires) })
	account.grants = append(account.grants, outstanding{})
	copy(account.grants[i+1:], account.grants[i:])
	account.grants[i] = grant
	account.granted += grant.tokens
}
