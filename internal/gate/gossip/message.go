package gossip

import (
	"net/netip"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/limit/tally"
)

// The kinds of exchanges between gateways.
const (
	KindState  = "GatewayState"
	KindConfig = "GatewayConfig"
	KindList   = "GatewayTargets"
	KindStrike = "GatewayStrike"
	KindGuest  = "GatewayGuest"
)

// State is what a gateway tells.
type State struct {
	Name string
	// Instance is the gateway's process.
	Instance string
	Region   string
	Zone     string
	// Address is where the gateway listens for others. One that the store hasn't
	// told of is known by it.
	Address netip.AddrPort
	Version uint64
	// Hears says that the store answers this gateway.
	Hears bool
	// Leaving gateways take no new work.
	Leaving bool
	Held    map[string]sched.Held
	// Counts are the requests that the gateway has admitted, by organisation.
	Counts map[string]tally.Count
	// Backlog counts the batch calls that run or wait there, Slots the slots of its
	// own targets that online calls leave them.
	Backlog int
	Slots   int
}

// Guest is what a gateway has at a target that is another's home.
type Guest struct {
	Target string
	Held   sched.Held
}

// List is the list of targets as another gateway knows it. Records are left out
// unless they have changed.
type List struct {
	Changed bool
	Records []agatestage.Record
}

// Ack is the answer to a State.
type Ack struct {
	Version uint64
	Hears   bool
}
