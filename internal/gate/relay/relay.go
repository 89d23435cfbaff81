// Package relay takes a call to a target and its answer back, and decides what
// happens when an attempt fails.
//
// An attempt ends in one of four ways: answered, certainly not run, broken
// before any of the answer went on, or broken within a stream. What has not run
// goes to another target. What is broken is tried again only if the call may be
// repeated and its route allows another attempt; a stream that may be resumed
// goes on after its last whole event, within the same answer.
package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/conns"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/route/blame"
)

const (
	// maxRefused bounds the targets that may turn one call away without running
	// it before the caller is told to come back.
	maxRefused = 4
	// maxAnswer bounds an answer that is held until it is whole, in bytes.
	maxAnswer = 4 << 20
	// minLeft is the time below which an attempt is not worth sending: a round
	// trip between regions.
	minLeft = 60 * time.Millisecond
	// silentStream is how many of its longest planned pauses a stream that may
	// be resumed can be silent for before it is resumed elsewhere.
	silentStream = 2
)

// Plan is how a call is to be served.
type Plan struct {
	Service  string
	Priority int
	// Repeatable calls may run more than once, Attempts times at most.
	Repeatable bool
	Attempts   int
	// Stream answers are passed on event by event; Resumable ones may go on at
	// another target.
	Stream    bool
	Resumable bool
	Batch     bool
	// Patience is how long the call may wait for a slot.
	QueueTimeout time.Duration
	// Aim is the time to the first event and Gap that between two; zero for none.
	Aim time.Duration
	Gap time.Duration
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// Due orders batch calls; Need is for how long one is likely to need its slot.
	Due  time.Time
	Need time.Duration
	// After is the number of the last event that is there already.
	After int64
}

// Sink takes an answer. Head is called once, before any Data. Whole reports
// that the head's answer is complete in length bytes; it is -1 for streams.
type Sink interface {
	Head(status int, header http.Header, length int) error
	Data(data []byte) error
}

// Result is how a call ended.
type Result struct {
	// Begun says that a part of the answer has been passed on.
	Begun bool
	// Refusal is nil if the answer is complete.
	Refusal *agatestage.Refusal
	Status  int
	// Targets are the IDs of the targets that the call was sent to.
	Targets []string
	// Last is the number of the last whole event.
	Last int64
	// Yielded says that a batch call gave way to an online one.
	Yielded bool
	// First is when the first event or the whole answer had arrived.
	First time.Time
	// Served is for how long the call had a slot.
	Served time.Duration
	// Ran says that a target has begun to work on the call, or may have.
	Ran bool
}

// Runner sends a call until it is answered or must not be tried again.
type Runner interface {
	Serve(ctx context.Context, call *agatestage.Call, plan Plan, sink Sink) Result
}

// Relay sends calls to targets. It implements Runner.
type Relay struct {
	clock   agatestage.Clock
	sched   *sched.Scheduler
	conns   *conns.Pool
	dialect agatestage.Dialect
	blame   *blame.List
	strike  func(blame.Strike)
}

// Option changes how a relay is built.
type Option func(*Relay)

// WithStrikes sets what tells the other gateways of a target that went down in
// a call's hands.
func WithStrikes(strike func(blame.Strike)) Option {
	return func(relay *Relay) { relay.strike = strike }
}

// New returns a relay.
func New(clock agatestage.Clock, scheduler *sched.Scheduler, pool *conns.Pool, dialect agatestage.Dialect, list *blame.List, options ...Option) *Relay {
	relay := &Relay{clock: clock, sched: scheduler, conns: pool, dialect: dialect, blame: list, strike: func(blame.Strike) {}}
	for _, option := range options {
		option(relay)
	}
	return relay
}

// outcome is how one attempt ended.
type outcome struct {
	// done says that the caller has its final answer, or can't be served more.
	done bool
	// notRun says that the target hasn't run the call.
	notRun bool
	// refusal says what went wrong.
	refusal *agatestage.Refusal
	// held is a target's own failure, which is passed on if nothing better comes.
	held *held
	// failed says that the target is to blame.
	failed bool
	// crashed says that the connection broke, so that the target may be down.
	crashed bool
}

// held is a whole answer.
type held struct {
	status int
	header http.Header
	body   []byte
}

// run is one call on its way.
type run struct {
	*Relay
	call    *agatestage.Call
	plan    Plan
	sink    Sink
	result  Result
	exclude []string
	refused int
	sent    int
	last    *held
}

// Serve implements Runner.
func (relay *Relay) Serve(ctx context.Context, call *agatestage.Call, plan Plan, sink Sink) Result {
	ctx, cancel := context.WithTimeout(ctx, plan.Deadline.Sub(relay.clock.Now()))
	defer cancel()
	run := &run{Relay: relay, call: call, plan: plan, sink: sink}
	run.result.Last = plan.After
	run.serve(ctx)
	return run.result
}

