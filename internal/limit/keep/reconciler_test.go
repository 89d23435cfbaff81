package keep

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	clocks "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/limit/grant"
	"github.com/agatestage/agatestage/internal/limit/table"
	"github.com/agatestage/agatestage/internal/state/member"
)

func TestKeep(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "limit table")
}

// rates returns the same rate for every organisation.
type rates struct{}

func (rates) Rate(string) (agatestage.Rate, bool) {
	return agatestage.Rate{PerSecond: 10, Burst: 20}, true
}

// noTransport fails every handover.
type noTransport struct{}

func (noTransport) Handover(context.Context, member.Member, []grant.Handover) error {
	return context.DeadlineExceeded
}

// node is one entry's reconciler and roster.
type node struct {
	roster     *member.Roster
	reconciler *Reconciler
}

func newNode(clock agatestage.Clock, store agatestage.Store, name string) *node {
	node := &node{roster: member.New(store, clock, member.Member{Name: name})}
	owner := grant.NewOwner(name, name, clock, rates{}, func() time.Time { return node.reconciler.Until() })
	client := grant.NewClient(name, name, clock, rates{})
	node.reconciler = New(store, clock, node.roster, owner, client, noTransport{}, func() []agatestage.Host { return nil })
	return node
}

// follow makes a node read the store and reconcile once.
func (node *node) follow(ctx context.Context) {
	gomega.Expect(node.roster.Refresh(ctx)).To(gomega.Succeed())
	gomega.Expect(node.reconciler.Refresh(ctx)).To(gomega.Succeed())
	gomega.Expect(node.reconciler.Step(ctx)).To(gomega.Succeed())
}

var _ = ginkgo.Describe("ownership", func() {
	var ctx context.Context
	var clock *clocks.FakeClock
	var fakeStore *store.Store
	ginkgo.BeforeEach(func() {
		ctx = context.Background()
		clock = clocks.NewFakeClock(time.Unix(1_800_000_000, 0))
		fakeStore = store.New(clock)
	})

	ginkgo.It("by a new lease begins only when the table names that lease", func() {
		node := newNode(clock, fakeStore, "entry-a")
		gomega.Expect(node.roster.Renew(ctx)).To(gomega.Succeed())
		node.follow(ctx)
		gomega.Expect(node.reconciler.Until()).To(gomega.Equal(node.roster.Until()))
		clock.Step(2 * member.LeaseTime)
		gomega.Expect(node.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(node.roster.Until()).To(gomega.BeTemporally(">", clock.Now()))
		gomega.Expect(node.reconciler.Until().IsZero()).To(gomega.BeTrue(), "the lease that the table names has expired")
		node.follow(ctx)
		gomega.Expect(node.reconciler.Until()).To(gomega.Equal(node.roster.Until()))
	})

	ginkgo.It("is not taken from an entry whose lease in the table still holds", func() {
		first, second := newNode(clock, fakeStore, "entry-a"), newNode(clock, fakeStore, "entry-b")
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		first.follow(ctx)
		clock.Step(2 * member.LeaseTime)
		// The second entry sees the first without a lease. The first then takes a new
		// lease that the second's roster doesn't show.
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(second.roster.Refresh(ctx)).To(gomega.Succeed())
		gomega.Expect(second.reconciler.Refresh(ctx)).To(gomega.Succeed())
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		first.follow(ctx)
		gomega.Expect(second.reconciler.Refresh(ctx)).To(gomega.Succeed())
		clock.Step(grant.Settle - 2*time.Second)
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(second.reconciler.Step(ctx)).To(gomega.Succeed())
		gomega.Expect(second.reconciler.Record().Owned("entry-b")).To(gomega.BeEmpty())
		gomega.Expect(second.reconciler.Record().Owned("entry-a")).To(gomega.HaveLen(table.Partitions))
	})

	ginkgo.It("is taken once the former owner's lease and its grants have expired", func() {
		first, second := newNode(clock, fakeStore, "entry-a"), newNode(clock, fakeStore, "entry-b")
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		first.follow(ctx)
		clock.Step(member.LeaseTime + grant.Settle)
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		second.follow(ctx)
		gomega.Expect(second.reconciler.Record().Owned("entry-b")).To(gomega.HaveLen(table.Partitions))
	})

	ginkgo.It("is not taken while this entry's confirmations may let the former owner continue to grant", func() {
		first := newNode(clock, fakeStore, "entry-a")
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		first.follow(ctx)
		clock.Step(member.LeaseTime - time.Second)
		second := newNode(clock, fakeStore, "entry-b")
		clock.Step(2 * time.Second)
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		second.follow(ctx)
		gomega.Expect(second.reconciler.Record().Owned("entry-b")).To(gomega.BeEmpty())
		clock.Step(grant.Settle - 2*time.Second)
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		second.follow(ctx)
		gomega.Expect(second.reconciler.Record().Owned("entry-b")).To(gomega.HaveLen(table.Partitions))
	})

	ginkgo.It("survives a write whose reply was lost", func() {
		node := newNode(clock, fakeStore, "entry-a")
		gomega.Expect(node.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(node.roster.Refresh(ctx)).To(gomega.Succeed())
		fakeStore.SetFaults(store.Faults{LoseReplies: 1})
		gomega.Expect(node.reconciler.Step(ctx)).To(gomega.Succeed())
		gomega.Expect(node.reconciler.Record().Owned("entry-a")).To(gomega.HaveLen(table.Partitions))
		gomega.Expect(node.reconciler.Record().Epoch).To(gomega.Equal(uint64(1)))
	})
})

var _ = ginkgo.Describe("the roster", func() {
	ginkgo.It("sees the first change after an empty list", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		clock := agatestage.SystemClock()
		fakeStore := store.New(clock)
		watching := member.New(fakeStore, clock, member.Member{Name: "entry-a"})
		gomega.Expect(watching.Refresh(ctx)).To(gomega.Succeed())
		go func() { _ = watching.Serve(ctx) }()
		other := member.New(fakeStore, clock, member.Member{Name: "entry-b"})
		gomega.Expect(other.Renew(ctx)).To(gomega.Succeed())
		gomega.Eventually(watching.Members, 10*time.Second).Should(gomega.HaveKey("entry-b"))
	})
})
