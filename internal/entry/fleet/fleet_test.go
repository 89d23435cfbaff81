package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/fake/nodes"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const testTimeout = 20 * time.Second

func TestFleet(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry fleet")
}

// side counts the exchanges that an entry has opened to watch it, and ends each after its
// first report, or without one if it is mute.
type side struct {
	exchanges atomic.Int64
	mute      atomic.Bool
}

func (side *side) watch(_ context.Context, _ certs.Identity, stream *link.Stream) error {
	defer side.exchanges.Add(1)
	if side.mute.Load() {
		return nil
	}
	return stream.Send(calls.Report{})
}

// startWatching has an entry watch a side by a clock that the test moves.
func startWatching() (*side, *clocktest.FakeClock) {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	authority, err := certs.NewAuthority(agatestage.SystemClock())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	newNode := func(name string, role agatestage.Role) *link.Node {
		node, err := nodes.New(ctx, authority, ginkgo.GinkgoT().TempDir(), name, role)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(node.Close)
		return node
	}
	side, sideNode := &side{}, newNode("side-a", agatestage.RoleSide)
	sideNode.Handle(calls.KindWatch, side.watch)
	clock := clocktest.NewFakeClock(time.Now())
	fleet := New("entry-a", "region", newNode("entry-a", agatestage.RoleEntry), nil, feed.New(store.New(clock), clock), clock)
	fleet.updateWatches(ctx, []agatestage.Host{{Name: "side-a", Role: agatestage.RoleSide, Region: "region", Address: sideNode.Address()}})
	return side, clock
}

// expectExchanges checks that the entry has opened a number of exchanges and waits to
// open the next one.
func (side *side) expectExchanges(clock *clocktest.FakeClock, exchanges int64) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(side.exchanges.Load, testTimeout).Should(gomega.Equal(exchanges))
	gomega.Eventually(clock.HasWaiters, testTimeout).Should(gomega.BeTrue())
}

var _ = ginkgo.Describe("a side whose watch ends", func() {
	ginkgo.It("is watched again as soon after its tenth silence as after its first", func() {
		side, clock := startWatching()
		for exchanges := range int64(10) {
			side.expectExchanges(clock, exchanges+1)
			clock.Step(minWatchDelay)
		}
		side.expectExchanges(clock, 11)
	})
	ginkgo.It("is asked less and less often while it doesn't report", func() {
		side, clock := startWatching()
		side.mute.Store(true)
		side.expectExchanges(clock, 1)
		for exchanges, delay := int64(1), minWatchDelay; exchanges < 8; exchanges, delay = exchanges+1, min(2*delay, maxWatchDelay) {
			clock.Step(delay - time.Millisecond)
			side.expectExchanges(clock, exchanges)
			clock.Step(time.Millisecond)
			side.expectExchanges(clock, exchanges+1)
		}
	})
})
