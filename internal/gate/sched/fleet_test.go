package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
)

// The load of the users' larger sheets, on a played clock.
const (
	fleetStep    = 10 * time.Millisecond
	fleetService = "service"
	fleetSlots   = 8
	itemsPerJob  = 10
	onlineWork   = 740 * time.Millisecond
	batchWork    = 5200 * time.Millisecond
	onlineAim    = 300 * time.Millisecond
	readWork     = 40 * time.Millisecond
	peakFor      = 2400 * time.Millisecond
	lullFor      = 3600 * time.Millisecond
	peakFactor   = 1.91
	lullFactor   = 0.391
	zonePeriod   = 100 * time.Millisecond
	nearPeriod   = 200 * time.Millisecond
	farPeriod    = 800 * time.Millisecond
)

// playedCall is a request or an item.
type playedCall struct {
	batch   bool
	arrived time.Time
	left    time.Duration
	runs    int
	// first is when the engine began with it; zero before.
	first  time.Time
	ticket *Ticket
	wait   *waiter
}

// playedEngine runs calls in order of arrival.
type playedEngine struct {
	running []*playedCall
	queue   []*playedCall
}

// playedGateway is one scheduler and its calls.
type playedGateway struct {
	*Scheduler
	name   string
	region string
	weight float64
	batch  []*playedCall
	online []*playedCall
}

// sheet is the load of one of the users' sheets and the fleet that carries it.
type sheet struct {
	name                    string
	zones, perZone, targets int
	onlinePerS, jobsPerS    float64
}

// playedFleet is a whole fleet.
type playedFleet struct {
	sheet
	clock    *clocktest.FakeClock
	random   *rand.Rand
	gateways []*playedGateway
	engines  map[string]*playedEngine
	began    time.Time
	late     int
	served   int
	refused  int
	runs     int
	items    []time.Duration
	notes    []func()
}

func newPlayedFleet(sheet sheet, seed uint64) *playedFleet {
	fleet := &playedFleet{sheet: sheet, clock: clocktest.NewFakeClock(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(seed, seed)), engines: make(map[string]*playedEngine)}
	fleet.began = fleet.clock.Now()
	var endpoints []agatestage.Endpoint
	homes := make(map[string]map[string]bool)
	counts := make(map[int]int)
	for i := range fleet.targets {
		zone := i % fleet.zones
		id := fmt.Sprintf("target-%02d", i)
		endpoints = append(endpoints, agatestage.Endpoint{ID: id, Service: fleetService, Region: fmt.Sprint("region-", zone%2), Zone: fmt.Sprint("zone-", zone), Slots: fleetSlots})
		fleet.engines[id] = &playedEngine{}
		owner := fmt.Sprintf("gateway-%d-%d", zone, counts[zone]%fleet.perZone)
		counts[zone]++
		if homes[owner] == nil {
			homes[owner] = make(map[string]bool)
		}
		homes[owner][id] = true
	}
	for zone := range fleet.zones {
		for i := range fleet.perZone {
			name := fmt.Sprintf("gateway-%d-%d", zone, i)
			region := fmt.Sprint("region-", zone%2)
			gateway := &playedGateway{Scheduler: New(fleet.clock, region, fmt.Sprint("zone-", zone), WithGuest(func(target string, held Held) {
				fleet.notes = append(fleet.notes, func() {
					for _, other := range fleet.gateways {
						if other.name != name && other.homes[target] {
							other.HearGuest(name, target, held)
						}
					}
				})
			})), name: name, region: region, weight: 0.6 + 0.8*fleet.random.Float64()}
			gateway.Apply(endpoints)
			gateway.SetHomes(homes[name])
			fleet.gateways = append(fleet.gateways, gateway)
		}
	}
	return fleet
}

func (fleet *playedFleet) factor() float64 {
	if since := fleet.clock.Since(fleet.began) % (peakFor + lullFor); since >= lullFor {
		return peakFactor
	}
	return lullFactor
}

