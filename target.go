package agatestage

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Kind tells model engines from plain services.
type Kind string

// The kinds of targets.
const (
	KindEngine  Kind = "Engine"
	KindService Kind = "Service"
)

// Call is one request on its way to a target. It carries no credentials.
type Call struct {
	// ID names the call; the answer must repeat it.
	ID           string
	Organisation string
	// Model is empty for calls to plain services.
	Model   string
	Service string
	Method  string
	// Host is the name that the caller used; empty where targets don't need it.
	Host   string `cbor:",omitempty"`
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is what is left of the caller's deadline when the call is sent.
	Timeout time.Duration
	// Idempotent calls may be retried on another target after a failure.
	Idempotent bool
	// Batch calls fill slots that online calls leave.
	Batch bool
	// Suspect calls were in flight when a target was lost; at most one of them
	// runs on a target at a time, so that a second loss tells which is harmful.
	Suspect bool
	// Fingerprint identifies organisation and body, for loss accounting.
	Fingerprint uint64
	// Prefix identifies the beginning of the prompt, for cache affinity; 0 if
	// the call has none.
	Prefix uint64
}

// Answer is the beginning of a target's reply. The reader of Body closes it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Load is a target's state as its side sees it.
type Load struct {
	// Online and Batch count the calls that run; Waiting those queued.
	Online  int
	Batch   int
	Waiting int
	Slots   int
	Ready   bool
}

// Holding is one model version that a target holds or shall hold.
type Holding struct {
	Model   string
	Version string
	Adapter string
}

// Order asks a target to hold just what is listed. Fence is the number that
// orders of different issuers are compared by; a lower one is refused.
type Order struct {
	Fence    uint64
	Role     string
	Holdings []Holding
}

// Target is one back end behind a side.
type Target interface {
	// Do sends the call and returns the beginning of its answer. A *Refusal
	// with RanNo is returned only if no byte reached the target.
	Do(ctx context.Context, call *Call) (*Answer, error)
	// Holdings returns what the target holds ready.
	Holdings(ctx context.Context) ([]Holding, error)
	// Order asks the target to change what it holds.
	Order(ctx context.Context, order Order) error
	// Address returns where the target listens.
	Address() netip.AddrPort
}
