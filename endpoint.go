package agatestage

import (
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"time"
)

// Endpoint is one incarnation of a target that is reached without a side, as
// listed by the platform's registry.
type Endpoint struct {
	// ID identifies the incarnation; a restarted target has a new ID.
	ID      string
	Service string
	Address netip.AddrPort
	Region  string
	Zone    string
	// Slots is the number of calls that the target runs concurrently; it queues
	// the others.
	Slots int
	// Draining is true once the target has announced its shutdown.
	Draining bool
	// Evacuated is true while operators want nothing more sent to the target's zone.
	Evacuated bool
	// ColdFor is how much longer the target said that it would be cold when it wrote its
	// entry.
	ColdFor time.Duration
	// Started is the start time of the incarnation; zero if the registry lacks it.
	Started time.Time
	// Weights lists the models that the target has loaded; empty if the registry lacks them.
	Weights []Weights
}

// Equal reports whether two endpoints are the same in all fields.
func (endpoint Endpoint) Equal(other Endpoint) bool {
	if !slices.Equal(endpoint.Weights, other.Weights) {
		return false
	}
	endpoint.Weights, other.Weights = nil, nil
	return reflect.DeepEqual(endpoint, other)
}

// AnswerInfo is what the head of a target's answer reveals about the call.
type AnswerInfo struct {
	// CallIDs are the IDs of the calls that the answer names, each once: one, or none, or
	// several if the answer is garbled.
	CallIDs []string
	// NotRun means that the target guarantees not to have run the call, and not to
	// run it later.
	NotRun bool
	// ClaimsNotRun means that callers take the answer's status for a guarantee that the call
	// has not run, whether or not the target gives it.
	ClaimsNotRun bool
	// Replaced means that another incarnation now listens on the address.
	Replaced bool
	// Mismatched means that the target rejected the call as it isn't what the call expects:
	// another incarnation listens on the address, or its weights have another version.
	Mismatched bool
	// Instance is the ID of the incarnation that answered; empty if the answer lacks it.
	Instance string
	// Weights is what the target states of the weights of the call's model; Version is empty
	// if it states nothing.
	Weights Weights
	// Sealed means that the answer carries the target's own seal.
	Sealed bool
	// Leaving means that the target states that it is shutting down and should get no
	// new calls. It says nothing of the call itself.
	Leaving bool
}

// Dialect translates calls and answers to and from the platform's HTTP conventions
// for targets. It makes no routing decisions.
type Dialect interface {
	// Encode returns the HTTP header of the call. Left is the time remaining for
	// the target; after is the ID of the last event that the caller already has,
	// or 0.
	Encode(call *Call, endpoint Endpoint, left time.Duration, after int64) http.Header
	// Parts returns the parts of a prompt that other calls may have in common, as the
	// header of a call states them.
	Parts(header http.Header) []Part
	// ExpectedWeights returns the weights that a call with this header has to run on;
	// Version is empty if any will do.
	ExpectedWeights(header http.Header) Weights
	// Tokens returns how many tokens a call with this header may take of a target's memory,
	// prompt and output together; 0 if the header doesn't say.
	Tokens(header http.Header) int
	// Inspect interprets the head of an answer to the call.
	Inspect(call *Call, status int, header http.Header) AnswerInfo
}
