package plans

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
)

const (
	// outcomePollPeriod is the time between attempts to determine the outcome of a
	// write whose reply was lost.
	outcomePollPeriod = 200 * time.Millisecond
	// snapshotInterval is the number of revisions between snapshots.
	snapshotInterval = 64
	// retainedChanges is the number of changes before the snapshot that the head
	// still names, so that nodes that lag slightly can fetch changes rather than a
	// snapshot.
	retainedChanges = 64
)

// Confirm makes the plan the next revision and returns its number. Confirming the
// same plan again returns the same revision. A plan whose base is not the current
// revision is refused with the changes made since.
func (planner *Planner) Confirm(ctx context.Context, digest string) (uint64, error) {
	record, err := planner.store.Get(ctx, planPrefix+digest)
	if errors.Is(err, agatestage.ErrNotFound) {
		return 0, agatestage.Refuse(agatestage.CodeNotFound, "no plan has the digest %q; plans can be confirmed for %v", digest, planTTL)
	}
	if err != nil {
		return 0, storeRefusal(err)
	}
	var plan Plan
	if err = json.Unmarshal(record.Value, &plan); err != nil {
		return 0, errors.Wrap(err, "decode plan")
	}
	var head Head
	var version uint64
	if head, version, err = readHead(ctx, planner.store); err != nil {
		return 0, storeRefusal(err)
	}
	if revision, done := head.findRevision("", digest); done {
		return revision, nil
	}
	if head.Revision != plan.Base {
		return 0, planner.staleRefusal(ctx, plan, head)
	}
	return planner.commit(ctx, plan, head, version)
}

// commit writes the change record and updates the head.
func (planner *Planner) commit(ctx context.Context, plan Plan, head Head, version uint64) (uint64, error) {
	document, err := Load(ctx, planner.store, nil)
	if err != nil {
		return 0, storeRefusal(err)
	}
	if document.Revision != plan.Base {
		return planner.resolveConflict(ctx, plan)
	}
	var next *model.Document
	if next, err = document.Apply(plan.changes()); err != nil {
		return 0, err
	}
	revision := Revision{Revision: next.Revision, Digest: next.Digest, Changes: plan.changes()}
	id := uuid.NewString()
	if err = planner.createRecord(ctx, changePrefix+id, revision); err != nil {
		return 0, storeRefusal(err)
	}
	newHead := head
	newHead.Revision, newHead.Digest = next.Revision, next.Digest
	newHead.Recent = append(append([]ChangeRef(nil), head.Recent...), ChangeRef{next.Revision, id, plan.Digest})
	if err = planner.swapHead(ctx, newHead, version, id); err != nil {
		if errors.Is(err, agatestage.ErrConflict) {
			return planner.resolveConflict(ctx, plan)
		}
		return 0, err
	}
	if next.Revision-head.Snapshot.Revision >= snapshotInterval {
		planner.writeSnapshot(ctx, next, newHead)
	}
	return next.Revision, nil
}

// createRecord creates a record with a unique name. If the write returns an error
// but the record exists, the reply was lost and the write has succeeded.
func (planner *Planner) createRecord(ctx context.Context, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	if _, err = planner.store.Swap(ctx, key, 0, data, ""); err == nil {
		return nil
	}
	if _, readErr := planner.store.Get(ctx, key); readErr == nil {
		return nil
	}
	return err
}

// swapHead replaces the head by compare-and-swap. If the reply is lost, it reads the
// head back, and tries again if it is unchanged, until the head names the change
// record with the ID or has been changed by another write.
func (planner *Planner) swapHead(ctx context.Context, head Head, version uint64, id string) error {
	data, err := json.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	if _, err = planner.store.Swap(ctx, HeadKey, version, data, ""); err == nil {
		return nil
	}
	for {
		current, currentVersion, readErr := readHead(ctx, planner.store)
		if readErr == nil {
			if _, done := current.findRevision(id, ""); done {
				return nil
			}
			if currentVersion != version || errors.Is(err, agatestage.ErrConflict) {
				return agatestage.ErrConflict
			}
			if errors.Is(err, agatestage.ErrRejected) {
				return storeRefusal(err)
			}
			if _, err = planner.store.Swap(ctx, HeadKey, version, data, ""); err == nil {
				return nil
			}
		}
		timer := planner.clock.NewTimer(outcomePollPeriod)
		select {
		case <-timer.C():
		case <-ctx.Done():
			timer.Stop()
			return &agatestage.Refusal{
				Code:    agatestage.CodeStore,
				Message: "the platform's store did not say whether the plan took effect; confirm it again to learn it",
				Ran:     agatestage.RanUnknown,
			}
		}
	}
}