func (run *run) serve(ctx context.Context) {
	for {
		if err := run.blame.Refuse(run.call.Fingerprint); err != nil && !run.result.Begun {
			run.fail(asRefusal(err))
			return
		}
		run.call.Suspect = run.blame.Suspect(run.call.Fingerprint)
		ticket, err := run.acquire(ctx)
		if err != nil {
			run.fail(asRefusal(err))
			return
		}
		klog.InfoS("call placed", "call", run.call.ID, "target", ticket.Target.ID, "service", run.plan.Service, "batch", run.plan.Batch,
			"attempt", run.sent+run.refused+1, "waited", ticket.Waited, "free", ticket.Free, "heardAge", ticket.RemoteCountsAge, "way", ticket.Placement,
			"after", run.result.Last)
		began := run.clock.Now()
		end := run.attempt(ctx, ticket)
		ticket.Release(end.failed)
		run.result.Served += run.clock.Since(began)
		if end.crashed {
			run.examine(ticket.Target)
		}
		if end.done {
			if run.result.Yielded {
				klog.InfoS("call gave way", "call", run.call.ID, "target", ticket.Target.ID, "last", run.result.Last)
			}
			run.result.Refusal = end.refusal
			return
		}
		run.exclude = append(run.exclude, ticket.Target.ID)
		if end.held != nil {
			run.last = end.held
		}
		klog.InfoS("attempt failed", "call", run.call.ID, "target", ticket.Target.ID, "notRun", end.notRun, "reason", end.refusal.Message)
		if !run.again(ctx, end) {
			run.fail(end.refusal)
			return
		}
	}
}

// acquire waits for a slot. A call that has been sent already doesn't wait
// longer than one that is new.
func (run *run) acquire(ctx context.Context) (*sched.Reservation, error) {
	return run.sched.Acquire(ctx, sched.Request{
		Service: run.plan.Service, Batch: run.plan.Batch, Priority: run.plan.Priority,
		QueueTimeout: min(run.plan.QueueTimeout, run.plan.Deadline.Sub(run.clock.Now())),
		Exclude:      run.exclude, Due: run.plan.Due, Need: run.plan.Need,
	})
}

// again reports whether another attempt is allowed.
func (run *run) again(ctx context.Context, end outcome) bool {
	if ctx.Err() != nil || run.plan.Deadline.Sub(run.clock.Now()) < minLeft {
		return false
	}
	if end.notRun {
		// A batch call is tried anew by its job, also at this target: it keeps to few
		// targets and would wait for one that it may not use.
		run.refused++
		return run.refused < maxRefused && !run.plan.Batch
	}
	if !run.plan.Repeatable || (run.result.Begun && !run.plan.Resumable) {
		return false
	}
	return run.sent < run.plan.Attempts
}

// fail ends the call with a target's own failure, if there was one, or with the
// refusal, which says "not run" only if no target may have run the call.
func (run *run) fail(refusal *agatestage.Refusal) {
	if run.last != nil && !run.result.Begun {
		run.result.Refusal = run.pass(run.last)
		return
	}
	whole := *refusal
	if run.result.Ran {
		if whole.Ran = agatestage.RanUnknown; whole.Code == agatestage.CodeBusy || whole.Code == agatestage.CodeNoTarget {
			whole.Code = agatestage.CodeTargetFailed
		}
	}
	run.result.Refusal = &whole
}

// pass hands a whole answer on.
func (run *run) pass(answer *held) *agatestage.Refusal {
	run.result.Begun, run.result.Status, run.result.First = true, answer.status, run.clock.Now()
	if err := run.sink.Head(answer.status, answer.header, len(answer.body)); err != nil {
		return gone(err)
	}
	if err := run.sink.Data(answer.body); err != nil {
		return gone(err)
	}
	return nil
}

// gone is the refusal of a call whose caller went away.
func gone(err error) *agatestage.Refusal {
	return &agatestage.Refusal{Code: agatestage.CodeDeadline, Message: "the caller went away: " + err.Error(), Ran: agatestage.RanUnknown}
}

// asRefusal returns the refusal in an error.
func asRefusal(err error) *agatestage.Refusal {
	var refusal *agatestage.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &agatestage.Refusal{Code: agatestage.CodeInternal, Message: err.Error(), Ran: agatestage.RanUnknown}
}

// note records that the call goes to the target.
func (run *run) note(endpoint agatestage.Endpoint) {
	if !slices.Contains(run.result.Targets, endpoint.ID) {
		run.result.Targets = append(run.result.Targets, endpoint.ID)
	}
}
