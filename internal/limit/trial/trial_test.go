package trial

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestTrial(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "limits")
}

const seed = 7

var _ = ginkgo.Describe("grants", func() {
	for _, scenario := range Scenarios() {
		ginkgo.It("never admit more than the rate and burst allow: "+scenario.Name, func() {
			result := scenario.Simulate(NewGrant, seed)
			ginkgo.GinkgoWriter.Printf("%+v\n", result)
			gomega.Expect(result.Oversold).To(gomega.BeZero())
			gomega.Expect(result.Requests).To(gomega.BeNumerically(">", 1000))
		})
	}
})
