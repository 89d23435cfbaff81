package pace_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage/internal/base/pace"
)

const (
	silence  = time.Second
	total    = 10 * time.Second
	patience = 10 * time.Second
)

// pass lets time pass once the transfer waits for it.
func pass(expect *gomega.WithT, clock *clocktest.FakeClock, duration time.Duration) {
	expect.Eventually(clock.HasWaiters, patience).Should(gomega.BeTrue())
	clock.Step(duration)
}

func TestTransferWhosePeerIsSilentEnds(t *testing.T) {
	expect, clock := gomega.NewWithT(t), clocktest.NewFakeClock(time.Unix(1000, 0))
	ctx, limit := pace.New(context.Background(), clock, silence, total)
	defer limit.Stop()
	pass(expect, clock, silence)
	expect.Eventually(ctx.Done(), patience).Should(gomega.BeClosed())
	expect.Expect(context.Cause(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
}

func TestTransferThatMakesProgressGoesOnUntilItHasTakenTooLong(t *testing.T) {
	expect, clock := gomega.NewWithT(t), clocktest.NewFakeClock(time.Unix(1000, 0))
	ctx, limit := pace.New(context.Background(), clock, silence, total)
	defer limit.Stop()
	for range 9 {
		expect.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
		limit.Progress()
		pass(expect, clock, silence-time.Millisecond)
		limit.Progress()
		clock.Step(time.Millisecond)
	}
	expect.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
	limit.Progress()
	pass(expect, clock, silence)
	expect.Eventually(ctx.Done(), patience).Should(gomega.BeClosed())
}

func TestTransferThatHasEndedLeavesNothingBehind(t *testing.T) {
	expect, clock := gomega.NewWithT(t), clocktest.NewFakeClock(time.Unix(1000, 0))
	ctx, limit := pace.New(context.Background(), clock, silence, total)
	limit.Stop()
	expect.Expect(context.Cause(ctx)).To(gomega.MatchError(context.Canceled))
	expect.Eventually(clock.HasWaiters, patience).Should(gomega.BeFalse())
}
