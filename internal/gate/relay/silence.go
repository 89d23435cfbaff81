package relay

import "time"

const (
	// maxBatchSilence is how long a batch call stays at a silent target if it gets no slot at
	// another one, or nothing is known of how long sound ones are silent. Its job resumes it
	// then.
	maxBatchSilence = 3 * time.Second
	// minSilence is the least time for which a target counts as silent. A host whose processor
	// share is a quota stands still for up to a tenth of a second, and this one may, too.
	minSilence = 200 * time.Millisecond
)

// silenceLimit returns how long a target may send nothing, before or after its first event, until
// the call looks for a slot at another one. A call leaves once the silence is longer than those
// of sound targets by as much as a new run takes to begin: leaving sooner would often cost more
// than it saves, and staying longer would cost more than a new run.
func (run *run) silenceLimit(begun bool) time.Duration {
	takes := run.takes()
	if !takes.Served() && run.plan.Batch {
		return maxBatchSilence
	}
	left := run.timeLeft()
	if !takes.Served() {
		// Each attempt that is left gets the same share of the time.
		return left / time.Duration(max(1, run.plan.Attempts-run.attempts))
	}
	shown := takes.First
	if begun {
		shown, takes = takes.Pause, takes.Rest()
	}
	limit := max(minSilence, shown+takes.First)
	if latest := left - takes.Total; latest > shown && !run.plan.Batch {
		// Later a new run could not be served any more.
		limit = min(limit, latest)
	}
	return limit
}

// timeLeft returns how long the caller waits, for the end of the answer or for its next event.
func (run *run) timeLeft() time.Duration {
	until := run.plan.Deadline
	if by := run.nextEventBy(); !by.IsZero() && by.Before(until) {
		until = by
	}
	return until.Sub(run.clock.Now())
}
