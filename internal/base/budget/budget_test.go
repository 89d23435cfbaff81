package budget_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/base/budget"
)

const (
	poolBytes = 100
	// answerBytes is the size of an answer that grows by stepBytes.
	answerBytes = 40
	stepBytes   = 10
)

// grow grows a hold to the size of an answer and counts the bytes that all hold.
func grow(ctx context.Context, hold *budget.Hold, held *atomic.Int64) (err error) {
	for size := 0; size < answerBytes && err == nil; size += stepBytes {
		if err = hold.Grow(ctx, stepBytes); err == nil {
			held.Add(stepBytes)
		}
	}
	return err
}

func TestAnswersThatGrowTogetherAreAllReceivedWithinThePoolAndOneAnswer(t *testing.T) {
	expect := gomega.NewWithT(t)
	shared := budget.New(poolBytes)
	var held, most atomic.Int64
	var answers sync.WaitGroup
	for range 200 {
		answers.Go(func() {
			hold := shared.Hold()
			if err := grow(context.Background(), hold, &held); err != nil {
				t.Error(err)
			}
			for now, before := held.Load(), most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
			}
			held.Add(-answerBytes)
			hold.Release()
		})
	}
	answers.Wait()
	expect.Expect(most.Load()).To(gomega.BeNumerically("<=", poolBytes+answerBytes))
}

func TestAnswerThatMayNotGrowWaitsUntilItsDeadline(t *testing.T) {
	expect := gomega.NewWithT(t)
	shared := budget.New(stepBytes)
	first, second, third := shared.Hold(), shared.Hold(), shared.Hold()
	expect.Expect(first.Grow(context.Background(), stepBytes)).To(gomega.Succeed())
	expect.Expect(second.Grow(context.Background(), answerBytes)).To(gomega.Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	expect.Expect(third.Grow(ctx, stepBytes)).To(gomega.MatchError(context.Canceled))
	third.Release()
	second.Release()
	expect.Expect(third.Grow(context.Background(), stepBytes)).To(gomega.Succeed())
	third.Release()
	first.Release()
	expect.Expect(second.Grow(context.Background(), stepBytes)).To(gomega.Succeed())
}