// resolveConflict handles a concurrent update of the head. If the same plan has been
// confirmed elsewhere, it returns that revision, otherwise a refusal.
func (planner *Planner) resolveConflict(ctx context.Context, plan Plan) (uint64, error) {
	head, _, err := readHead(ctx, planner.store)
	if err != nil {
		return 0, storeRefusal(err)
	}
	if revision, done := head.findRevision("", plan.Digest); done {
		return revision, nil
	}
	return 0, planner.staleRefusal(ctx, plan, head)
}

// staleRefusal returns a refusal that names the objects that have changed since the
// plan's base.
func (planner *Planner) staleRefusal(ctx context.Context, plan Plan, head Head) error {
	refs, ok := head.changesSince(plan.Base)
	if !ok {
		return agatestage.Refuse(agatestage.CodeStalePlan, "the plan was made on revision %d, the current one is %d; make a new plan", plan.Base, head.Revision)
	}
	var changed []string
	for _, ref := range refs {
		revision, err := readRevision(ctx, planner.store, ref)
		if err != nil {
			return storeRefusal(err)
		}
		for _, change := range revision.Changes {
			changed = append(changed, fmt.Sprintf("%s %q in revision %d", change.Kind, change.Name, ref.Revision))
		}
	}
	return agatestage.Refuse(agatestage.CodeStalePlan, "the plan was made on revision %d, the current one is %d; moved since: %s", plan.Base, head.Revision, strings.Join(changed, ", "))
}

// writeSnapshot writes the whole revision and removes old changes from the head, which
// other planners may have changed meanwhile: they may have committed revisions or written
// a snapshot of their own. A failure is harmless, because the next revision tries again.
func (planner *Planner) writeSnapshot(ctx context.Context, document *model.Document, head Head) {
	ref := SnapshotRef{Revision: document.Revision, ID: uuid.NewString()}
	parts, err := splitDocument(document)
	if err != nil {
		klog.ErrorS(err, "configuration snapshot not written")
		return
	}
	ref.Parts = len(parts)
	for i, part := range parts {
		if err = planner.createRecord(ctx, partKey(ref, i), part); err != nil {
			klog.ErrorS(err, "configuration snapshot not written", "part", i)
			return
		}
	}
	current, version, err := readHead(ctx, planner.store)
	if err != nil || current.Snapshot != head.Snapshot {
		planner.deleteRecords(ctx, ref, nil)
		return
	}
	oldSnapshot := current.Snapshot
	dropped := current.withSnapshot(ref, retainedChanges)
	var data []byte
	if data, err = json.Marshal(current); err != nil {
		klog.ErrorS(err, "configuration snapshot not written")
		return
	}
	if _, err = planner.store.Swap(ctx, HeadKey, version, data, ""); err != nil {
		klog.InfoS("configuration snapshot not in use yet; the next revision tries again", "error", err.Error())
		return
	}
	planner.deleteRecords(ctx, oldSnapshot, dropped)
}

// deleteRecords deletes records that the head no longer names.
func (planner *Planner) deleteRecords(ctx context.Context, snapshot SnapshotRef, changes []ChangeRef) {
	keys := make([]string, 0, len(changes)+snapshot.Parts)
	for _, ref := range changes {
		keys = append(keys, changePrefix+ref.ID)
	}
	for i := range snapshot.Parts {
		keys = append(keys, partKey(snapshot, i))
	}
	for _, key := range keys {
		if record, err := planner.store.Get(ctx, key); err == nil {
			_ = planner.store.Delete(ctx, key, record.Version)
		}
	}
}
