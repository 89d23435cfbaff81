package gossip_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/route/blame"
)

// harmful is the fingerprint of a request under which targets go down.
const harmful = 5

// loseTargets has two targets go down under the harmful request at one gateway.
func (fleet *playedFleet) loseTargets(gateway *played) {
	for _, target := range []string{"first", "second"} {
		gateway.mesh.BroadcastStrike(gateway.source.list.Charge(&agatestage.Call{Fingerprint: harmful}, target))
		fleet.play(3 * time.Second)
	}
}

// prompt returns a call of its own with parts of a prompt.
func prompt(fingerprint uint64, names ...string) *agatestage.Call {
	call := &agatestage.Call{Fingerprint: fingerprint}
	for _, name := range names {
		call.Parts = append(call.Parts, agatestage.NewPart(name))
	}
	return call
}

// expectBarred checks that a gateway refuses the harmful request.
func expectBarred(gateway *played) {
	ginkgo.GinkgoHelper()
	gomega.Expect(gateway.source.list.Refuse(harmful)).NotTo(gomega.Succeed(), gateway.name)
}

var _ = ginkgo.Describe("the strikes of a harmful request", func() {
	for _, count := range []int{4, 60} {
		ginkgo.It(fmt.Sprintf("reach a gateway that starts after them, and after the gateway that recorded them, in a fleet of %d", count), func() {
			fleet := playFleet(count)
			fleet.play(2 * time.Second)
			fleet.loseTargets(fleet.gateways[0])
			fleet.stop(fleet.gateways[0])
			fleet.stop(fleet.gateways[1])
			fleet.play(3 * time.Second)
			fleet.gateways[1] = fleet.start(1, 2)
			fleet.play(3 * time.Second)
			expectBarred(fleet.gateways[1])
		})
		ginkgo.It(fmt.Sprintf("reach a gateway that was cut off when they came, in a fleet of %d", count), func() {
			fleet := playFleet(count)
			fleet.play(2 * time.Second)
			cut := fleet.gateways[1].endpoint.address
			handler := fleet.network.handlers[cut]
			delete(fleet.network.handlers, cut)
			fleet.loseTargets(fleet.gateways[0])
			fleet.network.handlers[cut] = handler
			fleet.play(3 * time.Second)
			expectBarred(fleet.gateways[1])
		})
	}
	for _, count := range []int{4, 60} {
		ginkgo.It(fmt.Sprintf("don't bar a sound request that was lost with a rack at a gateway that starts after it, in a fleet of %d", count), func() {
			fleet := playFleet(count)
			fleet.play(2 * time.Second)
			for i, call := range []*agatestage.Call{{Fingerprint: harmful}, {Fingerprint: harmful}, {Batch: true}, {Fingerprint: harmful + 1}} {
				first := fleet.gateways[i%2]
				first.mesh.BroadcastStrike(first.source.list.Charge(call, fmt.Sprint("rack-", i)))
			}
			fleet.play(3 * time.Second)
			fleet.stop(fleet.gateways[2])
			fleet.play(3 * time.Second)
			fleet.gateways[2] = fleet.start(2, 2)
			fleet.play(3 * time.Second)
			for _, gateway := range fleet.gateways {
				gomega.Expect(gateway.source.list.Refuse(harmful)).To(gomega.Succeed(), gateway.name)
				lost, unexplained := gateway.source.list.Counts(harmful)
				gomega.Expect([]int{lost, unexplained}).To(gomega.Equal([]int{2, 0}), gateway.name)
			}
		})
	}
	ginkgo.It("are followed by its completion wherever they come", func() {
		fleet := playFleet(4)
		fleet.play(2 * time.Second)
		first := fleet.gateways[0]
		for _, target := range []string{"first", "second"} {
			first.mesh.BroadcastStrike(first.source.list.Charge(&agatestage.Call{Fingerprint: harmful}, target))
		}
		fleet.play(time.Second)
		completion, ok := first.source.list.Complete(&agatestage.Call{Fingerprint: harmful})
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(completion).To(gomega.Equal(blame.Strike{Completed: harmful}))
		fleet.play(5 * time.Second)
		fleet.gateways[1] = fleet.start(1, 2)
		fleet.play(3 * time.Second)
		for _, gateway := range fleet.gateways {
			gomega.Expect(gateway.source.list.Refuse(harmful)).To(gomega.Succeed(), gateway.name)
		}
	})
	for _, count := range []int{4, 60} {
		ginkgo.It(fmt.Sprintf("bar a harmful part at all gateways, and no part that one of them has completed, in a fleet of %d", count), func() {
			fleet := playFleet(count)
			fleet.play(2 * time.Second)
			last := fleet.gateways[count-1]
			_, _ = last.source.list.Complete(prompt(1, "first", "rare"))
			for i := range uint64(4) {
				first := fleet.gateways[i%3]
				for j, part := range []string{"harmful", "rare"} {
					first.mesh.BroadcastStrike(first.source.list.Charge(prompt(10+2*i+uint64(j), "first", part), fmt.Sprint("target-", i)))
				}
				fleet.play(200 * time.Millisecond)
			}
			fleet.play(2 * time.Second)
			for i, gateway := range fleet.gateways {
				gomega.Expect(gateway.source.list.Check(prompt(100+uint64(i), "first", "harmful"))).NotTo(gomega.Succeed(), gateway.name)
				gomega.Expect(gateway.source.list.Check(prompt(200+uint64(i), "first", "rare"))).To(gomega.Succeed(), gateway.name)
			}
		})
	}
})
