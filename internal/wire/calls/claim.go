package calls

import (
	"time"

	"github.com/agatestage/agatestage"
)

// KindClaim is the exchange by which a side pulls batch items from an entry: the
// side sends ClaimUp, the entry sends ClaimDown. When the exchange ends, the items
// without a result return to the entry's queue.
const KindClaim = "Claim"

// ItemRef identifies one attempt at an item.
type ItemRef struct {
	Job   string
	Epoch uint64
	Item  int
}

// BatchItem is an item for a side to run.
type BatchItem struct {
	Ref  ItemRef
	Call agatestage.Call
}

// ItemResult is the outcome of an attempt.
type ItemResult struct {
	Ref ItemRef
	// Status and Body are the target's answer, if there was one.
	Status int
	Body   []byte
	// Refusal is set if the attempt got no answer.
	Refusal *agatestage.Refusal
	// Target is the target that ran the attempt; TargetLost means that it went
	// down.
	Target     string
	TargetLost bool
	// Returned means that the attempt ended for a reason unrelated to the item.
	Returned bool
	Took     time.Duration
}

// ClaimUp is a message from a side. Credit is the number of additional items of the
// models that the side can accept; Results are the outcomes of attempts.
type ClaimUp struct {
	Models  []string
	Credit  int
	Results []ItemResult
}

// ClaimDown is a message from an entry. Unused is the part of the side's credit that
// the entry can't use; Revoked lists items that the side should no longer run.
type ClaimDown struct {
	Items   []BatchItem
	Unused  int
	Revoked []ItemRef
}
