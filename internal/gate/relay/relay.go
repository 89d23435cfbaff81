// Package relay sends a call to a target, forwards the response, and handles failed
// attempts.
//
// An attempt ends in one of four ways: answered, certainly not run, interrupted
// before any of the response was forwarded, or interrupted within a stream. A call
// that has not run goes to another target. An interrupted call is retried only if
// it may run more than once and its route allows another attempt. It uses the same target
// again, on a new connection, if that closed a kept connection without having answered and
// no other target has a slot: sound targets drop idle connections. A resumable
// stream continues after its last complete event, within the same response to the
// caller.
//
// A sound target may be silent for a second or so. A call that may be repeated leaves a
// silent target once another one has a slot for it, and not before.
package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/budget"
	"github.com/agatestage/agatestage/internal/gate/conns"
	"github.com/agatestage/agatestage/internal/gate/gauge"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/route/blame"
)

const (
	// maxRejections bounds the targets that may reject a call without running it, or be
	// silent, before the call is refused. Those that are gone don't count: no call tries
	// them again.
	maxRejections = 4
	// maxMismatches is the same for targets whose weights aren't those that the call expects. Each
	// is tried once only by all calls of this gateway until it may have other weights.
	maxMismatches = 16
	// maxResponseBytes bounds a response that is buffered until it is complete, and
	// keptBytes all that is kept of responses at a time beyond that of one, in a process. The
	// smallest gateways have 184 MB.
	maxResponseBytes = 4 << 20
	keptBytes        = 16 << 20
	// discardTime is how long the rest of a rejection is waited for, so that its connection
	// can be kept: opening another one takes about as long to a distant target.
	discardTime = 60 * time.Millisecond
)

// Relay sends calls to targets. It implements Runner.
type Relay struct {
	clock   agatestage.Clock
	sched   *sched.Scheduler
	conns   *conns.Pool
	dialect agatestage.Dialect
	blame   *blame.List
	strike  func(blame.Strike)

	// memory bounds what is kept of responses.
	memory *budget.Budget

	abandoned abandonedCalls
}

// Option configures a relay.
type Option func(*Relay)

// WithStrikes sets the handler that reports to the other gateways that a target
// crashed while it ran a call, or completed one whose request was in quarantine.
func WithStrikes(strike func(blame.Strike)) Option {
	return func(relay *Relay) { relay.strike = strike }
}

// WithMemory sets how many bytes all responses that are kept at a time may take beyond that of
// one. Without it, they may take keptBytes.
func WithMemory(bytes int64) Option {
	return func(relay *Relay) {
		if bytes > 0 {
			relay.memory = budget.New(bytes)
		}
	}
}

// New returns a relay that places calls with the scheduler and sends them over the
// pool's connections.
func New(clock agatestage.Clock, scheduler *sched.Scheduler, pool *conns.Pool, dialect agatestage.Dialect, list *blame.List, options ...Option) *Relay {
	relay := &Relay{
		clock: clock, sched: scheduler, conns: pool, dialect: dialect, blame: list, strike: func(blame.Strike) {}, memory: budget.New(keptBytes),
	}
	for _, option := range options {
		option(relay)
	}
	return relay
}

// outcome describes how one attempt ended.
type outcome struct {
	// done is true if the caller has its final response, or cannot be served any
	// further.
	done bool
	// notRun is true if the target has not run the call; gone if that is because nothing
	// listens at its address, or another incarnation does.
	notRun bool
	gone   bool
	// mismatched is true if it hasn't run since the target's weights aren't those expected.
	mismatched bool
	// refusal describes what went wrong.
	refusal *agatestage.Refusal
	// buffered is an error response of the target, which is forwarded if no later
	// attempt does better.
	buffered *buffered
	// failed is true if the failure is the target's.
	failed bool
	// crashed is true if the target may be down, as the connection broke or was silent.
	crashed bool
	// silent is true if the target sent nothing for too long, dropped if it closed a kept
	// connection before it sent anything. A sound target may do either.
	silent  bool
	dropped bool
}

// run is the state of a call that is being served.
type run struct {
	*Relay
	call   *agatestage.Call
	plan   Plan
	sink   Sink
	result Result
	// exclude holds the targets that the call must not use, spare those that were only
	// silent or dropped a kept connection, which it uses again if no other has a slot.
	exclude []string
	spare   []string
	// next is the slot for the next attempt, if it is known already.
	next       *sched.Reservation
	placed     int
	rejections int
	mismatches int
	attempts   int
	// trialRan is true if a target may still run the call on trial.
	trialRan    bool
	lastFailure *buffered
	// pace is that of the current attempt.
	pace pace
	// lastSent is when the caller was last sent events; zero if it wasn't.
	lastSent time.Time
}

