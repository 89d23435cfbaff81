package sched_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/sched"
)

// slotsLeft returns the slots that a gateway tells others that its batch calls have.
func (play *play) slotsLeft() int {
	_, slots := play.Backlog()
	return slots
}

var _ = ginkgo.Describe("the slots that a gateway has for batch calls", func() {
	ginkgo.It("are those that online calls leave, in the mean over their ups and downs", func() {
		play := newPlay()
		gomega.Expect(play.slotsLeft()).To(gomega.Equal(2 * slots))
		for range 5 {
			play.online("region-0", "remote-0")
		}
		play.Hear("other", map[string]sched.Held{"local-0": {Online: 1}})
		gomega.Expect(play.slotsLeft()).To(gomega.Equal(2 * slots))
		for range 60 {
			play.clock.Step(time.Second)
			play.Hear("other", map[string]sched.Held{"local-0": {Online: 1}})
			play.slotsLeft()
		}
		gomega.Expect(play.slotsLeft()).To(gomega.Equal(2*slots - 6))
	})
	ginkgo.It("are not those of services without batch work", func() {
		play := newPlay()
		plain := agatestage.Endpoint{ID: "plain-0", Service: "plain", Region: "near", Zone: "a", Slots: slots}
		play.Apply([]agatestage.Endpoint{endpoint("local-0", "near", "a"), plain})
		play.SetHomes(map[string]bool{"local-0": true, "plain-0": true})
		play.SetBatchServices(map[string]bool{service: true})
		gomega.Expect(play.slotsLeft()).To(gomega.Equal(slots))
	})
})
