// Package trial runs a way of limiting on scripted demand and faults with the
// clock passed in, and scores what it admitted. The ways run their own code; the
// trial only carries their messages and moves the clock.
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
	// step is the resolution of time.
	step = 5 * time.Millisecond
	// controlPeriod is the time between looks at the store, tickPeriod between
	// looks at waiting requests.
	controlPeriod = 250 * time.Millisecond
	renewPeriod   = 750 * time.Millisecond
	tickPeriod    = 20 * time.Millisecond
	// near and far are the delays within a region and between regions.
	near = 2 * time.Millisecond
	far  = 30 * time.Millisecond
	// overhead is the part of a message that isn't its content, in bytes:
	// addresses, the link's framing and its acknowledgement.
	overhead = 90
)

// Way is one entry's part of a way of limiting.
type Way interface {
	agatestage.TokenSource
	// Poll returns the messages to send now.
	Poll() []Message
	// Receive takes a message and returns an answer, or organisations that
	// may have new tokens.
	Receive(message Message) (answer *Message, granted []string)
	// Control follows the store.
	Control(ctx context.Context)
	// Leave prepares a planned stop.
	Leave(ctx context.Context)
}

// Message is what entries send one another.
type Message struct {
	From string
	To   string
	Body any
}

// Entry is one entry of the trial.
type Entry struct {
	Name   string
	Region int
	way    Way
	queue  *queue.Queue
	roster *member.Roster
	// dead entries do nothing any more; paused ones do nothing for a time.
	dead    bool
	paused  bool
	leaving bool
	inbox   []Message
}

// Build makes an entry's part of a way.
type Build func(world *World, entry *Entry) Way

// World is a fleet of entries on one clock.
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

// delivery is a message on its way.
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

// New returns a world with entries, alternately in two regions, that have
// settled for some seconds without demand.
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
	entry.roster = member.New(&gate{Store: world.store, world: world, entry: entry}, world.Clock, self)
	entry.way = world.build(world, entry)
	entry.queue = queue.New(world.Clock, world.Rates, entry.way, world.wait)
	world.Entries = append(world.Entries, entry)
	return entry
}

// Store returns the store as an entry reaches it.
func (world *World) Store(entry *Entry) agatestage.Store {
	return &gate{Store: world.store, world: world, entry: entry}
}

// Hosts returns the host list, which lost entries have left when removed.
func (world *World) Hosts() (hosts []agatestage.Host) {
	for _, entry := range world.Entries {
		if !world.removed[entry.Name] {
			hosts = append(hosts, agatestage.Host{Name: entry.Name, Role: agatestage.RoleEntry})
		}
	}
	return hosts
}

// Cut separates the regions; the store stays with region 0.
func (world *World) Cut(cut bool) { world.cut = cut }

// Outage makes the store fail for all.
func (world *World) Outage(outage bool) {
	world.outage = outage
	world.store.Fail(store.Faults{Outage: outage})
}

// Kill ends an entry without notice.
func (world *World) Kill(entry *Entry) { entry.dead = true }

// Pause stops an entry for a time, with its messages queueing up.
func (world *World) Pause(entry *Entry, paused bool) { entry.paused = paused }

// Drain stops an entry as planned: it takes nothing new and hands over.
func (world *World) Drain(entry *Entry) {
	entry.leaving = true
	entry.way.Leave(context.Background())
	entry.roster.Leave(context.Background())
	entry.dead = true
}

// reaches reports whether two entries can speak.
func (world *World) reaches(from, to *Entry) bool {
	return !to.dead && (!world.cut || from.Region == to.Region)
}

// Entry returns the entry of a name.
func (world *World) Entry(name string) *Entry {
	for _, entry := range world.Entries {
		if entry.Name == name {
			return entry
		}
	}
	return nil
}

// Run advances the clock by d. Each step asks demand how many requests arrive
// where; the faults of a script happen inside demand, as it sees the time.
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
			for _, message := range entry.way.Poll() {
				world.send(entry, message)
			}
		}
	}
}

// control lets the entries follow the store, in a fixed order.
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
		entry.way.Control(ctx)
	}
}

// arrive offers a request to an entry, or to the next live one if the balancer
// has noticed that it is gone.
func (world *World) arrive(entry *Entry, organisation string) {
	for tries := 0; (entry.dead || entry.leaving) && tries < len(world.Entries); tries++ {
		entry = world.Entries[(indexOf(world.Entries, entry)+1)%len(world.Entries)]
	}
	request := world.score.offer(organisation, world.Clock.Now())
	if entry.paused {
		// The connection waits with the paused host and is not counted.
		world.score.drop(request)
		return
	}
	entry.queue.Offer(organisation, func(err error) {
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

// send puts a message on its way.
func (world *World) send(from *Entry, message Message) {
	to := world.Entry(message.To)
	message.From = from.Name
	if to == nil {
		return
	}
	if to != from {
		world.messages++
		// These bodies always encode.
		data, _ := cbor.Marshal(message.Body)
		world.bytes += int64(len(data) + overhead)
	}
	if !world.reaches(from, to) {
		return
	}
	delay := near
	if from.Region != to.Region {
		delay = far
	}
	if from == to {
		delay = 0
	}
	world.pending = append(world.pending, delivery{at: world.Clock.Now().Add(delay), message: message})
}

// deliver hands over the messages that have arrived.
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
	answer, granted := entry.way.Receive(message)
	if answer != nil {
		world.send(entry, *answer)
	}
	for _, organisation := range granted {
		entry.queue.Poke(organisation)
	}
}

// gate is the store as one entry reaches it.
type gate struct {
	agatestage.Store

	world *World
	entry *Entry
}

func (gate *gate) down() bool {
	return gate.world.cut && gate.entry.Region != 0
}

// Get implements agatestage.Store.
func (gate *gate) Get(ctx context.Context, key string) (agatestage.Record, error) {
	if gate.down() {
		return agatestage.Record{}, store.ErrOutage
	}
	return gate.Store.Get(ctx, key)
}

// List implements agatestage.Store.
func (gate *gate) List(ctx context.Context, prefix string) ([]agatestage.Record, uint64, error) {
	if gate.down() {
		return nil, 0, store.ErrOutage
	}
	return gate.Store.List(ctx, prefix)
}

// Swap implements agatestage.Store.
func (gate *gate) Swap(ctx context.Context, key string, version uint64, value []byte, lease agatestage.Lease) (uint64, error) {
	if gate.down() {
		return 0, store.ErrOutage
	}
	return gate.Store.Swap(ctx, key, version, value, lease)
}

// Grant implements agatestage.Store.
func (gate *gate) Grant(ctx context.Context, ttl time.Duration) (agatestage.Lease, error) {
	if gate.down() {
		return "", store.ErrOutage
	}
	return gate.Store.Grant(ctx, ttl)
}

// Renew implements agatestage.Store.
func (gate *gate) Renew(ctx context.Context, lease agatestage.Lease) error {
	if gate.down() {
		return store.ErrOutage
	}
	return gate.Store.Renew(ctx, lease)
}
