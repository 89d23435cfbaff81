// Package relay forwards calls to targets and their answers to the callers, and
// retries failed attempts.
//
// An attempt has one of three outcomes: answered, not run, or unknown. A call that
// has not run is retried on another target. After an unknown outcome it is retried
// only if it is idempotent and the retry budget allows it, and only before the
// first byte of an answer has been sent to the caller. It goes to another target, or, once,
// to the same one if the link to its side was lost: that says nothing about the target. The
// caller's deadline covers all attempts together.
package relay

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/entry/fleet"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/route/retry"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// maxAttempts bounds the number of targets that one call is sent to.
	maxAttempts = 6
	// connectTimeout bounds the time to open an exchange with a side.
	connectTimeout = 1200 * time.Millisecond
	// targetWaitTimeout bounds the wait for a first usable target, for example just
	// after an entry has started or while all sides are silent.
	targetWaitTimeout       = 2 * time.Second
	defaultFirstByteTimeout = 10 * time.Second
	defaultGapTimeout       = 15 * time.Second
)

// Sink receives an answer. Head is called once, before any Data.
type Sink interface {
	Head(status int, header http.Header) error
	Data(data []byte) error
}

// Timeouts bounds the phases of an answer.
type Timeouts struct {
	// FirstByte bounds the time from sending a call to receiving its answer's
	// head.
	FirstByte time.Duration
	// Between bounds the gap between two parts of the answer.
	Between time.Duration
}

// withDefaults returns the time-outs with defaults for those that are not set.
func (timeouts Timeouts) withDefaults() Timeouts {
	if timeouts.FirstByte <= 0 {
		timeouts.FirstByte = defaultFirstByteTimeout
	}
	if timeouts.Between <= 0 {
		timeouts.Between = defaultGapTimeout
	}
	return timeouts
}

// Relay sends calls to the targets of the fleet.
type Relay struct {
	node   *link.Node
	fleet  *fleet.Fleet
	router agatestage.Router
	clock  agatestage.Clock
	budget *retry.Budget
	blame  *blame.List
	strike func(ctx context.Context, strike blame.Strike)
}

// Option configures a Relay.
type Option func(*Relay)

// WithStrikes sets the function that sends a strike to the other entries before a
// retry.
func WithStrikes(strike func(ctx context.Context, strike blame.Strike)) Option {
	return func(relay *Relay) { relay.strike = strike }
}

// New returns a relay.
func New(node *link.Node, fleet *fleet.Fleet, router agatestage.Router, list *blame.List, clock agatestage.Clock, options ...Option) *Relay {
	relay := &Relay{
		node: node, fleet: fleet, router: router, clock: clock, budget: retry.New(), blame: list,
		strike: func(context.Context, blame.Strike) {},
	}
	for _, option := range options {
		option(relay)
	}
	return relay
}

// outcome is the outcome of one attempt.
type outcome struct {
	// responseStarted is true if a part of the answer has been passed to the sink.
	responseStarted bool
	// status is that of the answer.
	status     int
	refusal    *agatestage.Refusal
	targetLost bool
	// unreachable is true if the target's side could not be reached, linkLost if the link
	// to it was lost before any of the answer had arrived.
	unreachable bool
	linkLost    bool
}

