package batch_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/feeds"
)

// startHolder starts a gateway that doesn't follow the heads and whose items don't end.
func startHolder(fixture *fixture) (*batch.Manager, *fakeFleet) {
	ginkgo.GinkgoHelper()
	fleet := &fakeFleet{notWatching: true}
	fleet.setAlive(first, second)
	duty := feeds.NewDuty()
	duty.Set(false)
	blind := *fixture
	blind.fakeFleet, blind.fakeRunner = fleet, newFakeRunner()
	blind.fakeRunner.hold = make(chan struct{})
	owner, _ := blind.start(first, batch.WithDuty(duty))
	return owner, fleet
}

// record returns the record of a job's head in the store.
func (fixture *fixture) record(id string) agatestage.Record {
	ginkgo.GinkgoHelper()
	record, err := fixture.store.Get(context.Background(), "batch/head/"+id)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return record
}

// succeed lets another gateway take the job over and finish it.
func (fixture *fixture) succeed(spec batch.Spec) *batch.Manager {
	ginkgo.GinkgoHelper()
	record := fixture.record(spec.ID)
	fixture.fakeFleet.setAlive(second)
	successor, _ := fixture.start(second)
	successor.HeadChanged(batch.Handover{Record: record, TakeOver: true})
	expectDone(successor, spec)
	return successor
}

var _ = ginkgo.Describe("results listed by the next owner of a job", func() {
	ginkgo.It("are shown by the former owner, though it confirmed the job under its next lease before", func() {
		fixture := newFixture()
		owner, fleet := startHolder(fixture)
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		fleet.setLease("another")
		gomega.Eventually(func() bool {
			_, known := owner.AnswerQuery(spec.ID, 0)
			return known
		}, waitTimeout).Should(gomega.BeTrue())
		// The take-over was decided while the owner had no lease.
		successor := fixture.succeed(spec)
		owner.ReceiveNotes(successor.Notes())
		gomega.Expect(results(owner, spec.ID).Results).To(gomega.HaveLen(1))
	})
	ginkgo.It("are shown by a gateway to which the job is handed over late", func() {
		fixture := newFixture()
		spec := fixture.spec("job", 1)
		accepting, _ := startHolder(fixture)
		gomega.Expect(accepting.Submit(context.Background(), spec)).To(gomega.Succeed())
		handover := batch.Handover{Record: fixture.record(spec.ID), Whole: true, Items: spec.Items}
		accepting.Close()
		fixture.succeed(spec)
		receiver, fleet := startHolder(fixture)
		fleet.setLease("another")
		receiver.HeadChanged(handover)
		gomega.Expect(results(receiver, spec.ID).Results).To(gomega.HaveLen(1))
	})
})
