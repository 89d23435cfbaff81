package owner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

// delays are those after each loss of a target, from the first on.
var delays = []time.Duration{0, minLossDelay, 2 * minLossDelay, 4 * minLossDelay, 8 * minLossDelay, 16 * minLossDelay, maxLossDelay, maxLossDelay}

// lose runs the item at a target that goes down, and expects that it is owed and
// dispatched again after the delay, not before.
func lose(t *testing.T, job *Job, clock *clocktest.FakeClock, target int, delay time.Duration) {
	t.Helper()
	expect := gomega.NewWithT(t)
	attempt(t, job, lost(target, agatestage.RanUnknown))
	expect.Expect(job.buffer).To(gomega.BeEmpty(), "the item is listed as failed")
	if delay > 0 {
		expect.Expect(job.Waiting()).To(gomega.BeZero())
		clock.Step(delay - 1)
		expect.Expect(clock.HasWaiters()).To(gomega.BeTrue())
		expect.Expect(job.Take(1)).To(gomega.BeEmpty())
		clock.Step(1)
	}
	expect.Eventually(job.Waiting).Should(gomega.Equal(1))
}

func TestItemIsOwedHoweverManyTargetsWentDownWhileTheyRanIt(t *testing.T) {
	expect := gomega.NewWithT(t)
	job, clock := newTestJob()
	for target, delay := range delays {
		lose(t, job, clock, target, delay)
	}
	attempt(t, job, calls.ItemResult{Status: http.StatusOK, Body: []byte("{}")})
	expect.Expect(job.buffer).To(gomega.HaveLen(1))
	expect.Expect(job.buffer[0].Failed).To(gomega.BeFalse())
}

func TestItemKeepsItsLossesWhenItIsRequeued(t *testing.T) {
	expect := gomega.NewWithT(t)
	job, clock := newTestJob()
	lose(t, job, clock, 0, 0)
	expect.Expect(job.Take(1)).To(gomega.HaveLen(1))
	job.Requeue(0)
	attempt(t, job, calls.ItemResult{Returned: true})
	lose(t, job, clock, 1, minLossDelay)
}

func TestDelayedItemHoldsUpNoOther(t *testing.T) {
	expect := gomega.NewWithT(t)
	job, clock := newTestJob()
	lose(t, job, clock, 0, 0)
	attempt(t, job, lost(1, agatestage.RanUnknown))
	job.blocks = []block{{first: 1, count: 1}}
	expect.Expect(job.needsBlock()).To(gomega.BeTrue())
	job.ready = append(job.ready, Item{Number: 1, Line: []byte("{}")})
	expect.Expect(attempt(t, job, calls.ItemResult{Status: http.StatusOK}).Ref.Item).To(gomega.Equal(1))
	expect.Expect(job.Progress().Completed).To(gomega.BeZero())
}

func TestDelayedItemIsNotDispatchedByAJobThatIsCancelledOrPaused(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, end := range map[string]func(job *Job){
		"cancelled": func(job *Job) { _ = job.Cancel(cancelled) },
		"paused":    (*Job).pauseItems,
	} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			job, clock := newTestJob()
			changes := make(chan struct{}, 1)
			lose(t, job, clock, 0, 0)
			attempt(t, job, lost(1, agatestage.RanUnknown))
			job.changed = func() { signal(changes) }
			end(job)
			clock.Step(minLossDelay)
			expect.Eventually(changes).Should(gomega.Receive())
			expect.Expect(job.ready).To(gomega.BeEmpty())
		})
	}
}
