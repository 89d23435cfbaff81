package gossip_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/gossip"
)

func TestGossip(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gossip")
}

// gateways returns one gateway per named zone, all of one region.
func gateways(zones ...string) (states []gossip.State) {
	for i, zone := range zones {
		states = append(states, gossip.State{Name: fmt.Sprint("gateway-", i), Region: "near", Zone: zone})
	}
	return states
}

// targets returns targets of one service in a zone.
func targets(zone string, count int) (endpoints []agatestage.Endpoint) {
	for i := range count {
		endpoints = append(endpoints, agatestage.Endpoint{ID: fmt.Sprint(zone, i), Service: "service", Region: "near", Zone: zone})
	}
	return endpoints
}

// assign returns the number of targets assigned to each gateway.
func assign(states []gossip.State, endpoints []agatestage.Endpoint) map[string]int {
	counts := make(map[string]int)
	for _, home := range gossip.AssignHomes(states, endpoints) {
		counts[home]++
	}
	return counts
}

var _ = ginkgo.Describe("the assignment of homes", func() {
	ginkgo.It("distributes targets evenly within a zone", func() {
		counts := assign(gateways("a", "a", "b"), append(targets("a", 6), targets("b", 4)...))
		gomega.Expect(counts).To(gomega.Equal(map[string]int{"gateway-0": 3, "gateway-1": 3, "gateway-2": 4}))
	})
	ginkgo.It("falls back to the region where a zone has no gateway", func() {
		counts := assign(gateways("a", "b"), targets("c", 5))
		gomega.Expect(counts["gateway-0"] + counts["gateway-1"]).To(gomega.Equal(5))
	})
	ginkgo.It("doesn't depend on the order of gateways and targets", func() {
		states, endpoints := gateways("a", "a", "b"), append(targets("a", 7), targets("b", 3)...)
		before := gossip.AssignHomes(states, endpoints)
		slices.Reverse(states)
		slices.Reverse(endpoints)
		gomega.Expect(gossip.AssignHomes(states, endpoints)).To(gomega.Equal(before))
	})
	ginkgo.It("leaves out draining targets", func() {
		endpoints := targets("a", 2)
		endpoints[0].Draining = true
		gomega.Expect(assign(gateways("a"), endpoints)).To(gomega.Equal(map[string]int{"gateway-0": 1}))
	})
})
