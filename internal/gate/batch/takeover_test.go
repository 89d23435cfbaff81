package batch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/gate/relay"
)

var _ = ginkgo.Describe("a job whose gateway stops or is lost", func() {
	ginkgo.It("is handed over by a planned stop", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, _ := fixture.start(first)
		successor, _ := fixture.start(second)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 4)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		fixture.fakeFleet.setAlive(second)
		owner.Drain(context.Background())
		close(fixture.fakeRunner.hold)
		expectDone(successor, spec)
	})
	ginkgo.It("is handed over with the events of its unfinished items by a planned stop", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, _ := fixture.start(first)
		successor, _ := fixture.start(second)
		fixture.fakeRunner.script = yieldFirst
		fixture.fakeRunner.holdRepeats = make(chan struct{})
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return fixture.fakeRunner.runCount("job-0") }, waitTimeout).Should(gomega.Equal(2))
		fixture.fakeFleet.setAlive(second)
		owner.Drain(context.Background())
		close(fixture.fakeRunner.holdRepeats)
		result := expectDone(successor, spec)[0]
		gomega.Expect(string(result.Output)).To(gomega.Equal("job-0-1\njob-0-2\njob-0-3\njob-0-4"))
	})
	ginkgo.It("resumes after the events that were written with results when its gateway is lost", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, kill := fixture.start(first)
		successor, _ := fixture.start(second)
		fixture.fakeRunner.script = func(item string, run int) relay.Result {
			if item == "job-0" {
				return yieldFirst(item, run)
			}
			return relay.Result{Status: http.StatusOK}
		}
		fixture.fakeRunner.holdRepeats = make(chan struct{})
		spec := fixture.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return len(results(owner, spec.ID).Results) }, waitTimeout).Should(gomega.Equal(1))
		gomega.Eventually(func() int { return fixture.fakeRunner.runCount("job-0") }, waitTimeout).Should(gomega.Equal(2))
		kill()
		fixture.fakeFleet.setAlive(second)
		close(fixture.fakeRunner.holdRepeats)
		outputs := make(map[string]string)
		for _, result := range expectDone(successor, spec) {
			outputs[result.ID] = string(result.Output)
		}
		gomega.Expect(outputs["job-0"]).To(gomega.Equal("job-0-1\njob-0-2\njob-0-3\njob-0-4"))
	})
	ginkgo.It("resumes after the saved events of long items when its gateway is lost before any has a result", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, kill := fixture.start(first)
		successor, _ := fixture.start(second)
		fixture.fakeRunner.eventsPerRun = 500
		fixture.fakeRunner.script = yieldFirst
		fixture.fakeRunner.holdRepeats = make(chan struct{})
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() string { return fixture.head(spec.ID) }, waitTimeout).Should(gomega.ContainSubstring(`"Progress":true`))
		kill()
		fixture.fakeFleet.setAlive(second)
		close(fixture.fakeRunner.holdRepeats)
		lines := strings.Split(string(expectDone(successor, spec)[0].Output), "\n")
		gomega.Expect(lines).To(gomega.HaveLen(1000))
		// An item of the users' workload has 200 events in 5 s, and this one already had 500.
		gomega.Expect(fixture.fakeRunner.lastSlotTime("job-0")).To(gomega.BeNumerically("<=", time.Second))
	})
	ginkgo.It("shows the results of a write that its gateway has given up and the store executed", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		owner, _ := fixture.start(first)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return fixture.fakeRunner.runCount("job-0") }, waitTimeout).Should(gomega.Equal(1))
		record, err := fixture.store.Get(context.Background(), "batch/head/job")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var head batch.Head
		gomega.Expect(json.Unmarshal(record.Value, &head)).To(gomega.Succeed())
		head.Results, head.Chunks = 1, 1
		value, err := json.Marshal(head)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		chunk, err := cbor.Marshal([]batch.Result{{ID: "job-0", Output: []byte("job-0-1\njob-0-2")}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = fixture.store.Commit(context.Background(), []agatestage.Condition{{Key: record.Key, Version: record.Version}},
			[]agatestage.Write{{Key: record.Key, Value: value}, {Key: "batch/chunk/job/00000", Value: chunk}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() int { return len(results(owner, spec.ID).Results) }, waitTimeout).Should(gomega.Equal(1))
		close(fixture.fakeRunner.hold)
		gomega.Expect(expectDone(owner, spec)).To(gomega.HaveLen(2))
		gomega.Expect(fixture.fakeRunner.runCount("job-0")).To(gomega.Equal(1))
	})
	ginkgo.It("is accepted by a draining gateway and placed at another one", func() {
		fixture := newFixture()
		other := second
		other.Slots = 10
		fixture.fakeFleet.setAlive(other)
		fakePeers := &fakePeers{managers: make(map[string]*batch.Manager)}
		leaving, _ := fixture.start(first, batch.WithPeers(fakePeers))
		successor, _ := fixture.start(other, batch.WithPeers(fakePeers))
		fakePeers.register(first.Name, leaving)
		fakePeers.register(other.Name, successor)
		leaving.Drain(context.Background())
		spec := fixture.spec("job", 4)
		gomega.Expect(leaving.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(fixture.head(spec.ID)).To(gomega.ContainSubstring(`"Owner":"` + other.Name + `"`))
		expectDone(successor, spec)
	})
	ginkgo.It("is accepted by the last gateway while it drains and run by the next one that starts", func() {
		fixture := newFixture()
		leaving, _ := fixture.start(first)
		leaving.Drain(context.Background())
		spec := fixture.spec("job", 4)
		gomega.Expect(leaving.Submit(context.Background(), spec)).To(gomega.Succeed())
		fixture.fakeFleet.setAlive(second)
		successor, _ := fixture.start(second)
		expectDone(successor, spec)
	})
})

