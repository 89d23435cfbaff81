package agatestage

import (
	"net/http"
	"net/netip"
	"time"
)

// Endpoint is one incarnation of a target that entries reach without a side,
// as the platform's registry lists it.
type Endpoint struct {
	// ID names the incarnation; a target that starts again is another one.
	ID      string
	Service string
	Address netip.AddrPort
	Region  string
	Zone    string
	// Slots is how many calls the target runs at once; the rest waits there.
	Slots int
	// Draining is true once the target has announced that it will leave.
	Draining bool
	// Started is when the incarnation began; zero if the registry doesn't say.
	Started time.Time
}

// Verdict is what the head of a target's answer says about the call.
type Verdict struct {
	// Foreign answers belong to another call on the same connection.
	Foreign bool
	// NotRun answers vouch that the target has not run the call and won't.
	NotRun bool
	// Replaced answers say that another incarnation has the address now.
	Replaced bool
	// Genuine answers bear the target's own mark.
	Genuine bool
}

// Dialect is how calls are written for targets and how their answers are read.
// It translates; it decides nothing.
type Dialect interface {
	// Encode returns the header of the call for the target. Left is the time
	// that the target may spend; after is the number of the last event that
	// the caller already has, or 0.
	Encode(call *Call, endpoint Endpoint, left time.Duration, after int64) http.Header
	// Judge reads the head of an answer to the call.
	Judge(call *Call, status int, header http.Header) Verdict
}
