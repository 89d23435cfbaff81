// Package gossip exchanges state between gateways: the calls that each has at the
// targets, the version of the configuration, and the requests that crash targets.
//
// All of it is soft state: it is sent periodically in packets that may be lost, and a
// gateway whose state has not arrived for a while is considered lost. (A gateway is heard
// when its state arrives.) In large fleets, gateways form groups and pass one another's
// states on, so that the number of messages that each sends doesn't grow with the fleet.
// A gateway that can't reach the store gets the configuration and the list of targets
// from one that can.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/gate/share"
	"github.com/agatestage/agatestage/internal/limit/tally"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// exchangeTimeout bounds one exchange: a configuration of a megabyte takes a third of it on a
	// slow line between regions, and a handshake comes before it.
	exchangeTimeout = time.Second
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
	// memberListPeriod is the minimum time between two requests for the membership
	// records.
	memberListPeriod = 500 * time.Millisecond
	// relistAfter is how long the list of targets must have differed from those of the
	// gateways that follow the store before it is read from the store, and relistPeriod
	// the minimum time between two such reads.
	relistAfter  = time.Second
	relistPeriod = 4 * time.Second
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
	// Shares returns what organisations use of the slots at this gateway, or nil if there is
	// nothing to report; ReceiveShares receives that of another gateway.
	Shares() *share.Report
	ReceiveShares(gateway string, report share.Report)
	// Notes returns the owners of jobs to announce; ReceiveNotes receives those that
	// another gateway announces.
	Notes() []batch.Note
	ReceiveNotes(notes []batch.Note)
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
	// TargetChanges returns the records of the list of targets that have changed after a
	// revision of the store, OfferTargets receives those of another gateway or the whole
	// list, and RelistTargets reads the list from the store. LastChange is the revision of
	// the newest known change, and TargetsDigest a digest of the list.
	TargetChanges(after uint64) (records []agatestage.Record)
	OfferTargets(records []agatestage.Record, whole bool)
	RelistTargets()
	LastChange() uint64
	TargetsDigest() uint64
	// ConfigOverdue reports whether this gateway should have heard by now from the store
	// which configuration is the newest.
	ConfigOverdue() bool
	// WatchingChanged is called when this gateway begins or ends to follow the store.
	WatchingChanged(watching bool)
	// Strike receives a strike that another gateway knows of. KnownStrikes returns
	// those of requests in quarantine, for gateways that have missed them.
	Strike(strike blame.Strike)
	KnownStrikes() []blame.Strike
	// PermitTrial decides whether a request under which targets went down may run on trial
	// now.
	PermitTrial(inquiry blame.Inquiry) bool
	// GatewaysChanged is called when the set of live gateways has changed.
	GatewaysChanged()
	// Evacuations returns the evacuated zones and the store's revision as of which they are
	// known, 0 if they aren't; OfferEvacuations receives those of another gateway.
	Evacuations() (zones []string, revision uint64)
	OfferEvacuations(zones []string, revision uint64, gateway string)
	// QuorumChecked is called with each tick.
	QuorumChecked(quorum Quorum)
}

// Transport carries packets and exchanges between gateways. *link.Node implements it.
type Transport interface {
	HandlePackets(handler func(payload []byte))
	SendPacket(payload []byte, addresses ...netip.AddrPort) error
	Handle(kind string, handler link.Handler)
	Ask(ctx context.Context, address netip.AddrPort, kind string, request, reply any) error
}

// peer is what is known of another gateway.
type peer struct {
	member member.Member
	// state and sequence are those of the last report.
	state     State
	sequence  uint64
	lastHeard time.Time
	// ended holds the instances of the gateway's last processes that have ended.
	ended []string
	// held holds the calls at targets of the state that is being received, of which
	// heldParts parts have arrived.
	held      map[string]sched.Held
	heldParts int
	// wasAlive is whether the peer was alive at the last updateAlive.
	wasAlive bool
}

