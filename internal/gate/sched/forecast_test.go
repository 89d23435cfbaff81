package sched

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
)

var _ = ginkgo.Describe("batch calls that are more than can be done in time", func() {
	const need = 4 * time.Second
	began := time.Unix(1000, 0)
	// queue fills a target's four slots for need and lets calls wait behind that, due
	// after so many seconds. It returns the queue as it is dispatched.
	queue := func(dues ...int) []*waiter {
		scheduler := New(clocktest.NewFakeClock(began), "near", "a")
		scheduler.Apply([]agatestage.Endpoint{{ID: "home", Service: fleetService, Region: "near", Zone: "a", Slots: 4}})
		scheduler.SetHomes(map[string]bool{"home": true})
		entry := scheduler.service(fleetService)
		for range 4 {
			ask := Ask{Service: fleetService, Batch: true, Due: began.Add(time.Hour), Need: need}
			scheduler.give(entry.targets[0], WayHome, ask, began)
		}
		for _, due := range dues {
			entry.push(newWaiter(Ask{Service: fleetService, Batch: true, Due: began.Add(time.Duration(due) * time.Second), Need: need}, began))
		}
		scheduler.dispatch(entry, began)
		return entry.batch
	}
	// seconds returns when calls are due, those that can't be done in time negative.
	seconds := func(calls []*waiter) (dues []int) {
		for _, call := range calls {
			due := int(call.ask.Due.Sub(began).Seconds())
			if call.late {
				due = -due
			}
			dues = append(dues, due)
		}
		return dues
	}
	ginkgo.It("don't take the slots of those that can", func() {
		// The slots are free after 4 s in the mean, then one call a second is done.
		gomega.Expect(seconds(queue(9, 9, 9, 9, 13, 13))).To(gomega.Equal([]int{9, 9, 13, 13, -9, -9}))
	})
	ginkgo.It("are none while there is room for all", func() {
		gomega.Expect(seconds(queue(30, 20, 9))).To(gomega.Equal([]int{9, 20, 30}))
	})
})
