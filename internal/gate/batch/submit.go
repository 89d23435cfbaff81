package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

// Spec is a job as its caller submits it.
type Spec struct {
	ID           string
	Organisation string
	Route        *rules.Route
	Host         string
	Items        []Item
	// Arrived is when the submission was read.
	Arrived time.Time
	// relayed says that another gateway, which has lost the store, was sent the job.
	relayed bool
}

// canonical encodes equal items to equal bytes, whatever the order of their
// headers.
var canonical = mustCanonical()

func mustCanonical() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func digestOf(items []Item) (string, error) {
	data, err := canonical.Marshal(items)
	if err != nil {
		return "", errors.Wrap(err, "encode items")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Submit accepts a job. It is kept from the moment that nil is returned; the
// same job may be submitted again. A refusal with RanUnknown doesn't say
// whether it has been accepted.
func (manager *Manager) Submit(ctx context.Context, spec Spec) error {
	digest, err := digestOf(spec.Items)
	if err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "%v", err)
	}
	manager.mutex.Lock()
	known, ok := manager.heads[spec.ID]
	busy := manager.taking[spec.ID]
	if !ok && !busy {
		// Nobody else takes the job over between its writing and its beginning.
		manager.taking[spec.ID] = true
		defer manager.taken(spec.ID)
	}
	manager.mutex.Unlock()
	switch {
	case ok:
		return repeated(known.Head, spec, digest)
	case manager.fleet.Silent() > lostFor:
		return manager.pass(ctx, spec, errors.New("this gateway has lost the store"))
	case busy:
		return unsure("the job can't be kept now", errors.New("it is being submitted already"))
	}
	var parts [][]byte
	if parts, err = splitItems(spec.Items); err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "%v", err)
	}
	giveUp := spec.Route.GiveUp
	if giveUp <= 0 {
		giveUp = defaultGiveUp
	}
	owner := manager.place(spec.ID, len(spec.Items))
	head := Head{
		ID: spec.ID, Organisation: spec.Organisation, Route: spec.Route.Name, Host: spec.Host, Region: manager.region,
		Items: len(spec.Items), Parts: len(parts), Digest: digest, State: StateOpen,
		Submitted: spec.Arrived.UTC(), Due: spec.Arrived.Add(spec.Route.Due).UTC(), GiveUp: spec.Arrived.Add(giveUp).UTC(),
		Owner: owner.Name, Instance: owner.Instance, Epoch: 1,
	}
	var writes []agatestage.Write
	for i, part := range parts {
		writes = append(writes, agatestage.Write{Key: inputKey(spec.ID, i), Value: part})
	}
	accepted, err := manager.vault.write(ctx, entry{}, head, writes...)
	switch {
	case err == nil:
		manager.accept(ctx, accepted, spec)
		return nil
	case errors.Is(err, errMoved):
		return manager.repeat(ctx, spec, digest)
	case errors.Is(err, agatestage.ErrUnavailable):
		return manager.pass(ctx, spec, err)
	}
	klog.InfoS("job submission not acknowledged by the store", "job", spec.ID, "error", err.Error())
	return &agatestage.Refusal{Code: agatestage.CodeStore, Message: "the store did not say whether it has the job", Ran: agatestage.RanUnknown}
}

// accept begins a job that has just been written, or tells its owner. One that was
// written just before the planned stop began is handed over at once.
func (manager *Manager) accept(ctx context.Context, accepted entry, spec Spec) {
	klog.InfoS("job accepted", "job", spec.ID, "organisation", spec.Organisation, "route", spec.Route.Name, "items", len(spec.Items),
		"owner", accepted.Owner, "version", accepted.version)
	manager.mutex.Lock()
	manager.keep(accepted)
	own, draining := accepted.Owner == manager.name, manager.draining
	if !own || draining {
		manager.view(spec.ID).items = spec.Items
	} else if manager.jobs[spec.ID] == nil {
		manager.begin(accepted, spec.Items, nil, nil)
	}
	manager.mutex.Unlock()
	switch {
	case !own:
		manager.tellOwner(accepted, Handover{Whole: true, Items: spec.Items})
	case draining:
		manager.handOver(ctx, accepted, manager.place(spec.ID, len(spec.Items)), Handover{Items: spec.Items})
	}
}

// repeat answers a submission whose job the store has already.
func (manager *Manager) repeat(ctx context.Context, spec Spec, digest string) error {
	seen, err := manager.vault.head(ctx, spec.ID)
	if err != nil {
		return unsure("the job can't be looked up now", err)
	}
	manager.note(seen)
	return repeated(seen.Head, spec, digest)
}

// repeated tells the same job from another one with its ID.
func repeated(head Head, spec Spec, digest string) error {
	if head.Organisation != spec.Organisation || head.Digest != digest {
		return agatestage.Refuse(agatestage.CodeConflict, "another job has the ID %s", spec.ID)
	}
	return nil
}
