// Package gossip is what gateways tell one another: the calls that each has at
// the targets, the version of the configuration, and the requests that take
// targets down.
//
// Everything told is soft: it is sent again soon, and a gateway that isn't heard
// for a while counts as gone. A gateway to which the store is silent takes the
// configuration and the list of targets from one that hears it.
package gossip

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/limit/tally"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// askTimeout bounds one exchange.
	askTimeout = 500 * time.Millisecond
	// aliveFor is how long a gateway counts as alive after it was heard.
	aliveFor = 2500 * time.Millisecond
	// forgetAfter is how long a gateway that isn't a member is still asked.
	forgetAfter = 15 * time.Second
	// goneAfter is how long a gateway that isn't a member must have been silent
	// before its work is taken over.
	goneAfter = 3500 * time.Millisecond
	// admitFor is how long a gateway that isn't heard keeps its part of the
	// organisations' rates. It may be cut off from this one only.
	admitFor = 6 * time.Second
	// listPeriod is the least time between two questions for the list of targets, which
	// is taken off the seconds that a leaving target still serves.
	listPeriod = 300 * time.Millisecond
	// silentFor is how long the store must have failed before its records are
	// taken from another gateway.
	silentFor = 400 * time.Millisecond
)

// Source is what a gateway tells of itself and takes from others.
type Source interface {
	// Held returns the calls that it has at each target, Hear takes another's.
	Held() map[string]sched.Held
	Hear(gateway string, held map[string]sched.Held)
	// HearGuest takes what another gateway has at a target that is home here.
	HearGuest(gateway, target string, held sched.Held)
	// Backlog returns its batch calls and the slots that online calls leave them.
	Backlog() (calls, slots int)
	// Counts returns what it has admitted, of all organisations or only of those
	// that are near their limits; HearCounts takes another's.
	Counts(all bool) map[string]tally.Count
	HearCounts(gateway, instance string, counts map[string]tally.Count)
	// Version returns the version of the configuration in force.
	Version() uint64
	// Silent returns for how long the store has failed here.
	StoreOutage() time.Duration
	// StoreReturned is called when another gateway hears the store again.
	StoreReturned()
	// Config returns the configuration as operators wrote it; OfferConfig takes
	// another gateway's.
	Config() []byte
	OfferConfig(data []byte)
	// Targets returns the records of the list of targets, TargetsDigest a number that
	// differs between different lists; OfferTargets takes another gateway's.
	Targets() []agatestage.Record
	TargetsDigest() uint64
	OfferTargets(records []agatestage.Record)
	// Strike takes a strike that another gateway has seen.
	Strike(strike blame.Strike)
	// Changed is called when the gateways that are alive have changed.
	Changed()
}

// peer is what is known of another gateway.
type peer struct {
	member member.Member
	state  State
	heard  time.Time
	// wasAlive says that the peer was alive when it was last looked at.
	wasAlive bool
	// told and toldAll are when it was last sent a message, and one with the
	// counts of all organisations.
	told    time.Time
	toldAll time.Time
}

// Mesh talks to the other gateways.
type Mesh struct {
	node     *link.Node
	roster   *member.Roster
	instance string
	clock    agatestage.Clock
	source   Source
	mutex    sync.Mutex
	peers    map[string]*peer
	leaving  bool
	asking   map[string]bool
	// listed is when another gateway was last asked for the list of targets.
	listed time.Time
}

// New returns the mesh of one process and registers its exchanges.
func New(node *link.Node, roster *member.Roster, instance string, clock agatestage.Clock, source Source) *Mesh {
	mesh := &Mesh{node: node, roster: roster, instance: instance, clock: clock, source: source, peers: make(map[string]*peer), asking: make(map[string]bool)}
	node.Handle(KindState, mesh.serveState)
	node.Handle(KindConfig, mesh.serveConfig)
	node.Handle(KindList, mesh.serveTargets)
	node.Handle(KindStrike, mesh.serveStrike)
	node.Handle(KindGuest, mesh.serveGuest)
	return mesh
}

// Serve talks until ctx ends.
func (mesh *Mesh) Serve(ctx context.Context) error {
	return ticks.Every(ctx, mesh.clock, tick, func(ctx context.Context) {
		mesh.refresh()
		now := mesh.clock.Now()
		for _, due := range mesh.due(now) {
			mesh.tell(ctx, due.member, due.all)
		}
	})
}