// Serve implements Runner.
func (relay *Relay) Serve(ctx context.Context, call *agatestage.Call, plan Plan, sink Sink) Result {
	ctx, cancel := context.WithTimeout(ctx, plan.Deadline.Sub(relay.clock.Now()))
	defer cancel()
	call.Parts, call.Weights, call.Tokens = relay.dialect.Parts(call.Header), relay.dialect.ExpectedWeights(call.Header), relay.dialect.Tokens(call.Header)
	run := &run{Relay: relay, call: call, plan: plan, sink: sink}
	run.result.LastEventID = plan.ResumeAfter
	run.serve(ctx)
	return run.result
}

func (run *run) serve(ctx context.Context) {
	defer func() {
		if run.next != nil {
			run.next.Release(false)
		}
		if !run.trialRan {
			run.releaseTrial()
		}
		run.setLastFailure(nil)
	}()
	for {
		reservation, err := run.admit(ctx)
		if err != nil {
			run.fail(asRefusal(err))
			return
		}
		run.placed++
		klog.InfoS("call placed", "call", run.call.ID, "target", reservation.Target.ID, "service", run.plan.Service, "batch", run.plan.Batch,
			"attempt", run.placed, "waited", reservation.Waited, "free", reservation.Free, "heardAge", reservation.RemoteCountsAge, "way", reservation.Placement,
			"after", run.result.LastEventID)
		run.pace = pace{began: run.clock.Now(), whole: run.result.LastEventID == 0}
		end := run.attempt(ctx, reservation)
		succeeded := end.done && end.refusal == nil && run.result.Status < http.StatusMultipleChoices
		run.recordPace(ctx, reservation, end, succeeded)
		reservation.Release(end.failed)
		run.result.SlotTime += run.clock.Since(run.pace.began)
		answered := end.buffered != nil || end.done && end.refusal == nil && !succeeded
		run.trialRan = run.trialRan || run.call.Trial && !end.notRun && !answered
		var known <-chan struct{}
		if end.crashed {
			known = run.checkCrash(reservation.Target)
		}
		if end.done {
			if run.result.Preempted {
				klog.InfoS("call gave way", "call", run.call.ID, "target", reservation.Target.ID, "last", run.result.LastEventID)
			}
			run.result.Refusal = end.refusal
			if succeeded {
				run.reportCompletion()
			} else if end.refusal != nil && !end.notRun && !run.result.Preempted {
				run.abandon(reservation.Target)
			}
			return
		}
		switch {
		case end.silent || end.dropped:
			run.spare = append(run.spare, reservation.Target.ID)
		case end.mismatched && run.plan.Batch:
			// The target may have the expected weights later in a run of an item.
		default:
			run.exclude = append(run.exclude, reservation.Target.ID)
		}
		if end.buffered != nil {
			run.setLastFailure(end.buffered)
		}
		klog.InfoS("attempt failed", "call", run.call.ID, "target", reservation.Target.ID, "notRun", end.notRun, "dropped", end.dropped, "reason", end.refusal.Message)
		if !run.mayRetry(ctx, end) {
			run.fail(end.refusal)
			return
		}
		if end.crashed {
			run.awaitCheck(ctx, known)
		}
	}
}

// reportCompletion records that a target has answered the call with success, and reports it
// to the other gateways if its request was in quarantine, or a part of its prompt a suspect.
func (run *run) reportCompletion() {
	if completion, ok := run.blame.Complete(run.call); ok {
		klog.InfoS("request in quarantine completed", "call", run.call.ID, "body", blame.Name(completion.Completed), "parts", blame.Names(completion.CompletedParts))
		run.strike(completion)
	}
}

// reportSurvival records that the target has written events since a time. If it has for long
// enough that the parts of the call's prompt are sound, it reports them to the other gateways.
func (run *run) reportSurvival(since time.Time) time.Time {
	now := run.clock.Now()
	if since.IsZero() {
		return now
	}
	if now.Sub(since) < blame.SurvivalTime {
		return since
	}
	if survival, ok := run.blame.Survive(run.call); ok {
		klog.InfoS("target has written on suspected parts for long", "call", run.call.ID, "parts", blame.Names(survival.CompletedParts))
		run.strike(survival)
	}
	return now
}

// releaseTrial lets another call of the request run on trial, if this one was on trial.
func (run *run) releaseTrial() {
	if released, ok := run.blame.Release(run.call); ok {
		klog.InfoS("trial ended without a result", "call", run.call.ID, "body", blame.Name(released.Released), "parts", blame.Names(released.ReleasedParts))
		run.strike(released)
	}
}

