package agatestage

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a target: a model engine or a plain service.
type Kind string

// The kinds of targets.
const (
	KindEngine  Kind = "Engine"
	KindService Kind = "Service"
)

// Call is one request on its way to a target. It carries no credentials.
type Call struct {
	// ID identifies the call; the answer must repeat it.
	ID           string
	Organisation string
	// Model is empty for calls to plain services.
	Model   string
	Service string
	Method  string
	// Host is the HTTP host that the caller used; empty if targets don't need it.
	Host   string `cbor:",omitempty"`
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is the time to the caller's deadline when the call is sent.
	Timeout time.Duration
	// Idempotent calls may be retried on another target after a failure.
	Idempotent bool
	// Batch calls run in slots that online calls leave free.
	Batch bool
	// Suspect calls were in flight when a target went down. A target runs at most
	// one of them at a time, so that a second loss identifies the harmful call.
	Suspect bool
	// Trial calls repeat a request under which several targets went down. One of them
	// runs at a time in the whole fleet.
	Trial bool `cbor:",omitempty"`
	// Fingerprint is a hash of organisation and body, by which target losses are
	// attributed to calls.
	Fingerprint uint64
	// Prefix is a hash of the beginning of the prompt, for cache affinity; 0 if the
	// call has none.
	Prefix uint64
	// Parts holds the parts of the prompt that other calls may have in common, in their
	// order. Only the process that routes the call uses them.
	Parts []Part `cbor:"-"`
	// Weights is what the target's weights have to be; its version is empty if any will do.
	// Only the process that routes the call uses it.
	Weights Weights `cbor:"-"`
	// Tokens is how many tokens of a model engine's memory the call may take, prompt and
	// output together; 0 if that isn't known. Only the process that routes the call uses it.
	Tokens int `cbor:"-"`
}

// Weights is a version of the weights of a model.
type Weights struct {
	Model   string
	Version string
}

// Part is a part of a prompt, such as a document or an earlier message of a chat.
type Part struct {
	// Name is how logs show it.
	Name string
	// Fingerprint is equal for all calls that have the part in common.
	Fingerprint uint64
}

// NewPart returns the part with a name.
func NewPart(name string) Part {
	return Part{Name: name, Fingerprint: xxhash.Sum64String("part\x00" + name)}
}

// Answer is a target's response with its body still to be read. The reader of Body
// must close it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// EndsWithConnection is true if the body has no length of its own, so that a crash of
	// the target looks like its end.
	EndsWithConnection bool
}

// Load is a target's state as its side sees it.
type Load struct {
	// Online and Batch count the running calls; Waiting counts the queued ones.
	Online  int
	Batch   int
	Waiting int
	Slots   int
	Ready   bool
}

// Holding is one model version that a target has loaded or is ordered to load.
type Holding struct {
	Model   string
	Version string
	Adapter string
}

// Order tells a target to hold exactly the listed models. Fence is a fencing
// number: targets reject an order with a lower number than one before.
type Order struct {
	Fence    uint64
	Role     string
	Holdings []Holding
}

// Target is a back end behind a side.
type Target interface {
	// Do sends the call and returns the answer once its head has arrived. It
	// returns a *Refusal with RanNo only if no byte reached the target.
	Do(ctx context.Context, call *Call) (*Answer, error)
	// Holdings returns the models that the target has loaded and can serve.
	Holdings(ctx context.Context) ([]Holding, error)
	// Order tells the target which models to hold.
	Order(ctx context.Context, order Order) error
	// Address returns where the target listens.
	Address() netip.AddrPort
}
