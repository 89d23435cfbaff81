package batch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

func TestBatch(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "batch")
}

const (
	host         = "batch.example"
	prefix       = "/jobs/"
	organisation = "org"
	// attempts is how many failures the route allows an item.
	attempts = 3
	// patience bounds waiting for what must happen; moment is how long is waited
	// for what must not.
	patience = 20 * time.Second
	moment   = 700 * time.Millisecond
)

// results reads all results that are listed.
func results(manager *batch.Manager, id string) batch.Page {
	page, err := manager.Results(context.Background(), organisation, id, 0, 0)
	gomega.ExpectWithOffset(1, err).NotTo(gomega.HaveOccurred())
	return page
}

// expectDone waits until all items are listed, with the outputs that they should
// have.
func expectDone(manager *batch.Manager, spec batch.Spec) []batch.Result {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() int { return len(results(manager, spec.ID).Results) }, patience).Should(gomega.Equal(len(spec.Items)))
	page := results(manager, spec.ID)
	seen := make(map[string]bool)
	for _, result := range page.Results {
		gomega.Expect(seen[result.ID]).To(gomega.BeFalse())
		seen[result.ID] = true
		if !result.Failed {
			gomega.Expect(string(result.Output)).To(gomega.HavePrefix(result.ID + "-1\n" + result.ID + "-2"))
		}
	}
	return page.Results
}

// expectRefused checks the code and the promise of a refusal.
func expectRefused(err error, code agatestage.Code, ran agatestage.Ran) {
	ginkgo.GinkgoHelper()
	var refusal *agatestage.Refusal
	gomega.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
	gomega.Expect(refusal.Code).To(gomega.Equal(code))
	gomega.Expect(refusal.Ran).To(gomega.Equal(ran))
}

