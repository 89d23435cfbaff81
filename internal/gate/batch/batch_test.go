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
	// maxAttempts is how many failures the route allows an item.
	maxAttempts = 3
	// waitTimeout bounds the wait for what must happen; observeTime is how long the
	// test checks that something doesn't happen.
	waitTimeout = 20 * time.Second
	observeTime = 700 * time.Millisecond
)

// results reads all stored results of a job.
func results(manager *batch.Manager, id string) batch.Page {
	page, err := manager.Results(context.Background(), organisation, id, 0, 0, nil)
	gomega.ExpectWithOffset(1, err).NotTo(gomega.HaveOccurred())
	return page
}

// expectDone waits until all items have results and checks their outputs.
func expectDone(manager *batch.Manager, spec batch.Spec) []batch.Result {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() int { return len(results(manager, spec.ID).Results) }, waitTimeout).Should(gomega.Equal(len(spec.Items)))
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

// expectRefused checks the code of a refusal and whether it says that the call ran.
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
	ginkgo.It("runs completely, and its results have the same order at every gateway", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, _ := fixture.start(first)
		reader, _ := fixture.start(second)
		spec := fixture.spec("job", 12)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		fromOwner := expectDone(owner, spec)
		gomega.Expect(expectDone(reader, spec)).To(gomega.Equal(fromOwner))
	})
	ginkgo.It("returns all results from the beginning where its first results have been read before", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, _ := fixture.start(first)
		reader, _ := fixture.start(second)
		fixture.fakeRunner.script = func(item string, run int) relay.Result {
			if item == "job-0" && run == 1 {
				return relay.Result{Preempted: true, Refusal: agatestage.Refuse(agatestage.CodeYielded, "yielded")}
			}
			return relay.Result{Status: http.StatusOK}
		}
		fixture.fakeRunner.holdRepeats = make(chan struct{})
		spec := fixture.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return len(results(reader, spec.ID).Results) }, waitTimeout).Should(gomega.Equal(1))
		close(fixture.fakeRunner.holdRepeats)
		expectDone(reader, spec)
	})
	ginkgo.It("is run by a less loaded gateway", func() {
		fixture := newFixture()
		busy, idle := first, second
		busy.Backlog, busy.Slots, idle.Slots = 30, 10, 10
		fixture.fakeFleet.setAlive(busy, idle)
		receiver, _ := fixture.start(first)
		runner, _ := fixture.start(second)
		spec := fixture.spec("job", 4)
		gomega.Expect(receiver.Submit(context.Background(), spec)).To(gomega.Succeed())
		expectDone(receiver, spec)
		answer, ok := runner.AnswerQuery("job", 0)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(answer.Head.Owner).To(gomega.Equal(second.Name))
	})
	ginkgo.It("moves to a less loaded gateway once its own is overloaded", func() {
		fixture := newFixture()
		overloaded, idle := first, second
		overloaded.Slots, idle.Slots, idle.Backlog = 10, 10, 100
		fixture.fakeFleet.setAlive(overloaded, idle)
		receiver, _ := fixture.start(first)
		runner, _ := fixture.start(second)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 4)
		gomega.Expect(receiver.Submit(context.Background(), spec)).To(gomega.Succeed())
		overloaded.Backlog, idle.Backlog = 100, 0
		fixture.fakeFleet.setAlive(overloaded, idle)
		gomega.Eventually(func() bool {
			_, ok := runner.AnswerQuery("job", 0)
			return ok
		}, waitTimeout).Should(gomega.BeTrue())
		close(fixture.fakeRunner.hold)
		expectDone(receiver, spec)
	})
	ginkgo.It("is handed over between gateways without reads from the store", func() {
		fixture := newFixture()
		overloaded, idle := first, second
		overloaded.Slots, idle.Slots, idle.Backlog = 10, 10, 100
		fixture.fakeFleet.setAlive(overloaded, idle)
		fakePeers := &fakePeers{managers: make(map[string]*batch.Manager)}
		sender, _ := fixture.start(first, batch.WithPeers(fakePeers))
		receiver, _ := fixture.start(second, batch.WithPeers(fakePeers))
		fakePeers.register(first.Name, sender)
		fakePeers.register(second.Name, receiver)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 4)
		gomega.Expect(sender.Submit(context.Background(), spec)).To(gomega.Succeed())
		fixture.awaitLists(2)
		overloaded.Backlog, idle.Backlog = 100, 0
		fixture.fakeFleet.setAlive(overloaded, idle)
		gomega.Eventually(func() bool {
			_, ok := receiver.AnswerQuery("job", 0)
			return ok
		}, waitTimeout).Should(gomega.BeTrue())
		gomega.Expect(fixture.store.Counts().Reads).To(gomega.Equal(int64(2)))
		close(fixture.fakeRunner.hold)
		expectDone(receiver, spec)
	})
	ginkgo.It("stays where it was submitted unless another gateway is clearly less loaded", func() {
		fixture := newFixture()
		near, far := first, second
		near.Backlog, near.Slots, far.Slots, far.Region = 4, 10, 10, "other"
		fixture.fakeFleet.setAlive(near, far)
		receiver, _ := fixture.start(first)
		spec := fixture.spec("job", 2)
		gomega.Expect(receiver.Submit(context.Background(), spec)).To(gomega.Succeed())
		expectDone(receiver, spec)
		answer, ok := receiver.AnswerQuery("job", 0)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(answer.Head.Owner).To(gomega.Equal(first.Name))
	})
	ginkgo.It("is accepted once, whichever gateway it is submitted to again", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, _ := fixture.start(first)
		other, _ := fixture.start(second)
		for range 20 {
			spec := fixture.spec("job", 4)
			gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
			gomega.Expect(other.Submit(context.Background(), spec)).To(gomega.Succeed())
		}
		expectDone(owner, fixture.spec("job", 4))
		gomega.Expect(fixture.fakeRunner.runCount("job-0")).To(gomega.Equal(1))
		expectRefused(other.Submit(context.Background(), fixture.spec("job", 5)), agatestage.CodeConflict, agatestage.RanNo)
	})
	ginkgo.It("is taken over with its stored results when its gateway is lost", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, kill := fixture.start(first)
		successor, _ := fixture.start(second)
		fixture.fakeRunner.script = func(item string, run int) relay.Result {
			if item == "job-3" && run == 1 {
				return relay.Result{Preempted: true, Refusal: agatestage.Refuse(agatestage.CodeYielded, "yielded")}
			}
			return relay.Result{Status: http.StatusOK}
		}
		spec := fixture.spec("job", 4)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		kill()
		fixture.fakeFleet.setAlive(second)
		expectDone(successor, spec)
	})
	ginkgo.It("gets no more results once it has ended", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, _ := fixture.start(first)
		other, _ := fixture.start(second)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 4)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(other.End(context.Background(), organisation, "job")).To(gomega.Succeed())
		gomega.Expect(other.End(context.Background(), organisation, "job")).To(gomega.Succeed())
		gomega.Eventually(func() bool {
			answer, runs := owner.AnswerQuery("job", 0)
			return runs && answer.Head.Open()
		}, waitTimeout).Should(gomega.BeFalse())
		close(fixture.fakeRunner.hold)
		gomega.Consistently(func() int { return len(results(other, "job").Results) }, observeTime).Should(gomega.BeZero())
	})
	ginkgo.It("is visible to its organisation only", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		gomega.Expect(owner.Submit(context.Background(), fixture.spec("job", 1))).To(gomega.Succeed())
		_, err := owner.Results(context.Background(), "another", "job", 0, 0, nil)
		expectRefused(err, agatestage.CodeNotFound, agatestage.RanNo)
		_, err = owner.Body(context.Background(), organisation, "none", "job-0")
		expectRefused(err, agatestage.CodeNotFound, agatestage.RanNo)
		body, err := owner.Body(context.Background(), organisation, "job", "job-0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(body).To(gomega.Equal([]byte{0}))
	})
	ginkgo.It("is refused, not lost, while the store is unavailable", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		gomega.Expect(owner.Submit(context.Background(), fixture.spec("known", 1))).To(gomega.Succeed())
		fixture.store.SetFaults(store.Faults{Outage: true})
		expectRefused(owner.Submit(context.Background(), fixture.spec("job", 1)), agatestage.CodeStore, agatestage.RanUnknown)
		gomega.Expect(results(owner, "known").Total).To(gomega.Equal(1))
		_, err := owner.Results(context.Background(), organisation, "job", 0, 0, nil)
		expectRefused(err, agatestage.CodeStore, agatestage.RanNo)
		fixture.store.SetFaults(store.Faults{})
		gomega.Expect(owner.Submit(context.Background(), fixture.spec("job", 1))).To(gomega.Succeed())
	})
	ginkgo.It("is refused during an outage without a call to the store, so that another gateway is tried", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		fixture.fakeFleet.setOutage(time.Second)
		expectRefused(owner.Submit(context.Background(), fixture.spec("job", 1)), agatestage.CodeStore, agatestage.RanNo)
		_, err := fixture.store.Get(context.Background(), "batch/head/job")
		gomega.Expect(errors.Is(err, agatestage.ErrNotFound)).To(gomega.BeTrue())
		fixture.fakeFleet.setOutage(0)
		gomega.Expect(owner.Submit(context.Background(), fixture.spec("job", 1))).To(gomega.Succeed())
	})
	ginkgo.It("is accepted though the store's reply is lost", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		fixture.store.SetFaults(store.Faults{LoseReplies: 1})
		spec := fixture.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		expectDone(owner, spec)
	})
})

