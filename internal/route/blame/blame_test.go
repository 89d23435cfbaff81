package blame

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocks "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
)

func newList() (*List, *clocks.FakeClock) {
	clock := clocks.NewFakeClock(time.Unix(1_800_000_000, 0))
	return New(clock), clock
}

func TestTwoTargetsLostInTurnRefuse(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, clock := newList()
	list.Add(Strike{Fingerprint: 1, Target: "a"})
	list.Add(Strike{Fingerprint: 1, Target: "a"})
	expect.Expect(list.Suspect(1)).To(gomega.BeTrue())
	expect.Expect(list.Refuse(1)).To(gomega.Succeed())
	clock.Step(time.Second)
	list.Add(Strike{Fingerprint: 1, Target: "b"})
	expect.Expect(list.Refuse(1)).NotTo(gomega.Succeed())
	expect.Expect(list.Refuse(2)).To(gomega.Succeed())
	clock.Step(barredTime)
	expect.Expect(list.Refuse(1)).To(gomega.Succeed())
}

func TestBatchCallsAreNeverRefusedOrBlamed(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, clock := newList()
	item, online := &agatestage.Call{Fingerprint: 1, Batch: true}, &agatestage.Call{Fingerprint: 1}
	for _, target := range []string{"a", "b", "c", "d"} {
		expect.Expect(list.Admit(context.Background(), item)).To(gomega.Succeed())
		list.Charge(item, target)
		clock.Step(commonWindow)
	}
	expect.Expect(list.Admit(context.Background(), online)).To(gomega.Succeed())
	expect.Expect(item.Suspect || online.Suspect).To(gomega.BeFalse())
	list.Charge(online, "e")
	clock.Step(commonWindow)
	list.Charge(online, "f")
	expect.Expect(list.Admit(context.Background(), online)).NotTo(gomega.Succeed())
	expect.Expect(list.Admit(context.Background(), item)).To(gomega.Succeed())
}

func TestLossesOfBatchCallsShowACommonCause(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, _ := newList()
	other, _ := newList()
	online := &agatestage.Call{Fingerprint: 1}
	list.Charge(online, "a")
	expect.Expect(list.Suspect(1)).To(gomega.BeTrue())
	other.Charge(online, "a")
	for _, target := range []string{"b", "c"} {
		other.Add(list.Charge(&agatestage.Call{Fingerprint: 2, Batch: true}, target))
	}
	expect.Expect(list.Suspect(1)).To(gomega.BeFalse())
	expect.Expect(other.Suspect(1)).To(gomega.BeFalse())
}
