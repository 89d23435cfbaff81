package relay_test

import (
	"fmt"
	"net/http"

	"github.com/onsi/ginkgo/v2"

	"github.com/agatestage/agatestage/internal/route/blame"
)

var _ = ginkgo.Describe("a batch call under which targets crash", func() {
	for crashes := 2; crashes <= 5; crashes++ {
		ginkgo.It(fmt.Sprintf("is placed again after %d crashes in turn, here and at a gateway that got the strikes", crashes), func() {
			here, other := newFixture(crashingTargets(crashes)...), newFixture(newTarget(streamAll))
			for range crashes {
				here.serveBatch()
				strike := here.receiveStrike()
				other.list.Add(strike)
				other.list.Add(blame.Strike{Fingerprint: fingerprint, Target: strike.Target})
			}
			for _, gateway := range []*fixture{here, other} {
				result, sink := gateway.serveBatch()
				expectAnswer(result, sink, http.StatusOK, series(1, 6))
			}
		})
	}
	ginkgo.It("leaves an online call with the same body alone", func() {
		fixture := newFixture(crashingTargets(2)...)
		for range 2 {
			fixture.serveBatch()
			fixture.receiveStrike()
		}
		result, sink := fixture.serve(stream())
		expectAnswer(result, sink, http.StatusOK, series(1, 6))
	})
})
