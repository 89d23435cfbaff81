// Package pace ends transfers by their progress, not by their length.
//
// A fixed time limit fails as soon as a line is shared by more than was thought: each transfer
// is given up shortly before its end, begins again, and so none ever ends. A limit of this
// package lets a transfer go on while its bytes arrive. It ends one whose peer is silent, and
// one that takes too long in all, whatever arrives.
package pace

import (
	"context"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// Limit bounds one transfer.
type Limit struct {
	clock   agatestage.Clock
	silence time.Duration
	end     time.Time
	cancel  context.CancelCauseFunc
	mutex   sync.Mutex
	// last is when the transfer began or last made progress.
	last time.Time
}

// New begins a transfer. The returned context ends with context.DeadlineExceeded as its cause when
// the transfer has made no progress for a time, or has taken too long in all. Stop must
// be called at its end.
func New(ctx context.Context, clock agatestage.Clock, silence, total time.Duration) (context.Context, *Limit) {
	ctx, cancel := context.WithCancelCause(ctx)
	now := clock.Now()
	limit := &Limit{clock: clock, silence: silence, end: now.Add(total), cancel: cancel, last: now}
	timer := clock.NewTimer(min(silence, total))
	go func() {
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C():
			}
			left := limit.left()
			if left <= 0 {
				cancel(context.DeadlineExceeded)
				return
			}
			timer.Reset(left)
		}
	}()
	return ctx, limit
}

// left returns how long the transfer may go on without progress.
func (limit *Limit) left() time.Duration {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	now := limit.clock.Now()
	return min(limit.last.Add(limit.silence).Sub(now), limit.end.Sub(now))
}

// Progress records that a part of the transfer has arrived.
func (limit *Limit) Progress() {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	limit.last = limit.clock.Now()
}

// Stop ends the context of the transfer.
func (limit *Limit) Stop() { limit.cancel(context.Canceled) }
