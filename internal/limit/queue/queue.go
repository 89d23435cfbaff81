// Package queue holds requests that wait for a token of their organisation.
//
// The requests of one organisation are served in order of arrival, independently
// of those of other organisations. A request that can't be served within the
// longest wait, or in the time that its caller has, is refused at once, with the time after
// which to retry.
package queue

import (
	"context"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

// tickPeriod is how often waiting requests are checked when no new tokens have
// been announced.
const tickPeriod = 40 * time.Millisecond

// Queue implements agatestage.Limiter on a source of tokens.
type Queue struct {
	clock  agatestage.Clock
	rates  agatestage.RateSource
	tokens agatestage.TokenSource
	// wait is the longest time that a request waits.
	wait  time.Duration
	mutex sync.Mutex
	// waiting holds the waiting requests of each organisation in order of arrival.
	waiting map[string][]*request
}

// request is a waiting request.
type request struct {
	until  time.Time
	decide func(error)
}

// New returns a queue whose requests wait for at most wait.
func New(clock agatestage.Clock, rates agatestage.RateSource, tokens agatestage.TokenSource, wait time.Duration) *Queue {
	return &Queue{clock: clock, rates: rates, tokens: tokens, wait: wait, waiting: make(map[string][]*request)}
}

// Offer submits a request whose caller waits for a time. It calls decide exactly once, now or later, with nil if
// the request is admitted, or with a *agatestage.Refusal. The returned function
// withdraws the request.
func (queue *Queue) Offer(organisation string, left time.Duration, decide func(error)) (withdraw func()) {
	rate, ok := queue.rates.Rate(organisation)
	if !ok {
		decide(agatestage.Refuse(agatestage.CodeForbidden, "organisation %q doesn't exist", organisation))
		return func() {}
	}
	queue.mutex.Lock()
	pending := queue.waiting[organisation]
	if len(pending) == 0 && queue.tokens.Take(organisation) {
		queue.mutex.Unlock()
		decide(nil)
		return func() {}
	}
	wait := min(queue.wait, left)
	if float64(len(pending)) >= rate.PerSecond*wait.Seconds() && len(pending) > 0 || wait <= 0 {
		queue.mutex.Unlock()
		decide(refusal(organisation, rate, len(pending)))
		return func() {}
	}
	submitted := &request{until: queue.clock.Now().Add(wait), decide: decide}
	queue.waiting[organisation] = append(pending, submitted)
	count := len(pending) + 1
	queue.mutex.Unlock()
	queue.tokens.SetWaiting(organisation, count)
	return func() { queue.withdraw(organisation, submitted) }
}

// refusal returns a refusal with the time in which the waiting requests and one
// more can be served.
func refusal(organisation string, rate agatestage.Rate, waiting int) *agatestage.Refusal {
	refusal := agatestage.Refuse(agatestage.CodeRateLimited, "organisation %s is above its rate of %g requests a second", organisation, rate.PerSecond)
	refusal.RetryAfter = rate.RefillTime(float64(waiting + 1))
	return refusal
}

func (queue *Queue) withdraw(organisation string, withdrawn *request) {
	queue.mutex.Lock()
	pending := queue.waiting[organisation]
	for i := range pending {
		if pending[i] == withdrawn {
			pending = append(pending[:i:i], pending[i+1:]...)
			break
		}
	}
	if queue.waiting[organisation] = pending; len(pending) == 0 {
		delete(queue.waiting, organisation)
	}
	queue.mutex.Unlock()
	queue.tokens.SetWaiting(organisation, len(pending))
}

// Dispatch serves the waiting requests of an organisation that may have new tokens,
// and refuses those whose time has run out.
func (queue *Queue) Dispatch(organisation string) {
	queue.mutex.Lock()
	var decisions []func()
	pending := queue.waiting[organisation]
	if len(pending) == 0 {
		queue.mutex.Unlock()
		return
	}
	now := queue.clock.Now()
	rate, _ := queue.rates.Rate(organisation)
	inTime := make([]*request, 0, len(pending))
	for _, waiting := range pending {
		if !now.After(waiting.until) {
			inTime = append(inTime, waiting)
			continue
		}
		refused := refusal(organisation, rate, len(pending))
		decisions = append(decisions, func() { waiting.decide(refused) })
	}
	for pending = inTime; len(pending) > 0; pending = pending[1:] {
		if !queue.tokens.Take(organisation) {
			queue.waiting[organisation] = pending
			queue.mutex.Unlock()
			queue.tokens.SetWaiting(organisation, len(pending))
			callAll(decisions)
			return
		}
		head := pending[0]
		decisions = append(decisions, func() { head.decide(nil) })
	}
	delete(queue.waiting, organisation)
	queue.mutex.Unlock()
	queue.tokens.SetWaiting(organisation, 0)
	callAll(decisions)
}

func callAll(decisions []func()) {
	for _, decision := range decisions {
		decision()
	}
}

// Tick calls Dispatch for all organisations with waiting requests.
func (queue *Queue) Tick() {
	queue.mutex.Lock()
	organisations := make([]string, 0, len(queue.waiting))
	for organisation := range queue.waiting {
		organisations = append(organisations, organisation)
	}
	queue.mutex.Unlock()
	for _, organisation := range organisations {
		queue.Dispatch(organisation)
	}
}

// Serve calls Tick periodically until ctx ends.
func (queue *Queue) Serve(ctx context.Context) error {
	return ticks.Every(ctx, queue.clock, tickPeriod, func(context.Context) { queue.Tick() })
}

// String names the service in logs.
func (queue *Queue) String() string {
	return "limit queue"
}

// Admit implements agatestage.Limiter. The request waits no longer than until the deadline of
// ctx.
func (queue *Queue) Admit(ctx context.Context, organisation string) error {
	decision, left := make(chan error, 1), queue.wait
	if deadline, ok := ctx.Deadline(); ok {
		left = deadline.Sub(queue.clock.Now())
	}
	withdraw := queue.Offer(organisation, left, func(err error) { decision <- err })
	select {
	case err := <-decision:
		return err
	case <-ctx.Done():
	}
	withdraw()
	select {
	case err := <-decision:
		// The request was decided before it was withdrawn. A token that was taken is
		// not returned.
		return err
	default:
		return agatestage.Refuse(agatestage.CodeDeadline, "the request ended while it waited for its organisation's rate")
	}
}