// admit waits for a slot in a region that is allowed at the end of the wait, and returns a
// refusal if targets have gone down under the request before or meanwhile.
func (run *run) admit(ctx context.Context) (*sched.Reservation, error) {
	for {
		if err := run.blame.Check(run.call); err != nil {
			return nil, err
		}
		reservation, err := run.acquire(ctx)
		if err != nil {
			return nil, err
		}
		if !run.checkRegion(reservation) {
			continue
		}
		if err = run.blame.Admit(ctx, run.call); err != nil {
			reservation.Release(false)
			return nil, err
		}
		if run.checkRegion(reservation) {
			return reservation, nil
		}
	}
}

// acquire waits for a slot.
func (run *run) acquire(ctx context.Context) (*sched.Reservation, error) {
	if reservation := run.next; reservation != nil {
		run.next = nil
		return reservation, nil
	}
	if len(run.spare) > 0 {
		if reservation := run.sched.TryAcquire(run.request(run.tried())); reservation != nil {
			return reservation, nil
		}
	}
	return run.sched.Acquire(ctx, run.request(run.exclude))
}

// request returns the request for a slot at none of the given targets.
func (run *run) request(exclude []string) sched.Request {
	return sched.Request{
		Service: run.plan.Service, Batch: run.plan.Batch, Priority: run.plan.Priority, Arrived: run.plan.Arrived, Deadline: run.plan.Deadline, FirstBy: run.nextEventBy(),
		Exclude: exclude, Weights: run.call.Weights, Tokens: run.call.Tokens, Due: run.plan.Due, GiveUp: run.plan.GiveUp, ExpectedDuration: run.plan.ExpectedDuration,
		Organisation: run.call.Organisation, Class: run.plan.Class, Resumed: run.result.LastEventID > 0, Regions: run.regions(),
	}
}

// nextEventBy returns when the caller leaves unless it is sent an event; zero if not before the
// call's deadline.
func (run *run) nextEventBy() time.Time {
	since := run.plan.Arrived
	if !run.lastSent.IsZero() {
		since = run.lastSent
	}
	if run.plan.CallerSilence <= 0 || since.IsZero() {
		return time.Time{}
	}
	return since.Add(run.plan.CallerSilence)
}

// takes returns what the rest of the call is known to take.
func (run *run) takes() gauge.Estimate {
	takes := run.sched.Takes(run.plan.Service, run.plan.Class)
	if run.result.LastEventID > 0 {
		return takes.Rest()
	}
	return takes
}

// tried returns the targets to which the call has been sent.
func (run *run) tried() []string {
	return slices.Concat(run.exclude, run.spare)
}

// mayRetry reports whether another attempt is allowed.
func (run *run) mayRetry(ctx context.Context, end outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	if end.notRun {
		// A batch call is retried by its job, which may use this target again. It
		// uses few targets, so a retry here would wait for a target that it may not
		// use.
		switch {
		case end.gone:
		case end.mismatched:
			run.mismatches++
		default:
			run.rejections++
		}
		return run.rejections < maxRejections && run.mismatches < maxMismatches && (!run.plan.Batch || run.next != nil || end.mismatched)
	}
	if !run.plan.Repeatable || (run.result.ResponseStarted && !run.plan.Resumable) {
		return false
	}
	// A batch call that has a slot already goes on there within its run.
	return run.attempts < run.plan.Attempts || (run.plan.Batch && run.next != nil)
}

// fail ends the call with the error response of a target, if there was one, or else
// with the refusal. The refusal says "not run" only if no target may have run the
// call.
func (run *run) fail(refusal *agatestage.Refusal) {
	if run.lastFailure != nil && !run.result.ResponseStarted {
		run.result.Refusal = run.writeBuffered(run.lastFailure)
		return
	}
	final := *refusal
	if run.result.Ran {
		if final.Ran = agatestage.RanUnknown; final.Code == agatestage.CodeBusy || final.Code == agatestage.CodeNoTarget {
			final.Code = agatestage.CodeTargetFailed
		}
	}
	run.result.Refusal = &final
}

// callerGone returns the refusal of a call whose caller has disconnected.
func callerGone(err error) *agatestage.Refusal {
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

// recordTarget records that the call was sent to the target.
func (run *run) recordTarget(endpoint agatestage.Endpoint) {
	if !slices.Contains(run.result.Targets, endpoint.ID) {
		run.result.Targets = append(run.result.Targets, endpoint.ID)
	}
}
