package batch_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/batch"
)

const (
	// lineBytes is what a line passes within the time after which a read is given up.
	lineBytes = 4 << 20
	// passTime is how long a read is under way.
	passTime = 20 * time.Millisecond
	// largeItems and largeBytes are the items of a large job and the size of each of their bodies.
	largeItems, largeBytes = 10, 100_000
)

// line is a store behind a line. Reads of inputs and results fail that are under way
// with more than the line passes, and each first read if unsteady is set.
type line struct {
	*store.Store
	unsteady bool
	mutex    sync.Mutex
	underWay int
	most     int
	reads    map[string]int
	// hold, if set, holds back the writes of inputs, each of which writing receives before.
	hold    chan struct{}
	writing chan struct{}
	// reading, if set, receives the key of each read of an input before it goes on.
	reading chan string
}

func newLine(fixture *fixture) *line {
	line := &line{Store: fixture.store, reads: make(map[string]int)}
	fixture.front = line
	return line
}

// Get implements agatestage.Store.
func (line *line) Get(ctx context.Context, key string) (agatestage.Record, error) {
	record, err := line.Store.Get(ctx, key)
	if err != nil || !strings.HasPrefix(key, "batch/input/") {
		return record, err
	}
	if line.reading != nil {
		select {
		case line.reading <- key:
		case <-ctx.Done():
			return agatestage.Record{}, ctx.Err()
		}
	}
	crowded := line.pass(key, len(record.Value))
	timer := time.NewTimer(passTime)
	defer timer.Stop()
	<-timer.C
	if crowded = line.pass(key, -len(record.Value)) || crowded; crowded {
		return agatestage.Record{}, errors.New("the read was given up")
	}
	return record, nil
}

// pass counts the bytes that are under way, and reports whether a read of the key fails.
func (line *line) pass(key string, bytes int) bool {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	line.underWay += bytes
	line.most = max(line.most, line.underWay)
	if bytes > 0 {
		line.reads[key]++
	}
	return line.underWay+max(0, -bytes) > lineBytes || line.unsteady && line.reads[key] == 1
}

// Commit implements agatestage.Transactor.
func (line *line) Commit(ctx context.Context, conditions []agatestage.Condition, writes []agatestage.Write) (uint64, error) {
	if len(writes) > 1 && strings.HasPrefix(writes[1].Key, "batch/input/") && line.hold != nil {
		line.writing <- struct{}{}
		<-line.hold
	}
	return line.Store.Commit(ctx, conditions, writes)
}

// large returns a job with large bodies.
func (fixture *fixture) large(id string) batch.Spec {
	spec := fixture.spec(id, largeItems)
	for i := range spec.Items {
		spec.Items[i].Body = make([]byte, largeBytes)
	}
	return spec
}

// lose submits large jobs to a gateway that is lost before it has run any item.
func (fixture *fixture) lose(jobs int) (specs []batch.Spec) {
	ginkgo.GinkgoHelper()
	fixture.fakeFleet.setAlive(first)
	owner, kill := fixture.start(first)
	fixture.fakeRunner.hold = make(chan struct{})
	for i := range jobs {
		spec := fixture.large(fmt.Sprint("job-", i))
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		specs = append(specs, spec)
	}
	kill()
	close(fixture.fakeRunner.hold)
	fixture.fakeFleet.setAlive(firstAgain)
	return specs
}

// firstAgain is the next process of the first gateway.
var firstAgain = batch.Gateway{Name: first.Name, Instance: first.Instance + "-again", Region: first.Region}

var _ = ginkgo.Describe("a gateway that takes back many large jobs over a narrow line", func() {
	// Guards against inputs that are all read at once, given up before their end and begun again for good.
	ginkgo.It("reads them one after another, and runs them all", func() {
		fixture := newFixture()
		specs := fixture.lose(12)
		line := newLine(fixture)
		again, _ := fixture.start(firstAgain)
		for _, spec := range specs {
			expectDone(again, spec)
		}
		gomega.Expect(line.most).To(gomega.BeNumerically("<", lineBytes))
	})
	ginkgo.It("keeps what it has read of an input when its reading breaks off", func() {
		fixture := newFixture()
		specs := fixture.lose(1)
		line := newLine(fixture)
		line.unsteady = true
		again, _ := fixture.start(firstAgain)
		expectDone(again, specs[0])
		gomega.Expect(line.reads).To(gomega.Equal(map[string]int{"batch/input/job-0/000": 2, "batch/input/job-0/001": 2}))
	})
	ginkgo.It("doesn't run a job that has ended while it was read", func() {
		fixture := newFixture()
		specs := fixture.lose(1)
		line := newLine(fixture)
		line.reading = make(chan string)
		again, _ := fixture.start(firstAgain)
		gomega.Eventually(line.reading, waitTimeout).Should(gomega.Receive())
		gomega.Expect(again.End(context.Background(), organisation, specs[0].ID)).To(gomega.Succeed())
		gomega.Eventually(line.reading, waitTimeout).Should(gomega.Receive())
		before := fixture.fakeRunner.runCount("job-0-0")
		gomega.Consistently(func() int { return fixture.fakeRunner.runCount("job-0-0") }, observeTime).Should(gomega.Equal(before))
		gomega.Expect(line.reading).NotTo(gomega.Receive())
	})
})

var _ = ginkgo.Describe("a gateway that drains while it reads jobs that it has taken back", func() {
	ginkgo.It("leaves them to the others at once", func() {
		fixture := newFixture()
		specs := fixture.lose(3)
		line := newLine(fixture)
		line.reading = make(chan string)
		again, _ := fixture.start(firstAgain)
		gomega.Eventually(line.reading, waitTimeout).Should(gomega.Receive())
		again.Drain(context.Background())
		for _, spec := range specs {
			gomega.Eventually(func() string { return fixture.head(spec.ID) }, waitTimeout).Should(gomega.ContainSubstring(`"Owner":""`))
		}
	})
})

var _ = ginkgo.Describe("a large job that is submitted while the line to the store is taken", func() {
	ginkgo.It("is refused as not run, is not in the store, and is accepted later", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		line := newLine(fixture)
		line.hold, line.writing = make(chan struct{}), make(chan struct{}, 2)
		gateway, _ := fixture.start(first)
		submitted := make(chan error, 1)
		go func() { submitted <- gateway.Submit(context.Background(), fixture.large("first")) }()
		gomega.Eventually(line.writing, waitTimeout).Should(gomega.Receive())
		expectRefused(gateway.Submit(context.Background(), fixture.large("second")), agatestage.CodeStore, agatestage.RanNo)
		_, err := fixture.store.Get(context.Background(), "batch/head/second")
		gomega.Expect(errors.Is(err, agatestage.ErrNotFound)).To(gomega.BeTrue())
		close(line.hold)
		gomega.Eventually(submitted, waitTimeout).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(gateway.Submit(context.Background(), fixture.large("second"))).To(gomega.Succeed())
	})
})
