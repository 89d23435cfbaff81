package repair

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	clocks "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/frame"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/ledger"
	"github.com/agatestage/agatestage/internal/batch/remote"
	"github.com/agatestage/agatestage/internal/batch/sites"
	"github.com/agatestage/agatestage/internal/fake/nodes"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/trust/certs"
)

func TestRepair(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ledger repair")
}

const (
	jobID    = "job1"
	perBlock = 10
	blocks   = 5
)

var segment = agatestage.Segment{Job: jobID, Name: "result-1-0"}

// fleet is a set of entries with ledgers that share a fake clock.
type fleet struct {
	ctx     context.Context
	clock   *clocks.FakeClock
	store   *store.Store
	ledgers map[string]*ledger.Ledger
	rosters map[string]*member.Roster
	sites   map[string]*sites.Sites
	listed  []string
}

func newFleet(names ...string) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	clock := clocks.NewFakeClock(time.Unix(1_800_000_000, 0))
	fleet := &fleet{
		ctx: ctx, clock: clock, store: store.New(clock), ledgers: make(map[string]*ledger.Ledger),
		rosters: make(map[string]*member.Roster), sites: make(map[string]*sites.Sites), listed: names,
	}
	authority, err := certs.NewAuthority(agatestage.SystemClock())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, name := range names {
		fleet.add(authority, name)
	}
	fleet.renew(names...)
	return fleet
}

func (fleet *fleet) add(authority *certs.Authority, name string) {
	folder := ginkgo.GinkgoT().TempDir()
	node, err := nodes.New(fleet.ctx, authority, folder, name, agatestage.RoleEntry)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(node.Close)
	local, err := ledger.New(folder, 1<<30)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	remote.Serve(node, local)
	self := member.Member{Name: name, Region: "east", Zone: name, Address: node.Address(), Ledger: true}
	fleet.ledgers[name] = local
	fleet.rosters[name] = member.New(fleet.store, fleet.clock, self)
	fleet.sites[name] = sites.New(fleet.rosters[name], node, local)
}

// renew renews the leases of the named entries and refreshes all rosters.
func (fleet *fleet) renew(names ...string) {
	for _, name := range names {
		gomega.Expect(fleet.rosters[name].Renew(fleet.ctx)).To(gomega.Succeed())
	}
	for _, roster := range fleet.rosters {
		gomega.Expect(roster.Refresh(fleet.ctx)).To(gomega.Succeed())
	}
}

func (fleet *fleet) hosts() (hosts []agatestage.Host) {
	for _, name := range fleet.listed {
		hosts = append(hosts, agatestage.Host{Name: name, Role: agatestage.RoleEntry})
	}
	return hosts
}

// finish writes a finished job with copies on the given hosts, and returns its
// registry and its frames.
func (fleet *fleet) finish(copies ...string) (*heads.Registry, []byte) {
	var frames []byte
	var err error
	for i := range blocks {
		var block agatestage.Block
		for j := range perBlock {
			block.Lines = append(block.Lines, agatestage.Line{Item: i*perBlock + j, Body: []byte(`{"text":"label"}`)})
		}
		frames, err = frame.Append(frames, block)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, err = fleet.sites[copies[0]].Append(fleet.ctx, segment, 1, 0, frames, copies)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	registry := heads.New(fleet.store, fleet.clock)
	_, err = registry.Swap(fleet.ctx, heads.Head{
		ID: jobID, State: heads.StateDone, Epoch: 1, Items: blocks * perBlock, Ended: fleet.clock.Now(),
		Results: []heads.Segment{{Name: segment.Name, Copies: copies, Bytes: int64(len(frames)), Sealed: true}},
	}, 0)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return registry, frames
}

// runPass makes one repair pass of an entry once its registry is up to date.
func (fleet *fleet) runPass(name string, registry *heads.Registry, repairer *Repairer) {
	ctx, cancel := context.WithCancel(fleet.ctx)
	defer cancel()
	go func() { _ = registry.Serve(ctx) }()
	gomega.Eventually(func() bool {
		ready, lastAnswer := registry.Ready()
		return ready && lastAnswer.Equal(fleet.clock.Now())
	}, 10*time.Second).Should(gomega.BeTrue())
	repairer.RunPass(ctx)
}

func (fleet *fleet) repairer(name string, registry *heads.Registry) *Repairer {
	return New(fleet.sites[name], registry, fleet.rosters[name], fleet.ledgers[name], fleet.hosts, time.Hour, fleet.clock)
}

func (fleet *fleet) expectContent(name string, frames []byte) {
	ginkgo.GinkgoHelper()
	data, err := fleet.ledgers[name].Read(fleet.ctx, segment, 0, 1<<20)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(bytes.Equal(data, frames)).To(gomega.BeTrue())
}

var _ = ginkgo.Describe("repair", func() {
	ginkgo.It("completes a truncated copy from the other one", func() {
		fleet := newFleet("entry-a", "entry-b")
		registry, frames := fleet.finish("entry-a", "entry-b")
		summaries, err := fleet.ledgers["entry-a"].Scan(fleet.ctx, segment, 0, 2)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(fleet.ledgers["entry-a"].Truncate(fleet.ctx, segment, 1, summaries[1].End)).To(gomega.Succeed())
		fleet.runPass("entry-a", registry, fleet.repairer("entry-a", registry))
		fleet.expectContent("entry-a", frames)
	})

	ginkgo.It("replaces the copy of a host that has been missing for lostAfter, not earlier", func() {
		fleet := newFleet("entry-a", "entry-b", "entry-c")
		registry, frames := fleet.finish("entry-a", "entry-b")
		repairer := fleet.repairer("entry-a", registry)
		fleet.listed = []string{"entry-a", "entry-c"}
		fleet.clock.Step(2 * member.LeaseTime)
		fleet.renew("entry-a", "entry-c")
		fleet.runPass("entry-a", registry, repairer)
		entry, _ := registry.Get(jobID)
		gomega.Expect(entry.Head.Results[0].Copies).To(gomega.Equal([]string{"entry-a", "entry-b"}), "the host may come back")
		fleet.clock.Step(lostAfter + time.Second)
		fleet.renew("entry-a", "entry-c")
		fleet.runPass("entry-a", registry, repairer)
		entry, _ = registry.Get(jobID)
		gomega.Expect(entry.Head.Results[0].Copies).To(gomega.Equal([]string{"entry-a", "entry-c"}))
		fleet.expectContent("entry-c", frames)
	})

	ginkgo.It("removes a job after its retention period", func() {
		fleet := newFleet("entry-a", "entry-b")
		registry, _ := fleet.finish("entry-a", "entry-b")
		repairer := fleet.repairer("entry-a", registry)
		fleet.clock.Step(2 * time.Hour)
		fleet.renew("entry-a", "entry-b")
		fleet.runPass("entry-a", registry, repairer)
		_, known := registry.Get(jobID)
		gomega.Expect(known).To(gomega.BeFalse())
	})
})
