package batch_test

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/relay"
)

// slowReplyStore executes the first write of results at once and replies once it may, unless
// the call is given up before.
type slowReplyStore struct {
	*store.Store
	once    sync.Once
	written chan struct{}
	reply   chan struct{}
	givenUp chan struct{}
}

// Commit implements agatestage.Transactor.
func (slowReplyStore *slowReplyStore) Commit(ctx context.Context, conditions []agatestage.Condition, writes []agatestage.Write) (version uint64, err error) {
	slow := false
	if strings.Contains(string(writes[0].Value), `"Results":1`) {
		slowReplyStore.once.Do(func() { slow = true })
	}
	version, err = slowReplyStore.Store.Commit(ctx, conditions, writes)
	if !slow {
		return version, err
	}
	close(slowReplyStore.written)
	select {
	case <-slowReplyStore.reply:
		return version, err
	case <-ctx.Done():
		close(slowReplyStore.givenUp)
		return 0, ctx.Err()
	}
}

var _ = ginkgo.Describe("a job that moves while its results are written", func() {
	ginkgo.It("lets the write end", func() {
		fixture := newFixture()
		slow := &slowReplyStore{Store: fixture.store, written: make(chan struct{}), reply: make(chan struct{}), givenUp: make(chan struct{})}
		fixture.front = slow
		overloaded, idle := first, second
		overloaded.Slots, idle.Slots, idle.Backlog = 10, 10, 100
		fixture.fakeFleet.setAlive(overloaded, idle)
		fixture.fakeRunner.script = func(item string, run int) relay.Result {
			if item == "job-1" {
				return yieldFirst(item, run)
			}
			return relay.Result{Status: http.StatusOK}
		}
		fixture.fakeRunner.holdRepeats = make(chan struct{})
		sender, _ := fixture.start(first)
		spec := fixture.spec("job", 2)
		gomega.Expect(sender.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(slow.written, waitTimeout).Should(gomega.BeClosed())
		overloaded.Backlog, idle.Backlog = 100, 0
		fixture.fakeFleet.setAlive(overloaded, idle)
		gomega.Eventually(fixture.fakeRunner.cancelCount, waitTimeout).Should(gomega.Equal(1))
		gomega.Consistently(slow.givenUp, observeTime).ShouldNot(gomega.BeClosed())
		close(slow.reply)
		gomega.Eventually(func() string { return fixture.head(spec.ID) }, waitTimeout).Should(gomega.ContainSubstring(`"Owner":"` + second.Name + `"`))
		receiver, _ := fixture.start(second)
		close(fixture.fakeRunner.holdRepeats)
		expectDone(receiver, spec)
		gomega.Expect(fixture.fakeRunner.runCount("job-0")).To(gomega.Equal(1))
	})
})
