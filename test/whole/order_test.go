package whole

import (
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/conf/model"
)

// completionStatus returns a function that requests a completion of a model from
// entry-a and returns the status.
func (rig *rig) completionStatus(name string) func() int {
	return func() int {
		status, _ := rig.call("entry-a", http.MethodPost, "/v1/completions", strings.Replace(`{"model":"NAME","prompt":"x","max_tokens":1}`, "NAME", name, 1))
		return status
	}
}

// assignModels returns an intent that sets the models of engines.
func assignModels(names []string, models ...string) model.Intent {
	var intent model.Intent
	for _, name := range names {
		intent.Targets = append(intent.Targets, model.Target{Name: name, Models: models, Online: true, Batch: true})
	}
	return intent
}

var _ = ginkgo.Describe("orders to engines", func() {
	ginkgo.It("follow the configuration, but never remove a model from the last target that is ready for it", func() {
		rig := newRig()
		rig.startFleet("engine-a", "engine-b")
		rig.applyIntent("entry-a", model.Intent{
			Models: []model.Model{{Name: "labels", Version: "1"}},
			Routes: []model.Route{{Name: "labels", Model: "labels"}},
		})
		ginkgo.By("assigning a second model to one engine")
		rig.applyIntent("entry-a", assignModels([]string{"engine-a"}, modelName, "labels"))
		gomega.Eventually(rig.completionStatus("labels"), eventTimeout, pollInterval).Should(gomega.Equal(http.StatusOK))
		gomega.Expect(rig.completionStatus(modelName)()).To(gomega.Equal(http.StatusOK))
		ginkgo.By("assigning the other model to the second engine; each model keeps a ready engine")
		rig.applyIntent("entry-a", assignModels([]string{"engine-b"}, "labels"))
		gomega.Eventually(func() string { return rig.processes["side-engine-b"].out.String() }, eventTimeout, pollInterval).Should(gomega.ContainSubstring(`engine ordered" target="engine-b"`))
		gomega.Expect(rig.completionStatus(modelName)()).To(gomega.Equal(http.StatusOK))
		ginkgo.By("removing a model from its last holder while it is assigned to the other engine")
		rig.applyIntent("entry-a", assignModels([]string{"engine-a"}, "labels"))
		rig.applyIntent("entry-a", assignModels([]string{"engine-b"}, modelName))
		gomega.Eventually(rig.completionStatus(modelName), eventTimeout, pollInterval).Should(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() string { return rig.processes["side-engine-a"].out.String() }, eventTimeout, pollInterval).Should(gomega.ContainSubstring("no other target holds"))
	})

	ginkgo.It("are issued again by a side that was killed while a model was loading", func() {
		rig := newRig()
		rig.startFleet("engine-a")
		rig.applyIntent("entry-a", model.Intent{
			Models: []model.Model{{Name: "labels", Version: "1"}},
			Routes: []model.Route{{Name: "labels", Model: "labels"}},
		})
		rig.applyIntent("entry-a", assignModels([]string{"engine-a"}, modelName, "labels"))
		side := rig.processes["side-engine-a"]
		side.waitOutput(`(engine ordered" target="engine-a")`)
		side.kill()
		side.run()
		rig.registerSide("side-engine-a", "east-1", side, nil)
		gomega.Eventually(rig.completionStatus("labels"), eventTimeout, pollInterval).Should(gomega.Equal(http.StatusOK))
		gomega.Eventually(rig.completionStatus(modelName), eventTimeout, pollInterval).Should(gomega.Equal(http.StatusOK))
	})
})
