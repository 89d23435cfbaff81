package claim

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/plat/engine"
	"github.com/agatestage/agatestage/internal/side/slots"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

const (
	// itemSlots is how many items run at a time.
	itemSlots = 16
	// sideMemory is the memory of the users' hosts of targets, in bytes.
	sideMemory = 216 << 20
	// largeBytes is the size of a large, sound answer.
	largeBytes = 8 << 20
)

// newPuller returns a puller for a target that answers calls with the handler.
func newPuller(t *testing.T, answer http.HandlerFunc) *Puller {
	t.Helper()
	expect := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			answer(writer, request)
		}
	}))
	t.Cleanup(server.Close)
	clock := agatestage.SystemClock()
	backend := engine.NewService(netip.MustParseAddrPort(server.Listener.Addr().String()))
	target := state.New("target", agatestage.KindService, backend, slots.New(clock, itemSlots, itemSlots, func() {}), clock, func() {})
	target.SetPolicy(model.Target{Name: "target", Services: []string{"service"}, Online: true, Batch: true})
	expect.Expect(target.Probe(context.Background())).To(gomega.BeTrue())
	return New(target, "region", nil, clock, NewMemory())
}

// runAll runs items on all slots at a time and returns their results.
func runAll(puller *Puller, check func(result calls.ItemResult)) {
	var items sync.WaitGroup
	for number := range itemSlots {
		items.Go(func() {
			answer := &collector{hold: puller.memory.Hold()}
			defer answer.hold.Release()
			item := calls.BatchItem{Call: agatestage.Call{ID: fmt.Sprint(number), Service: "service", Method: http.MethodPost, Path: "/call", Batch: true}}
			item.Ref.Item = number
			check(puller.run(context.Background(), item, answer))
		})
	}
	items.Wait()
}

func TestItemWhoseAnswerHasNoEndCountsAsRunAndSendsNothingOfIt(t *testing.T) {
	block := bytes.Repeat([]byte("x"), 32<<10)
	puller := newPuller(t, func(writer http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := writer.Write(block); err != nil {
				return
			}
		}
	})
	var most uint64
	var mutex sync.Mutex
	expect := gomega.NewWithT(t)
	for range 2 {
		runAll(puller, func(result calls.ItemResult) {
			mutex.Lock()
			defer mutex.Unlock()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			most = max(most, memory.HeapAlloc)
			expect.Expect(result.Refusal).NotTo(gomega.BeNil())
			expect.Expect(result.Refusal.Ran).To(gomega.Equal(agatestage.RanUnknown))
			expect.Expect(result.Returned).To(gomega.BeFalse())
			expect.Expect(result.Body).To(gomega.BeEmpty())
		})
	}
	expect.Expect(most).To(gomega.BeNumerically("<", sideMemory))
}

func TestLargeAnswersToItemsAreAllReceivedOneAfterAnotherIfNeedBe(t *testing.T) {
	text := strings.Repeat("x", largeBytes)
	puller := newPuller(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, text) })
	var mutex sync.Mutex
	expect := gomega.NewWithT(t)
	runAll(puller, func(result calls.ItemResult) {
		mutex.Lock()
		defer mutex.Unlock()
		expect.Expect(result.Refusal).To(gomega.BeNil())
		expect.Expect(result.Body).To(gomega.HaveLen(largeBytes))
	})
}
