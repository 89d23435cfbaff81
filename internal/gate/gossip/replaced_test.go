package gossip_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/state/member"
)

// restart starts a process of a gateway that has written its membership record.
func (fleet *playedFleet) restart(i, process int) {
	ginkgo.GinkgoHelper()
	self := fleet.member(i)
	self.Instance = fmt.Sprint(self.Name, "-", process)
	gomega.Expect(member.New(fleet.store, fleet.clock, self).Renew(context.Background())).To(gomega.Succeed())
	fleet.gateways[i] = fleet.start(i, process)
}

var _ = ginkgo.Describe("a process of a gateway", func() {
	ginkgo.It("is known to be replaced only once a later one has been heard", func() {
		fleet := playFleet(4)
		fleet.play(time.Second)
		before, after := "gateway-001-1", "gateway-001-2"
		for _, process := range []string{before, after} {
			gomega.Expect(fleet.gateways[0].mesh.Replaced("gateway-001", process)).To(gomega.BeFalse())
		}
		fleet.gateways[1] = fleet.start(1, 2)
		fleet.play(time.Second)
		gomega.Expect(fleet.gateways[0].mesh.Replaced("gateway-001", before)).To(gomega.BeTrue())
		gomega.Expect(fleet.gateways[0].mesh.Replaced("gateway-001", after)).To(gomega.BeFalse())
	})
	ginkgo.It("is heard on when a late report of the one before it arrives at a gateway that never heard that one", func() {
		fleet := playFleet(4)
		fleet.play(time.Second)
		before := fleet.gateways[1]
		fleet.restart(1, 2)
		fleet.restart(0, 2)
		fleet.play(time.Second)
		before.mesh.Tick()
		fleet.play(3 * time.Second)
		observer := fleet.gateways[0].mesh
		gomega.Expect(observer.Replaced("gateway-001", "gateway-001-2")).To(gomega.BeFalse())
		gomega.Expect(observer.Gone("gateway-001", "gateway-001-2")).To(gomega.BeFalse())
		fleet.expectAlive()
	})
	ginkgo.It("is heard though the store still names the one before it, once that isn't heard any more", func() {
		fleet := playFleet(4)
		fleet.restart(1, 1)
		for i := range fleet.gateways {
			gomega.Expect(fleet.gateways[i].roster.Refresh(context.Background())).To(gomega.Succeed())
		}
		fleet.play(time.Second)
		fleet.gateways[1] = fleet.start(1, 2)
		fleet.play(3 * time.Second)
		gomega.Expect(fleet.gateways[0].mesh.Replaced("gateway-001", "gateway-001-1")).To(gomega.BeTrue())
		fleet.expectAlive()
	})
})
