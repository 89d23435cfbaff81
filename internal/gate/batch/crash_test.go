package batch_test

import (
	"context"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/relay"
)

// crashFirst is a script by which targets crash under the first runs of an item, more
// often than its route allows answers of 500.
func crashFirst(_ string, run int) relay.Result {
	if run > maxAttempts+1 {
		return relay.Result{Status: http.StatusOK}
	}
	refusal := agatestage.Refuse(agatestage.CodeTargetFailed, "the target broke off")
	refusal.Ran = agatestage.RanUnknown
	return relay.Result{Refusal: refusal, Ran: true}
}

var _ = ginkgo.Describe("an item under which targets crash", func() {
	for _, transfer := range []string{"stays", "is handed over", "is taken over"} {
		ginkgo.It("is not given up, though its job "+transfer, func() {
			fixture := newFixture()
			fixture.fakeFleet.setAlive(first, second)
			owner, kill := fixture.start(first)
			successor, _ := fixture.start(second)
			fixture.fakeRunner.script = crashFirst
			spec := fixture.spec("job", 1)
			gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
			gomega.Eventually(func() int { return fixture.fakeRunner.runCount("job-0") }, waitTimeout).Should(gomega.BeNumerically(">=", 2))
			switch transfer {
			case "is handed over":
				owner.Drain(context.Background())
				fixture.fakeFleet.setAlive(second)
			case "is taken over":
				kill()
				fixture.fakeFleet.setAlive(second)
			}
			gomega.Expect(expectDone(successor, spec)[0].Failed).To(gomega.BeFalse())
			gomega.Expect(fixture.fakeRunner.runCount("job-0")).To(gomega.BeNumerically(">=", maxAttempts+2))
		})
	}
})

var _ = ginkgo.Describe("an item whose prompt has a part in quarantine", func() {
	ginkgo.It("waits, and is run once the part is free", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		fixture.fakeRunner.script = func(_ string, run int) relay.Result {
			if run > maxAttempts+1 {
				return relay.Result{Status: http.StatusOK}
			}
			return relay.Result{Refusal: agatestage.Refuse(agatestage.CodeHarmful, "a part of the prompt is in quarantine")}
		}
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(expectDone(owner, spec)[0].Failed).To(gomega.BeFalse())
		gomega.Expect(fixture.fakeRunner.runCount("job-0")).To(gomega.Equal(maxAttempts + 2))
	})
})
