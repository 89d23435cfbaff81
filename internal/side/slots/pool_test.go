package slots

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	clocks "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
)

func TestSlots(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "slots")
}

var (
	online = &agatestage.Call{}
	batch  = &agatestage.Call{Batch: true}
	// suspect is an online call that has a strike.
	suspect = &agatestage.Call{Suspect: true}
)

var _ = ginkgo.Describe("a pool of slots", func() {
	ctx := context.Background()
	var clock *clocks.FakeClock
	var pool *Pool
	ginkgo.BeforeEach(func() {
		clock = clocks.NewFakeClock(time.Unix(1_800_000_000, 0))
		pool = New(clock, 2, 1, func() {}, WithSpacing(25*time.Millisecond))
	})
	enter := func(call *agatestage.Call) *Ticket {
		ginkgo.GinkgoHelper()
		ticket, err := pool.Acquire(ctx, call)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return ticket
	}
	expectRefused := func(call *agatestage.Call, code agatestage.Code) {
		ginkgo.GinkgoHelper()
		_, err := pool.Acquire(ctx, call)
		var refusal *agatestage.Refusal
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(refusal))
		refusal = err.(*agatestage.Refusal)
		gomega.Expect(refusal.Code).To(gomega.Equal(code))
		gomega.Expect(refusal.Ran).To(gomega.Equal(agatestage.RanNo))
	}

	ginkgo.It("admits suspect calls after one left the queue without a slot", func() {
		running := enter(online)
		enter(online)
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err := pool.Acquire(ended, suspect)
		gomega.Expect(err).To(gomega.HaveOccurred())
		running.Release()
		enter(suspect)
		expectRefused(suspect, agatestage.CodeBusy)
	})

	ginkgo.It("preempts the batch call that was admitted last for an online call", func() {
		first, second := enter(batch), enter(batch)
		enter(online)
		gomega.Expect(second.Preempted()).To(gomega.BeClosed())
		gomega.Expect(first.Preempted()).NotTo(gomega.BeClosed())
		second.Release()
		gomega.Expect(pool.Load()).To(gomega.Equal(agatestage.Load{Online: 1, Batch: 1, Slots: 2}))
	})

	ginkgo.It("refuses batch calls when online calls use all slots", func() {
		enter(online)
		enter(online)
		expectRefused(batch, agatestage.CodeBusy)
	})

	ginkgo.It("spaces batch calls only while online calls run", func() {
		first := enter(online)
		expectRefused(batch, agatestage.CodeBusy)
		clock.Step(30 * time.Millisecond)
		enter(batch).Release()
		first.Release()
		enter(batch)
		enter(batch)
	})

	ginkgo.It("queues online calls and refuses them when the queue is full", func() {
		first := enter(online)
		enter(online)
		served := make(chan *Ticket, 1)
		go func() {
			ticket, _ := pool.Acquire(ctx, online)
			served <- ticket
		}()
		gomega.Eventually(func() int { return pool.Load().Waiting }, 10*time.Second).Should(gomega.Equal(1))
		expectRefused(online, agatestage.CodeBusy)
		first.Release()
		first.Release()
		gomega.Eventually(served, 10*time.Second).Should(gomega.Receive(gomega.Not(gomega.BeNil())))
		gomega.Expect(pool.Load().Online).To(gomega.Equal(2))
	})

	ginkgo.It("admits one suspect call at a time", func() {
		suspect := &agatestage.Call{Suspect: true}
		first := enter(suspect)
		expectRefused(suspect, agatestage.CodeBusy)
		enter(online)
		first.Release()
		enter(suspect)
	})

	ginkgo.It("doesn't assign a slot to a caller that has left the queue", func() {
		holders := []*Ticket{enter(online), enter(online)}
		cancelled, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() {
			_, err := pool.Acquire(cancelled, online)
			done <- err
		}()
		gomega.Eventually(func() int { return pool.Load().Waiting }, 10*time.Second).Should(gomega.Equal(1))
		cancel()
		gomega.Eventually(done, 10*time.Second).Should(gomega.Receive(gomega.HaveOccurred()))
		for _, holder := range holders {
			holder.Release()
		}
		gomega.Expect(pool.Load()).To(gomega.Equal(agatestage.Load{Slots: 2}))
	})
})
