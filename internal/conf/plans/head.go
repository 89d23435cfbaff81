// Package plans creates plans from operators' intents, and revisions of the
// configuration from confirmed plans.
//
// The store holds one head, which names the current revision and the records of the
// latest changes. A revision is committed by a compare-and-swap of the head and by
// nothing else. Change and snapshot records have unique names and are written before
// the head names them, so an orphaned record is harmless.
package plans

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage/internal/conf/model"
)

// The keys of the configuration in the store.
const (
	HeadKey        = "config/head"
	changePrefix   = "config/change/"
	snapshotPrefix = "config/snapshot/"
	planPrefix     = "config/plan/"
)

// ChangeRef refers to the record of one revision's changes.
type ChangeRef struct {
	Revision uint64
	ID       string
	// Plan is the digest of the plan that the revision was created from.
	Plan string
}

// SnapshotRef refers to the records of the snapshot of a whole revision.
type SnapshotRef struct {
	Revision uint64
	ID       string
	Parts    int
}

// Head identifies the current revision and the records from which it is loaded.
type Head struct {
	Revision uint64
	Digest   string
	// Recent are the changes since the snapshot and some before it, oldest first.
	Recent   []ChangeRef
	Snapshot SnapshotRef
}

// Revision is the record of one revision's changes.
type Revision struct {
	Revision uint64
	Digest   string
	Changes  []model.Change
}

// DecodeHead decodes the value of the head's record.
func DecodeHead(data []byte) (head Head, err error) {
	err = json.Unmarshal(data, &head)
	return head, errors.Wrap(err, "decode configuration head")
}

// changesSince returns the references of all revisions after base, or false if the
// head no longer names all of them.
func (head Head) changesSince(base uint64) ([]ChangeRef, bool) {
	for i, ref := range head.Recent {
		if ref.Revision == base+1 {
			return head.Recent[i:], true
		}
	}
	return nil, head.Revision == base
}

// withSnapshot makes the head name a snapshot, and removes and returns the oldest changes
// beyond a number to retain, but none that the snapshot lacks.
func (head *Head) withSnapshot(ref SnapshotRef, retain int) (dropped []ChangeRef) {
	excess := 0
	for excess < len(head.Recent)-retain && head.Recent[excess].Revision <= ref.Revision {
		excess++
	}
	dropped = head.Recent[:excess]
	head.Recent, head.Snapshot = head.Recent[excess:], ref
	return dropped
}

// findRevision returns the revision that was created by the change record with the
// ID or by the plan with the digest. An empty argument matches no revision.
func (head Head) findRevision(id, plan string) (uint64, bool) {
	for _, ref := range head.Recent {
		if ref.ID == id || (plan != "" && ref.Plan == plan) {
			return ref.Revision, true
		}
	}
	return 0, false
}
