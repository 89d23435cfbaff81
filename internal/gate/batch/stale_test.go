package batch_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/feeds"
)

// startOwners starts an owner that doesn't follow the heads and loses its job to a
// successor, which lists the result. A reader that doesn't follow the heads has read the
// job from the owner before.
func startOwners(fixture *fixture) (owner, reader *batch.Manager, fleet *fakeFleet, spec batch.Spec) {
	ginkgo.GinkgoHelper()
	peers := &fakePeers{managers: make(map[string]*batch.Manager)}
	fleet = &fakeFleet{notWatching: true}
	third := batch.Gateway{Name: "third", Instance: "third-process", Region: first.Region}
	fleet.setAlive(first, second, third)
	duty := feeds.NewDuty()
	duty.Set(false)
	blind := *fixture
	blind.fakeFleet, blind.fakeRunner = fleet, newFakeRunner()
	blind.fakeRunner.hold = make(chan struct{})
	owner, _ = blind.start(first, batch.WithPeers(peers), batch.WithDuty(duty))
	reading := blind
	reading.fakeFleet = &fakeFleet{notWatching: true}
	reading.fakeFleet.setAlive(first, second, third)
	reader, _ = reading.start(third, batch.WithPeers(peers), batch.WithDuty(duty))
	peers.register(first.Name, owner)
	spec = fixture.spec("job", 1)
	gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
	gomega.Expect(results(reader, spec.ID).Results).To(gomega.BeEmpty())
	fleet.setLease("")
	fixture.fakeFleet.setAlive(second)
	successor, _ := fixture.start(second, batch.WithPeers(peers))
	peers.register(second.Name, successor)
	expectDone(successor, spec)
	return owner, reader, fleet, spec
}

// lateStore fails the first commit that gives a job to the second gateway, and executes it
// once late is closed.
type lateStore struct {
	*store.Store
	once     sync.Once
	late     chan struct{}
	executed chan error
}

// Commit implements agatestage.Transactor.
func (lateStore *lateStore) Commit(ctx context.Context, conditions []agatestage.Condition, writes []agatestage.Write) (version uint64, err error) {
	held := false
	if strings.Contains(string(writes[0].Value), `"Owner":"`+second.Name+`"`) {
		lateStore.once.Do(func() { held = true })
	}
	if !held {
		return lateStore.Store.Commit(ctx, conditions, writes)
	}
	go func() {
		<-lateStore.late
		_, err := lateStore.Store.Commit(context.Background(), conditions, writes)
		lateStore.executed <- err
	}()
	return 0, errors.New("no reply")
}

var _ = ginkgo.Describe("a hand-over that the store executes late", func() {
	ginkgo.It("doesn't take the job from its owner, which has gone on with it", func() {
		fixture := newFixture()
		overloaded, idle := first, second
		overloaded.Backlog, overloaded.Slots, idle.Slots = 100, 10, 10
		fixture.fakeFleet.setAlive(overloaded)
		late := &lateStore{Store: fixture.store, late: make(chan struct{}), executed: make(chan error, 1)}
		fixture.front = late
		fixture.fakeRunner.hold = make(chan struct{})
		owner, _ := fixture.start(first, blind())
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return fixture.fakeRunner.runCount("job-0") }, waitTimeout).Should(gomega.Equal(1))
		fixture.fakeFleet.setAlive(overloaded, idle)
		// The job is to move, and runs here again since the write seems to have failed.
		gomega.Eventually(func() int { return fixture.fakeRunner.runCount("job-0") }, waitTimeout).Should(gomega.Equal(2))
		fixture.fakeFleet.setAlive(first, second)
		close(late.late)
		gomega.Eventually(late.executed, waitTimeout).Should(gomega.Receive(gomega.MatchError(agatestage.ErrConflict)))
		close(fixture.fakeRunner.hold)
		expectDone(owner, spec)
	})
})

var _ = ginkgo.Describe("results listed by the next owner of a job", func() {
	ginkgo.It("are shown by a gateway that asks the former owner", func() {
		_, reader, _, spec := startOwners(newFixture())
		gomega.Expect(results(reader, spec.ID).Results).To(gomega.HaveLen(1))
	})
	ginkgo.It("are shown by the former owner", func() {
		owner, _, _, spec := startOwners(newFixture())
		gomega.Expect(results(owner, spec.ID).Results).To(gomega.HaveLen(1))
	})
	ginkgo.It("are shown by the former owner once it has another lease, and its work ends", func() {
		fixture := newFixture()
		owner, reader, fleet, spec := startOwners(fixture)
		fleet.setLease("another")
		gomega.Expect(results(owner, spec.ID).Results).To(gomega.HaveLen(1))
		gomega.Expect(results(reader, spec.ID).Results).To(gomega.HaveLen(1))
		gomega.Eventually(func() bool {
			answer, ok := owner.AnswerQuery(spec.ID, 0)
			return ok && answer.Head.Open()
		}, waitTimeout).Should(gomega.BeFalse())
	})
	ginkgo.It("can't exist while the store is out for all, so that the owner answers beyond its lease", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		owner, _ := fixture.start(first, blind())
		fixture.awaitLists(1)
		fixture.fakeRunner.hold = make(chan struct{})
		spec := fixture.spec("job", 1)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		fixture.fakeFleet.setOutage(time.Second)
		fixture.fakeFleet.setLease("")
		reads := fixture.store.Counts().Reads
		gomega.Expect(results(owner, spec.ID).Total).To(gomega.Equal(1))
		_, known := owner.AnswerQuery(spec.ID, 0)
		gomega.Expect(known).To(gomega.BeTrue())
		gomega.Expect(fixture.store.Counts().Reads).To(gomega.Equal(reads))
	})
	ginkgo.It("are not denied by a former owner that has lost the store", func() {
		fixture := newFixture()
		owner, _, fleet, spec := startOwners(fixture)
		hearing := second
		hearing.Hears = true
		fleet.setAlive(first, hearing)
		fleet.setOutage(time.Minute)
		_, err := owner.Results(context.Background(), organisation, spec.ID, 0, 0, nil)
		expectRefused(err, agatestage.CodeStore, agatestage.RanNo)
	})
})
