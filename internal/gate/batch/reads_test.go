package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"
)

// Guards against each of several callers reading a whole input.
func TestCallersShareTheReadOfAnInput(t *testing.T) {
	expect := gomega.NewWithT(t)
	var reads inputReads
	var count atomic.Int64
	begun, finish := make(chan struct{}, 8), make(chan struct{})
	results := make(chan int, 8)
	ask := func(ctx context.Context) {
		items, _ := reads.input(ctx, "job", func(context.Context) ([]Item, error) {
			count.Add(1)
			begun <- struct{}{}
			<-finish
			return make([]Item, 3), nil
		})
		results <- len(items)
	}
	left, leave := context.WithCancel(t.Context())
	go ask(left)
	<-begun
	for range 3 {
		go ask(t.Context())
	}
	leave()
	expect.Eventually(results, "10s").Should(gomega.Receive(gomega.Equal(0)))
	close(finish)
	for range 3 {
		expect.Eventually(results, "10s").Should(gomega.Receive(gomega.Equal(3)))
	}
	expect.Expect(count.Load()).To(gomega.BeNumerically("<=", 4))
}

func TestInputsThatAreReadAtATimeAreBounded(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := clocktest.NewFakeClock(time.Unix(1000, 0))
	manager := &Manager{clock: clock}
	manager.reads.limit(100)
	release, err := manager.admitRead(t.Context(), 1000)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	refused := make(chan error, 1)
	go func() {
		_, refusal := manager.admitRead(t.Context(), 1)
		refused <- refusal
	}()
	expect.Eventually(clock.HasWaiters, "10s").Should(gomega.BeTrue())
	expect.Consistently(refused, "50ms").ShouldNot(gomega.Receive())
	clock.Step(readPatience)
	expect.Eventually(refused, "10s").Should(gomega.Receive(gomega.MatchError(errReadsBusy)))
	release()
	_, err = manager.admitRead(t.Context(), 1)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestWaitForResultsIsLimited(t *testing.T) {
	for _, limit := range []time.Duration{0, 2 * time.Second} {
		manager := &Manager{}
		WithResultsWait(limit)(manager)
		want := limit
		if limit == 0 {
			want = defaultResultsWait
		}
		expect := gomega.NewWithT(t)
		expect.Expect(manager.limitWait(time.Hour)).To(gomega.Equal(want))
		expect.Expect(manager.limitWait(time.Second)).To(gomega.Equal(time.Second))
	}
}
