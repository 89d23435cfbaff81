package relay_test

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
)

// relist lists a target anew under its ID, as an incarnation at the address of another one.
func (fixture *fixture) relist(id string, other *target) {
	for i := range fixture.endpoints {
		if endpoint := &fixture.endpoints[i]; endpoint.ID == id {
			endpoint.Started, endpoint.Address = endpoint.Started.Add(1), netip.MustParseAddrPort(other.listener.Addr().String())
		}
	}
	fixture.sched.Apply(fixture.endpoints)
}

var _ = ginkgo.Describe("a target that is listed anew at another address", func() {
	ginkgo.It("is used on when the incarnation before goes down under a call", func() {
		reached, relisted := make(chan struct{}), make(chan struct{})
		var before *target
		before = newTarget(func(exchange *exchange) bool {
			close(reached)
			<-relisted
			_ = before.listener.Close()
			return reset(exchange)
		})
		fixture := newFixture(before)
		var calls sync.WaitGroup
		calls.Go(func() {
			defer ginkgo.GinkgoRecover()
			result, _ := fixture.serve(repeatable())
			expectRefusal(result, agatestage.RanUnknown)
		})
		gomega.Eventually(reached, deadline).Should(gomega.BeClosed())
		fixture.relist("target-0", newTarget(succeed))
		close(relisted)
		calls.Wait()
		gomega.Expect(fixture.receiveStrike().Target).To(gomega.Equal("target-0"))
		result, sink := fixture.sendOther("other", plan())
		expectAnswer(result, sink, http.StatusOK, "good")
	})
})
