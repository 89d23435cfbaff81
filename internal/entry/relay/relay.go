// Package relay takes a call to a target and its answer back to the caller,
// and decides what happens when an attempt fails.
//
// An attempt ends in one of three ways: answered, certainly not run, or
// unknown. What has not run is tried on another target. An unknown outcome is
// tried again only if the call is idempotent, within the retry budget, and only
// before the first byte of an answer has gone to the caller. The caller's
// deadline covers all attempts together.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/entry/fleet"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/route/retry"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// maxAttempts bounds the targets that one call is offered to.
	maxAttempts = 6
	// connectTimeout bounds how long an attempt may take to reach a side.
	connectTimeout = 1200 * time.Millisecond
	// waitForTarget bounds the wait for a first usable target, for example
	// while an entry has just started.
	waitForTarget  = 2 * time.Second
	defaultFirst   = 10 * time.Second
	defaultBetween = 15 * time.Second
)

// Sink takes an answer. Head is called once, before any Data.
type Sink interface {
	Head(status int, header http.Header) error
	Data(data []byte) error
}

// Timing bounds the phases of an answer.
type Timing struct {
	// FirstByte bounds the time from sending a call to its answer's head.
	FirstByte time.Duration
	// Between bounds the gap between two pieces of the answer.
	Between time.Duration
}

// withDefaults fills in what a route leaves out.
func (timing Timing) withDefaults() Timing {
	if timing.FirstByte <= 0 {
		timing.FirstByte = defaultFirst
	}
	if timing.Between <= 0 {
		timing.Between = defaultBetween
	}
	return timing
}

// Relay sends calls through the fleet.
type Relay struct {
	node   *link.Node
	fleet  *fleet.Fleet
	router agatestage.Router
	clock  agatestage.Clock
	budget *retry.Budget
	blame  *blame.List
	strike func(ctx context.Context, strike blame.Strike)
}

// Option changes how a relay is built.
type Option func(*Relay)

// WithStrikes sets what tells other entries of a strike before a retry.
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

// outcome is how one attempt ended.
type outcome struct {
	// begun says that the caller has received a part of the answer.
	begun   bool
	refusal *agatestage.Refusal
	lost    bool
}

// Do sends the call until it is answered or must not be tried again. It
// returns whether the answer had begun, and nil or a *agatestage.Refusal.
func (relay *Relay) Do(ctx context.Context, call *agatestage.Call, timing Timing, sink Sink) (begun bool, err error) {
	relay.budget.RecordRequest()
	timing = timing.withDefaults()
	tried := make(map[string]bool)
	ran := agatestage.RanNo
	var last *agatestage.Refusal
	for range maxAttempts {
		if err = relay.blame.Refuse(call.Fingerprint); err != nil {
			return false, withRan(err, ran)
		}
		call.Suspect = relay.blame.Suspect(call.Fingerprint)
		var candidate agatestage.Candidate
		if candidate, err = relay.choose(ctx, call, tried); err != nil {
			if last != nil {
				return false, withRan(last, ran)
			}
			return false, err
		}
		tried[candidate.Target] = true
		result := relay.attempt(ctx, call, candidate, timing, sink)
		if result.lost {
			relay.note(ctx, call, candidate)
		}
		if result.refusal == nil || result.begun {
			return result.begun, asError(result.refusal)
		}
		last = result.refusal
		if result.refusal.Ran != agatestage.RanNo {
			ran = agatestage.RanUnknown
		}
		if !relay.again(ctx, call, result) {
			break
		}
	}
	return false, withRan(last, ran)
}

// asError avoids a non-nil error that holds a nil refusal.
func asError(refusal *agatestage.Refusal) error {
	if refusal == nil {
		return nil
	}
	return refusal
}

// withRan returns the refusal with what is known of all attempts together.
func withRan(err error, ran agatestage.Ran) error {
	var refusal *agatestage.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	whole := *refusal
	if ran != agatestage.RanNo {
		whole.Ran = ran
	}
	return &whole
}

// note holds the loss of a target against the call and tells other entries.
func (relay *Relay) note(ctx context.Context, call *agatestage.Call, candidate agatestage.Candidate) {
	strike := blame.Strike{Fingerprint: call.Fingerprint, Target: candidate.Target}
	relay.blame.Add(strike)
	relay.strike(ctx, strike)
}

// again reports whether another attempt is allowed.
func (relay *Relay) again(ctx context.Context, call *agatestage.Call, result outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	if result.refusal.Ran == agatestage.RanNo {
		return true
	}
	return call.Idempotent && relay.budget.Allow()
}

// choose picks a target that has not been tried. It waits for a moment if
// there is none yet or all of them were busy.
func (relay *Relay) choose(ctx context.Context, call *agatestage.Call, tried map[string]bool) (agatestage.Candidate, error) {
	limit := relay.clock.NewTimer(waitForTarget)
	defer limit.Stop()
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
		case <-limit.C():
			return agatestage.Candidate{}, agatestage.Refuse(agatestage.CodeNoTarget, "no target can take the call")
		case <-changed:
		}
	}
}

// attempt sends the call to one target.
func (relay *Relay) attempt(ctx context.Context, call *agatestage.Call, candidate agatestage.Candidate, timing Timing, sink Sink) (result outcome) {
	var load *agatestage.Load
	relay.fleet.Sent(candidate.Target)
	defer func() { relay.fleet.Done(candidate.Target, load) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, finish, err := relay.begin(ctx, call, candidate)
	if err != nil {
		if ctx.Err() == nil {
			relay.fleet.Down(candidate.Target)
		}
		result.refusal = agatestage.Refuse(agatestage.CodeNoTarget, "the side of target %s is not reachable", candidate.Target)
		return result
	}
	defer finish()
	request := calls.Request{Target: candidate.Target, Call: *call}
	request.Call.ID = uuid.NewString()
	if deadline, ok := ctx.Deadline(); ok {
		request.Call.Timeout = deadline.Sub(relay.clock.Now())
	}
	reader := reader{relay: relay, stream: stream, timing: timing, sink: sink, cancel: cancel, id: request.Call.ID}
	if err = stream.Send(request); err != nil {
		result.refusal = unknown(ctx, "the call was cut off on its way to the target")
		return result
	}
	result = reader.read(ctx)
	load = reader.load
	return result
}

// begin opens the exchange; its failure means that nothing was sent. A call that
// may not be repeated goes out only on a link that has just answered.
func (relay *Relay) begin(ctx context.Context, call *agatestage.Call, candidate agatestage.Candidate) (*link.Stream, func(), error) {
	failed := make(chan struct{})
	timer := relay.clock.NewTimer(connectTimeout)
	defer timer.Stop()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-timer.C():
			cancel()
		case <-failed:
		}
	}()
	open := relay.node.Begin
	if !call.Idempotent {
		open = relay.node.BeginVerified
	}
	stream, finish, err := open(ctx, candidate.Side, calls.KindCall)
	close(failed)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	return stream, func() { finish(); cancel() }, nil
}

// unknown is the refusal of a call that may have run.
func unknown(ctx context.Context, message string) *agatestage.Refusal {
	refusal := &agatestage.Refusal{Code: agatestage.CodeTargetFailed, Message: message, Ran: agatestage.RanUnknown}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal.Code = agatestage.CodeDeadline
	}
	return refusal
}
