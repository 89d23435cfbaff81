// Package queue lets requests wait for a token of their organisation.
//
// Requests of one organisation are served in order of arrival. A request that
// could not be served within the bound on waiting is refused at once, with the
// time after which a retry makes sense; organisations don't wait for one
// another.
package queue

import (
	"context"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

// tickPeriod is how often waiting requests are looked at when no token has
// been announced.
const tickPeriod = 40 * time.Millisecond

// Queue implements agatestage.Limiter on a source of tokens.
type Queue struct {
	clock   agatestage.Clock
	rates   agatestage.RateSource
	tokens  agatestage.TokenSource
	wait    time.Duration
	mutex   sync.Mutex
	waiting map[string][]*request
}

// request is one that waits.
type request struct {
	until  time.Time
	decide func(error)
}

// New returns a queue whose requests wait for at most wait.
func New(clock agatestage.Clock, rates agatestage.RateSource, tokens agatestage.TokenSource, wait time.Duration) *Queue {
	return &Queue{clock: clock, rates: rates, tokens: tokens, wait: wait, waiting: make(map[string][]*request)}
}

// Offer decides a request now or later: decide is called exactly once, with
// nil or a *agatestage.Refusal. The returned function withdraws the request.
func (queue *Queue) Offer(organisation string, decide func(error)) (withdraw func()) {
	rate, ok := queue.rates.Rate(organisation)
	if !ok {
		decide(agatestage.Refuse(agatestage.CodeForbidden, "organisation %q doesn't exist", organisation))
		return func() {}
	}
	queue.mutex.Lock()
	line := queue.waiting[organisation]
	if len(line) == 0 && queue.tokens.Take(organisation) {
		queue.mutex.Unlock()
		decide(nil)
		return func() {}
	}
	if float64(len(line)) >= rate.PerSecond*queue.wait.Seconds() && len(line) > 0 || queue.wait <= 0 {
		queue.mutex.Unlock()
		decide(refusal(organisation, rate, len(line)))
		return func() {}
	}
	entry := &request{until: queue.clock.Now().Add(queue.wait), decide: decide}
	queue.waiting[organisation] = append(line, entry)
	count := len(line) + 1
	queue.mutex.Unlock()
	queue.tokens.SetWaiting(organisation, count)
	return func() { queue.withdraw(organisation, entry) }
}

// refusal tells when the queue will have moved on.
func refusal(organisation string, rate agatestage.Rate, waiting int) *agatestage.Refusal {
	refusal := agatestage.Refuse(agatestage.CodeRateLimited, "organisation %s is above its rate of %g requests a second", organisation, rate.PerSecond)
	refusal.RetryAfter = rate.RefillTime(float64(waiting + 1))
	return refusal
}

func (queue *Queue) withdraw(organisation string, entry *request) {
	queue.mutex.Lock()
	line := queue.waiting[organisation]
	for i := range line {
		if line[i] == entry {
			line = append(line[:i:i], line[i+1:]...)
			break
		}
	}
	if queue.waiting[organisation] = line; len(line) == 0 {
		delete(queue.waiting, organisation)
	}
	queue.mutex.Unlock()
	queue.tokens.SetWaiting(organisation, len(line))
}

// Poke serves the waiting requests of an organisation that may have tokens.
func (queue *Queue) Poke(organisation string) {
	queue.mutex.Lock()
	var decisions []func()
	line := queue.waiting[organisation]
	if len(line) == 0 {
		queue.mutex.Unlock()
		return
	}
	now := queue.clock.Now()
	for len(line) > 0 {
		entry := line[0]
		switch {
		case now.After(entry.until):
			rate, _ := queue.rates.Rate(organisation)
			refused := refusal(organisation, rate, len(line))
			decisions = append(decisions, func() { entry.decide(refused) })
		case queue.tokens.Take(organisation):
			decisions = append(decisions, func() { entry.decide(nil) })
		default:
			queue.waiting[organisation] = line
			queue.mutex.Unlock()
			queue.tokens.SetWaiting(organisation, len(line))
			run(decisions)
			return
		}
		line = line[1:]
	}
	delete(queue.waiting, organisation)
	queue.mutex.Unlock()
	queue.tokens.SetWaiting(organisation, 0)
	run(decisions)
}

func run(decisions []func()) {
	for _, decision := range decisions {
		decision()
	}
}

// Tick serves and expires all waiting requests.
func (queue *Queue) Tick() {
	queue.mutex.Lock()
	organisations := make([]string, 0, len(queue.waiting))
	for organisation := range queue.waiting {
		organisations = append(organisations, organisation)
	}
	queue.mutex.Unlock()
	for _, organisation := range organisations {
		queue.Poke(organisation)
	}
}

// Serve ticks until ctx ends.
func (queue *Queue) Serve(ctx context.Context) error {
	return ticks.Every(ctx, queue.clock, tickPeriod, func(context.Context) { queue.Tick() })
}

// String names the service in logs.
func (queue *Queue) String() string {
	return "limit queue"
}

// Admit implements agatestage.Limiter.
func (queue *Queue) Admit(ctx context.Context, organisation string) error {
	decision := make(chan error, 1)
	withdraw := queue.Offer(organisation, func(err error) { decision <- err })
	select {
	case err := <-decision:
		return err
	case <-ctx.Done():
	}
	withdraw()
	select {
	case err := <-decision:
		// Decided at the same moment; a token that was taken stays taken.
		return err
	default:
		return agatestage.Refuse(agatestage.CodeDeadline, "the request ended while it waited for its organisation's rate")
	}
}
