package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage/internal/gate/gauge"
	"github.com/agatestage/agatestage/internal/gate/sched"
)

// pace measures one attempt.
type pace struct {
	began time.Time
	// last is when the target last sent something, first and pause are as in gauge.Run.
	last  time.Time
	first time.Duration
	pause time.Duration
	// whole says that the attempt began at the beginning of the answer.
	whole bool
}

// mark records that the target has sent an event or the whole answer.
func (pace *pace) mark(now time.Time) {
	if pace.last.IsZero() {
		pace.first = now.Sub(pace.began)
	} else {
		pace.pause = max(pace.pause, now.Sub(pace.last))
	}
	pace.last = now
}

// recordPace reports what an attempt took to the scheduler, if it was answered or its time
// has passed: how long another end took says nothing of what a call needs.
func (run *run) recordPace(ctx context.Context, reservation *sched.Reservation, end outcome, succeeded bool) {
	if !run.pace.whole || end.notRun {
		return
	}
	// A target states with 504 that the time it was given has passed.
	cut := errors.Is(ctx.Err(), context.DeadlineExceeded) || end.buffered != nil && end.buffered.status == http.StatusGatewayTimeout
	if !succeeded && !cut {
		return
	}
	reservation.RecordRun(gauge.Run{First: run.pace.first, Pause: run.pace.pause, Total: run.clock.Since(run.pace.began), Cut: !succeeded})
}
