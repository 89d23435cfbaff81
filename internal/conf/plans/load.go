package plans

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
)

// maxPartBytes bounds a part of a snapshot. The store accepts values of up to 1 MB.
const maxPartBytes = 900_000

// readHead returns the head and the version of its record.
func readHead(ctx context.Context, store agatestage.Store) (head Head, version uint64, err error) {
	var record agatestage.Record
	if record, err = store.Get(ctx, HeadKey); err != nil {
		if errors.Is(err, agatestage.ErrNotFound) {
			return head, 0, nil
		}
		return head, 0, err
	}
	head, err = DecodeHead(record.Value)
	return head, record.Version, err
}

func readRevision(ctx context.Context, store agatestage.Store, ref ChangeRef) (revision Revision, err error) {
	var record agatestage.Record
	if record, err = store.Get(ctx, changePrefix+ref.ID); err != nil {
		return revision, errors.Wrapf(err, "read revision %d", ref.Revision)
	}
	if err = json.Unmarshal(record.Value, &revision); err != nil {
		return revision, errors.Wrapf(err, "decode revision %d", ref.Revision)
	}
	return revision, nil
}

// Load returns the current revision. It applies the changes since base if the head
// names all of them, and loads the snapshot otherwise. It never returns a revision
// older than base, which may be nil.
func Load(ctx context.Context, store agatestage.Store, base *model.Document) (*model.Document, error) {
	head, _, err := readHead(ctx, store)
	if err != nil {
		return nil, err
	}
	return LoadHead(ctx, store, head, base)
}

// LoadHead is like Load, with a head that has already been read.
func LoadHead(ctx context.Context, store agatestage.Store, head Head, base *model.Document) (document *model.Document, err error) {
	if document = base; document == nil {
		document = model.Empty()
	}
	if head.Revision <= document.Revision {
		return document, nil
	}
	if _, ok := head.changesSince(document.Revision); !ok {
		if document, err = loadSnapshot(ctx, store, head.Snapshot); err != nil {
			return nil, err
		}
	}
	refs, ok := head.changesSince(document.Revision)
	if !ok {
		return nil, errors.Errorf("head of revision %d doesn't lead on from revision %d", head.Revision, document.Revision)
	}
	for _, ref := range refs {
		var revision Revision
		if revision, err = readRevision(ctx, store, ref); err != nil {
			return nil, err
		}
		if document, err = document.Apply(revision.Changes); err != nil {
			return nil, err
		}
		if document.Digest != revision.Digest {
			return nil, errors.Errorf("revision %d has digest %s, its record says %s", ref.Revision, document.Digest, revision.Digest)
		}
	}
	return document, nil
}

// part is one record of a snapshot. Applying the changes of all parts to an empty
// document yields the revision.
type part struct {
	Revision uint64
	Digest   string
	Changes  []model.Change
}

func partKey(ref SnapshotRef, i int) string {
	return fmt.Sprintf("%s%s/%d", snapshotPrefix, ref.ID, i)
}

// splitDocument splits a document into parts of at most maxPartBytes.
func splitDocument(document *model.Document) ([]part, error) {
	changes := document.AllChanges()
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Kind < changes[j].Kind })
	parts := []part{{Revision: document.Revision, Digest: document.Digest}}
	size := 0
	for _, change := range changes {
		data, err := json.Marshal(change)
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
		if size += len(data) + 1; size > maxPartBytes {
			parts = append(parts, part{Revision: document.Revision, Digest: document.Digest})
			size = len(data)
		}
		last := &parts[len(parts)-1]
		last.Changes = append(last.Changes, change)
	}
	return parts, nil
}

// loadSnapshot loads a whole revision from the parts of its snapshot.
func loadSnapshot(ctx context.Context, store agatestage.Store, ref SnapshotRef) (*model.Document, error) {
	var changes []model.Change
	var last part
	for i := range ref.Parts {
		record, err := store.Get(ctx, partKey(ref, i))
		if err != nil {
			return nil, errors.Wrap(err, "read configuration snapshot")
		}
		last = part{}
		if err = json.Unmarshal(record.Value, &last); err != nil {
			return nil, errors.Wrap(err, "decode configuration snapshot")
		}
		changes = append(changes, last.Changes...)
	}
	document, err := model.Empty().Apply(changes)
	if err != nil {
		return nil, err
	}
	document.Revision, document.Digest = last.Revision, last.Digest
	return document, nil
}
