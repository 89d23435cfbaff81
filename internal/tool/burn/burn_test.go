package burn

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/conf/model"
)

func TestBurn(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "burn")
}

var series = Series{Organisation: "lothian", Route: "chat"}

// history returns one sample per minute, each with the counts of one entry.
func history(minutes int, at func(minute int) Counts) (samples []Sample) {
	begin := time.Unix(1_800_000_000, 0).UTC()
	for minute := range minutes {
		line := Line{Series: series, Counts: at(minute), Entry: "entry-a"}
		samples = append(samples, Sample{At: begin.Add(time.Duration(minute) * time.Minute), Lines: []Line{line}})
	}
	return samples
}

// find returns the burn rates of an objective.
func find(report Report, objective Objective) Burn {
	ginkgo.GinkgoHelper()
	for _, burn := range report.Burns {
		if burn.Objective == objective {
			return burn
		}
	}
	ginkgo.Fail("no burn of " + string(objective))
	return Burn{}
}

var _ = ginkgo.Describe("a burn report", func() {
	ginkgo.It("doesn't fire while no objective is missed", func() {
		report := NewReport(history(90, func(m int) Counts { return Counts{Requests: float64(m * 100), First: float64(m * 100)} }), nil)
		for _, burn := range report.Burns {
			gomega.Expect(burn.Fires).To(gomega.BeEmpty())
			gomega.Expect(burn.Left).To(gomega.Equal(1.0))
		}
	})

	ginkgo.It("fires the shortest pair of windows when one request in fifty fails", func() {
		report := NewReport(history(90, func(m int) Counts { return Counts{Requests: float64(m * 100), Failed: float64(m * 2)} }), nil)
		burn := find(report, ObjectiveAvailable)
		gomega.Expect(burn.Fires).To(gomega.Equal("5m0s/1h0m0s"))
		gomega.Expect(burn.Short[0]).To(gomega.BeNumerically("~", 20, 0.01))
		gomega.Expect(burn.Left).To(gomega.BeNumerically("<", 0))
	})

	ginkgo.It("handles the counter reset of a restarted entry", func() {
		report := NewReport(history(20, func(m int) Counts { return Counts{Requests: float64(m % 10 * 100)} }), nil)
		gomega.Expect(find(report, ObjectiveAvailable).Events).To(gomega.Equal(1800.0))
	})

	ginkgo.It("counts only refusals within the rate as wrongful", func() {
		samples := history(11, func(m int) Counts { return Counts{Requests: float64(m * 600), Limited: float64(m * 300)} })
		slow := model.Organisation{Name: "lothian", Rate: 5, Burst: 0}
		gomega.Expect(find(NewReport(samples, []model.Organisation{slow}), ObjectiveWrongful).Bad).To(gomega.BeZero())
		fast := model.Organisation{Name: "lothian", Rate: 100, Burst: 0}
		gomega.Expect(find(NewReport(samples, []model.Organisation{fast}), ObjectiveWrongful).Bad).To(gomega.Equal(3000.0))
	})

	ginkgo.It("renders a self-contained page with one plot for each row", func() {
		var page bytes.Buffer
		report := NewReport(history(10, func(m int) Counts { return Counts{Requests: float64(m)} }), nil)
		gomega.Expect(report.HTML(&page)).To(gomega.Succeed())
		gomega.Expect(bytes.Count(page.Bytes(), []byte("<svg"))).To(gomega.Equal(len(report.Burns)))
		gomega.Expect(page.String()).NotTo(gomega.ContainSubstring("http"))
	})
})
