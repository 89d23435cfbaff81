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
	// settlePeriod is the pause between attempts to learn the fate of a write
	// whose reply was lost.
	settlePeriod = 200 * time.Millisecond
	// snapshotEvery is the number of revisions between snapshots.
	snapshotEvery = 64
	// keepRecent is how many changes before the snapshot the head still names,
	// so that nodes a little behind fetch changes and not a snapshot.
	keepRecent = 64
)

// Confirm makes the plan the next revision and returns its number. Confirming
// the same plan again returns the same revision. A plan whose base is not the
// current revision is refused with what moved.
func (planner *Planner) Confirm(ctx context.Context, digest string) (uint64, error) {
	record, err := planner.store.Get(ctx, planPrefix+digest)
	if errors.Is(err, agatestage.ErrNotFound) {
		return 0, agatestage.Refuse(agatestage.CodeNotFound, "no plan has the digest %q; plans can be confirmed for %v", digest, planLife)
	}
	if err != nil {
		return 0, unavailable(err)
	}
	var plan Plan
	if err = json.Unmarshal(record.Value, &plan); err != nil {
		return 0, errors.Wrap(err, "decode plan")
	}
	var head Head
	var version uint64
	if head, version, err = readHead(ctx, planner.store); err != nil {
		return 0, unavailable(err)
	}
	if revision, done := head.find("", digest); done {
		return revision, nil
	}
	if head.Revision != plan.Base {
		return 0, planner.stale(ctx, plan, head)
	}
	return planner.commit(ctx, plan, head, version)
}

// commit writes the change record and moves the head.
func (planner *Planner) commit(ctx context.Context, plan Plan, head Head, version uint64) (uint64, error) {
	document, err := Load(ctx, planner.store, nil)
	if err != nil {
		return 0, unavailable(err)
	}
	if document.Revision != plan.Base {
		return planner.lostRace(ctx, plan)
	}
	var next *model.Document
	if next, err = document.Apply(plan.changes()); err != nil {
		return 0, err
	}
	revision := Revision{Revision: next.Revision, Digest: next.Digest, Changes: plan.changes()}
	id := uuid.NewString()
	if err = planner.write(ctx, changePrefix+id, revision); err != nil {
		return 0, unavailable(err)
	}
	moved := head
	moved.Revision, moved.Digest = next.Revision, next.Digest
	moved.Recent = append(append([]ChangeRef(nil), head.Recent...), ChangeRef{next.Revision, id, plan.Digest})
	if err = planner.move(ctx, moved, version, id); err != nil {
		if errors.Is(err, agatestage.ErrConflict) {
			return planner.lostRace(ctx, plan)
		}
		return 0, err
	}
	if next.Revision-head.Snapshot.Revision >= snapshotEvery {
		planner.snapshot(ctx, next, moved)
	}
	return next.Revision, nil
}

// write creates a record with a unique name. If the reply is lost, it is
// enough that the record is there.
func (planner *Planner) write(ctx context.Context, key string, value any) error {
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

// move swaps the head. If the reply is lost, it reads back until it knows
// whether the head names the change or has gone elsewhere.
func (planner *Planner) move(ctx context.Context, head Head, version uint64, id string) error {
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
			if _, done := current.find(id, ""); done {
				return nil
			}
			if currentVersion != version || errors.Is(err, agatestage.ErrConflict) {
				return agatestage.ErrConflict
			}
			if _, err = planner.store.Swap(ctx, HeadKey, version, data, ""); err == nil {
				return nil
			}
		}
		timer := planner.clock.NewTimer(settlePeriod)
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

// lostRace tells what came first: the same plan, confirmed elsewhere, whose revision
// it returns, or another one.
func (planner *Planner) lostRace(ctx context.Context, plan Plan) (uint64, error) {
	head, _, err := readHead(ctx, planner.store)
	if err != nil {
		return 0, unavailable(err)
	}
	if revision, done := head.find("", plan.Digest); done {
		return revision, nil
	}
	return 0, planner.stale(ctx, plan, head)
}

// stale names what has moved since the plan's base.
func (planner *Planner) stale(ctx context.Context, plan Plan, head Head) error {
	refs, ok := head.since(plan.Base)
	if !ok {
		return agatestage.Refuse(agatestage.CodeStalePlan, "the plan was made on revision %d, the current one is %d; make a new plan", plan.Base, head.Revision)
	}
	var moved []string
	for _, ref := range refs {
		revision, err := readRevision(ctx, planner.store, ref)
		if err != nil {
			return unavailable(err)
		}
		for _, change := range revision.Changes {
			moved = append(moved, fmt.Sprintf("%s %q in revision %d", change.Kind, change.Name, ref.Revision))
		}
	}
	return agatestage.Refuse(agatestage.CodeStalePlan, "the plan was made on revision %d, the current one is %d; moved since: %s", plan.Base, head.Revision, strings.Join(moved, ", "))
}

// snapshot writes the whole revision and lets the head forget old changes.
// Failing does no harm: the next revision tries again.
func (planner *Planner) snapshot(ctx context.Context, document *model.Document, head Head) {
	ref := SnapshotRef{Revision: document.Revision, ID: uuid.NewString()}
	parts, err := split(document)
	if err != nil {
		klog.ErrorS(err, "configuration snapshot not written")
		return
	}
	ref.Parts = len(parts)
	for i, part := range parts {
		if err = planner.write(ctx, partKey(ref, i), part); err != nil {
			klog.ErrorS(err, "configuration snapshot not written", "part", i)
			return
		}
	}
	_, version, err := readHead(ctx, planner.store)
	if err != nil {
		return
	}
	old := head.Snapshot
	dropped := max(0, len(head.Recent)-keepRecent)
	forgotten := head.Recent[:dropped]
	head.Recent, head.Snapshot = head.Recent[dropped:], ref
	var data []byte
	if data, err = json.Marshal(head); err != nil {
		return
	}
	if _, err = planner.store.Swap(ctx, HeadKey, version, data, ""); err != nil {
		return
	}
	planner.forget(ctx, old, forgotten)
}

// forget deletes the records that no head names any more.
func (planner *Planner) forget(ctx context.Context, snapshot SnapshotRef, changes []ChangeRef) {
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