// String names the service in logs.
func (mesh *Mesh) String() string {
	return "gateway mesh"
}

// Leave tells the others that this gateway takes no new work.
func (mesh *Mesh) Leave() {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.leaving = true
}

// others returns the gateways to talk to.
func (mesh *Mesh) others() (members []member.Member) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, known := range mesh.peers {
		members = append(members, known.member)
	}
	return members
}

// own returns what this gateway tells, with the counts of all organisations or
// of those near their limits.
func (mesh *Mesh) own(all bool) State {
	mesh.mutex.Lock()
	leaving := mesh.leaving
	mesh.mutex.Unlock()
	self := mesh.roster.Self()
	backlog, slots := mesh.source.Backlog()
	return State{
		Name: self.Name, Instance: mesh.instance, Region: self.Region, Zone: self.Zone, Address: self.Address, Version: mesh.source.Version(),
		Hears: mesh.source.StoreOutage() == 0, Leaving: leaving, Held: mesh.source.Held(),
		Counts: mesh.source.Counts(all), Backlog: backlog, Slots: slots,
	}
}

// tell sends this gateway's state to another, unless an exchange with it is still
// on its way.
func (mesh *Mesh) tell(ctx context.Context, to member.Member, all bool) {
	mesh.mutex.Lock()
	busy := mesh.asking[to.Name]
	mesh.asking[to.Name] = true
	mesh.mutex.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			mesh.mutex.Lock()
			defer mesh.mutex.Unlock()
			delete(mesh.asking, to.Name)
		}()
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		var reply Ack
		if err := mesh.node.Ask(ctx, to.Address, KindState, mesh.own(all), &reply); err != nil {
			klog.V(2).InfoS("gateway not heard", "gateway", to.Name, "error", err.Error())
			return
		}
		mesh.catchUp(ctx, to, reply)
	}()
}

// hear takes another gateway's state. A gateway that the store hasn't told of is
// a new peer: its certificate shows that it is one of the fleet, and this process
// may be cut off from the store.
func (mesh *Mesh) hear(state State) {
	if state.Name == mesh.roster.Self().Name {
		return
	}
	mesh.mutex.Lock()
	known := mesh.peers[state.Name]
	if known == nil {
		klog.InfoS("gateway met before the store told of it", "gateway", state.Name, "instance", state.Instance, "address", state.Address)
		known = &peer{member: member.Member{Name: state.Name, Region: state.Region, Zone: state.Zone, Address: state.Address}}
		mesh.peers[state.Name] = known
	}
	regained := state.Hears && !known.state.Hears && known.state.Name != ""
	known.state, known.heard = state, mesh.clock.Now()
	mesh.mutex.Unlock()
	if regained {
		mesh.source.StoreReturned()
	}
	mesh.source.Hear(state.Name, state.Held)
	mesh.source.HearCounts(state.Name, state.Instance, state.Counts)
}

// catchUp takes what the other knows and this gateway can't learn from the store.
func (mesh *Mesh) catchUp(ctx context.Context, from member.Member, ack Ack) {
	if ack.Version > mesh.source.Version() {
		var data []byte
		if err := mesh.node.Ask(ctx, from.Address, KindConfig, mesh.source.Version(), &data); err != nil {
			klog.InfoS("newer configuration not received", "gateway", from.Name, "version", ack.Version, "error", err.Error())
		} else if len(data) > 0 {
			mesh.source.OfferConfig(data)
		}
	}
	if !ack.Hears || mesh.source.StoreOutage() < silentFor || !mesh.mayList() {
		return
	}
	var list List
	if err := mesh.node.Ask(ctx, from.Address, KindList, mesh.source.TargetsDigest(), &list); err != nil {
		klog.V(1).InfoS("list of targets not received", "gateway", from.Name, "error", err.Error())
		return
	}
	if list.Changed {
		mesh.source.OfferTargets(list.Records)
	}
}

// mayList reports whether another gateway may be asked for the list of targets now.
func (mesh *Mesh) mayList() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	if now.Sub(mesh.listed) < listPeriod {
		return false
	}
	mesh.listed = now
	return true
}
