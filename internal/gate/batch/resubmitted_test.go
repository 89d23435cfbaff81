package batch_test

import (
	"context"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
)

// slowStore holds each commit until it is released, and fails all reads but the first ones.
type slowStore struct {
	*store.Store
	commits chan struct{}
	release chan struct{}
	reads   atomic.Int64
}

// Commit implements agatestage.Transactor.
func (slowStore *slowStore) Commit(ctx context.Context, conditions []agatestage.Condition, writes []agatestage.Write) (uint64, error) {
	slowStore.commits <- struct{}{}
	<-slowStore.release
	return slowStore.Store.Commit(ctx, conditions, writes)
}

// Get implements agatestage.Store.
func (slowStore *slowStore) Get(ctx context.Context, key string) (agatestage.Record, error) {
	if slowStore.reads.Add(-1) < 0 {
		return agatestage.Record{}, errors.New("no reply")
	}
	return slowStore.Store.Get(ctx, key)
}

var _ = ginkgo.Describe("a job that is submitted again", func() {
	ginkgo.It("isn't refused as never kept while its first submission is written", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		slow := &slowStore{Store: fixture.store, commits: make(chan struct{}, 9), release: make(chan struct{})}
		fixture.front = slow
		owner, _ := fixture.start(first, blind())
		spec := fixture.spec("job", 1)
		submitted := make(chan error, 1)
		go func() { submitted <- owner.Submit(context.Background(), spec) }()
		gomega.Eventually(slow.commits, waitTimeout).Should(gomega.Receive())
		expectRefused(owner.Submit(context.Background(), spec), agatestage.CodeStore, agatestage.RanUnknown)
		close(slow.release)
		gomega.Eventually(submitted, waitTimeout).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
	})
	ginkgo.It("isn't refused as never kept if another gateway has written it and it can't be read", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first, second)
		spec := fixture.spec("job", 1)
		slow := &slowStore{Store: fixture.store, commits: make(chan struct{}, 9), release: make(chan struct{})}
		close(slow.release)
		// The read that shows a conflict succeeds.
		slow.reads.Store(1)
		unread := *fixture
		unread.front = slow
		other, _ := unread.start(second, blind())
		fixture.awaitLists(1)
		owner, _ := fixture.start(first, blind())
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		expectRefused(other.Submit(context.Background(), spec), agatestage.CodeStore, agatestage.RanUnknown)
	})
})
