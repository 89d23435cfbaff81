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

// rates is one organisation's policy.
type rates struct{}

func (rates) Rate(string) (agatestage.Rate, bool) {
	return agatestage.Rate{PerSecond: 10, Burst: 20}, true
}

// noTransport reaches no other entry.
type noTransport struct{}

func (noTransport) Handover(context.Context, member.Member, []grant.Handover) error {
	return context.DeadlineExceeded
}

// part is one entry's keeper and what it needs.
type part struct {
	roster *member.Roster
	keeper *Keeper
}

func newPart(clock agatestage.Clock, store agatestage.Store, name string) *part {
	part := &part{roster: member.New(store, clock, member.Member{Name: name})}
	owner := grant.NewOwner(name, name, clock, rates{}, func() time.Time { return part.keeper.Until() })
	client := grant.NewClient(name, name, clock, rates{})
	part.keeper = New(store, clock, part.roster, owner, client, noTransport{}, func() []agatestage.Host { return nil })
	return part
}

// follow lets a part see the store and act once.
func (part *part) follow(ctx context.Context) {
	gomega.Expect(part.roster.Refresh(ctx)).To(gomega.Succeed())
	gomega.Expect(part.keeper.Refresh(ctx)).To(gomega.Succeed())
	gomega.Expect(part.keeper.Step(ctx)).To(gomega.Succeed())
}

var _ = ginkgo.Describe("ownership", func() {
	var ctx context.Context
	var clock *clocks.FakeClock
	var kept *store.Store
	ginkgo.BeforeEach(func() {
		ctx = context.Background()
		clock = clocks.NewFakeClock(time.Unix(1_800_000_000, 0))
		kept = store.New(clock)
	})

	ginkgo.It("by a new lease begins only when the table names that lease", func() {
		part := newPart(clock, kept, "entry-a")
		gomega.Expect(part.roster.Renew(ctx)).To(gomega.Succeed())
		part.follow(ctx)
		gomega.Expect(part.keeper.Until()).To(gomega.Equal(part.roster.Until()))
		clock.Step(2 * member.LeaseTime)
		gomega.Expect(part.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(part.roster.Until()).To(gomega.BeTemporally(">", clock.Now()))
		gomega.Expect(part.keeper.Until().IsZero()).To(gomega.BeTrue(), "the lease that the table names has lapsed")
		part.follow(ctx)
		gomega.Expect(part.keeper.Until()).To(gomega.Equal(part.roster.Until()))
	})

	ginkgo.It("is not taken from an entry whose lease in the table still holds", func() {
		first, second := newPart(clock, kept, "entry-a"), newPart(clock, kept, "entry-b")
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		first.follow(ctx)
		clock.Step(2 * member.LeaseTime)
		// The second sees the first as gone; the first comes back behind its back.
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(second.roster.Refresh(ctx)).To(gomega.Succeed())
		gomega.Expect(second.keeper.Refresh(ctx)).To(gomega.Succeed())
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		first.follow(ctx)
		gomega.Expect(second.keeper.Refresh(ctx)).To(gomega.Succeed())
		clock.Step(grant.Settle - 2*time.Second)
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(second.keeper.Step(ctx)).To(gomega.Succeed())
		gomega.Expect(second.keeper.Record().Owned("entry-b")).To(gomega.BeEmpty())
		gomega.Expect(second.keeper.Record().Owned("entry-a")).To(gomega.HaveLen(table.Partitions))
	})

	ginkgo.It("is taken once the former owner's lease has lapsed and its grants have ended", func() {
		first, second := newPart(clock, kept, "entry-a"), newPart(clock, kept, "entry-b")
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		first.follow(ctx)
		clock.Step(member.LeaseTime + grant.Settle)
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		second.follow(ctx)
		gomega.Expect(second.keeper.Record().Owned("entry-b")).To(gomega.HaveLen(table.Partitions))
	})

	ginkgo.It("is not taken while this entry may have kept the former owner going", func() {
		first := newPart(clock, kept, "entry-a")
		gomega.Expect(first.roster.Renew(ctx)).To(gomega.Succeed())
		first.follow(ctx)
		clock.Step(member.LeaseTime - time.Second)
		second := newPart(clock, kept, "entry-b")
		clock.Step(2 * time.Second)
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		second.follow(ctx)
		gomega.Expect(second.keeper.Record().Owned("entry-b")).To(gomega.BeEmpty())
		clock.Step(grant.Settle - 2*time.Second)
		gomega.Expect(second.roster.Renew(ctx)).To(gomega.Succeed())
		second.follow(ctx)
		gomega.Expect(second.keeper.Record().Owned("entry-b")).To(gomega.HaveLen(table.Partitions))
	})

	ginkgo.It("survives a write whose reply was lost", func() {
		part := newPart(clock, kept, "entry-a")
		gomega.Expect(part.roster.Renew(ctx)).To(gomega.Succeed())
		gomega.Expect(part.roster.Refresh(ctx)).To(gomega.Succeed())
		kept.SetFaults(store.Faults{LoseReplies: 1})
		gomega.Expect(part.keeper.Step(ctx)).To(gomega.Succeed())
		gomega.Expect(part.keeper.Record().Owned("entry-a")).To(gomega.HaveLen(table.Partitions))
		gomega.Expect(part.keeper.Record().Epoch).To(gomega.Equal(uint64(1)))
	})
})

var _ = ginkgo.Describe("the roster", func() {
	ginkgo.It("sees the first change after an empty list", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		clock := agatestage.SystemClock()
		kept := store.New(clock)
		watching := member.New(kept, clock, member.Member{Name: "entry-a"})
		gomega.Expect(watching.Refresh(ctx)).To(gomega.Succeed())
		go func() { _ = watching.Serve(ctx) }()
		other := member.New(kept, clock, member.Member{Name: "entry-b"})
		gomega.Expect(other.Renew(ctx)).To(gomega.Succeed())
		gomega.Eventually(watching.Members, 10*time.Second).Should(gomega.HaveKey("entry-b"))
	})
})
