// Package gossip exchanges state between gateways: the calls that each has at the
// targets, the version of the configuration, and the requests that crash targets.
//
// All of it is soft state: it is sent periodically, and a gateway whose state has not
// arrived for a while is considered lost. (A gateway is heard when its state arrives.) A
// gateway that can't reach the store gets the configuration and the list of targets from
// one that can.
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
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 500 * time.Millisecond
	// aliveTimeout is how long a gateway is considered alive after it was last heard.
	aliveTimeout = 2500 * time.Millisecond
	// forgetAfter is how long messages are still sent to a gateway that is no longer a
	// member and isn't heard.
	forgetAfter = 15 * time.Second
	// takeOverAfter is how long a gateway that isn't a member must not have been heard
	// before its work is taken over.
	takeOverAfter = 3500 * time.Millisecond
	// admissionTimeout is how long a gateway that isn't heard keeps its share of the
	// organisations' rates, as it may be cut off from this one only.
	admissionTimeout = 6 * time.Second
	// targetListPeriod is the minimum time between two requests for the list of targets.
	// It delays the news that a target is draining, which then serves for only a few more
	// seconds.
	targetListPeriod = 300 * time.Millisecond
	// storeOutageThreshold is how long the store must have been failing before its
	// records are requested from another gateway.
	storeOutageThreshold = 400 * time.Millisecond
)

// Source provides the state that a gateway sends and consumes what it receives.
type Source interface {
	// Held returns the calls of this gateway at each target; ReceiveHeld receives those
	// of another gateway.
	Held() map[string]sched.Held
	ReceiveHeld(gateway string, held map[string]sched.Held)
	// ReceiveGuestCalls receives the calls of another gateway at a target whose home is
	// this one.
	ReceiveGuestCalls(gateway, target string, held sched.Held)
	// Backlog returns the number of this gateway's batch calls and of the slots that
	// online calls leave to them.
	Backlog() (calls, slots int)
	// Counts returns the requests that this gateway has admitted, for all organisations
	// or only for those near their limits; ReceiveCounts receives those of another.
	Counts(all bool) map[string]tally.Count
	ReceiveCounts(gateway, instance string, counts map[string]tally.Count)
	// Version returns the version of the configuration in force.
	Version() uint64
	// StoreOutage returns how long the store has been failing for this gateway, or zero.
	StoreOutage() time.Duration
	// StoreRecovered is called when another gateway reaches the store again.
	StoreRecovered()
	// Config returns the configuration as operators wrote it; OfferConfig receives that
	// of another gateway.
	Config() []byte
	OfferConfig(data []byte)
	// Targets returns the records of the list of targets, TargetsDigest a digest of
	// them; OfferTargets receives the records of another gateway.
	Targets() []agatestage.Record
	TargetsDigest() uint64
	OfferTargets(records []agatestage.Record)
	// Strike receives a strike that another gateway has recorded.
	Strike(strike blame.Strike)
	// GatewaysChanged is called when the set of live gateways has changed.
	GatewaysChanged()
}

// peer is what is known of another gateway.
type peer struct {
	member    member.Member
	state     State
	lastHeard time.Time
	// wasAlive is whether the peer was alive at the last updateAlive.
	wasAlive bool
	// lastSent is when the peer was last sent a message, lastSentAll when it was last
	// sent one with the counts of all organisations.
	lastSent    time.Time
	lastSentAll time.Time
}

// Mesh exchanges state with the other gateways.
type Mesh struct {
	node     *link.Node
	roster   *member.Roster
	instance string
	clock    agatestage.Clock
	source   Source
	mutex    sync.Mutex
	peers    map[string]*peer
	leaving  bool
	inFlight map[string]bool
	// lastListRequest is when the list of targets was last requested.
	lastListRequest time.Time
}

