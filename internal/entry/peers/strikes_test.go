package peers_test

import (
	"context"
	"net/netip"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/entry/peers"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/trust/certs"
)

// entry is an entry's mesh and list of strikes.
type entry struct {
	*peers.Mesh
	list    *blame.List
	address netip.AddrPort
}

// startEntry runs the mesh of an entry that knows one other.
func startEntry(ctx context.Context, authority *certs.Authority, name, other string, address func() netip.AddrPort) *entry {
	ginkgo.GinkgoHelper()
	clock := agatestage.SystemClock()
	node, fakeStore := newNode(ctx, authority, name), store.New(clock)
	entry := &entry{list: blame.New(clock), address: node.Address()}
	hosts := func() []agatestage.Host {
		return []agatestage.Host{{Name: other, Role: agatestage.RoleEntry, Address: address()}}
	}
	entry.Mesh = peers.New(node, member.New(fakeStore, clock, member.Member{Name: name}), feed.New(fakeStore, clock), entry.list, hosts, clock)
	entry.list.SetPermit(entry.PermitTrial)
	return entry
}

var _ = ginkgo.Describe("a request under which targets go down", func() {
	ginkgo.It("is refused by an entry that starts after the strikes, and tried by one entry at a time", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		authority, err := certs.NewAuthority(agatestage.SystemClock())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var first, second *entry
		first = startEntry(ctx, authority, "first", "second", func() netip.AddrPort { return second.address })
		second = startEntry(ctx, authority, "second", "first", func() netip.AddrPort { return first.address })
		for _, target := range []string{"a", "b"} {
			first.list.Charge(&agatestage.Call{Fingerprint: 1}, target)
			second.list.Charge(&agatestage.Call{Fingerprint: 2}, target)
		}
		for _, entry := range []*entry{first, second} {
			go func() { _ = entry.Serve(ctx) }()
		}
		gomega.Eventually(func() error { return second.list.Refuse(1) }, patience).ShouldNot(gomega.Succeed())
		gomega.Eventually(func() error { return first.list.Refuse(2) }, patience).ShouldNot(gomega.Succeed())
		for _, target := range []string{"c", "d"} {
			// The losses of others explain those under the request, which ends its pause.
			first.list.Add(blame.Strike{Target: target})
			second.list.Add(blame.Strike{Target: target})
		}
		permitted := 0
		for range 3 {
			for _, entry := range []*entry{first, second} {
				if entry.list.Admit(ctx, &agatestage.Call{Fingerprint: 1}) == nil {
					permitted++
				}
			}
		}
		gomega.Expect(permitted).To(gomega.Equal(1))
	})
})
