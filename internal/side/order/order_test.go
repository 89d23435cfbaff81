package order

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocks "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/side/slots"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

// backend is an engine that follows each order at once.
type backend struct {
	holdings []agatestage.Holding
}

func (backend *backend) Do(context.Context, *agatestage.Call) (*agatestage.Answer, error) {
	return nil, context.Canceled
}

func (backend *backend) Holdings(context.Context) ([]agatestage.Holding, error) {
	return backend.holdings, nil
}

func (backend *backend) Order(_ context.Context, order agatestage.Order) error {
	backend.holdings = order.Holdings
	return nil
}

func (backend *backend) Address() netip.AddrPort { return netip.AddrPort{} }

func newReconciler(held ...agatestage.Holding) *Reconciler {
	clock := clocks.NewFakeClock(time.Unix(1_800_000_000, 0))
	pool := slots.New(clock, 1, 1, func() {})
	target := state.New("engine-a", agatestage.KindEngine, &backend{holdings: held}, pool, clock, func() {})
	target.Probe(context.Background())
	return New(target, nil, clock)
}

func policy(revision uint64, version string, models ...string) calls.Policy {
	policy := calls.Policy{Entry: "entry-a", Revision: revision, Targets: []model.Target{{Name: "engine-a", Models: models}}}
	for _, name := range models {
		policy.Models = append(policy.Models, model.Model{Name: name, Version: version})
	}
	return policy
}

func TestLatePolicyOfAnOldRevisionIsIgnored(t *testing.T) {
	expect := gomega.NewWithT(t)
	reconciler := newReconciler()
	reconciler.ApplyPolicy(policy(5, "2", "wording"))
	reconciler.ApplyPolicy(policy(4, "1", "labels"))
	plan, due := reconciler.plan()
	expect.Expect(due).To(gomega.BeTrue())
	expect.Expect(plan.order.Fence).To(gomega.Equal(uint64(5)))
	expect.Expect(plan.order.Holdings).To(gomega.Equal([]agatestage.Holding{{Model: "wording", Version: "2"}}))
}

func TestNothingIsOrderedWhenTheEngineHoldsIt(t *testing.T) {
	expect := gomega.NewWithT(t)
	reconciler := newReconciler(agatestage.Holding{Model: "wording", Version: "1"})
	reconciler.ApplyPolicy(policy(1, "1", "wording"))
	_, due := reconciler.plan()
	expect.Expect(due).To(gomega.BeFalse())
	reconciler.ApplyPolicy(policy(2, "2", "wording"))
	plan, due := reconciler.plan()
	expect.Expect(due).To(gomega.BeTrue())
	expect.Expect(plan.loads).To(gomega.Equal(1))
	expect.Expect(plan.drops).To(gomega.Equal([]string{"wording"}), "a new version drops the old one")
}

func TestNoOrderWithoutAPermit(t *testing.T) {
	expect := gomega.NewWithT(t)
	reconciler := newReconciler()
	reconciler.ApplyPolicy(policy(1, "1", "wording"))
	reconciler.entries = nil
	expect.Expect(reconciler.reconcile(context.Background())).NotTo(gomega.Succeed())
	expect.Expect(reconciler.target.Holdings()).To(gomega.BeEmpty())
}
