// Package calls defines the messages that entries and sides exchange.
package calls

import (
	"net/http"
	"net/netip"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
)

// The kinds of exchanges between an entry and a side.
const (
	// KindCall carries one call: the entry sends a Request, the side sends
	// AnswerParts.
	KindCall = "Call"
	// KindWatch stays open: the side sends Reports, the entry sends Policies.
	KindWatch = "Watch"
)

// Request asks a side to run a call on one of its targets.
type Request struct {
	Target string
	Call   agatestage.Call
}

// AnswerPart is one part of an answer: first a Head, then Data, last an End. An
// exchange that ends without an End was interrupted.
type AnswerPart struct {
	// ID repeats the call's ID in the Head and the End.
	ID   string `cbor:",omitempty"`
	Head *Head  `cbor:",omitempty"`
	Data []byte `cbor:",omitempty"`
	End  *End   `cbor:",omitempty"`
}

// Head is the status and header of a target's answer.
type Head struct {
	Status int
	Header http.Header
}

// End is the last part of an answer.
type End struct {
	// Refusal is nil if the answer is complete.
	Refusal *agatestage.Refusal
	// TargetLost means that the target went down while it ran the call.
	TargetLost bool
	Load       agatestage.Load
}

// Report is a side's state. It is sent when the exchange begins and after each
// significant change.
type Report struct {
	// Leaving means that the side accepts no new calls.
	Leaving bool
	// Revision is the highest configuration revision that the side knows.
	Revision uint64
	Targets  []TargetReport
}

// TargetReport is the state of one target.
type TargetReport struct {
	Name     string
	Kind     agatestage.Kind
	Load     agatestage.Load
	Holdings []agatestage.Holding
}

// Policy is the part of the configuration that concerns a side's targets.
type Policy struct {
	// Entry and Address are the name and peer address of the entry that sends the
	// policy.
	Entry    string
	Region   string
	Address  netip.AddrPort
	Revision uint64
	Targets  []model.Target
	Models   []model.Model
	// Work lists the models for which the entry has batch items waiting.
	Work []Work
}

// Work announces that batch items are waiting for a model.
type Work struct {
	Model string
	// Due is the deadline of the most urgent job, in Unix seconds.
	Due int64
}

// KindPermit is the exchange by which a side asks an entry for permission to change
// the models that a target holds: the side sends a PermitRequest, the entry replies
// with a Permit.
const KindPermit = "Permit"

// PermitRequest describes a change of the models that a target holds.
type PermitRequest struct {
	Target   string
	Revision uint64
	// Loads is the number of models that would be read from the weight store.
	Loads int
	// Drops lists the models that the target would unload.
	Drops []string
}

// Permit is the reply to a PermitRequest.
type Permit struct {
	Granted bool
	// Reason is why the permission was denied.
	Reason string
}
