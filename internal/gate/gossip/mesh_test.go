package gossip_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/nodes"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/gossip"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/limit/tally"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/trust/certs"
)

// patience bounds the wait for what must come to pass.
const patience = time.Minute

// unreachable is the address of gateways that only the store knows.
var unreachable = netip.MustParseAddrPort("127.0.0.1:9")

// source is a gateway that holds nothing. It notes who was heard.
type source struct {
	mutex sync.Mutex
	heard map[string]bool
	// silent says that the store is lost; targets is the list there, which was sent
	// and offered so often.
	silent        time.Duration
	targets       []agatestage.Record
	sent, offered int
	asked         int
}

func (*source) Held() map[string]sched.Held                       { return nil }
func (*source) HearGuest(string, string, sched.Held)              {}
func (*source) Backlog() (calls, slots int)                       { return 0, 0 }
func (*source) Counts(bool) map[string]tally.Count                { return nil }
func (*source) Version() uint64                                   { return 0 }
func (*source) StoreReturned()                                    {}
func (*source) Config() []byte                                    { return nil }
func (*source) OfferConfig([]byte)                                {}
func (*source) Strike(blame.Strike)                               {}
func (*source) Changed()                                          {}
func (*source) HearCounts(string, string, map[string]tally.Count) {}

func (source *source) StoreOutage() time.Duration {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.silent
}

func (source *source) Targets() []agatestage.Record {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.sent++
	return source.targets
}

func (source *source) TargetsDigest() uint64 {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.asked++
	return uint64(len(source.targets))
}

func (source *source) OfferTargets(records []agatestage.Record) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.targets = records
	source.offered++
}

// counts returns how often the list of targets was compared, sent and offered.
func (source *source) counts() (asked, sent, offered int) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.asked, source.sent, source.offered
}

func (source *source) Hear(gateway string, _ map[string]sched.Held) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.heard[gateway] = true
}

// hears reports whether a gateway was heard.
func (source *source) hears(gateway string) func() bool {
	return func() bool {
		source.mutex.Lock()
		defer source.mutex.Unlock()
		return source.heard[gateway]
	}
}

// start runs one gateway's mesh.
func start(ctx context.Context, authority *certs.Authority, stand agatestage.Store, name string) (*gossip.Mesh, *source) {
	ginkgo.GinkgoHelper()
	node, err := nodes.New(ctx, authority, ginkgo.GinkgoT().TempDir(), name, agatestage.RoleEntry)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(node.Close)
	clock := agatestage.SystemClock()
	roster := member.New(stand, clock, member.Member{Name: name, Region: "near", Zone: "a", Address: node.Address()})
	gomega.Expect(roster.Renew(ctx)).To(gomega.Succeed())
	gomega.Expect(roster.Refresh(ctx)).To(gomega.Succeed())
	source := &source{heard: make(map[string]bool)}
	mesh := gossip.New(node, roster, name+"-process", clock, source)
	go func() { _ = mesh.Serve(ctx) }()
	return mesh, source
}

var _ = ginkgo.Describe("a gateway that the store tells nothing more", func() {
	ginkgo.It("hears and answers one that has joined since", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		authority, err := certs.NewAuthority(agatestage.SystemClock())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		stand := store.New(agatestage.SystemClock())
		first, firstSource := start(ctx, authority, stand, "first")
		_, secondSource := start(ctx, authority, stand, "second")
		gomega.Eventually(firstSource.hears("second"), patience).Should(gomega.BeTrue())
		gomega.Eventually(secondSource.hears("first"), patience).Should(gomega.BeTrue())
		gomega.Expect(first.Admitting()).To(gomega.ConsistOf("second"))
	})
})

var _ = ginkgo.Describe("a gateway that has lost the store", func() {
	ginkgo.It("takes the list of targets from another one, and only what has changed", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		authority, err := certs.NewAuthority(agatestage.SystemClock())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		stand := store.New(agatestage.SystemClock())
		_, knows := start(ctx, authority, stand, "first")
		knows.mutex.Lock()
		knows.targets = []agatestage.Record{{Key: "targets/a", Version: 1}}
		knows.mutex.Unlock()
		_, lost := start(ctx, authority, stand, "second")
		lost.mutex.Lock()
		lost.silent = time.Minute
		lost.mutex.Unlock()
		asked := func() int {
			asked, _, _ := knows.counts()
			return asked
		}
		gomega.Eventually(asked, patience).Should(gomega.BeNumerically(">=", 4))
		_, sent, _ := knows.counts()
		_, _, offered := lost.counts()
		gomega.Expect([]int{sent, offered}).To(gomega.Equal([]int{1, 1}))
	})
})

var _ = ginkgo.Describe("a gateway of a large fleet", func() {
	ginkgo.It("tells each of the others twice before it counts as lost", func() {
		// These are the users' 300 machines: 82 gateways in two regions.
		const fleet, lostAfter = 82, 2500 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		authority, err := certs.NewAuthority(agatestage.SystemClock())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		stand := store.New(agatestage.SystemClock())
		for i := range fleet - 1 {
			region := []string{"near", "far"}[i%2]
			other := member.Member{Name: fmt.Sprint(region, i), Region: region, Zone: fmt.Sprint(region, i%3), Address: unreachable}
			gomega.Expect(member.New(stand, agatestage.SystemClock(), other).Renew(ctx)).To(gomega.Succeed())
		}
		mesh, _ := start(ctx, authority, stand, "first")
		gomega.Eventually(func() bool { _, ok := mesh.Address("far1"); return ok }, patience).Should(gomega.BeTrue())
		gomega.Expect(mesh.Delay()).To(gomega.BeNumerically("<=", lostAfter/2))
	})
})
