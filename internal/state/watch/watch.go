// Package watch tracks the records under a key prefix of the platform's store.
package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// defaultWait is how long one poll waits for a change.
	defaultWait = 4 * time.Second
	// defaultRetryDelay is the delay after a failed poll.
	defaultRetryDelay = 500 * time.Millisecond
)

// Apply handles records. If complete is true, they are the full list; otherwise
// they are the changed ones, and deleted records are marked as such. After an
// error, the full list is read again.
type Apply func(ctx context.Context, records []agatestage.Record, complete bool) error

// Option configures Follow.
type Option func(*follower)

// WithWait sets how long one poll waits for a change, which also limits how long
// a dead connection goes undetected.
func WithWait(wait time.Duration) Option {
	return func(follower *follower) { follower.wait = wait }
}

// WithMinInterval sets the minimum interval between two polls, so that a burst of
// changes costs few calls.
func WithMinInterval(minInterval time.Duration) Option {
	return func(follower *follower) { follower.minInterval = minInterval }
}

// WithRetryDelay sets the delay after a failed poll.
func WithRetryDelay(retryDelay time.Duration) Option {
	return func(follower *follower) { follower.retryDelay = retryDelay }
}

// WithRetryWait replaces the delay after a failed poll: retryWait blocks until the
// next poll may be made.
func WithRetryWait(retryWait func(ctx context.Context)) Option {
	return func(follower *follower) { follower.retryWait = retryWait }
}

// WithGate sets a function that is called before each poll for changes. It blocks while
// none is to be made, and reports whether it has blocked; the full list is read then, as
// the store may have forgotten the changes meanwhile.
func WithGate(gate func(ctx context.Context) (blocked bool)) Option {
	return func(follower *follower) { follower.gate = gate }
}

// WithErrorHandler sets a function that is called after each failed poll. A poll with too
// many changes isn't one: the full list is read instead.
func WithErrorHandler(errorHandler func(error)) Option {
	return func(follower *follower) { follower.errorHandler = errorHandler }
}

// WithListHandler sets a function that is called with the store revision of each
// full list, before the list is applied. The list lacks any later writes.
func WithListHandler(listed func(revision uint64)) Option {
	return func(follower *follower) { follower.listed = listed }
}

// follower tracks one key prefix.
type follower struct {
	store        agatestage.Store
	prefix       string
	wait         time.Duration
	minInterval  time.Duration
	retryDelay   time.Duration
	retryWait    func(ctx context.Context)
	gate         func(ctx context.Context) (blocked bool)
	errorHandler func(error)
	listed       func(revision uint64)
}

// Follow lists all records under prefix and then watches for changes until ctx
// ends. After a failure it lists all records again, as changes may have been missed.
// Apply is also called, without records, after a poll that returned no change.
func Follow(ctx context.Context, store agatestage.Store, clock agatestage.Clock, prefix string, apply Apply, options ...Option) error {
	follower := follower{store: store, prefix: prefix, wait: defaultWait, retryDelay: defaultRetryDelay, gate: func(context.Context) bool { return false }, errorHandler: func(error) {}, listed: func(uint64) {}}
	follower.retryWait = func(ctx context.Context) { ticks.Wait(ctx, clock, follower.retryDelay) }
	for _, option := range options {
		option(&follower)
	}
	var after uint64
	listed := false
	for ctx.Err() == nil {
		if listed && follower.gate(ctx) {
			listed = false
			continue
		}
		records, next, err := follower.read(ctx, listed, after)
		if err == nil && !listed {
			follower.listed(next)
		}
		if err == nil {
			err = apply(ctx, records, !listed)
		}
		if listed = err == nil; listed {
			after = next
			if follower.minInterval > 0 {
				ticks.Wait(ctx, clock, follower.minInterval)
			}
			continue
		}
		if !errors.Is(err, agatestage.ErrTooManyChanges) {
			follower.errorHandler(err)
		}
		follower.retryWait(ctx)
	}
	return ctx.Err()
}

func (follower *follower) read(ctx context.Context, listed bool, after uint64) ([]agatestage.Record, uint64, error) {
	if listed {
		return follower.store.Watch(ctx, follower.prefix, after, follower.wait)
	}
	return follower.store.List(ctx, follower.prefix)
}