func (fleet *playedFleet) play(length time.Duration) {
	for end := fleet.clock.Now().Add(length); fleet.clock.Now().Before(end); fleet.clock.Step(fleetStep) {
		fleet.arrive()
		fleet.collect()
		fleet.run()
		fleet.gossip()
	}
}

func (fleet *playedFleet) arrive() {
	now := fleet.clock.Now()
	sum := 0.0
	for _, gateway := range fleet.gateways {
		sum += gateway.weight
	}
	for _, gateway := range fleet.gateways {
		for fleet.random.Float64() < fleet.onlinePerS*fleet.factor()*fleetStep.Seconds()*gateway.weight/sum {
			fleet.offer(gateway, &playedCall{arrived: now, left: onlineWork})
			break
		}
	}
	if fleet.random.Float64() < fleet.jobsPerS*fleetStep.Seconds() {
		fleet.submit()
	}
}

// submit sends a job to a gateway, which gives it to one of its region that has
// clearly less to do.
func (fleet *playedFleet) submit() {
	taker := fleet.gateways[fleet.random.IntN(len(fleet.gateways))]
	least := taker
	load := func(gateway *playedGateway) float64 {
		calls, slots := gateway.Backlog()
		return float64(calls+itemsPerJob) / float64(max(1, slots))
	}
	for _, other := range fleet.gateways {
		if other.region == taker.region && load(other)+0.25 < load(least) {
			least = other
		}
	}
	for range itemsPerJob {
		fleet.offer(least, &playedCall{batch: true, arrived: fleet.clock.Now(), left: batchWork})
	}
}

// offer asks for a slot, and queues the call if there is none now.
func (fleet *playedFleet) offer(gateway *playedGateway, call *playedCall) {
	now := fleet.clock.Now()
	ask := Ask{Service: fleetService, Batch: call.batch, Patience: onlineAim * 7 / 10, Due: call.arrived.Add(due), Need: call.left}
	gateway.mutex.Lock()
	defer gateway.mutex.Unlock()
	entry, waiting := gateway.service(fleetService), newWaiter(ask, now)
	if !entry.before(waiting) {
		if call.ticket = gateway.place(entry, ask, now); call.ticket != nil {
			fleet.send(gateway, call)
			return
		}
	}
	if !call.batch && entry.hopeless(ask, now) != nil {
		fleet.refused++
		return
	}
	call.wait = waiting
	entry.push(waiting)
	if call.batch {
		gateway.batch = append(gateway.batch, call)
	} else {
		gateway.online = append(gateway.online, call)
	}
}

// send puts a call with a ticket at its engine.
func (fleet *playedFleet) send(gateway *playedGateway, call *playedCall) {
	call.runs++
	call.wait = nil
	engine := fleet.engines[call.ticket.Target.ID]
	engine.queue = append(engine.queue, call)
	if call.batch {
		fleet.runs++
		call.left = min(batchWork, call.left+readWork)
		if !slices.Contains(gateway.batch, call) {
			gateway.batch = append(gateway.batch, call)
		}
	} else if !slices.Contains(gateway.online, call) {
		gateway.online = append(gateway.online, call)
	}
}

// collect looks at the calls that wait, and at batch calls that must give way.
func (fleet *playedFleet) collect() {
	now := fleet.clock.Now()
	for _, gateway := range fleet.gateways {
		for _, call := range slices.Clone(append(slices.Clone(gateway.online), gateway.batch...)) {
			if call.wait != nil {
				select {
				case call.ticket = <-call.wait.ticket:
					fleet.send(gateway, call)
				default:
					if !call.batch && now.Sub(call.wait.since) > call.wait.ask.Patience {
						gateway.mutex.Lock()
						gateway.service(fleetService).remove(call.wait)
						gateway.mutex.Unlock()
						fleet.refused++
						gateway.online = slices.DeleteFunc(gateway.online, func(other *playedCall) bool { return other == call })
					}
				}
				continue
			}
			if !call.batch || call.ticket == nil {
				continue
			}
			select {
			case <-call.ticket.Yield():
				engine := fleet.engines[call.ticket.Target.ID]
				same := func(other *playedCall) bool { return other == call }
				engine.running = slices.DeleteFunc(engine.running, same)
				engine.queue = slices.DeleteFunc(engine.queue, same)
				call.ticket.Release(false)
				gateway.batch = slices.DeleteFunc(gateway.batch, same)
				call.ticket = nil
				fleet.offer(gateway, call)
			default:
			}
		}
	}
}

