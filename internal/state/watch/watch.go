// Package watch follows the records under a prefix of the platform's store.
package watch

import (
	"context"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// defaultWait is how long one poll waits for a change.
	defaultWait = 4 * time.Second
	// defaultPause is the time after a failed poll.
	defaultPause = 500 * time.Millisecond
)

// Apply takes the records that have changed. With whole they are all there are;
// without, removed ones are marked. An error makes the list be read again.
type Apply func(ctx context.Context, records []agatestage.Record, whole bool) error

// Option changes how records are followed.
type Option func(*follower)

// WithWait sets how long one poll waits for a change, which bounds for how long
// a connection that has lost its peer goes unnoticed.
func WithWait(wait time.Duration) Option {
	return func(follower *follower) { follower.wait = wait }
}

// WithPace sets the least time between two polls, so that a burst of changes
// costs few calls.
func WithPace(pace time.Duration) Option {
	return func(follower *follower) { follower.pace = pace }
}

// WithPause sets the time after a failed poll.
func WithPause(pause time.Duration) Option {
	return func(follower *follower) { follower.pause = pause }
}

// WithRetry sets what waits after a failed poll until the next may be made,
// instead of a pause.
func WithRetry(retry func(ctx context.Context)) Option {
	return func(follower *follower) { follower.retry = retry }
}

// WithFailure sets what is called after each failed poll.
func WithFailure(failure func(error)) Option {
	return func(follower *follower) { follower.failure = failure }
}

// WithListed sets what is called with the store's revision of each whole list,
// before the list is applied. What has been written since isn't in the list.
func WithListed(listed func(revision uint64)) Option {
	return func(follower *follower) { follower.listed = listed }
}

// follower is one prefix that is followed.
type follower struct {
	store   agatestage.Store
	prefix  string
	wait    time.Duration
	pace    time.Duration
	pause   time.Duration
	retry   func(ctx context.Context)
	failure func(error)
	listed  func(revision uint64)
}

// Follow reads all records under prefix and then their changes until ctx ends.
// After a failure it reads all again, as changes may have been missed. Apply is
// also called, without records, when a poll brought no change.
func Follow(ctx context.Context, store agatestage.Store, clock agatestage.Clock, prefix string, apply Apply, options ...Option) error {
	follower := follower{store: store, prefix: prefix, wait: defaultWait, pause: defaultPause, failure: func(error) {}, listed: func(uint64) {}}
	follower.retry = func(ctx context.Context) { ticks.Wait(ctx, clock, follower.pause) }
	for _, option := range options {
		option(&follower)
	}
	var after uint64
	listed := false
	for ctx.Err() == nil {
		records, next, err := follower.read(ctx, listed, after)
		if err == nil && !listed {
			follower.listed(next)
		}
		if err == nil {
			err = apply(ctx, records, !listed)
		}
		if listed = err == nil; listed {
			after = next
			if follower.pace > 0 {
				ticks.Wait(ctx, clock, follower.pace)
			}
			continue
		}
		follower.failure(err)
		follower.retry(ctx)
	}
	return ctx.Err()
}

func (follower *follower) read(ctx context.Context, listed bool, after uint64) ([]agatestage.Record, uint64, error) {
	if listed {
		return follower.store.Watch(ctx, follower.prefix, after, follower.wait)
	}
	return follower.store.List(ctx, follower.prefix)
}
