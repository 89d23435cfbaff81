package relay_test

import (
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/relay"
)

// manyGone is the number of targets of a service that have gone before the list says so.
const manyGone = 8

var _ = ginkgo.Describe("a call that finds many of its targets gone", func() {
	for name, gone := range map[string]func() *target{
		"other incarnations have their addresses": func() *target { return newTarget(replaced) },
		"nothing listens at their addresses": func() *target {
			target := newTarget(succeed)
			_ = target.listener.Close()
			return target
		},
	} {
		for kind, plan := range map[string]func() relay.Plan{"may run once": plan, "may be repeated": repeatable} {
			ginkgo.It("is served by one that is there if it "+kind+", as "+name, func() {
				var targets []*target
				for range manyGone {
					targets = append(targets, gone())
				}
				result, sink := newFixture(append(targets, newTarget(succeed))...).serve(plan())
				expectAnswer(result, sink, http.StatusOK, "good")
			})
		}
	}
	ginkgo.It("is refused as not run if none is there", func() {
		var targets []*target
		for range manyGone {
			targets = append(targets, newTarget(replaced))
		}
		result, _ := newFixture(targets...).serve(plan())
		expectRefusal(result, agatestage.RanNo)
		for _, target := range targets {
			gomega.Expect(target.requests()).To(gomega.BeNumerically("<=", 1))
		}
	})
	ginkgo.It("is refused by four targets at most that are busy", func() {
		var targets []*target
		for range manyGone {
			targets = append(targets, newTarget(reject))
		}
		result, _ := newFixture(targets...).serve(plan())
		expectRefusal(result, agatestage.RanNo)
		gomega.Expect(sent(targets)).To(gomega.Equal(4))
	})
})
