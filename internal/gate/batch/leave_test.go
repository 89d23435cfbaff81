package batch_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/relay"
)

var _ = ginkgo.Describe("a job whose gateway stops or is lost", func() {
	ginkgo.It("is handed over by a planned stop", func() {
		place := newPlace()
		place.fleet.set(first, second)
		owner, _ := place.start(first)
		heir, _ := place.start(second)
		place.engine.hold = make(chan struct{})
		spec := place.spec("job", 4)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		place.fleet.set(second)
		owner.Drain(context.Background())
		close(place.engine.hold)
		expectDone(heir, spec)
	})
	ginkgo.It("is handed over with the events of its unfinished items", func() {
		place := newPlace()
		place.fleet.set(first, second)
		owner, _ := place.start(first)
		heir, _ := place.start(second)
		place.engine.serve = yieldFirst
		place.engine.pause = make(chan struct{})
		spec := place.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return place.engine.count("job-0") }, patience).Should(gomega.Equal(2))
		place.fleet.set(second)
		owner.Drain(context.Background())
		close(place.engine.pause)
		result := expectDone(heir, spec)[0]
		gomega.Expect(string(result.Output)).To(gomega.Equal("job-0-1\njob-0-2\njob-0-3\njob-0-4"))
	})
	ginkgo.It("goes on from the events that were written beside results when its gateway is lost", func() {
		place := newPlace()
		place.fleet.set(first, second)
		owner, kill := place.start(first)
		heir, _ := place.start(second)
		place.engine.serve = func(item string, run int) relay.Result {
			if item == "job-0" {
				return yieldFirst(item, run)
			}
			return relay.Result{Status: http.StatusOK}
		}
		place.engine.pause = make(chan struct{})
		spec := place.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return len(results(owner, spec.ID).Results) }, patience).Should(gomega.Equal(1))
		gomega.Eventually(func() int { return place.engine.count("job-0") }, patience).Should(gomega.Equal(2))
		kill()
		place.fleet.set(second)
		close(place.engine.pause)
		outputs := make(map[string]string)
		for _, result := range expectDone(heir, spec) {
			outputs[result.ID] = string(result.Output)
		}
		gomega.Expect(outputs["job-0"]).To(gomega.Equal("job-0-1\njob-0-2\njob-0-3\njob-0-4"))
	})
	ginkgo.It("goes on from the events of long items though none has a result when its gateway is lost", func() {
		place := newPlace()
		place.fleet.set(first, second)
		owner, kill := place.start(first)
		heir, _ := place.start(second)
		place.engine.events = 500
		place.engine.serve = yieldFirst
		place.engine.pause = make(chan struct{})
		spec := place.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() string { return place.head(spec.ID) }, patience).Should(gomega.ContainSubstring(`"Progress":true`))
		kill()
		place.fleet.set(second)
		close(place.engine.pause)
		lines := strings.Split(string(expectDone(heir, spec)[0].Output), "\n")
		gomega.Expect(lines).To(gomega.HaveLen(1000))
		// An item of the sheets has 200 events in 5 s, and this one had 500 already.
		gomega.Expect(place.engine.needed("job-0")).To(gomega.BeNumerically("<=", time.Second))
	})
	ginkgo.It("shows the results of a write that its gateway has given up and the store executed", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, _ := place.start(first)
		place.engine.hold = make(chan struct{})
		spec := place.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return place.engine.count("job-0") }, patience).Should(gomega.Equal(1))
		record, err := place.store.Get(context.Background(), "batch/head/job")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var head batch.Head
		gomega.Expect(json.Unmarshal(record.Value, &head)).To(gomega.Succeed())
		head.Results, head.Chunks = 1, 1
		value, err := json.Marshal(head)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		chunk, err := cbor.Marshal([]batch.Result{{ID: "job-0", Output: []byte("job-0-1\njob-0-2")}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = place.store.Commit(context.Background(), []agatestage.Condition{{Key: record.Key, Version: record.Version}},
			[]agatestage.Write{{Key: record.Key, Value: value}, {Key: "batch/chunk/job/00000", Value: chunk}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() int { return len(results(owner, spec.ID).Results) }, patience).Should(gomega.Equal(1))
		close(place.engine.hold)
		gomega.Expect(expectDone(owner, spec)).To(gomega.HaveLen(2))
		gomega.Expect(place.engine.count("job-0")).To(gomega.Equal(1))
	})
	ginkgo.It("is accepted by a gateway that is about to stop, for another one", func() {
		place := newPlace()
		other := second
		other.Slots = 10
		place.fleet.set(other)
		peers := &peers{managers: make(map[string]*batch.Manager)}
		leaving, _ := place.start(first, batch.WithOthers(peers))
		heir, _ := place.start(other, batch.WithOthers(peers))
		peers.link(first.Name, leaving)
		peers.link(other.Name, heir)
		leaving.Drain(context.Background())
		spec := place.spec("job", 4)
		gomega.Expect(leaving.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(place.head(spec.ID)).To(gomega.ContainSubstring(`"Owner":"` + other.Name + `"`))
		expectDone(heir, spec)
	})
	ginkgo.It("is accepted by the last gateway that stops, for the next one that starts", func() {
		place := newPlace()
		leaving, _ := place.start(first)
		leaving.Drain(context.Background())
		spec := place.spec("job", 4)
		gomega.Expect(leaving.Submit(context.Background(), spec)).To(gomega.Succeed())
		place.fleet.set(second)
		heir, _ := place.start(second)
		expectDone(heir, spec)
	})
})

var _ = ginkgo.Describe("a job that comes to a gateway which the store turns away", func() {
	// start starts such a gateway, whose own calls to the store fail, and another.
	start := func(hears bool) (place *place, lost, other *batch.Manager) {
		place = newPlace()
		hearing := second
		hearing.Hears = hears
		place.fleet.set(first, hearing)
		peers := &peers{managers: make(map[string]*batch.Manager)}
		other, _ = place.start(hearing, batch.WithOthers(peers))
		fine := place.fleet
		place.fleet = &fleet{}
		place.fleet.set(first, hearing)
		place.fleet.lose(time.Second)
		lost, _ = place.start(first, batch.WithOthers(peers))
		place.fleet = fine
		peers.link(first.Name, lost)
		peers.link(second.Name, other)
		return place, lost, other
	}
	ginkgo.It("is accepted by one that hears the store, and its results are read at both", func() {
		place, lost, other := start(true)
		spec := place.spec("job", 4)
		gomega.Expect(lost.Submit(context.Background(), spec)).To(gomega.Succeed())
		expectDone(other, spec)
		expectDone(lost, spec)
		gomega.Expect(lost.Submit(context.Background(), spec)).To(gomega.Succeed())
	})
	ginkgo.It("is refused if no other hears it either, and isn't kept", func() {
		place, lost, _ := start(false)
		expectRefused(lost.Submit(context.Background(), place.spec("job", 4)), agatestage.CodeStore, agatestage.RanNo)
		_, err := place.store.Get(context.Background(), "batch/head/job")
		gomega.Expect(errors.Is(err, agatestage.ErrNotFound)).To(gomega.BeTrue())
	})
})
