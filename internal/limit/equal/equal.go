// Package equal is the simplest fleet-wide limit: each entry has a fixed
// fraction of every rate and burst. It never sells too much and refuses
// wrongly as soon as demand isn't spread evenly.
package equal

import (
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// bucket is an organisation's tokens at one entry.
type bucket struct {
	level float64
	at    time.Time
}

// Split is an entry's fraction of all organisations. It implements
// agatestage.TokenSource.
type Split struct {
	clock   agatestage.Clock
	rates   agatestage.RateSource
	share   float64
	mutex   sync.Mutex
	buckets map[string]*bucket
}

// New returns a split with the given share of each rate, from 0 to 1.
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
	entry := split.buckets[organisation]
	if entry == nil {
		entry = &bucket{level: rate.Burst * split.share, at: now}
		split.buckets[organisation] = entry
	}
	elapsed := max(0, now.Sub(entry.at).Seconds())
	entry.level = min(rate.Burst*split.share, entry.level+rate.PerSecond*split.share*elapsed)
	entry.at = now
	if entry.level < 1 {
		return false
	}
	entry.level--
	return true
}

// SetWaiting implements agatestage.TokenSource; a fixed split has nobody to ask.
func (split *Split) SetWaiting(string, int) {}
