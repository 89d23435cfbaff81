package gossip

import (
	"net/netip"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/limit/tally"
)

// Kinds of exchanges between gateways.
const (
	KindState  = "GatewayState"
	KindConfig = "GatewayConfig"
	KindList   = "GatewayTargets"
	KindStrike = "GatewayStrike"
	KindGuest  = "GatewayGuest"
)

// State is the state that a gateway sends to the others.
type State struct {
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
	// Leaving is true if the gateway accepts no new work.
	Leaving bool
	Held    map[string]sched.Held
	// Counts holds the requests that the gateway has admitted, by organisation.
	Counts map[string]tally.Count
	// Backlog is the number of batch calls that run or wait there, Slots the number of
	// slots of its own targets that online calls leave to them.
	Backlog int
	Slots   int
}

// GuestCalls holds the calls of a gateway at a target whose home is another gateway.
type GuestCalls struct {
	Target string
	Held   sched.Held
}

// TargetList is the list of targets as another gateway knows it. Records is empty
// unless Changed is set: the requester's digest differs.
type TargetList struct {
	Changed bool
	Records []agatestage.Record
}

// Ack is the reply to a State.
type Ack struct {
	Version uint64
	Hears   bool
}
