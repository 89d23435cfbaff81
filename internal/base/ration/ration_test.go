package ration_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/base/ration"
)

const (
	capacity = 100
	patience = 10 * time.Second
)

var begin = time.Unix(1000, 0)

// start begins a transfer in the background, and returns a channel for the function that ends it.
func start(ctx context.Context, queue *ration.Queue, due time.Duration, bytes int64) <-chan func() {
	admitted := make(chan func(), 1)
	go func() {
		if release, err := queue.Acquire(ctx, begin.Add(due), bytes); err == nil {
			admitted <- release
		}
	}()
	return admitted
}

func TestTransfersNeverExceedTheCapacityAndAllEnd(t *testing.T) {
	expect, queue := gomega.NewWithT(t), ration.New(capacity)
	var under, most atomic.Int64
	var transfers sync.WaitGroup
	for i := range 200 {
		transfers.Go(func() {
			bytes := int64(1 + i%70)
			release, err := queue.Acquire(context.Background(), begin.Add(time.Duration(i%7)), bytes)
			if err != nil {
				t.Error(err)
				return
			}
			for now, before := under.Add(bytes), most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
			}
			under.Add(-bytes)
			release()
			release()
		})
	}
	transfers.Wait()
	expect.Expect(most.Load()).To(gomega.BeNumerically("<=", capacity))
}

func TestTransfersBeginByDueTime(t *testing.T) {
	expect, queue := gomega.NewWithT(t), ration.New(capacity)
	release, err := queue.Acquire(context.Background(), begin, capacity)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	late := start(context.Background(), queue, 2*time.Second, capacity)
	expect.Eventually(queue.Waiting, patience).Should(gomega.Equal(1))
	early := start(context.Background(), queue, time.Second, capacity)
	expect.Eventually(queue.Waiting, patience).Should(gomega.Equal(2))
	release()
	expect.Eventually(early, patience).Should(gomega.Receive(&release))
	expect.Expect(queue.Waiting()).To(gomega.Equal(1))
	release()
	expect.Eventually(late, patience).Should(gomega.Receive())
}

func TestTransferThatIsLargerThanTheCapacityBegins(t *testing.T) {
	expect, queue := gomega.NewWithT(t), ration.New(capacity)
	release, err := queue.Acquire(context.Background(), begin, 10*capacity)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	release()
}

func TestTransferThatIsGivenUpHoldsUpNoOther(t *testing.T) {
	expect, queue := gomega.NewWithT(t), ration.New(capacity)
	release, err := queue.Acquire(context.Background(), begin, capacity/2)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer release()
	ctx, cancel := context.WithCancel(context.Background())
	large := start(ctx, queue, time.Second, capacity)
	expect.Eventually(queue.Waiting, patience).Should(gomega.Equal(1))
	small := start(context.Background(), queue, 2*time.Second, capacity/2)
	expect.Eventually(queue.Waiting, patience).Should(gomega.Equal(2))
	cancel()
	expect.Eventually(small, patience).Should(gomega.Receive())
	expect.Expect(large).NotTo(gomega.Receive())
}