var (
	first  = batch.Gateway{Name: "first", Instance: "1", Region: "region"}
	second = batch.Gateway{Name: "second", Instance: "9", Region: "region"}
)
var _ = ginkgo.Describe("a job", func() {
	ginkgo.It("is run whole and read everywhere in the same order", func() {
		place := newPlace()
		place.fleet.set(first, second)
		owner, _ := place.start(first)
		reader, _ := place.start(second)
		spec := place.spec("job", 12)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		mine := expectDone(owner, spec)
		gomega.Expect(expectDone(reader, spec)).To(gomega.Equal(mine))
	})
	ginkgo.It("is read whole from its beginning where its first results have been read before", func() {
		place := newPlace()
		place.fleet.set(first, second)
		owner, _ := place.start(first)
		reader, _ := place.start(second)
		place.engine.serve = func(item string, run int) relay.Result {
			if item == "job-0" && run == 1 {
				return relay.Result{Preempted: true, Refusal: agatestage.Refuse(agatestage.CodeYielded, "yielded")}
			}
			return relay.Result{Status: http.StatusOK}
		}
		place.engine.pause = make(chan struct{})
		spec := place.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return len(results(reader, spec.ID).Results) }, patience).Should(gomega.Equal(1))
		close(place.engine.pause)
		expectDone(reader, spec)
	})
	ginkgo.It("is run by a gateway with less to do", func() {
		place := newPlace()
		busy, idle := first, second
		busy.Backlog, busy.Slots, idle.Slots = 30, 10, 10
		place.fleet.set(busy, idle)
		taker, _ := place.start(first)
		runner, _ := place.start(second)
		spec := place.spec("job", 4)
		gomega.Expect(taker.Submit(context.Background(), spec)).To(gomega.Succeed())
		expectDone(taker, spec)
		answer, ok := runner.Tell("job", 0)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(answer.Head.Owner).To(gomega.Equal(second.Name))
	})
	ginkgo.It("moves to a gateway with less to do once its own is crowded", func() {
		place := newPlace()
		crowded, idle := first, second
		crowded.Slots, idle.Slots, idle.Backlog = 10, 10, 100
		place.fleet.set(crowded, idle)
		taker, _ := place.start(first)
		runner, _ := place.start(second)
		place.engine.hold = make(chan struct{})
		spec := place.spec("job", 4)
		gomega.Expect(taker.Submit(context.Background(), spec)).To(gomega.Succeed())
		crowded.Backlog, idle.Backlog = 100, 0
		place.fleet.set(crowded, idle)
		gomega.Eventually(func() bool {
			_, ok := runner.Tell("job", 0)
			return ok
		}, patience).Should(gomega.BeTrue())
		close(place.engine.hold)
		expectDone(taker, spec)
	})
	ginkgo.It("is handed from gateway to gateway without asking the store for it", func() {
		place := newPlace()
		crowded, idle := first, second
		crowded.Slots, idle.Slots, idle.Backlog = 10, 10, 100
		place.fleet.set(crowded, idle)
		peers := &peers{managers: make(map[string]*batch.Manager)}
		giver, _ := place.start(first, batch.WithOthers(peers))
		taker, _ := place.start(second, batch.WithOthers(peers))
		peers.link(first.Name, giver)
		peers.link(second.Name, taker)
		place.engine.hold = make(chan struct{})
		spec := place.spec("job", 4)
		gomega.Expect(giver.Submit(context.Background(), spec)).To(gomega.Succeed())
		reads := func() int64 { return place.store.Counts().Reads }
		// Each gateway lists the heads once.
		gomega.Eventually(reads, patience).Should(gomega.Equal(int64(2)))
		crowded.Backlog, idle.Backlog = 100, 0
		place.fleet.set(crowded, idle)
		gomega.Eventually(func() bool {
			_, ok := taker.Tell("job", 0)
			return ok
		}, patience).Should(gomega.BeTrue())
		gomega.Expect(reads()).To(gomega.Equal(int64(2)))
		close(place.engine.hold)
		expectDone(taker, spec)
	})
	ginkgo.It("stays where it came in unless another gateway has clearly less to do", func() {
		place := newPlace()
		near, far := first, second
		near.Backlog, near.Slots, far.Slots, far.Region = 4, 10, 10, "other"
		place.fleet.set(near, far)
		taker, _ := place.start(first)
		spec := place.spec("job", 2)
		gomega.Expect(taker.Submit(context.Background(), spec)).To(gomega.Succeed())
		expectDone(taker, spec)
		answer, ok := taker.Tell("job", 0)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(answer.Head.Owner).To(gomega.Equal(first.Name))
	})
	ginkgo.It("is accepted once, whichever gateway it is sent to again", func() {
		place := newPlace()
		place.fleet.set(first, second)
		owner, _ := place.start(first)
		other, _ := place.start(second)
		for range 20 {
			spec := place.spec("job", 4)
			gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
			gomega.Expect(other.Submit(context.Background(), spec)).To(gomega.Succeed())
		}
		expectDone(owner, place.spec("job", 4))
		gomega.Expect(place.engine.count("job-0")).To(gomega.Equal(1))
		expectRefused(other.Submit(context.Background(), place.spec("job", 5)), agatestage.CodeConflict, agatestage.RanNo)
	})
	ginkgo.It("is taken over with what is listed when its gateway is gone", func() {
		place := newPlace()
		place.fleet.set(first, second)
		owner, kill := place.start(first)
		heir, _ := place.start(second)
		place.engine.serve = func(item string, run int) relay.Result {
			if item == "job-3" && run == 1 {
				return relay.Result{Preempted: true, Refusal: agatestage.Refuse(agatestage.CodeYielded, "yielded")}
			}
			return relay.Result{Status: http.StatusOK}
		}
		spec := place.spec("job", 4)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		kill()
		place.fleet.set(second)
		expectDone(heir, spec)
	})
	ginkgo.It("that ends stays as it is", func() {
		place := newPlace()
		place.fleet.set(first, second)
		owner, _ := place.start(first)
		other, _ := place.start(second)
		place.engine.hold = make(chan struct{})
		spec := place.spec("job", 4)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(other.End(context.Background(), organisation, "job")).To(gomega.Succeed())
		gomega.Expect(other.End(context.Background(), organisation, "job")).To(gomega.Succeed())
		gomega.Eventually(func() bool {
			answer, runs := owner.Tell("job", 0)
			return runs && answer.Head.Open()
		}, patience).Should(gomega.BeFalse())
		close(place.engine.hold)
		gomega.Consistently(func() int { return len(results(other, "job").Results) }, moment).Should(gomega.BeZero())
	})
	ginkgo.It("is known to its organisation only", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, _ := place.start(first)
		gomega.Expect(owner.Submit(context.Background(), place.spec("job", 1))).To(gomega.Succeed())
		_, err := owner.Results(context.Background(), "another", "job", 0, 0)
		expectRefused(err, agatestage.CodeNotFound, agatestage.RanNo)
		_, err = owner.Body(context.Background(), organisation, "none", "job-0")
		expectRefused(err, agatestage.CodeNotFound, agatestage.RanNo)
		body, err := owner.Body(context.Background(), organisation, "job", "job-0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(body).To(gomega.Equal([]byte{0}))
	})
	ginkgo.It("is refused, not lost, while the store is out", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, _ := place.start(first)
		gomega.Expect(owner.Submit(context.Background(), place.spec("known", 1))).To(gomega.Succeed())
		place.store.Fail(store.Faults{Outage: true})
		expectRefused(owner.Submit(context.Background(), place.spec("job", 1)), agatestage.CodeStore, agatestage.RanUnknown)
		gomega.Expect(results(owner, "known").Total).To(gomega.Equal(1))
		_, err := owner.Results(context.Background(), organisation, "job", 0, 0)
		expectRefused(err, agatestage.CodeStore, agatestage.RanNo)
		place.store.Fail(store.Faults{})
		gomega.Expect(owner.Submit(context.Background(), place.spec("job", 1))).To(gomega.Succeed())
	})
	ginkgo.It("is refused without asking a store that is lost, so that another gateway is tried", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, _ := place.start(first)
		place.fleet.lose(time.Second)
		expectRefused(owner.Submit(context.Background(), place.spec("job", 1)), agatestage.CodeStore, agatestage.RanNo)
		_, err := place.store.Get(context.Background(), "batch/head/job")
		gomega.Expect(errors.Is(err, agatestage.ErrNotFound)).To(gomega.BeTrue())
		place.fleet.lose(0)
		gomega.Expect(owner.Submit(context.Background(), place.spec("job", 1))).To(gomega.Succeed())
	})
	ginkgo.It("is kept though the store's reply is lost", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, _ := place.start(first)
		place.store.Fail(store.Faults{LoseReplies: 1})
		spec := place.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		expectDone(owner, spec)
	})
})

