package owner

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

// newTestJob returns a job with one item, which is ready, and its clock.
func newTestJob() (*Job, *clocktest.FakeClock) {
	clock := clocktest.NewFakeClock(time.Unix(1000, 0))
	job := newJob(&Manager{clock: clock}, heads.Entry{Head: heads.Head{ID: "job", Items: 1, Epoch: 1}})
	job.ready = []Item{{Line: []byte(`{"custom_id":"item","body":{}}`)}}
	return job, clock
}

// attempt takes the item, as a side does, and ends its call with an outcome.
func attempt(t *testing.T, job *Job, outcome calls.ItemResult) calls.BatchItem {
	t.Helper()
	expect := gomega.NewWithT(t)
	items := job.Take(1)
	expect.Expect(items).To(gomega.HaveLen(1))
	outcome.Ref = items[0].Ref
	job.Finish(outcome)
	return items[0]
}

// lost returns the outcome of an attempt whose target was down.
func lost(target int, ran agatestage.Ran) calls.ItemResult {
	return calls.ItemResult{Target: fmt.Sprint("target-", target), TargetLost: true, Refusal: &agatestage.Refusal{Code: agatestage.CodeNoTarget, Ran: ran}}
}

func TestItemThatFoundItsTargetsDownIsStillOwed(t *testing.T) {
	expect := gomega.NewWithT(t)
	job, _ := newTestJob()
	for target := range 2 * maxAttempts {
		attempt(t, job, lost(target, agatestage.RanNo))
		expect.Expect(job.buffer).To(gomega.BeEmpty())
	}
	item := attempt(t, job, calls.ItemResult{Status: http.StatusOK, Body: []byte("{}")})
	expect.Expect(item.Call.Suspect).To(gomega.BeFalse())
	expect.Expect(job.buffer).To(gomega.HaveLen(1))
}

func TestItemIsGivenUpAfterMaxAttempts(t *testing.T) {
	expect := gomega.NewWithT(t)
	job, _ := newTestJob()
	attempt(t, job, lost(0, agatestage.RanUnknown))
	for range maxAttempts {
		expect.Expect(job.buffer).To(gomega.BeEmpty())
		attempt(t, job, calls.ItemResult{Status: http.StatusInternalServerError})
	}
	expect.Expect(job.buffer).To(gomega.HaveLen(1))
}
