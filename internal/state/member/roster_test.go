package member_test

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/state/member"
)

func TestMember(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "members")
}

var ctx = context.Background()

const (
	testTimeout = 20 * time.Second
	// joinTime is how long a list of the members waits at most for the own record.
	joinTime = time.Second
)

// oddRecords are records of another writer, by key, which name no member.
var oddRecords = map[string]string{
	"member/": `{}`, "member/empty": "", "member/null": "null", "member/array": "[]", "member/bytes": "\xff\xfe", "member/nameless": `{"Region":"near"}`,
	"member/nested": strings.Repeat("[", 1<<20), "member/number": `{"Name":"number","Ledger":1e400}`, "member/port": `{"Name":"port","Address":"10.0.0.1:70000"}`,
	"member/address": `{"Name":"address","Address":7}`, "member/other": `{"Name":"gateway-b","Region":"far","Zone":"x","Address":"10.0.0.9:9"}`,
}

var _ = ginkgo.Describe("the members", func() {
	ginkgo.It("don't include those of odd records, and the others hold, also at a process that is told", func() {
		clock := clocktest.NewFakeClock(time.Unix(1000, 0))
		fakeStore := store.New(clock)
		names := []string{"gateway-a", "gateway-b"}
		rosters := make(map[string]*member.Roster)
		for i, name := range names {
			self := member.Member{Name: name, Region: "near", Zone: "a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)}
			rosters[name] = member.New(fakeStore, clock, self)
			gomega.Expect(rosters[name].Renew(ctx)).To(gomega.Succeed())
		}
		for key, value := range oddRecords {
			_, err := fakeStore.Swap(ctx, key, 0, []byte(value), "")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(rosters["gateway-a"].Refresh(ctx)).To(gomega.Succeed())
		for range 100 {
			told := member.New(fakeStore, clock, member.Member{Name: "told"})
			told.Offer(rosters["gateway-a"].Snapshot())
			for _, roster := range []*member.Roster{rosters["gateway-a"], told} {
				gomega.Expect(roster.Members()).To(gomega.HaveLen(len(names)))
				for _, name := range names {
					gomega.Expect(roster.Members()[name].Address).To(gomega.Equal(rosters[name].Self().Address))
				}
			}
		}
	})
})

// slowStore grants leases only when it is released, and counts the lists.
type slowStore struct {
	*store.Store
	release chan struct{}
	lists   atomic.Int64
}

// Grant implements agatestage.Store.
func (slowStore *slowStore) Grant(ctx context.Context, duration time.Duration) (agatestage.Lease, error) {
	<-slowStore.release
	return slowStore.Store.Grant(ctx, duration)
}

// List implements agatestage.Store.
func (slowStore *slowStore) List(ctx context.Context, prefix string) ([]agatestage.Record, uint64, error) {
	slowStore.lists.Add(1)
	return slowStore.Store.List(ctx, prefix)
}

// startSlowly starts the services of a member whose store is slow to grant its lease.
func startSlowly(fakeStore *store.Store, clock *clocktest.FakeClock, name string) (*member.Roster, *slowStore) {
	ginkgo.GinkgoHelper()
	slow := &slowStore{Store: fakeStore, release: make(chan struct{})}
	roster := member.New(slow, clock, member.Member{Name: name, Region: "near", Zone: "a"})
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	go func() { _ = roster.Serve(ctx) }()
	gomega.Eventually(clock.Waiters).Should(gomega.BeNumerically(">=", 1))
	go func() { _ = roster.Renewer().Serve(ctx) }()
	return roster, slow
}

var _ = ginkgo.Describe("members that start at the same time", func() {
	ginkgo.It("are known to one another without a change that is read later", func() {
		clock := clocktest.NewFakeClock(time.Unix(1000, 0))
		fakeStore := store.New(clock)
		first, firstStore := startSlowly(fakeStore, clock, "gateway-a")
		second, secondStore := startSlowly(fakeStore, clock, "gateway-b")
		close(firstStore.release)
		gomega.Eventually(first.Members, testTimeout).Should(gomega.HaveKey("gateway-a"))
		gomega.Expect(secondStore.lists.Load()).To(gomega.BeZero())
		close(secondStore.release)
		gomega.Eventually(second.Members, testTimeout).Should(gomega.And(gomega.HaveKey("gateway-a"), gomega.HaveKey("gateway-b")))
		gomega.Expect(firstStore.lists.Load() + secondStore.lists.Load()).To(gomega.BeEquivalentTo(2))
	})
	ginkgo.It("list the others though they can't join", func() {
		clock := clocktest.NewFakeClock(time.Unix(1000, 0))
		_, slow := startSlowly(store.New(clock), clock, "gateway-a")
		ginkgo.DeferCleanup(func() { close(slow.release) })
		gomega.Expect(slow.lists.Load()).To(gomega.BeZero())
		clock.Step(joinTime)
		gomega.Eventually(slow.lists.Load, testTimeout).Should(gomega.BeEquivalentTo(1))
	})
})
