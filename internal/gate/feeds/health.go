// Package feeds watches the configuration, the evacuated availability zones and the list of
// targets in the platform's store and puts them in force. While this process can't reach the
// store, all of them come from other gateways that can.
package feeds

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

// answerOverdueAfter is how long the store may not have answered before that is an
// outage although no call has failed. A poll and the pause between two polls take
// less; it is exceeded only if the host was suspended.
const answerOverdueAfter = pollWait + time.Second

const (
	// minRetryDelay is the time between the failure that begins an outage and the next
	// call to the store, and the minimum pause of a feed after a failure. The delay
	// doubles up to maxRetryDelay, which fits into the few seconds within which a
	// configuration must take effect.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// renewalFailures is how many renewals in a row must fail before that is an outage.
	renewalFailures = 2
	// retryCheckPeriod is how often a waiting feed checks whether it may call the store.
	retryCheckPeriod = 50 * time.Millisecond
	// retryJitter is the fraction by which delays are randomly shortened, so that of the
	// gateways that lost the store at the same moment, one soon sees its recovery and
	// notifies the others.
	retryJitter = 0.5
)

// StoreHealth tracks whether the store answers this process, over all its feeds. During
// an outage it is a circuit breaker that lets one feed at a time call the store: refused
// calls are charged too, and the answer to one call holds for all feeds.
type StoreHealth struct {
	clock      agatestage.Clock
	mutex      sync.Mutex
	lastAnswer time.Time
	// lostAt is when the current outage began, zero if there is none; recoveredAt is
	// when the last one ended.
	lostAt      time.Time
	recoveredAt time.Time
	// attempts counts the calls in the current outage; nextAttempt is when another may
	// be made.
	attempts    int
	nextAttempt time.Time
	// failedRenewals counts the renewals of the lease that have failed since the last
	// answer.
	failedRenewals int
	// random returns a number from 0 to 1 for the jitter of delays.
	random func() float64
}

// HealthOption configures a StoreHealth.
type HealthOption func(*StoreHealth)

// WithRandom sets the source of the numbers from 0 to 1 for the jitter of delays.
func WithRandom(random func() float64) HealthOption {
	return func(storeHealth *StoreHealth) { storeHealth.random = random }
}

// NewStoreHealth returns the StoreHealth of a store that has not been called yet.
func NewStoreHealth(clock agatestage.Clock, options ...HealthOption) *StoreHealth {
	storeHealth := &StoreHealth{clock: clock, random: rand.Float64}
	for _, option := range options {
		option(storeHealth)
	}
	return storeHealth
}

// RecordAnswer records an answer of the store, which ends an outage.
func (storeHealth *StoreHealth) RecordAnswer() {
	storeHealth.mutex.Lock()
	defer storeHealth.mutex.Unlock()
	now := storeHealth.clock.Now()
	if !storeHealth.lostAt.IsZero() {
		klog.InfoS("store regained", "silent", now.Sub(storeHealth.lostAt))
		storeHealth.lostAt, storeHealth.recoveredAt = time.Time{}, now
	}
	storeHealth.lastAnswer, storeHealth.failedRenewals = now, 0
}

// RecordRenewal records the outcome of a renewal of this gateway's lease, by which a
// gateway that doesn't follow the store itself knows whether the store answers it. One
// failure alone may be a lost reply.
func (storeHealth *StoreHealth) RecordRenewal(err error) {
	if err == nil {
		storeHealth.RecordAnswer()
		return
	}
	storeHealth.mutex.Lock()
	storeHealth.failedRenewals++
	failed := storeHealth.failedRenewals
	storeHealth.mutex.Unlock()
	if failed >= renewalFailures {
		storeHealth.RecordFailure(err)
	}
}

// RecordFailure records a call that the store didn't answer or refused, which begins an
// outage.
func (storeHealth *StoreHealth) RecordFailure(err error) {
	storeHealth.mutex.Lock()
	defer storeHealth.mutex.Unlock()
	if storeHealth.lostAt.IsZero() {
		storeHealth.lostAt, storeHealth.attempts = storeHealth.clock.Now(), 0
		storeHealth.nextAttempt = storeHealth.lostAt.Add(minRetryDelay)
		klog.InfoS("store lost", "lastHeard", storeHealth.clock.Since(storeHealth.lastAnswer), "error", err.Error())
	}
}

// AwaitRetry waits after a failure until the caller may call the store again: because
// the outage has ended, or as the one call that checks whether it has.
func (storeHealth *StoreHealth) AwaitRetry(ctx context.Context) {
	ticks.Wait(ctx, storeHealth.clock, minRetryDelay)
	for ctx.Err() == nil && !storeHealth.AllowAttempt() {
		ticks.Wait(ctx, storeHealth.clock, retryCheckPeriod)
	}
}

// AwaitRecovery waits until there is no outage.
func (storeHealth *StoreHealth) AwaitRecovery(ctx context.Context) {
	for ctx.Err() == nil && storeHealth.StoreOutage() > 0 {
		ticks.Wait(ctx, storeHealth.clock, retryCheckPeriod)
	}
}

// AllowAttempt reports whether a call may be made now. During an outage it returns true
// once per retry delay.
func (storeHealth *StoreHealth) AllowAttempt() bool {
	storeHealth.mutex.Lock()
	defer storeHealth.mutex.Unlock()
	now := storeHealth.clock.Now()
	if storeHealth.lostAt.IsZero() {
		return true
	}
	if now.Before(storeHealth.nextAttempt) {
		return false
	}
	storeHealth.attempts++
	delay := min(maxRetryDelay, minRetryDelay<<min(storeHealth.attempts, 8))
	storeHealth.nextAttempt = now.Add(delay - time.Duration(float64(delay)*retryJitter*storeHealth.random()))
	return true
}

// RetryNow allows the next attempt at once, as the store answers another gateway again.
func (storeHealth *StoreHealth) RetryNow() {
	storeHealth.mutex.Lock()
	defer storeHealth.mutex.Unlock()
	if !storeHealth.lostAt.IsZero() {
		storeHealth.nextAttempt = storeHealth.clock.Now()
	}
}

// StoreOutage returns how long the store has been failing or its answer has been
// overdue, or zero while it answers.
func (storeHealth *StoreHealth) StoreOutage() time.Duration {
	storeHealth.mutex.Lock()
	defer storeHealth.mutex.Unlock()
	switch {
	case !storeHealth.lostAt.IsZero():
		return storeHealth.clock.Since(storeHealth.lostAt)
	case storeHealth.lastAnswer.IsZero():
		return 0
	}
	return max(0, storeHealth.clock.Since(storeHealth.lastAnswer)-answerOverdueAfter)
}

// Silence returns how long ago the store last answered any feed, or the maximum duration if it
// never has.
func (storeHealth *StoreHealth) Silence() time.Duration {
	storeHealth.mutex.Lock()
	defer storeHealth.mutex.Unlock()
	if storeHealth.lastAnswer.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return storeHealth.clock.Since(storeHealth.lastAnswer)
}

// remainingGrace returns what is left of the grace period after an outage, in which
// records whose leases expired during the outage may be written again. During an outage
// it returns the whole period.
func (storeHealth *StoreHealth) remainingGrace(grace time.Duration) time.Duration {
	storeHealth.mutex.Lock()
	defer storeHealth.mutex.Unlock()
	if !storeHealth.lostAt.IsZero() {
		return grace
	}
	if storeHealth.recoveredAt.IsZero() {
		return 0
	}
	return max(0, grace-storeHealth.clock.Since(storeHealth.recoveredAt))
}
