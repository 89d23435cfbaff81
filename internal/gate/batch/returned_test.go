package batch_test

import (
	"context"
	"encoding/json"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/state/member"
)

// join writes the membership record of a process of a gateway.
func (fixture *fixture) join(gateway batch.Gateway) {
	ginkgo.GinkgoHelper()
	data, err := json.Marshal(member.Member{Name: gateway.Name, Instance: gateway.Instance})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	fixture.putMember(gateway.Name, data)
}

// putMember writes what stands under the key of a gateway's membership record.
func (fixture *fixture) putMember(name string, data []byte) {
	ginkgo.GinkgoHelper()
	_, err := fixture.store.Commit(context.Background(), nil, []agatestage.Write{{Key: "member/" + name, Value: data}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// startReturned starts an owner that has its job confirmed under its next lease, and another
// gateway for which the owner is gone, and tells that one to take the job over.
func startReturned(fixture *fixture) (owner, other *batch.Manager, runner *fakeRunner, spec batch.Spec) {
	ginkgo.GinkgoHelper()
	owner, fleet := startHolder(fixture)
	spec = fixture.spec("job", 1)
	gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
	fixture.join(first)
	fleet.setLease("another")
	gomega.Eventually(func() bool {
		_, known := owner.AnswerQuery(spec.ID, 0)
		return known
	}, waitTimeout).Should(gomega.BeTrue())
	late := *fixture
	late.fakeFleet, late.fakeRunner = &fakeFleet{}, newFakeRunner()
	late.fakeFleet.setAlive(second)
	other, _ = late.start(second)
	other.HeadChanged(batch.Handover{Record: fixture.record(spec.ID), TakeOver: true})
	return owner, other, late.fakeRunner, spec
}

var _ = ginkgo.Describe("a job whose owner is back before another gateway knows", func() {
	ginkgo.It("is not taken over, so that no results are missing at its owner", func() {
		owner, other, runner, spec := startReturned(newFixture())
		// The gateway tries again and again beyond startupGrace.
		gomega.Consistently(func() int {
			shown := len(results(other, spec.ID).Results)
			gomega.Expect(results(owner, spec.ID).Results).To(gomega.HaveLen(shown))
			return runner.runCount("job-0")
		}, 4*observeTime).Should(gomega.BeZero())
	})
	ginkgo.It("is taken over once its owner has left", func() {
		fixture := newFixture()
		_, other, runner, spec := startReturned(fixture)
		gomega.Consistently(func() int { return runner.runCount("job-0") }, 3*observeTime).Should(gomega.BeZero())
		gomega.Expect(fixture.store.Delete(context.Background(), "member/first", fixture.memberVersion(first.Name))).To(gomega.Succeed())
		expectDone(other, spec)
	})
	for name, data := range map[string]string{"of a later process of its owner": `{"Name":"first","Instance":"later"}`, "of another writer": "[]"} {
		ginkgo.It("is taken over if the membership record is that "+name, func() {
			fixture := newFixture()
			_, other, _, spec := startReturned(fixture)
			fixture.putMember(first.Name, []byte(data))
			expectDone(other, spec)
		})
	}
	ginkgo.It("is taken over if a later process of its owner has been heard, though its record is still there", func() {
		fixture := newFixture()
		owner, fleet := startHolder(fixture)
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		fixture.join(first)
		fleet.setLease("")
		later := first
		later.Instance = "later"
		fixture.fakeFleet.setAlive(second, later)
		other, _ := fixture.start(second)
		other.HeadChanged(batch.Handover{Record: fixture.record(spec.ID), TakeOver: true})
		expectDone(other, spec)
	})
})

// memberVersion returns the version of a gateway's membership record.
func (fixture *fixture) memberVersion(name string) uint64 {
	ginkgo.GinkgoHelper()
	record, err := fixture.store.Get(context.Background(), "member/"+name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return record.Version
}