var _ = ginkgo.Describe("an item", func() {
	ginkgo.It("waits for the configuration of a gateway that has just started", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, kill := place.start(first)
		place.engine.hold = make(chan struct{})
		spec := place.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		kill()
		place.engine.hold = nil
		again := first
		again.Instance = "2"
		place.fleet.set(again)
		place.holder = rules.NewHolder()
		owner, _ = place.start(again)
		gomega.Consistently(func() int { return len(results(owner, "job").Results) }, moment).Should(gomega.BeZero())
		place.configure(1, prefix)
		for _, result := range expectDone(owner, spec) {
			gomega.Expect(result.Failed).To(gomega.BeFalse())
		}
	})
	ginkgo.It("follows its route when that gets another name, and ends with it", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, _ := place.start(first)
		place.engine.serve = func(string, int) relay.Result {
			return relay.Result{Preempted: true, Refusal: agatestage.Refuse(agatestage.CodeYielded, "yielded")}
		}
		spec := place.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		place.configure(2, prefix)
		gomega.Consistently(func() int { return len(results(owner, "job").Results) }, moment).Should(gomega.BeZero())
		place.configure(3, "/other/")
		gomega.Expect(expectDone(owner, spec)[0].Failed).To(gomega.BeTrue())
	})
	ginkgo.It("keeps its route when another one begins with its path", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, _ := place.start(first)
		place.engine.hold = make(chan struct{})
		spec := place.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		place.holder.Offer(rules.New(rules.Content{Version: 2, Routes: []rules.Route{
			{Name: "batch", Host: host, Prefix: prefix, Kind: rules.KindBatch, Attempts: attempts, Shares: []rules.WeightedService{{Service: "service"}}},
			{Name: "narrow", Host: host, Prefix: prefix + "0", Kind: rules.KindStream, Shares: []rules.WeightedService{{Service: "other"}}},
		}}), "test")
		place.engine.serve = func(_ string, run int) relay.Result {
			if run == 1 {
				return relay.Result{Preempted: true, Refusal: agatestage.Refuse(agatestage.CodeYielded, "yielded")}
			}
			return relay.Result{Status: http.StatusOK}
		}
		close(place.engine.hold)
		gomega.Expect(expectDone(owner, spec)[0].Failed).To(gomega.BeFalse())
	})
	ginkgo.It("is given up after the failures that its route allows", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, _ := place.start(first)
		place.engine.serve = func(string, int) relay.Result { return relay.Result{Status: http.StatusInternalServerError} }
		spec := place.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(expectDone(owner, spec)[0].Failed).To(gomega.BeTrue())
		gomega.Expect(place.engine.count("job-0")).To(gomega.Equal(attempts))
	})
	for _, how := range []string{"is handed over", "is taken over"} {
		ginkgo.It("is given up after the failures that its route allows though its job "+how+" meanwhile", func() {
			place := newPlace()
			place.fleet.set(first, second)
			owner, kill := place.start(first)
			heir, _ := place.start(second)
			place.engine.serve = func(string, int) relay.Result { return relay.Result{Status: http.StatusInternalServerError} }
			place.engine.pause = make(chan struct{})
			spec := place.spec("job", 1)
			gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
			gomega.Eventually(func() int { return place.engine.count("job-0") }, patience).Should(gomega.Equal(2))
			if how == "is taken over" {
				gomega.Eventually(func() string { return place.head("job") }, patience).Should(gomega.ContainSubstring(`"Progress":true`))
				kill()
			} else {
				owner.Drain(context.Background())
			}
			place.fleet.set(second)
			close(place.engine.pause)
			gomega.Expect(expectDone(heir, spec)[0].Failed).To(gomega.BeTrue())
			// The second run was cut off and counts for nothing.
			gomega.Expect(place.engine.count("job-0")).To(gomega.Equal(attempts + 1))
		})
	}
	ginkgo.It("that can't be done is not run again", func() {
		place := newPlace()
		place.fleet.set(first)
		owner, _ := place.start(first)
		place.engine.serve = func(string, int) relay.Result { return relay.Result{Status: http.StatusUnprocessableEntity} }
		spec := place.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(expectDone(owner, spec)[0].Failed).To(gomega.BeTrue())
		gomega.Expect(place.engine.count("job-0")).To(gomega.Equal(1))
	})
})