var _ = ginkgo.Describe("a job submitted to a gateway whose calls the store rejects", func() {
	// start starts such a gateway, which sees an outage of the store, and another.
	start := func(reachesStore bool) (fixture *fixture, disconnected, other *batch.Manager) {
		fixture = newFixture()
		connected := second
		connected.Hears = reachesStore
		fixture.fakeFleet.setAlive(first, connected)
		fakePeers := &fakePeers{managers: make(map[string]*batch.Manager)}
		other, _ = fixture.start(connected, batch.WithPeers(fakePeers))
		connectedFleet := fixture.fakeFleet
		fixture.fakeFleet = &fakeFleet{}
		fixture.fakeFleet.setAlive(first, connected)
		fixture.fakeFleet.setOutage(time.Second)
		disconnected, _ = fixture.start(first, batch.WithPeers(fakePeers))
		fixture.fakeFleet = connectedFleet
		fakePeers.register(first.Name, disconnected)
		fakePeers.register(second.Name, other)
		return fixture, disconnected, other
	}
	ginkgo.It("is accepted by one that reaches the store, and its results are read at both", func() {
		fixture, disconnected, other := start(true)
		spec := fixture.spec("job", 4)
		gomega.Expect(disconnected.Submit(context.Background(), spec)).To(gomega.Succeed())
		expectDone(other, spec)
		expectDone(disconnected, spec)
		gomega.Expect(disconnected.Submit(context.Background(), spec)).To(gomega.Succeed())
	})
	ginkgo.It("is refused and not stored if no other gateway reaches the store", func() {
		fixture, disconnected, _ := start(false)
		expectRefused(disconnected.Submit(context.Background(), fixture.spec("job", 4)), agatestage.CodeStore, agatestage.RanNo)
		_, err := fixture.store.Get(context.Background(), "batch/head/job")
		gomega.Expect(errors.Is(err, agatestage.ErrNotFound)).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("a gateway that doesn't follow the heads", func() {
	// startBoth starts a gateway that follows the heads and one that doesn't, which are
	// connected, and returns their managers.
	startBoth := func(fixture *fixture, options ...batch.Option) (watching, other *batch.Manager) {
		peers := &fakePeers{managers: make(map[string]*batch.Manager)}
		watching, _ = fixture.start(first, batch.WithPeers(peers))
		duty := feeds.NewDuty()
		duty.Set(false)
		blind := *fixture
		blind.fakeFleet = &fakeFleet{notWatching: true}
		blind.fakeFleet.setAlive(first, second)
		// It knows from the renewals of its lease that the store answers.
		clock := agatestage.SystemClock()
		health := feeds.NewStoreHealth(clock)
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go func() {
			_ = ticks.Every(ctx, clock, 100*time.Millisecond, func(context.Context) { health.RecordRenewal(nil) })
		}()
		other, _ = blind.start(second, append(options, batch.WithPeers(peers), batch.WithDuty(duty), batch.WithStoreHealth(health))...)
		peers.register(first.Name, watching)
		peers.register(second.Name, other)
		return watching, other
	}
	ginkgo.It("takes over the job of a lost gateway when it is told to", func() {
		fixture := newFixture()
		lost := batch.Gateway{Name: "lost", Instance: "lost-process", Region: first.Region}
		fixture.fakeFleet.setAlive(first, second, lost)
		gone, kill := fixture.start(lost)
		_, other := startBoth(fixture)
		fixture.fakeRunner.hold = make(chan struct{})
		var specs []batch.Spec
		for i := range 6 {
			specs = append(specs, fixture.spec(fmt.Sprint("job-", i), 1))
			gomega.Expect(gone.Submit(context.Background(), specs[i])).To(gomega.Succeed())
		}
		kill()
		fixture.fakeFleet.setAlive(first, second)
		close(fixture.fakeRunner.hold)
		owners := make(map[string]bool)
		for _, spec := range specs {
			expectDone(other, spec)
			for _, name := range []string{first.Name, second.Name} {
				if strings.Contains(fixture.head(spec.ID), `"Owner":"`+name+`"`) {
					owners[name] = true
				}
			}
		}
		gomega.Expect(owners).To(gomega.HaveLen(2))
	})
	ginkgo.It("runs a job that it owns though the message that said so was lost", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		startBoth(fixture)
		spec := fixture.spec("job", 2)
		// A third gateway, which reaches no other, places the job at the second one.
		crowded := first
		crowded.Name, crowded.Instance, crowded.Backlog, crowded.Slots = "crowded", "crowded-process", 100, 1
		idle := second
		idle.Slots = 10
		third := *fixture
		third.fakeFleet = &fakeFleet{}
		third.fakeFleet.setAlive(crowded, idle)
		submitting, _ := third.start(crowded)
		gomega.Expect(submitting.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Expect(fixture.head(spec.ID)).To(gomega.ContainSubstring(`"Owner":"` + second.Name + `"`))
		fixture.fakeFleet.setAlive(first, second, crowded)
		expectDone(submitting, spec)
	})
	ginkgo.It("stops a job that another gateway has ended though the message that said so was lost", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		_, other := startBoth(fixture)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 1)
		gomega.Expect(other.Submit(context.Background(), spec)).To(gomega.Succeed())
		alone, _ := fixture.start(batch.Gateway{Name: "alone", Instance: "alone-process", Region: first.Region})
		gomega.Expect(alone.End(context.Background(), organisation, spec.ID)).To(gomega.Succeed())
		gomega.Eventually(func() bool {
			_, owned := other.AnswerQuery(spec.ID, 0)
			return owned
		}, waitTimeout).Should(gomega.BeTrue())
		gomega.Eventually(func() bool {
			answer, _ := other.AnswerQuery(spec.ID, 0)
			return answer.Head.Open()
		}, waitTimeout).Should(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("a job that has ended before a gateway lists the heads", func() {
	// Guards against a job that goes on at an owner which doesn't follow the heads, as the message about its end was lost.
	ginkgo.It("is stopped at its owner", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		peers, duty := &fakePeers{managers: make(map[string]*batch.Manager)}, feeds.NewDuty()
		duty.Set(false)
		blind := *fixture
		blind.fakeFleet = &fakeFleet{notWatching: true}
		blind.fakeFleet.setAlive(first, second)
		owner, _ := blind.start(second, batch.WithPeers(peers), batch.WithDuty(duty))
		peers.register(second.Name, owner)
		fixture.awaitLists(1)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return fixture.fakeRunner.runCount("job-0") }, waitTimeout).Should(gomega.Equal(1))
		alone, _ := fixture.start(batch.Gateway{Name: "alone", Instance: "alone-process", Region: first.Region})
		gomega.Expect(alone.End(context.Background(), organisation, spec.ID)).To(gomega.Succeed())
		gomega.Expect(fixture.fakeRunner.cancelCount()).To(gomega.BeZero())
		fixture.start(first, batch.WithPeers(peers))
		gomega.Eventually(fixture.fakeRunner.cancelCount, waitTimeout).Should(gomega.Equal(1))
	})
})

var _ = ginkgo.Describe("a job whose owner was announced", func() {
	ginkgo.It("is read without a call to the store", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		peers := &fakePeers{managers: make(map[string]*batch.Manager)}
		duty := feeds.NewDuty()
		duty.Set(false)
		owner, _ := fixture.start(first, batch.WithPeers(peers), batch.WithDuty(duty))
		other, _ := fixture.start(second, batch.WithPeers(peers), batch.WithDuty(duty))
		fixture.awaitLists(2)
		peers.register(first.Name, owner)
		spec := fixture.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		other.ReceiveNotes(owner.Notes())
		expectDone(owner, spec)
		reads := fixture.store.Counts().Reads
		page, err := other.Results(context.Background(), organisation, spec.ID, 0, 0, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(page.Results).To(gomega.HaveLen(2))
		gomega.Expect(fixture.store.Counts().Reads).To(gomega.Equal(reads))
		_, err = other.Results(context.Background(), "another organisation", spec.ID, 0, 0, nil)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