// Mesh exchanges state with the other gateways.
type Mesh struct {
	transport Transport
	roster    *member.Roster
	instance  string
	clock     agatestage.Clock
	source    Source
	random    func(n int) int
	mutex     sync.Mutex
	peers     map[string]*peer
	leaving   bool
	// peersChanged says that neighbours is to be computed again.
	peersChanged bool
	neighbours   neighbourhood
	sendDelay    time.Duration
	admitting    []string
	// watching says that this gateway follows the store itself.
	// confirmedAt is when a gateway that follows the store last knew no newer
	// configuration than this one.
	watching    bool
	confirmedAt time.Time
	// sequence is that of the last own report.
	sequence    uint64
	lastSent    [recipientClasses]time.Time
	lastSentAll [recipientClasses]time.Time
	// urgent says that messages are due to all recipients at the next tick.
	urgent  bool
	strikes []ownStrike
	// passedOn holds the encoded reports of other groups to be passed on to this one.
	passedOn []cbor.RawMessage
	// outdatedSince is when another gateway first reported a newer configuration, and
	// outdatedAt the newest that any has reported.
	outdatedSince time.Time
	outdatedAt    uint64
	fetching      bool
	// lastListRequest is when the list of targets was last requested, lastMembersRequest
	// when the membership records were.
	lastListRequest    time.Time
	lastMembersRequest time.Time
	// differsSince is since when the list of targets differs from those of the gateways
	// that follow the store although it is as new; lastRelist is when it was last read
	// from the store because of that.
	differsSince time.Time
	lastRelist   time.Time
	quorum       quorum
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithRandom sets the function that draws a number from 0 to n-1, to choose recipients.
func WithRandom(random func(n int) int) Option {
	return func(mesh *Mesh) { mesh.random = random }
}

// New returns the Mesh of one process and registers its handlers at the transport.
func New(transport Transport, roster *member.Roster, instance string, clock agatestage.Clock, source Source, options ...Option) *Mesh {
	mesh := &Mesh{
		transport: transport, roster: roster, instance: instance, clock: clock, source: source, random: rand.IntN, peers: make(map[string]*peer),
		peersChanged: true, watching: true,
	}
	for _, option := range options {
		option(mesh)
	}
	transport.HandlePackets(mesh.receivePacket)
	transport.Handle(KindConfig, mesh.serveConfig)
	transport.Handle(KindList, mesh.serveTargets)
	transport.Handle(KindRoster, mesh.serveMembers)
	transport.Handle(KindTrial, mesh.serveTrial)
	return mesh
}

// Serve sends this gateway's state to the others until ctx ends.
func (mesh *Mesh) Serve(ctx context.Context) error {
	return ticks.Every(ctx, mesh.clock, sendTick, mesh.tick)
}

// Tick sends what is due now, as Serve does once per tick.
func (mesh *Mesh) Tick() { mesh.tick(context.Background()) }

// String names the service in logs.
func (mesh *Mesh) String() string {
	return "gateway mesh"
}

// Leave marks this gateway as leaving in the state that it sends: it accepts no new
// work.
func (mesh *Mesh) Leave() {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.leaving, mesh.urgent = true, true
}

// ownState returns this gateway's state.
func (mesh *Mesh) ownState() State {
	mesh.mutex.Lock()
	leaving, watching, fleet := mesh.leaving, mesh.watching, mesh.quorum.digest
	mesh.mutex.Unlock()
	self := mesh.roster.Self()
	backlog, slots := mesh.source.Backlog()
	state := State{
		Name: self.Name, Instance: mesh.instance, Region: self.Region, Zone: self.Zone, Address: self.Address, Version: mesh.source.Version(),
		Hears: mesh.source.StoreOutage() == 0, Leaving: leaving, Backlog: backlog, Slots: slots, Fleet: fleet,
	}
	state.Evacuated, state.EvacuatedAt = mesh.source.Evacuations()
	if state.Watches = watching && state.Hears && !mesh.source.ConfigOverdue(); state.Watches {
		state.LastChange, state.Digest, state.Members = mesh.source.LastChange(), mesh.source.TargetsDigest(), mesh.roster.Revision()
	}
	return state
}

// Announce sends this gateway's state to all others within a tick, because something has
// changed that they wait for.
func (mesh *Mesh) Announce() {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.urgent = true
}
