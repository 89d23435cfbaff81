package gossip

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/gate/share"
	"github.com/agatestage/agatestage/internal/limit/tally"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/state/member"
)

// Kinds of exchanges between gateways.
const (
	KindConfig = "GatewayConfig"
	KindList   = "GatewayTargets"
	KindRoster = "GatewayMembers"
	KindTrial  = "GatewayTrial"
)

// packetFormat is the version of the format of packets. Packets of another format are
// dropped.
const packetFormat = 2

// packet is the payload of one packet. It is encoded as an array, as packets are small
// and frequent.
type packet struct {
	_      struct{} `cbor:",toarray"`
	Format int
	// Relay asks the recipient to pass the reports on to its group.
	Relay bool
	// Reply asks the recipient for its own reports.
	Reply bool
	// Reports holds encoded reports, which are passed on as they are.
	Reports []cbor.RawMessage
	// Guests holds calls at targets whose home is the recipient.
	Guests []GuestCalls
}

// report is one part of a gateway's state. A state that doesn't fit into a packet is
// sent as several reports, of which each can be applied by itself.
type report struct {
	_     struct{} `cbor:",toarray"`
	State State
	// Sequence counts the reports of the gateway's process.
	Sequence uint64
	// Held holds the calls at each target. It is part number Part, from 0, of Parts; if
	// Parts is 0, the report says nothing of calls.
	Held  map[string]sched.Held
	Part  int
	Parts int
	// Counts holds the requests that the gateway has admitted, by organisation.
	Counts map[string]tally.Count
	// Strikes holds recent strikes, Notes the owners of jobs that have changed lately.
	Strikes []blame.Strike
	Notes   []batch.Note
	// Shares is what organisations use of the slots; nil if the report says nothing of that.
	Shares *share.Report
}

// State is what a gateway reports of itself.
type State struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Instance identifies the gateway's process.
	Instance string
	Region   string
	Zone     string
	// Address is where the gateway listens for others. It makes a gateway reachable
	// whose membership record hasn't been read.
	Address netip.AddrPort
	Version uint64
	// Hears is true if the store answers this gateway.
	Hears bool
	// Watches is true if the gateway follows the store itself and has heard lately which
	// configuration is the newest. LastChange and Digest are then those of its list of
	// targets, and Members is the revision of its membership records.
	Watches    bool
	LastChange uint64
	Digest     uint64
	Members    uint64
	// Leaving is true if the gateway accepts no new work.
	Leaving bool
	// Backlog is the number of batch calls that run or wait there, Slots the number of
	// slots of its own targets that online calls leave to them.
	Backlog int
	Slots   int
	// Evacuated holds the availability zones that operators have evacuated, as of the
	// revision EvacuatedAt of the store; 0 if the gateway doesn't know.
	Evacuated   []string
	EvacuatedAt uint64
	// Fleet is a digest of the gateways that may be running, as far as the gateway knows; 0 if it
	// doesn't know them yet.
	Fleet uint64
}

// GuestCalls holds the calls of the gateway From at a target whose home is another
// gateway.
type GuestCalls struct {
	_      struct{} `cbor:",toarray"`
	From   string
	Target string
	Held   sched.Held
}

// TargetRequest requests the changes of the list of targets after a revision of the
// store, or the whole list if After is 0.
type TargetRequest struct {
	After uint64
}

// MemberList holds the membership records at a revision of the store.
type MemberList struct {
	Members  []member.Member
	Revision uint64
}

// TargetList holds the changes of the list of targets, or the whole list.
type TargetList struct {
	Records []agatestage.Record
}
