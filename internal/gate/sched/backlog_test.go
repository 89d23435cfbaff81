package sched_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/sched"
)

// batchSlots returns the number of slots for batch calls that the gateway reports
// to others.
func (fixture *fixture) batchSlots() int {
	_, slots := fixture.Backlog()
	return slots
}

var _ = ginkgo.Describe("the slots that a gateway has for batch calls", func() {
	ginkgo.It("are the average number of slots that online calls leave free", func() {
		fixture := newFixture()
		gomega.Expect(fixture.batchSlots()).To(gomega.Equal(2 * slots))
		for range 5 {
			fixture.acquireOnline("region-0", "remote-0")
		}
		fixture.ReceiveHeld("other", map[string]sched.Held{"local-0": {Online: 1}})
		gomega.Expect(fixture.batchSlots()).To(gomega.Equal(2 * slots))
		for range 60 {
			fixture.clock.Step(time.Second)
			fixture.ReceiveHeld("other", map[string]sched.Held{"local-0": {Online: 1}})
			fixture.batchSlots()
		}
		gomega.Expect(fixture.batchSlots()).To(gomega.Equal(2*slots - 6))
	})
	ginkgo.It("don't include those of services without batch work", func() {
		fixture := newFixture()
		plain := agatestage.Endpoint{ID: "plain-0", Service: "plain", Region: "near", Zone: "a", Slots: slots}
		fixture.Apply([]agatestage.Endpoint{endpoint("local-0", "near", "a"), plain})
		fixture.SetHomes(map[string]bool{"local-0": true, "plain-0": true})
		fixture.SetBatchServices(map[string]bool{service: true})
		gomega.Expect(fixture.batchSlots()).To(gomega.Equal(slots))
	})
})
