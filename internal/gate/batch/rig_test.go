package batch_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

// engine plays the targets: it answers each item with what its script says.
type engine struct {
	mutex sync.Mutex
	runs  map[string]int
	after map[string]int64
	// need is what the last run of each item was told to be likely to need.
	need  map[string]time.Duration
	serve func(item string, run int) relay.Result
	hold  chan struct{}
	// pause holds back every run of an item after its first.
	pause chan struct{}
	// events is how many events one run sends.
	events int64
}

func newEngine() *engine {
	return &engine{events: 2, runs: make(map[string]int), after: make(map[string]int64), need: make(map[string]time.Duration), serve: func(string, int) relay.Result {
		return relay.Result{Status: http.StatusOK}
	}}
}

// yieldFirst is a script by which the first run of an item gives way after its events.
func yieldFirst(_ string, run int) relay.Result {
	result := relay.Result{Status: http.StatusOK}
	if run == 1 {
		result.Preempted, result.Refusal = true, agatestage.Refuse(agatestage.CodeYielded, "yielded")
	}
	return result
}

// Serve implements relay.Runner. A run that is answered sends some events more.
func (engine *engine) Serve(ctx context.Context, call *agatestage.Call, plan relay.Plan, sink relay.Sink) relay.Result {
	engine.mutex.Lock()
	engine.runs[call.ID]++
	run, hold := engine.runs[call.ID], engine.hold
	if run > 1 && engine.pause != nil {
		hold = engine.pause
	}
	engine.after[call.ID], engine.need[call.ID] = plan.ResumeAfter, plan.ExpectedDuration
	engine.mutex.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return relay.Result{Refusal: agatestage.Refuse(agatestage.CodeDeadline, "ended")}
		}
	}
	result := engine.serve(call.ID, run)
	if result.Status == http.StatusOK {
		gomega.Expect(sink.Head(http.StatusOK, nil, -1)).To(gomega.Succeed())
		for number := plan.ResumeAfter + 1; number <= plan.ResumeAfter+engine.events; number++ {
			gomega.Expect(sink.Data(fmt.Appendf(nil, "id: %d\ndata: %s-%d\n\n", number, call.ID, number))).To(gomega.Succeed())
			result.LastEventID = number
		}
	}
	return result
}

func (engine *engine) count(item string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.runs[item]
}

func (engine *engine) needed(item string) time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.need[item]
}

// fleet tells a manager which gateways there are.
type fleet struct {
	mutex  sync.Mutex
	alive  []batch.Gateway
	silent time.Duration
}

func (fleet *fleet) Alive() []batch.Gateway {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return append([]batch.Gateway(nil), fleet.alive...)
}

func (fleet *fleet) Gone(name, instance string) bool {
	for _, gateway := range fleet.Alive() {
		if gateway.Name == name {
			return gateway.Instance != instance
		}
	}
	return true
}

func (fleet *fleet) Silent() time.Duration {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.silent
}

// lose sets for how long the store has failed.
func (fleet *fleet) lose(silent time.Duration) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.silent = silent
}

// set replaces the gateways that are alive.
func (fleet *fleet) set(gateways ...batch.Gateway) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.alive = gateways
}

// place is a store, a configuration and the gateways that use them.
type place struct {
	store  *store.Store
	holder *rules.Holder
	engine *engine
	fleet  *fleet
}

func newPlace() *place {
	clock := agatestage.SystemClock()
	place := &place{store: store.New(clock), holder: rules.NewHolder(), engine: newEngine(), fleet: &fleet{}}
	place.configure(1, prefix)
	return place
}

// configure puts a configuration with one batch route in force.
func (place *place) configure(version uint64, prefix string) {
	place.holder.Offer(rules.New(rules.Content{Version: version, Routes: []rules.Route{{
		Name: fmt.Sprint("route-", version), Host: host, Prefix: prefix, Kind: rules.KindBatch, Attempts: attempts,
		Shares: []rules.WeightedService{{Service: "service", Weight: 1}}, Due: time.Minute, GiveUp: time.Hour,
	}}}), "test")
}

// head returns a job's head as it lies in the store.
func (place *place) head(id string) string {
	ginkgo.GinkgoHelper()
	record, err := place.store.Get(context.Background(), "batch/head/"+id)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(record.Value)
}

// peers passes on what gateways tell one another.
type peers struct {
	mutex    sync.Mutex
	managers map[string]*batch.Manager
}

func (peers *peers) manager(name string) *batch.Manager {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.managers[name]
}

// Ask implements batch.Others.
func (peers *peers) Ask(_ context.Context, owner, id string, after int) (batch.Answer, bool) {
	if manager := peers.manager(owner); manager != nil {
		return manager.Tell(id, after)
	}
	return batch.Answer{}, false
}

// Changed implements batch.Others.
func (peers *peers) Changed(owner string, handover batch.Handover) {
	if manager := peers.manager(owner); manager != nil {
		go manager.Changed(handover)
	}
}

// Submit implements batch.Others.
func (peers *peers) Submit(ctx context.Context, gateway string, spec batch.Spec) (agatestage.Record, error) {
	return peers.manager(gateway).Accept(ctx, spec)
}

// link makes managers tell one another.
func (peers *peers) link(name string, manager *batch.Manager) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.managers[name] = manager
}

// start runs a gateway's manager.
func (place *place) start(gateway batch.Gateway, options ...batch.Option) (*batch.Manager, context.CancelFunc) {
	manager := batch.New(gateway, place.store, agatestage.SystemClock(), place.engine, place.holder, place.fleet,
		func(*agatestage.Call) uint64 { return 0 }, options...)
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(func() {
		cancel()
		manager.Close()
	})
	go func() { _ = manager.Serve(ctx) }()
	return manager, func() {
		cancel()
		manager.Close()
	}
}

func (place *place) spec(id string, items int) batch.Spec {
	route, ok := place.holder.Current().Match(host, prefix)
	gomega.Expect(ok).To(gomega.BeTrue())
	spec := batch.Spec{ID: id, Organisation: organisation, Route: route, Host: host, Arrived: time.Now()}
	for i := range items {
		spec.Items = append(spec.Items, batch.Item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: prefix + fmt.Sprint(i), Header: map[string]string{"A": "1", "B": "2", "C": "3"}, Body: []byte{byte(i)},
		})
	}
	return spec
}
