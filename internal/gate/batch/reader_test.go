package batch_test

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/gate/relay"
)

// heldStore holds back reads of chosen keys, each key's reads by number, and the replies
// to commits of results.
type heldStore struct {
	*store.Store
	mutex   sync.Mutex
	reads   map[string]int
	hold    func(key string, read int) <-chan struct{}
	replies chan struct{}
}

// Get implements agatestage.Store.
func (heldStore *heldStore) Get(ctx context.Context, key string) (agatestage.Record, error) {
	heldStore.mutex.Lock()
	heldStore.reads[key]++
	var held <-chan struct{}
	if heldStore.hold != nil {
		held = heldStore.hold(key, heldStore.reads[key])
	}
	heldStore.mutex.Unlock()
	if held != nil {
		<-held
	}
	return heldStore.Store.Get(ctx, key)
}

// Commit implements agatestage.Transactor.
func (heldStore *heldStore) Commit(ctx context.Context, conditions []agatestage.Condition, writes []agatestage.Write) (uint64, error) {
	version, err := heldStore.Store.Commit(ctx, conditions, writes)
	if len(writes) > 1 && writes[1].Key == "batch/chunk/job/00000" && heldStore.replies != nil {
		<-heldStore.replies
	}
	return version, err
}

func (heldStore *heldStore) readCount(key string) int {
	heldStore.mutex.Lock()
	defer heldStore.mutex.Unlock()
	return heldStore.reads[key]
}

// stalePeers answers queries with one answer.
type stalePeers struct {
	fakePeers
	answer batch.Answer
}

// QueryJob implements batch.Peers.
func (stalePeers *stalePeers) QueryJob(context.Context, string, string, int) (batch.Answer, bool) {
	return stalePeers.answer, true
}

// blind is the option for a gateway that doesn't follow the heads.
func blind() batch.Option {
	duty := feeds.NewDuty()
	duty.Set(false)
	return batch.WithDuty(duty)
}

var _ = ginkgo.Describe("results that were read from the store", func() {
	ginkgo.It("are shown where another read of an older head ends first", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, _ := fixture.start(first, blind())
		fixture.fakeRunner.script = yieldSecond
		fixture.fakeRunner.holdRepeats = make(chan struct{})
		spec := fixture.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return len(results(owner, spec.ID).Results) }, waitTimeout).Should(gomega.Equal(1))
		older, newer := make(chan struct{}), make(chan struct{})
		held := &heldStore{Store: fixture.store, reads: make(map[string]int), hold: func(key string, read int) <-chan struct{} {
			switch {
			case key == "batch/chunk/job/00000" && read == 1:
				return older
			case key == "batch/chunk/job/00001":
				return newer
			}
			return nil
		}}
		fixture.front = held
		reader, _ := fixture.start(second, blind())
		read := func() <-chan batch.Page {
			pages := make(chan batch.Page, 1)
			go func() {
				page, _ := reader.Results(context.Background(), organisation, spec.ID, 0, 0, nil)
				pages <- page
			}()
			return pages
		}
		olderPages := read()
		gomega.Eventually(func() int { return held.readCount("batch/chunk/job/00000") }, waitTimeout).Should(gomega.Equal(1))
		close(fixture.fakeRunner.holdRepeats)
		expectDone(owner, spec)
		// Until then the reader relies on the heads that it listed when it started.
		time.Sleep(observeTime)
		newerPages := read()
		gomega.Eventually(func() int { return held.readCount("batch/chunk/job/00001") }, waitTimeout).Should(gomega.Equal(1))
		close(older)
		gomega.Expect((<-olderPages).Results).NotTo(gomega.BeEmpty())
		close(newer)
		gomega.Expect((<-newerPages).Results).To(gomega.HaveLen(2))
	})
	ginkgo.It("are all shown, from the beginning again, by a gateway that isn't sent newer heads", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		peers := &fakePeers{managers: make(map[string]*batch.Manager)}
		owner, _ := fixture.start(first, blind(), batch.WithPeers(peers))
		peers.register(first.Name, owner)
		reader, _ := fixture.start(second, blind(), batch.WithPeers(peers))
		fixture.awaitLists(2)
		fixture.fakeRunner.script = yieldSecond
		fixture.fakeRunner.holdRepeats = make(chan struct{})
		spec := fixture.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return len(results(reader, spec.ID).Results) }, waitTimeout).Should(gomega.Equal(1))
		close(fixture.fakeRunner.holdRepeats)
		expectDone(owner, spec)
		gomega.Eventually(func() int { return len(results(reader, spec.ID).Results) }, waitTimeout).Should(gomega.Equal(2))
	})
	ginkgo.It("are shown though the answer of the owner is older than the head", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, _ := fixture.start(first)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		peers := &stalePeers{}
		peers.answer, _ = owner.AnswerQuery(spec.ID, 0)
		close(fixture.fakeRunner.hold)
		expectDone(owner, spec)
		reader, _ := fixture.start(second, batch.WithPeers(peers))
		gomega.Eventually(func() int { return len(results(reader, spec.ID).Results) }, waitTimeout).Should(gomega.Equal(1))
	})
	ginkgo.It("are shown by their owner though the reply to its write doesn't come", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		held := &heldStore{Store: fixture.store, reads: make(map[string]int), replies: make(chan struct{})}
		ginkgo.DeferCleanup(func() { close(held.replies) })
		reader, _ := fixture.start(second, blind())
		fixture.front = held
		owner, _ := fixture.start(first, blind())
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return len(results(reader, spec.ID).Results) }, waitTimeout).Should(gomega.Equal(1))
		gomega.Eventually(func() int { return len(results(owner, spec.ID).Results) }, 3*observeTime).Should(gomega.Equal(1))
	})
})

// yieldSecond is a script by which the first run of the item job-1 is preempted.
func yieldSecond(item string, run int) relay.Result {
	if item == "job-1" {
		return yieldFirst(item, run)
	}
	return relay.Result{Status: 200}
}
