// Package trial simulates a fleet of entries under scripted demand and faults, and
// scores what a limiting algorithm admits. The algorithms run their own code; the
// simulation only delivers their messages and advances the clock.
package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/limit/queue"
	"github.com/agatestage/agatestage/internal/state/member"
)

const (
	// step is the resolution of the simulated time.
	step = 5 * time.Millisecond
	// controlPeriod is the time between two reads of the store by an entry.
	controlPeriod = 250 * time.Millisecond
	// renewPeriod is the time between two renewals of an entry's lease.
	renewPeriod = 750 * time.Millisecond
	// tickPeriod is the time between two checks of the waiting requests.
	tickPeriod = 20 * time.Millisecond
	// nearLatency and farLatency are the latencies of messages within a region and
	// between regions.
	nearLatency = 2 * time.Millisecond
	farLatency  = 30 * time.Millisecond
	// overheadBytes is the size of a message without its content: addresses, the
	// link's framing and its acknowledgement.
	overheadBytes = 90
)

// Algorithm is one entry's part of a limiting algorithm.
type Algorithm interface {
	agatestage.TokenSource
	// Poll returns the messages to send now.
	Poll() []Message
	// Receive handles a message and returns a reply, or organisations that may have
	// new tokens.
	Receive(message Message) (answer *Message, granted []string)
	// Control reads the store and reconciles with it.
	Control(ctx context.Context)
	// Leave prepares a planned shutdown.
	Leave(ctx context.Context)
}

// Message is a message between two entries.
type Message struct {
	From string
	To   string
	Body any
}

// Entry is one simulated entry.
type Entry struct {
	Name      string
	Region    int
	algorithm Algorithm
	queue     *queue.Queue
	roster    *member.Roster
	// dead says that the entry has stopped for good, paused that it is suspended.
	dead    bool
	paused  bool
	leaving bool
	inbox   []Message
}

// Build returns an entry's part of an algorithm.
type Build func(world *World, entry *Entry) Algorithm

// World is a simulated fleet of entries on one clock.
type World struct {
	Clock    *testing.FakeClock
	Rates    Rates
	Entries  []*Entry
	build    Build
	store    *store.Store
	random   *rand.Rand
	began    time.Time
	pending  []delivery
	cut      bool
	outage   bool
	wait     time.Duration
	score    *Score
	messages int64
	bytes    int64
	removed  map[string]bool
}

// delivery is a message in flight.
type delivery struct {
	at      time.Time
	message Message
}

// Rates is the policy of each organisation. It implements agatestage.RateSource.
type Rates map[string]agatestage.Rate

// Rate implements agatestage.RateSource.
func (rates Rates) Rate(organisation string) (agatestage.Rate, bool) {
	rate, ok := rates[organisation]
	return rate, ok
}

// New returns a world with entries, alternately in two regions, that has run without
// demand for long enough to assign all partitions.
func New(build Build, rates Rates, entries int, wait time.Duration, seed uint64) *World {
	began := time.Unix(1_800_000_000, 0)
	clock := testing.NewFakeClock(began)
	world := &World{
		Clock: clock, Rates: rates, build: build, store: store.New(clock), random: rand.New(rand.NewPCG(seed, seed)),
		began: began, wait: wait, score: newScore(), removed: make(map[string]bool),
	}
	for range entries {
		world.Add()
	}
	const settle = 12 * time.Second
	world.Run(settle, nil)
	world.score = newScore()
	world.messages, world.bytes = 0, 0
	return world
}

// Add starts one more entry.
func (world *World) Add() *Entry {
	number := len(world.Entries)
	entry := &Entry{Name: fmt.Sprintf("entry-%02d", number), Region: number % 2}
	self := member.Member{
		Name: entry.Name, Region: fmt.Sprint(entry.Region), Zone: fmt.Sprint(number % 5),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(number+1)),
	}
	entry.roster = member.New(&storeView{Store: world.store, world: world, entry: entry}, world.Clock, self)
	entry.algorithm = world.build(world, entry)
	entry.queue = queue.New(world.Clock, world.Rates, entry.algorithm, world.wait)
	world.Entries = append(world.Entries, entry)
	return entry
}

// Store returns the store as an entry reaches it.
func (world *World) Store(entry *Entry) agatestage.Store {
	return &storeView{Store: world.store, world: world, entry: entry}
}

// Hosts returns the host list, without the entries that have been removed from it.
func (world *World) Hosts() (hosts []agatestage.Host) {
	for _, entry := range world.Entries {
		if !world.removed[entry.Name] {
			hosts = append(hosts, agatestage.Host{Name: entry.Name, Role: agatestage.RoleEntry})
		}
	}
	return hosts
}

// Cut starts or ends a network partition between the regions. The store stays
// reachable from region 0.
func (world *World) Cut(cut bool) { world.cut = cut }

// Outage starts or ends an outage of the store.
func (world *World) Outage(outage bool) {
	world.outage = outage
	world.store.SetFaults(store.Faults{Outage: outage})
}

// Kill stops an entry without notice.
func (world *World) Kill(entry *Entry) { entry.dead = true }

// Pause suspends or resumes an entry. Its messages queue up while it is suspended.
func (world *World) Pause(entry *Entry, paused bool) { entry.paused = paused }

// Drain shuts an entry down as planned: it takes no new requests and hands its
// partitions over.
func (world *World) Drain(entry *Entry) {
	entry.leaving = true
	entry.algorithm.Leave(context.Background())
	entry.roster.Leave(context.Background())
	entry.dead = true
}

// reaches reports whether a message from one entry reaches another.
func (world *World) reaches(from, to *Entry) bool {
	return !to.dead && (!world.cut || from.Region == to.Region)
}