// run lets the engines work for one step.
func (fleet *playedFleet) run() {
	now := fleet.clock.Now()
	ended := make(map[*playedCall]bool)
	for _, engine := range fleet.engines {
		for len(engine.queue) > 0 && len(engine.running) < fleetSlots {
			call := engine.queue[0]
			engine.queue = engine.queue[1:]
			engine.running = append(engine.running, call)
			if call.first.IsZero() {
				call.first = now
				if !call.batch && now.Sub(call.arrived) > onlineAim-readWork {
					fleet.late++
				}
			}
		}
		engine.running = slices.DeleteFunc(engine.running, func(call *playedCall) bool {
			call.left -= fleetStep
			if call.left <= 0 {
				ended[call] = true
			}
			return call.left <= 0
		})
	}
	for _, gateway := range fleet.gateways {
		over := func(call *playedCall) bool {
			if !ended[call] {
				return false
			}
			call.ticket.Release(false)
			if call.batch {
				fleet.items = append(fleet.items, now.Sub(call.arrived))
			} else {
				fleet.served++
			}
			return true
		}
		gateway.online = slices.DeleteFunc(gateway.online, over)
		gateway.batch = slices.DeleteFunc(gateway.batch, over)
	}
}

// gossip tells each gateway's calls to the others when they are due.
func (fleet *playedFleet) gossip() {
	since := fleet.clock.Since(fleet.began)
	for _, note := range fleet.notes {
		note()
	}
	fleet.notes = nil
	for i, from := range fleet.gateways {
		shift := time.Duration(i) * fleetStep
		held := from.Held()
		// It is told with each message.
		from.Backlog()
		for _, to := range fleet.gateways {
			period := farPeriod
			switch {
			case from == to:
				continue
			case from.zone == to.zone:
				period = zonePeriod
			case from.region == to.region:
				period = nearPeriod
			}
			if (since+shift)%period < fleetStep {
				to.Hear(from.name, held)
			}
		}
	}
}

// due is when an item must be done after its submission.
const due = 18 * time.Second

// inTime returns the part of the items done that were done when they were due.
func (fleet *playedFleet) inTime() float64 {
	count := 0
	for _, length := range fleet.items {
		if length <= due {
			count++
		}
	}
	return float64(count) / float64(len(fleet.items))
}

var _ = ginkgo.Describe("a fleet at the load of the users' sheets", func() {
	for _, sheet := range []sheet{
		{name: "4 gateways in each of 6 zones", zones: 6, perZone: 4, targets: 52, onlinePerS: 233, jobsPerS: 3},
		{name: "2 gateways in each of 3 zones", zones: 3, perZone: 2, targets: 18, onlinePerS: 81, jobsPerS: 1.03},
	} {
		ginkgo.It("begins online calls in time and wastes little batch work with "+sheet.name, func() {
			fleet := newPlayedFleet(sheet, 1)
			fleet.play(40 * time.Second)
			// 99 of 100 callers get their first event within the aim, nobody is turned
			// away, and all items are done when they are due.
			gomega.Expect(float64(fleet.late) / float64(fleet.served)).To(gomega.BeNumerically("<=", 0.01))
			gomega.Expect(fleet.refused).To(gomega.BeZero())
			gomega.Expect(fleet.inTime()).To(gomega.Equal(1.0))
			// What is read again when items go on is at most a twentieth of their work.
			again := time.Duration(fleet.runs-len(fleet.items)) * readWork
			gomega.Expect(again).To(gomega.BeNumerically("<=", time.Duration(len(fleet.items))*batchWork/20))
		})
	}
})
