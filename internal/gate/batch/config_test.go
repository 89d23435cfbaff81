package batch_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

// failed returns the items that were given up.
func failed(results []batch.Result) (items []string) {
	for _, result := range results {
		if result.Failed {
			items = append(items, result.ID)
		}
	}
	return items
}

var _ = ginkgo.Describe("an item whose route is newer than the configuration of its job's next owner", func() {
	ginkgo.It("is run once that has the route, and not given up", func() {
		fixture := newFixture()
		fixture.configure(2, prefix)
		fixture.fakeFleet.setAlive(first)
		fixture.fakeRunner.hold = make(chan struct{})
		owner, kill := fixture.start(first)
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		kill()
		behind := *fixture
		behind.holder, behind.fakeRunner = rules.NewHolder(), newFakeRunner()
		behind.configure(1, "/other/")
		fixture.fakeFleet.setAlive(second)
		successor, _ := behind.start(second)
		gomega.Eventually(func() bool {
			_, runs := successor.AnswerQuery(spec.ID, 0)
			return runs
		}, waitTimeout).Should(gomega.BeTrue())
		gomega.Consistently(func() []string { return failed(results(successor, spec.ID).Results) }, "500ms").Should(gomega.BeEmpty())
		behind.configure(2, prefix)
		gomega.Expect(failed(expectDone(successor, spec))).To(gomega.BeEmpty())
	})
})