// Do sends the call until it is answered or must not be retried. It returns
// whether a part of the answer has been passed to the sink, and nil or a
// *agatestage.Refusal.
func (relay *Relay) Do(ctx context.Context, call *agatestage.Call, timeouts Timeouts, sink Sink) (responseStarted bool, err error) {
	relay.budget.RecordRequest()
	timeouts = timeouts.withDefaults()
	tried, spare := make(map[string]bool), make(map[string]bool)
	ran := agatestage.RanNo
	var lastRefusal *agatestage.Refusal
	// trialRan is true if a target may still run the call on trial.
	trialRan := false
	defer func() {
		if !trialRan {
			relay.releaseTrial(ctx, call)
		}
	}()
	for range maxAttempts {
		if err = relay.blame.Admit(ctx, call); err != nil {
			return false, withRan(err, ran)
		}
		var candidate agatestage.Candidate
		if candidate, err = relay.pickTarget(ctx, call, tried, spare); err != nil {
			if lastRefusal != nil {
				return false, withRan(lastRefusal, ran)
			}
			return false, err
		}
		tried[candidate.Target] = true
		result := relay.attempt(ctx, call, candidate, timeouts, sink)
		succeeded := result.refusal == nil && result.status < http.StatusMultipleChoices
		answered := result.refusal == nil && !succeeded
		trialRan = trialRan || call.Trial && !answered && (succeeded || result.refusal.Ran != agatestage.RanNo)
		if result.targetLost {
			relay.recordStrike(ctx, call, candidate)
		}
		if result.unreachable || result.linkLost && !spare[candidate.Target] {
			// The fleet keeps calls from an unreachable one until it reports again.
			delete(tried, candidate.Target)
		}
		if result.linkLost {
			spare[candidate.Target] = true
		}
		if succeeded {
			relay.reportCompletion(ctx, call)
		}
		if result.refusal == nil || result.responseStarted {
			return result.responseStarted, asError(result.refusal)
		}
		lastRefusal = result.refusal
		if result.refusal.Ran != agatestage.RanNo {
			ran = agatestage.RanUnknown
		}
		if !relay.mayRetry(ctx, call, result) {
			break
		}
	}
	return false, withRan(lastRefusal, ran)
}

// asError converts a nil refusal to a nil error, rather than to a non-nil error
// that holds a nil pointer.
func asError(refusal *agatestage.Refusal) error {
	if refusal == nil {
		return nil
	}
	return refusal
}

// withRan returns the refusal with Ran set for all attempts together.
func withRan(err error, ran agatestage.Ran) error {
	var refusal *agatestage.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	combined := *refusal
	if ran != agatestage.RanNo {
		combined.Ran = ran
	}
	return &combined
}

// recordStrike records a strike against a call whose target was lost while it ran
// the call, and sends the strike to the other entries.
func (relay *Relay) recordStrike(ctx context.Context, call *agatestage.Call, candidate agatestage.Candidate) {
	strike := relay.blame.Charge(call, candidate.Target)
	lost, counted := relay.blame.Counts(strike.Fingerprint)
	klog.InfoS("target went down", "target", candidate.Target, "call", call.ID, "body", blame.Name(strike.Fingerprint), "lost", lost, "counted", counted,
		"parts", blame.PartNames(call), "suspects", blame.Names(strike.Parts))
	relay.strike(ctx, strike)
}

// reportCompletion records that a target has answered the call with success, and reports it
// to the other entries if its request was in quarantine, or a part of its prompt a suspect.
func (relay *Relay) reportCompletion(ctx context.Context, call *agatestage.Call) {
	if completion, ok := relay.blame.Complete(call); ok {
		klog.InfoS("request in quarantine completed", "call", call.ID, "body", blame.Name(completion.Completed), "parts", blame.Names(completion.CompletedParts))
		// The answer ends when its handler returns.
		go relay.strike(ctx, completion)
	}
}

// reportSurvival records that the target has written an answer to the call for so long that the
// parts of its prompt are sound, and reports it to the other entries if they were suspects.
func (relay *Relay) reportSurvival(ctx context.Context, call *agatestage.Call) {
	if survival, ok := relay.blame.Survive(call); ok {
		klog.InfoS("target has written on suspected parts for long", "call", call.ID, "parts", blame.Names(survival.CompletedParts))
		go relay.strike(context.WithoutCancel(ctx), survival)
	}
}

// releaseTrial lets another call of the request run on trial, if this one was on trial.
func (relay *Relay) releaseTrial(ctx context.Context, call *agatestage.Call) {
	if released, ok := relay.blame.Release(call); ok {
		klog.InfoS("trial ended without a result", "call", call.ID, "body", blame.Name(released.Released), "parts", blame.Names(released.ReleasedParts))
		go relay.strike(context.WithoutCancel(ctx), released)
	}
}

// mayRetry reports whether another attempt is allowed.
func (relay *Relay) mayRetry(ctx context.Context, call *agatestage.Call, result outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	if result.refusal.Ran == agatestage.RanNo {
		return true
	}
	return call.Idempotent && relay.budget.Allow()
}

