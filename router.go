package agatestage

import "net/netip"

// Candidate is an entry's view of a target that may run a call.
type Candidate struct {
	Target string
	Host   string
	Side   netip.AddrPort
	Region string
	Zone   string
	Load   Load
	// Pending counts this entry's calls in flight to the target.
	Pending int
}

// Router chooses a target for a call.
type Router interface {
	// Pick returns the index of the chosen candidate, or -1 if there is none.
	Pick(call *Call, candidates []Candidate) int
}
