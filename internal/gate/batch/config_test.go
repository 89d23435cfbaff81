package batch_test

import (
	"context"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
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

// The organisations of callers; one that a configuration needs no key of has none.
const (
	nobody  = ""
	another = "another"
)

var _ = ginkgo.Describe("a job", func() {
	for _, submitter := range []string{nobody, organisation} {
		ginkgo.It(fmt.Sprintf("that is accepted from %q isn't unknown, nor another one, where a later or an older configuration needs keys or doesn't", submitter), func() {
			fixture := newFixture()
			fixture.fakeFleet.setAlive(first)
			owner, _ := fixture.start(first)
			spec := fixture.spec("job", 1)
			spec.Organisation = submitter
			gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
			for _, reader := range []string{nobody, organisation} {
				spec.Organisation = reader
				gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
				_, resultsErr := owner.Results(context.Background(), reader, spec.ID, 0, 0, nil)
				_, bodyErr := owner.Body(context.Background(), reader, spec.ID, "job-0")
				for _, err := range []error{resultsErr, bodyErr} {
					if reader == nobody && submitter != nobody {
						expectRefused(err, agatestage.CodeNotFresh, agatestage.RanNo)
					} else {
						gomega.Expect(err).NotTo(gomega.HaveOccurred())
					}
				}
			}
		})
	}
	ginkgo.It("stays that of its organisation, which may be gone for a while", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		fixture.fakeRunner.hold = make(chan struct{})
		owner, _ := fixture.start(first)
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		for version, organisations := range [][]rules.Organisation{{{Name: another}}, {{Name: another}, {Name: organisation}}} {
			content := rules.Content{Version: uint64(version + 2), Organisations: organisations, Routes: []rules.Route{{
				Name: "moved", Host: host, Prefix: prefix, Kind: rules.KindBatch, Attempts: maxAttempts, Shares: []rules.WeightedService{{Service: "next", Weight: 1}},
			}}}
			fixture.holder.Offer(rules.New(content), "test")
			_, err := owner.Results(context.Background(), another, spec.ID, 0, 0, nil)
			expectRefused(err, agatestage.CodeNotFound, agatestage.RanNo)
		}
		close(fixture.fakeRunner.hold)
		gomega.Expect(failed(expectDone(owner, spec))).To(gomega.BeEmpty())
	})
})