// pickTarget picks a target that has not been tried, and a spare one only if no other can
// take the call. Unless one has been reached, it waits up to targetWaitTimeout if there is
// no target yet, all are busy or their sides are silent.
func (relay *Relay) pickTarget(ctx context.Context, call *agatestage.Call, tried, spare map[string]bool) (agatestage.Candidate, error) {
	if len(spare) > 0 {
		except := maps.Clone(spare)
		maps.Copy(except, tried)
		candidates := relay.fleet.Candidates(call, except)
		if i := relay.router.Pick(call, candidates); i >= 0 {
			return candidates[i], nil
		}
	}
	timer := relay.clock.NewTimer(targetWaitTimeout)
	defer timer.Stop()
	for {
		changed := relay.fleet.Changed()
		candidates := relay.fleet.Candidates(call, tried)
		if i := relay.router.Pick(call, candidates); i >= 0 {
			return candidates[i], nil
		}
		if len(tried) > 0 {
			return agatestage.Candidate{}, agatestage.Refuse(agatestage.CodeNoTarget, "no other target can take the call")
		}
		select {
		case <-ctx.Done():
			return agatestage.Candidate{}, agatestage.Refuse(agatestage.CodeDeadline, "no target became ready in time")
		case <-timer.C():
			return agatestage.Candidate{}, agatestage.Refuse(agatestage.CodeNoTarget, "no target can take the call")
		case <-changed:
		}
	}
}

// attempt sends the call to one target.
func (relay *Relay) attempt(ctx context.Context, call *agatestage.Call, candidate agatestage.Candidate, timeouts Timeouts, sink Sink) (result outcome) {
	var load *agatestage.Load
	relay.fleet.RecordSent(candidate.Target)
	defer func() { relay.fleet.RecordDone(candidate.Target, load) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, finish, err := relay.openExchange(ctx, call, candidate)
	if err != nil {
		if ctx.Err() != nil {
			result.refusal = agatestage.Refuse(agatestage.CodeDeadline, "the call ended before the side of target %s was reached", candidate.Target)
			return result
		}
		result.unreachable = true
		relay.fleet.MarkUnreachable(candidate.Target)
		result.refusal = agatestage.Refuse(agatestage.CodeNoTarget, "the side of target %s is not reachable", candidate.Target)
		return result
	}
	defer finish()
	request := calls.Request{Target: candidate.Target, Call: *call}
	request.Call.ID = uuid.NewString()
	if deadline, ok := ctx.Deadline(); ok {
		request.Call.Timeout = deadline.Sub(relay.clock.Now())
	}
	survived := func() { relay.reportSurvival(ctx, call) }
	reader := reader{relay: relay, stream: stream, timeouts: timeouts, sink: sink, cancel: cancel, id: request.Call.ID, survived: survived}
	if err = stream.Send(request); err != nil {
		result.refusal = unknownOutcome(ctx, "the call was cut off on its way to the target")
		result.linkLost = ctx.Err() == nil
		return result
	}
	result = reader.read(ctx)
	load = reader.load
	return result
}

// openExchange opens the exchange with the candidate's side. If it fails, nothing
// of the call has been sent. For a call that is not idempotent the link is verified
// first by a round trip.
func (relay *Relay) openExchange(ctx context.Context, call *agatestage.Call, candidate agatestage.Candidate) (*link.Stream, func(), error) {
	returned := make(chan struct{})
	timer := relay.clock.NewTimer(connectTimeout)
	defer timer.Stop()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-timer.C():
			cancel()
		case <-returned:
		}
	}()
	open := relay.node.Begin
	if !call.Idempotent {
		open = relay.node.BeginVerified
	}
	stream, finish, err := open(ctx, candidate.Side, calls.KindCall)
	close(returned)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	return stream, func() { finish(); cancel() }, nil
}

// unknownOutcome returns the refusal of a call that may have run.
func unknownOutcome(ctx context.Context, message string) *agatestage.Refusal {
	refusal := &agatestage.Refusal{Code: agatestage.CodeTargetFailed, Message: message, Ran: agatestage.RanUnknown}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Code = agatestage.CodeDeadline
	case ctx.Err() != nil:
		refusal.Code, refusal.Message = agatestage.CodeDeadline, "the call was cancelled before the answer was complete"
	}
	return refusal
}