var _ = ginkgo.Describe("an item", func() {
	ginkgo.It("waits for the configuration of a gateway that has just started", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, kill := fixture.start(first)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		kill()
		fixture.fakeRunner.hold = nil
		again := first
		again.Instance = "2"
		fixture.fakeFleet.setAlive(again)
		fixture.holder = rules.NewHolder()
		owner, _ = fixture.start(again)
		gomega.Consistently(func() int { return len(results(owner, "job").Results) }, observeTime).Should(gomega.BeZero())
		fixture.configure(1, prefix)
		for _, result := range expectDone(owner, spec) {
			gomega.Expect(result.Failed).To(gomega.BeFalse())
		}
	})
	ginkgo.It("follows its route when the route is renamed, and fails when the route is removed", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		fixture.fakeRunner.script = func(string, int) relay.Result {
			return relay.Result{Preempted: true, Refusal: agatestage.Refuse(agatestage.CodeYielded, "yielded")}
		}
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		fixture.configure(2, prefix)
		gomega.Consistently(func() int { return len(results(owner, "job").Results) }, observeTime).Should(gomega.BeZero())
		fixture.configure(3, "/other/")
		gomega.Expect(expectDone(owner, spec)[0].Failed).To(gomega.BeTrue())
	})
	ginkgo.It("keeps its route when another route has a longer matching prefix", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		fixture.holder.Offer(rules.New(rules.Content{Version: 2, Routes: []rules.Route{
			{Name: "batch", Host: host, Prefix: prefix, Kind: rules.KindBatch, Attempts: maxAttempts, Shares: []rules.WeightedService{{Service: "service"}}},
			{Name: "narrow", Host: host, Prefix: prefix + "0", Kind: rules.KindStream, Shares: []rules.WeightedService{{Service: "other"}}},
		}}), "test")
		fixture.fakeRunner.script = func(_ string, run int) relay.Result {
			if run == 1 {
				return relay.Result{Preempted: true, Refusal: agatestage.Refuse(agatestage.CodeYielded, "yielded")}
			}
			return relay.Result{Status: http.StatusOK}
		}
		close(fixture.fakeRunner.hold)
		gomega.Expect(expectDone(owner, spec)[0].Failed).To(gomega.BeFalse())
	})
	ginkgo.It("is given up after the failures that its route allows", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		fixture.fakeRunner.script = func(string, int) relay.Result { return relay.Result{Status: http.StatusInternalServerError} }
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(expectDone(owner, spec)[0].Failed).To(gomega.BeTrue())
		gomega.Expect(fixture.fakeRunner.runCount("job-0")).To(gomega.Equal(maxAttempts))
	})
	for _, transfer := range []string{"is handed over", "is taken over"} {
		ginkgo.It("is given up after the failures that its route allows though its job "+transfer+" meanwhile", func() {
			fixture := newFixture()
			fixture.fakeFleet.setAlive(first, second)
			owner, kill := fixture.start(first)
			successor, _ := fixture.start(second)
			fixture.fakeRunner.script = func(string, int) relay.Result { return relay.Result{Status: http.StatusInternalServerError} }
			fixture.fakeRunner.holdRepeats = make(chan struct{})
			spec := fixture.spec("job", 1)
			gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
			gomega.Eventually(func() int { return fixture.fakeRunner.runCount("job-0") }, waitTimeout).Should(gomega.Equal(2))
			if transfer == "is taken over" {
				gomega.Eventually(func() string { return fixture.head("job") }, waitTimeout).Should(gomega.ContainSubstring(`"Progress":true`))
				kill()
			} else {
				owner.Drain(context.Background())
			}
			fixture.fakeFleet.setAlive(second)
			close(fixture.fakeRunner.holdRepeats)
			gomega.Expect(expectDone(successor, spec)[0].Failed).To(gomega.BeTrue())
			// The second run was cut off by the handover or the loss and doesn't count.
			gomega.Expect(fixture.fakeRunner.runCount("job-0")).To(gomega.Equal(maxAttempts + 1))
		})
	}
	ginkgo.It("is not run again after a 422, which says that it can't be executed", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		fixture.fakeRunner.script = func(string, int) relay.Result { return relay.Result{Status: http.StatusUnprocessableEntity} }
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(expectDone(owner, spec)[0].Failed).To(gomega.BeTrue())
		gomega.Expect(fixture.fakeRunner.runCount("job-0")).To(gomega.Equal(1))
	})
})
