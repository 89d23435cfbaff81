package batch

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// settleTries and settlePause bound how long the fate of a write whose reply
	// was lost is looked for, before its caller is told that it isn't known.
	settleTries = 3
	settlePause = 150 * time.Millisecond
)

// errMoved says that somebody else has changed the head.
var errMoved = errors.New("the job's head has been changed by another gateway")

// vault reads and writes the records of jobs.
type vault struct {
	store agatestage.Transactor
	clock agatestage.Clock
}

// head reads a head; the error is agatestage.ErrNotFound if there is none.
func (vault *vault) head(ctx context.Context, id string) (entry, error) {
	record, err := vault.store.Get(ctx, headKey(id))
	if err != nil {
		return entry{}, err
	}
	return decodeEntry(record)
}

// write replaces the head of an entry together with other records. The error is
// errMoved if the head isn't the entry's any more, or certain if it wraps
// agatestage.ErrUnavailable; any other leaves the fate of the write unknown.
func (vault *vault) write(ctx context.Context, before entry, head Head, others ...agatestage.Write) (entry, error) {
	data, err := head.encode()
	if err != nil {
		return before, errors.Wrap(agatestage.ErrUnavailable, err.Error())
	}
	conditions := []agatestage.Condition{{Key: headKey(head.ID), Version: before.version}}
	writes := append([]agatestage.Write{{Key: headKey(head.ID), Value: data}}, others...)
	version, err := vault.store.Commit(ctx, conditions, writes)
	switch {
	case err == nil:
		return entry{Head: head, version: version}, nil
	case errors.Is(err, agatestage.ErrUnavailable):
		return before, err
	}
	return vault.settle(ctx, before, head, data, err)
}

// settle looks what came of a write that was not acknowledged, or conflicted
// with what may be the same write.
func (vault *vault) settle(ctx context.Context, before entry, head Head, data []byte, cause error) (entry, error) {
	for range settleTries {
		record, err := vault.store.Get(ctx, headKey(head.ID))
		switch {
		case err == nil && bytes.Equal(record.Value, data):
			return entry{Head: head, version: record.Version}, nil
		case err == nil && record.Version != before.version, errors.Is(err, agatestage.ErrNotFound) && before.version != 0:
			return before, errMoved
		case errors.Is(cause, agatestage.ErrConflict):
			if err == nil || errors.Is(err, agatestage.ErrNotFound) {
				return before, errMoved
			}
		}
		ticks.Wait(ctx, vault.clock, settlePause)
		if ctx.Err() != nil {
			break
		}
	}
	return before, cause
}

// items reads the input of a job.
func (vault *vault) items(ctx context.Context, head Head) (items []Item, err error) {
	for part := range head.Parts {
		var record agatestage.Record
		if record, err = vault.store.Get(ctx, inputKey(head.ID, part)); err != nil {
			return nil, errors.Wrapf(err, "read part %d of job %s", part, head.ID)
		}
		var some []Item
		if err = cbor.Unmarshal(record.Value, &some); err != nil {
			return nil, errors.Wrap(err, "decode items")
		}
		items = append(items, some...)
	}
	if len(items) != head.Items {
		return nil, errors.Errorf("job %s has %d items and not %d", head.ID, len(items), head.Items)
	}
	return items, nil
}

// results reads chunks of results from one on.
func (vault *vault) results(ctx context.Context, head Head, from int) (results []Result, err error) {
	for chunk := from; chunk < head.Chunks; chunk++ {
		var record agatestage.Record
		if record, err = vault.store.Get(ctx, chunkKey(head.ID, chunk)); err != nil {
			return nil, errors.Wrapf(err, "read chunk %d of job %s", chunk, head.ID)
		}
		var some []Result
		if err = cbor.Unmarshal(record.Value, &some); err != nil {
			return nil, errors.Wrap(err, "decode results")
		}
		results = append(results, some...)
	}
	return results, nil
}

// progress reads what a planned stop has handed over.
func (vault *vault) progress(ctx context.Context, id string) (all []Progress, err error) {
	record, err := vault.store.Get(ctx, progressPrefix+id)
	if err != nil {
		return nil, errors.Wrapf(err, "read progress of job %s", id)
	}
	return all, errors.Wrap(cbor.Unmarshal(record.Value, &all), "decode progress")
}

// maxWrites is how many records one transaction may change.
const maxWrites = 32

// remove deletes the records of a job, its head last.
func (vault *vault) remove(ctx context.Context, old entry) error {
	var writes []agatestage.Write
	for part := range old.Parts {
		writes = append(writes, agatestage.Write{Key: inputKey(old.ID, part), Remove: true})
	}
	for chunk := range old.Chunks {
		writes = append(writes, agatestage.Write{Key: chunkKey(old.ID, chunk), Remove: true})
	}
	writes = append(writes, agatestage.Write{Key: progressPrefix + old.ID, Remove: true})
	condition := []agatestage.Condition{{Key: headKey(old.ID), Version: old.version}}
	for len(writes) >= maxWrites {
		if _, err := vault.store.Commit(ctx, condition, writes[:maxWrites]); err != nil {
			return err
		}
		writes = writes[maxWrites:]
	}
	writes = append(writes, agatestage.Write{Key: headKey(old.ID), Remove: true})
	_, err := vault.store.Commit(ctx, condition, writes)
	return err
}