// Entry returns the entry with a name, or nil.
func (world *World) Entry(name string) *Entry {
	for _, entry := range world.Entries {
		if entry.Name == name {
			return entry
		}
	}
	return nil
}

// Run advances the clock by d. Each step calls demand, which offers the requests
// that arrive and, as it is passed the time, also starts and ends faults.
func (world *World) Run(d time.Duration, demand func(since time.Duration, arrive func(entry *Entry, organisation string))) {
	start := world.Clock.Now()
	for world.Clock.Since(start) < d {
		world.Clock.Step(step)
		elapsed := world.Clock.Since(world.began)
		world.deliver()
		if elapsed%controlPeriod == 0 {
			world.control(elapsed)
		}
		if demand != nil {
			demand(world.Clock.Since(start), world.arrive)
		}
		for _, entry := range world.Entries {
			if entry.dead || entry.paused {
				continue
			}
			if elapsed%tickPeriod == 0 {
				entry.queue.Tick()
			}
			for _, message := range entry.algorithm.Poll() {
				world.send(entry, message)
			}
		}
	}
}

// control makes the entries read the store, in a fixed order.
func (world *World) control(elapsed time.Duration) {
	ctx := context.Background()
	for _, entry := range world.Entries {
		if entry.dead || entry.paused {
			continue
		}
		if elapsed%renewPeriod == 0 {
			_ = entry.roster.Renew(ctx)
		}
		_ = entry.roster.Refresh(ctx)
		entry.algorithm.Control(ctx)
	}
}

// arrive offers a request to an entry, or to the next live one if the entry is dead
// or leaving, as a load balancer would.
func (world *World) arrive(entry *Entry, organisation string) {
	for tries := 0; (entry.dead || entry.leaving) && tries < len(world.Entries); tries++ {
		entry = world.Entries[(indexOf(world.Entries, entry)+1)%len(world.Entries)]
	}
	request := world.score.offer(organisation, world.Clock.Now())
	if entry.paused {
		// The connection waits for the suspended host, so the request isn't scored.
		world.score.drop(request)
		return
	}
	entry.queue.Offer(organisation, world.wait, func(err error) {
		world.score.decide(request, world.Clock.Now(), err == nil)
	})
}

func indexOf(entries []*Entry, wanted *Entry) int {
	for i, entry := range entries {
		if entry == wanted {
			return i
		}
	}
	return 0
}

// send queues a message for delivery after its latency, and counts it unless the
// entry sends it to itself.
func (world *World) send(from *Entry, message Message) {
	to := world.Entry(message.To)
	message.From = from.Name
	if to == nil {
		return
	}
	if to != from {
		world.messages++
		// The encoding of these bodies doesn't fail.
		data, _ := cbor.Marshal(message.Body)
		world.bytes += int64(len(data) + overheadBytes)
	}
	if !world.reaches(from, to) {
		return
	}
	delay := nearLatency
	if from.Region != to.Region {
		delay = farLatency
	}
	if from == to {
		delay = 0
	}
	world.pending = append(world.pending, delivery{at: world.Clock.Now().Add(delay), message: message})
}

// deliver delivers the messages whose latency has passed.
func (world *World) deliver() {
	now := world.Clock.Now()
	due := world.pending
	world.pending = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
	for _, delivery := range due {
		if delivery.at.After(now) {
			world.pending = append(world.pending, delivery)
			continue
		}
		to := world.Entry(delivery.message.To)
		if to == nil || !world.reaches(world.Entry(delivery.message.From), to) {
			continue
		}
		to.inbox = append(to.inbox, delivery.message)
	}
	for _, entry := range world.Entries {
		if entry.dead || entry.paused {
			continue
		}
		inbox := entry.inbox
		entry.inbox = nil
		for _, message := range inbox {
			world.receive(entry, message)
		}
	}
}

func (world *World) receive(entry *Entry, message Message) {
	answer, granted := entry.algorithm.Receive(message)
	if answer != nil {
		world.send(entry, *answer)
	}
	for _, organisation := range granted {
		entry.queue.Dispatch(organisation)
	}
}

// storeView is the store as one entry reaches it.
type storeView struct {
	agatestage.Store

	world *World
	entry *Entry
}

func (storeView *storeView) unreachable() bool {
	return storeView.world.cut && storeView.entry.Region != 0
}

// Get implements agatestage.Store.
func (storeView *storeView) Get(ctx context.Context, key string) (agatestage.Record, error) {
	if storeView.unreachable() {
		return agatestage.Record{}, store.ErrOutage
	}
	return storeView.Store.Get(ctx, key)
}

// List implements agatestage.Store.
func (storeView *storeView) List(ctx context.Context, prefix string) ([]agatestage.Record, uint64, error) {
	if storeView.unreachable() {
		return nil, 0, store.ErrOutage
	}
	return storeView.Store.List(ctx, prefix)
}

// Swap implements agatestage.Store.
func (storeView *storeView) Swap(ctx context.Context, key string, version uint64, value []byte, lease agatestage.Lease) (uint64, error) {
	if storeView.unreachable() {
		return 0, store.ErrOutage
	}
	return storeView.Store.Swap(ctx, key, version, value, lease)
}

// Grant implements agatestage.Store.
func (storeView *storeView) Grant(ctx context.Context, ttl time.Duration) (agatestage.Lease, error) {
	if storeView.unreachable() {
		return "", store.ErrOutage
	}
	return storeView.Store.Grant(ctx, ttl)
}

// Renew implements agatestage.Store.
func (storeView *storeView) Renew(ctx context.Context, lease agatestage.Lease) error {
	if storeView.unreachable() {
		return store.ErrOutage
	}
	return storeView.Store.Renew(ctx, lease)
}
