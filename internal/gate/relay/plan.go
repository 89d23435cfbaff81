package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/agatestage/agatestage"
)

// Plan describes how a call is to be served.
type Plan struct {
	Service string
	// Class names the calls that are alike: those of one route.
	Class    string
	Priority int
	// Repeatable calls may run more than once, up to Attempts times.
	Repeatable bool
	Attempts   int
	// Stream responses are forwarded event by event. Resumable ones may continue at
	// another target.
	Stream    bool
	Resumable bool
	Batch     bool
	// Arrived is when the call did. Deadline is when the caller or the route stops waiting for
	// the end of the answer, and CallerSilence how long the caller waits for the next event of a
	// stream; zero means as long as for its end.
	Arrived       time.Time
	Deadline      time.Time
	CallerSilence time.Duration
	// Due orders batch calls, GiveUp those that can't finish by then; ExpectedDuration is how
	// long the call is expected to hold its slot.
	Due              time.Time
	GiveUp           time.Time
	ExpectedDuration time.Duration
	// MaxBytes bounds the events of a batch call; zero means no limit. A call that exceeds it
	// ends with CodeTooLarge.
	MaxBytes int
	// ResumeAfter is the number of the last event that the caller already has; the
	// stream continues after it.
	ResumeAfter int64
	// Regions returns the regions in which the call may be served by the configuration in
	// force; nil means everywhere.
	Regions func() agatestage.Regions
}

// Sink receives a response. Head is called once, before any call of Data. Length is
// the number of bytes of a response that is complete, or -1 for a stream.
type Sink interface {
	Head(status int, header http.Header, length int) error
	Data(data []byte) error
}

// Result describes how a call ended.
type Result struct {
	// ResponseStarted is true if a part of the response has been forwarded.
	ResponseStarted bool
	// Refusal is nil if the response is complete.
	Refusal *agatestage.Refusal
	Status  int
	// Targets holds the IDs of the targets that the call was sent to.
	Targets []string
	// LastEventID is the number of the last complete event.
	LastEventID int64
	// Preempted is true if a batch call was preempted by an online call.
	Preempted bool
	// FirstEventAt is when the first event or the whole response had arrived.
	FirstEventAt time.Time
	// SlotTime is the total time that the call held a slot.
	SlotTime time.Duration
	// Ran is true if a target has started to run the call, or may have.
	Ran bool
}

// Runner sends a call until it is answered or must not be retried.
type Runner interface {
	Serve(ctx context.Context, call *agatestage.Call, plan Plan, sink Sink) Result
}
