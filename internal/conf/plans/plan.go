package plans

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
)

// planTTL is how long a plan can be confirmed.
const planTTL = time.Hour

// Action is the effect of a plan on one object.
type Action string

// The actions of a plan.
const (
	ActionCreate Action = "Create"
	ActionChange Action = "Change"
	ActionRemove Action = "Remove"
)

// Step is the change that a plan makes to one object, as shown to operators.
type Step struct {
	model.Reference
	Action Action
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// Plan is the set of changes that an intent makes to the revision Base.
type Plan struct {
	Base   uint64
	Digest string
	Steps  []Step
}

// changes returns the steps as changes to a document.
func (plan Plan) changes() []model.Change {
	changes := make([]model.Change, len(plan.Steps))
	for i, step := range plan.Steps {
		changes[i] = model.Change{Reference: step.Reference, Value: step.After}
	}
	return changes
}

// setDigest sets the digest, which covers all other fields.
func (plan *Plan) setDigest() error {
	plan.Digest = ""
	data, err := json.Marshal(plan)
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	sum := sha256.Sum256(data)
	plan.Digest = hex.EncodeToString(sum[:16])
	return nil
}

// Planner creates and confirms plans.
type Planner struct {
	store agatestage.Store
	clock agatestage.Clock
}

// New returns a planner that keeps plans and revisions in the store.
func New(store agatestage.Store, clock agatestage.Clock) *Planner {
	return &Planner{store: store, clock: clock}
}

// Propose returns a plan for the intent, based on the current revision, and stores
// it for confirmation.
func (planner *Planner) Propose(ctx context.Context, intent model.Intent) (plan Plan, err error) {
	var document *model.Document
	if document, err = Load(ctx, planner.store, nil); err != nil {
		return plan, storeRefusal(err)
	}
	changes, faults := intent.Changes(document)
	var next *model.Document
	if next, err = document.Apply(changes); err != nil {
		return plan, agatestage.Refuse(agatestage.CodeInvalid, "%v", err)
	}
	if faults = append(faults, next.Check()...); len(faults) > 0 {
		return plan, agatestage.Refuse(agatestage.CodeInvalid, "%v", faults)
	}
	plan.Base = document.Revision
	for _, change := range changes {
		plan.Steps = append(plan.Steps, step(document, change))
	}
	if err = plan.setDigest(); err != nil {
		return plan, err
	}
	return plan, planner.storePlan(ctx, plan)
}

// step returns the step that describes a change to the document.
func step(document *model.Document, change model.Change) Step {
	step := Step{Reference: change.Reference, Action: ActionCreate, After: change.Value}
	var exists bool
	if step.Before, exists = document.Get(change.Reference); exists {
		step.Action = ActionChange
	}
	if len(change.Value) == 0 {
		step.Action = ActionRemove
	}
	return step
}

// storePlan stores the plan under a lease, so that plans that are not confirmed
// expire. A conflict means that the same plan has already been stored.
func (planner *Planner) storePlan(ctx context.Context, plan Plan) error {
	data, err := json.Marshal(plan)
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	var lease agatestage.Lease
	if lease, err = planner.store.Grant(ctx, planTTL); err != nil {
		return storeRefusal(err)
	}
	_, err = planner.store.Swap(ctx, planPrefix+plan.Digest, 0, data, lease)
	if err != nil && !errors.Is(err, agatestage.ErrConflict) {
		return storeRefusal(err)
	}
	return nil
}

// storeRefusal returns the refusal for an error from reading or writing the store.
func storeRefusal(err error) error {
	if errors.Is(err, agatestage.ErrRejected) {
		return agatestage.Refuse(agatestage.CodeTooLarge, "the platform's store does not take it: %v", err)
	}
	return agatestage.Refuse(agatestage.CodeStore, "the platform's store did not answer: %v", err)
}
