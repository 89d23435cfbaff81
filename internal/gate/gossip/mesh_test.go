package gossip_test

import (
	"context"
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

// source is a gateway that holds nothing. It notes who was heard.
type source struct {
	mutex sync.Mutex
	heard map[string]bool
}

func (*source) Held() map[string]sched.Held                       { return nil }
func (*source) HearGuest(string, string, sched.Held)              {}
func (*source) Backlog() (calls, slots int)                       { return 0, 0 }
func (*source) Counts(bool) map[string]tally.Count                { return nil }
func (*source) Version() uint64                                   { return 0 }
func (*source) Silent() time.Duration                             { return 0 }
func (*source) Config() []byte                                    { return nil }
func (*source) OfferConfig([]byte)                                {}
func (*source) Targets() []agatestage.Record                      { return nil }
func (*source) OfferTargets([]agatestage.Record)                  {}
func (*source) Strike(blame.Strike)                               {}
func (*source) Changed()                                          {}
func (*source) HearCounts(string, string, map[string]tally.Count) {}

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
