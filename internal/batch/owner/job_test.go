package owner

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

// newTestJob returns a job with one item, which is ready.
func newTestJob() *Job {
	job := newJob(&Manager{}, heads.Entry{Head: heads.Head{ID: "job", Items: 1, Epoch: 1}})
	job.ready = []Item{{Line: []byte(`{"custom_id":"item","body":{}}`)}}
	return job
}

// attempt takes the item, as a side does, and returns its call's outcome.
func attempt(t *testing.T, job *Job, outcome calls.ItemResult) calls.BatchItem {
	t.Helper()
	expect := gomega.NewWithT(t)
	items := job.Take(1)
	expect.Expect(items).To(gomega.HaveLen(1))
	outcome.Ref = items[0].Ref
	job.Finish(outcome)
	return items[0]
}

func TestItemUnderWhichTargetsCrashIsPlacedAgain(t *testing.T) {
	expect := gomega.NewWithT(t)
	job, suspect := newTestJob(), false
	for i := range 2 * maxAttempts {
		item := attempt(t, job, calls.ItemResult{
			Target: fmt.Sprint("target-", i), TargetLost: true, Refusal: &agatestage.Refusal{Code: agatestage.CodeTargetFailed, Ran: agatestage.RanUnknown},
		})
		suspect = suspect || item.Call.Suspect
	}
	expect.Expect(suspect).To(gomega.BeFalse())
	attempt(t, job, calls.ItemResult{Status: http.StatusOK, Body: []byte("{}")})
	expect.Expect(job.buffer).To(gomega.HaveLen(1))
}

func TestItemThatFailsIsGivenUpAfterMaxAttempts(t *testing.T) {
	expect := gomega.NewWithT(t)
	job := newTestJob()
	for range maxAttempts {
		expect.Expect(job.buffer).To(gomega.BeEmpty())
		attempt(t, job, calls.ItemResult{Status: http.StatusInternalServerError})
	}
	expect.Expect(job.Take(1)).To(gomega.BeEmpty())
	expect.Expect(job.buffer).To(gomega.HaveLen(1))
}
