// Package ticks provides periodic execution and waiting based on an
// agatestage.Clock.
package ticks

import (
	"context"
	"time"

	"github.com/agatestage/agatestage"
)

// Every calls do once per period until ctx ends. The first call is after one period.
func Every(ctx context.Context, clock agatestage.Clock, period time.Duration, do func(ctx context.Context)) error {
	ticker := clock.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
			do(ctx)
		}
	}
}

// Wait blocks for the given duration or until ctx ends.
func Wait(ctx context.Context, clock agatestage.Clock, duration time.Duration) {
	timer := clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}
