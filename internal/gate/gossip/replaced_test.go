package gossip_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

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
})
