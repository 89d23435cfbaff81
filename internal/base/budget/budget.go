// Package budget bounds the memory that the answers which a process keeps take together.
//
// Answers share a pool of bytes. One that finds the pool empty waits until it is the only
// one that exceeds it, and may then grow up to its own limit. So the bytes kept never
// exceed the pool and one answer, and large answers are still received, one after another
// if need be: the one that exceeds the pool never waits for another.
package budget

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// Budget is the memory that answers share.
type Budget struct {
	pool   *semaphore.Weighted
	excess *semaphore.Weighted
}

// New returns a budget whose pool has that many bytes.
func New(bytes int64) *Budget {
	return &Budget{pool: semaphore.NewWeighted(bytes), excess: semaphore.NewWeighted(1)}
}

// Hold is the part of a budget that one answer holds. It is not safe for concurrent use.
type Hold struct {
	budget *Budget
	bytes  int64
	// exceeds is true if the answer is the one that may exceed the pool.
	exceeds bool
}

// Hold returns a hold of no bytes.
func (budget *Budget) Hold() *Hold { return &Hold{budget: budget} }

// Grow adds bytes to the hold. If need be, it waits until the answer may have them, or
// returns the error of ctx.
func (hold *Hold) Grow(ctx context.Context, bytes int64) error {
	if hold.exceeds {
		return nil
	}
	if hold.budget.pool.TryAcquire(bytes) {
		hold.bytes += bytes
		return nil
	}
	if err := hold.budget.excess.Acquire(ctx, 1); err != nil {
		return err
	}
	hold.exceeds = true
	return nil
}

// Release gives back all bytes of the hold, which may grow again.
func (hold *Hold) Release() {
	if hold.bytes > 0 {
		hold.budget.pool.Release(hold.bytes)
		hold.bytes = 0
	}
	if hold.exceeds {
		hold.budget.excess.Release(1)
		hold.exceeds = false
	}
}