// New returns the Mesh of one process and registers its handlers at the node.
func New(node *link.Node, roster *member.Roster, instance string, clock agatestage.Clock, source Source) *Mesh {
	mesh := &Mesh{node: node, roster: roster, instance: instance, clock: clock, source: source, peers: make(map[string]*peer), inFlight: make(map[string]bool)}
	node.Handle(KindState, mesh.serveState)
	node.Handle(KindConfig, mesh.serveConfig)
	node.Handle(KindList, mesh.serveTargets)
	node.Handle(KindStrike, mesh.serveStrike)
	node.Handle(KindGuest, mesh.serveGuest)
	return mesh
}

// Serve sends this gateway's state to the others until ctx ends.
func (mesh *Mesh) Serve(ctx context.Context) error {
	return ticks.Every(ctx, mesh.clock, sendTick, func(ctx context.Context) {
		mesh.refreshPeers()
		now := mesh.clock.Now()
		for _, due := range mesh.due(now) {
			mesh.sendState(ctx, due.member, due.all)
		}
	})
}

// String names the service in logs.
func (mesh *Mesh) String() string {
	return "gateway mesh"
}

// Leave marks this gateway as leaving in the state that it sends: it accepts no new
// work.
func (mesh *Mesh) Leave() {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.leaving = true
}

// peerMembers returns the members of all known peers.
func (mesh *Mesh) peerMembers() (members []member.Member) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, peer := range mesh.peers {
		members = append(members, peer.member)
	}
	return members
}

// ownState returns this gateway's state, with the counts of all organisations or only
// of those near their limits.
func (mesh *Mesh) ownState(all bool) State {
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

// sendState sends this gateway's state to another in the background, unless an earlier
// exchange with it is still in flight.
func (mesh *Mesh) sendState(ctx context.Context, to member.Member, all bool) {
	mesh.mutex.Lock()
	busy := mesh.inFlight[to.Name]
	mesh.inFlight[to.Name] = true
	mesh.mutex.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			mesh.mutex.Lock()
			defer mesh.mutex.Unlock()
			delete(mesh.inFlight, to.Name)
		}()
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		var reply Ack
		if err := mesh.node.Ask(ctx, to.Address, KindState, mesh.ownState(all), &reply); err != nil {
			klog.V(2).InfoS("exchange of state with gateway failed", "gateway", to.Name, "error", err.Error())
			return
		}
		mesh.fetchUpdates(ctx, to, reply)
	}()
}

// receiveState applies the state of another gateway. A gateway without a membership
// record is added as a new peer: its certificate shows that it belongs to the fleet,
// and this process may be cut off from the store.
func (mesh *Mesh) receiveState(state State) {
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
	known.state, known.lastHeard = state, mesh.clock.Now()
	mesh.mutex.Unlock()
	if regained {
		mesh.source.StoreRecovered()
	}
	mesh.source.ReceiveHeld(state.Name, state.Held)
	mesh.source.ReceiveCounts(state.Name, state.Instance, state.Counts)
}

// fetchUpdates requests a newer configuration from another gateway and, if the store
// fails here but not there, the list of targets.
func (mesh *Mesh) fetchUpdates(ctx context.Context, from member.Member, ack Ack) {
	if ack.Version > mesh.source.Version() {
		var data []byte
		if err := mesh.node.Ask(ctx, from.Address, KindConfig, mesh.source.Version(), &data); err != nil {
			klog.InfoS("newer configuration not received", "gateway", from.Name, "version", ack.Version, "error", err.Error())
		} else if len(data) > 0 {
			mesh.source.OfferConfig(data)
		}
	}
	if !ack.Hears || mesh.source.StoreOutage() < storeOutageThreshold || !mesh.mayRequestList() {
		return
	}
	var list TargetList
	if err := mesh.node.Ask(ctx, from.Address, KindList, mesh.source.TargetsDigest(), &list); err != nil {
		klog.V(1).InfoS("list of targets not received", "gateway", from.Name, "error", err.Error())
		return
	}
	if list.Changed {
		mesh.source.OfferTargets(list.Records)
	}
}

// mayRequestList reports whether the list of targets may be requested now, and
// records the request.
func (mesh *Mesh) mayRequestList() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	if now.Sub(mesh.lastListRequest) < targetListPeriod {
		return false
	}
	mesh.lastListRequest = now
	return true
}
