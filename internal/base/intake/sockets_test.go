package intake

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// newCrowded returns a pool in which the kernel could keep more for half of the connections than the pool has.
func newCrowded(t *testing.T) *fixture {
	fixture := newFixture(t)
	fixture.sizes.Socket = 32 << 10
	return fixture
}

// openQueued opens connections for each of which the kernel keeps that many bytes.
func (fixture *fixture) openQueued(count int, bytes int64) (holds []*Hold) {
	for i := range count {
		hold := fixture.open(fmt.Sprint(i), crowdAddress)
		hold.SetSockets(func() int64 { return bytes })
		holds = append(holds, hold)
	}
	return holds
}

func TestSocketsOfManyConnectionsAreCounted(t *testing.T) {
	fixture := newCrowded(t)
	holds := fixture.openQueued(20, 50<<10)
	fixture.Expect(fixture.measure()).To(gomega.BeTrue())
	fixture.Expect(fixture.used).To(gomega.BeEquivalentTo(20 * (ConnBytes + 50<<10)))
	for _, hold := range holds {
		hold.Close()
	}
	fixture.Expect([]int64{fixture.used, fixture.sockets}).To(gomega.Equal([]int64{0, 0}))
}

// Guards against system calls for the connections of usual callers.
func TestSocketsOfFewConnectionsAreNotMeasured(t *testing.T) {
	fixture := newCrowded(t)
	fixture.openQueued(10, 50<<10)
	fixture.Expect(fixture.measure()).To(gomega.BeFalse())
	fixture.Expect(fixture.sockets).To(gomega.BeZero())
}

// Guards against sockets that take more than the pool has, with requests that hold little of it.
func TestConnectionsWithMostInSocketsAreDropped(t *testing.T) {
	fixture := newCrowded(t)
	caller := fixture.open("caller", callerAddress)
	fixture.openQueued(24, 200<<10)
	fixture.measure()
	fixture.Expect(fixture.used).To(gomega.BeNumerically("<=", poolBytes))
	fixture.Expect(len(fixture.dropped)).To(gomega.And(gomega.BeNumerically(">", 2), gomega.BeNumerically("<", 12)))
	fixture.Expect(caller.Dropped()).To(gomega.BeFalse())
}

func TestRunningRequestIsNotDroppedForItsSocket(t *testing.T) {
	fixture := newCrowded(t)
	for _, hold := range fixture.openQueued(24, 200<<10) {
		hold.Finish()
	}
	fixture.measure()
	fixture.Expect(fixture.dropped).To(gomega.BeEmpty())
}

func TestWatchMeasuresOnceThereAreMany(t *testing.T) {
	fixture := newCrowded(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- fixture.Watch(ctx) }()
	fixture.openQueued(20, 1<<10)
	fixture.Eventually(func() int64 {
		fixture.mutex.Lock()
		defer fixture.mutex.Unlock()
		return fixture.sockets
	}, "10s").Should(gomega.BeNumerically(">", 0))
	cancel()
	fixture.Eventually(ended, "10s").Should(gomega.Receive())
}

func TestOnlyAFreePoolGivesWideBuffers(t *testing.T) {
	fixture := newCrowded(t)
	upload := fixture.open("upload", callerAddress)
	fixture.Expect([]bool{upload.Widen(), upload.Widen()}).To(gomega.Equal([]bool{true, false}))
	// Each may keep three quarters of a megabyte, of two.
	fixture.Expect([]bool{fixture.open("second", callerAddress).Widen(), fixture.open("third", callerAddress).Widen()}).To(gomega.Equal([]bool{true, false}))
	upload.Next()
	fixture.Expect(fixture.wide).To(gomega.Equal(1))
	fixture.openWith("large", crowdAddress, 3<<20)
	fixture.Expect(upload.Widen()).To(gomega.BeFalse())
}

// Guards against descriptors that a crowd of unfinished requests has beside the bound, as dropped
// ones are closed by their own goroutines.
func TestDroppedConnectionsThatAreStillOpenAreBounded(t *testing.T) {
	fixture := newFixture(t)
	open := 0
	for range 4 * maxConns {
		if _, ok := fixture.Open(crowdAddress, func() {}); ok {
			open++
		}
	}
	fixture.Expect(open).To(gomega.BeNumerically("<=", maxConns+maxConns/endingPart))
}

// Guards against slow readers that keep the memory from all larger requests.
func TestResponseIsDroppedOnceItsReaderTakesLong(t *testing.T) {
	fixture := newFixture(t)
	for i := range 3 {
		reader := fixture.openWith(fmt.Sprint(i), crowdAddress, 1<<20)
		reader.Finish()
		reader.Answer()
	}
	upload := fixture.open("upload", callerAddress)
	fixture.expectShort(upload, 1<<19)
	fixture.Expect(fixture.dropped).To(gomega.BeEmpty())
	fixture.clock.Step(answerTime)
	fixture.expectGrows(upload, 1<<19)
	fixture.Expect(fixture.dropped).To(gomega.Equal([]string{"0"}))
}

func TestWhatTheKernelKeepsOfAResponseIsCountedUntilItIsReceived(t *testing.T) {
	fixture := newCrowded(t)
	unsent := int64(60 << 10)
	reader := fixture.openWith("reader", callerAddress, 200<<10)
	reader.SetSockets(func() int64 { return unsent })
	reader.Finish()
	reader.NextWithSockets()
	fixture.Expect(fixture.used).To(gomega.BeEquivalentTo(ConnBytes + 60<<10))
	fixture.Expect(fixture.measure()).To(gomega.BeTrue())
	unsent = 0
	fixture.Expect(fixture.measure()).To(gomega.BeFalse())
	fixture.Expect(fixture.used).To(gomega.BeEquivalentTo(ConnBytes))
}
