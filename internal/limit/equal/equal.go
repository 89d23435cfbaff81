// Package equal limits organisations by a fixed fraction of every rate and burst at
// each entry, which is the simplest fleet-wide limit. It never admits more than the
// rate and burst, but refuses requests within them when the demand isn't spread
// evenly over the entries.
package equal

import (
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// bucket is an organisation's token bucket at one entry.
type bucket struct {
	level float64
	at    time.Time
}

// Split is an entry's fraction of the rate and burst of all organisations. It
// implements agatestage.TokenSource.
type Split struct {
	clock   agatestage.Clock
	rates   agatestage.RateSource
	share   float64
	mutex   sync.Mutex
	buckets map[string]*bucket
}

// New returns a split with the given share of each rate and burst, from 0 to 1.
func New(clock agatestage.Clock, rates agatestage.RateSource, share float64) *Split {
	return &Split{clock: clock, rates: rates, share: share, buckets: make(map[string]*bucket)}
}

// Take implements agatestage.TokenSource.
func (split *Split) Take(organisation string) bool {
	rate, ok := split.rates.Rate(organisation)
	if !ok {
		return false
	}
	split.mutex.Lock()
	defer split.mutex.Unlock()
	now := split.clock.Now()
	found := split.buckets[organisation]
	if found == nil {
		found = &bucket{level: rate.Burst * split.share, at: now}
		split.buckets[organisation] = found
	}
	elapsed := max(0, now.Sub(found.at).Seconds())
	found.level = min(rate.Burst*split.share, found.level+rate.PerSecond*split.share*elapsed)
	found.at = now
	if found.level < 1 {
		return false
	}
	found.level--
	return true
}

// SetWaiting implements agatestage.TokenSource. It does nothing, because a fixed split can't
// get more tokens.
func (split *Split) SetWaiting(string, int) {}
