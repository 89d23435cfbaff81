package batch

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ration"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// resolveAttempts and resolvePause bound the reads that determine whether a write
	// with a lost reply was executed. After them, its outcome is reported as unknown.
	resolveAttempts = 3
	resolvePause    = 150 * time.Millisecond
)

// errHeadChanged means that another writer has changed the head.
var errHeadChanged = errors.New("the job's head has been changed by another gateway")

// errConditionFailed is the errHeadChanged of a write whose head hasn't changed: a condition
// on another record doesn't hold.
var errConditionFailed = errors.Wrap(errHeadChanged, "a condition on another record does not hold")

// errUnreadable means that records of a job are missing or can't be decoded.
var errUnreadable = errors.New("the job's records can't be read")

const (
	// transferBytes bounds what a gateway reads of inputs and results at a time, and what it
	// writes of them, as other calls to the store and other gateways share the line: about two
	// records of the largest size that the store takes.
	transferBytes = 1536 << 10
	// submitPatience is how long a submission waits until its input may be written. Submissions
	// state no time; where transfers take longer, another gateway may be nearer to the store.
	submitPatience = 1500 * time.Millisecond
	// progressBytes is the assumed size of a record of progress, which isn't known before it is
	// read. It only decides how many are read at a time.
	progressBytes = 64 << 10
)

// jobStore reads and writes the records of jobs.
type jobStore struct {
	store agatestage.Transactor
	clock agatestage.Clock
	// reads and writes admit the transfers of inputs and results.
	reads  *ration.Queue
	writes *ration.Queue
	// partial holds what has been read of inputs whose reading broke off.
	partial partialInputs
}

func newJobStore(store agatestage.Transactor, clock agatestage.Clock) *jobStore {
	return &jobStore{store: store, clock: clock, reads: ration.New(transferBytes), writes: ration.New(transferBytes), partial: partialInputs{jobs: make(map[string]partialInput)}}
}

// read reads a record of a known size. Those that are due first are read first.
func (jobStore *jobStore) read(ctx context.Context, key string, due time.Time, bytes int64) (agatestage.Record, error) {
	release, err := jobStore.reads.Acquire(ctx, due, bytes)
	if err != nil {
		return agatestage.Record{}, err
	}
	defer release()
	return jobStore.store.Get(ctx, key)
}

// awaitLine waits until the input of a new job may be written, at most for submitPatience.
func (jobStore *jobStore) awaitLine(ctx context.Context, arrived time.Time, bytes int) (release func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := jobStore.clock.NewTimer(submitPatience)
	defer timer.Stop()
	go func() {
		select {
		case <-timer.C():
			cancel()
		case <-ctx.Done():
		}
	}()
	return jobStore.writes.Acquire(ctx, arrived, int64(bytes))
}

// head reads a head; the error is agatestage.ErrNotFound if there is none.
func (jobStore *jobStore) head(ctx context.Context, id string) (versionedHead, error) {
	record, err := jobStore.store.Get(ctx, headKey(id))
	if err != nil {
		return versionedHead{}, err
	}
	return decodeVersionedHead(record)
}

// writeHead replaces a head together with other records in one transaction. The error
// is errHeadChanged if the head is no longer at the version of before. If
// agatestage.NothingDone is true for the error, the write has certainly not been executed;
// after any other error its outcome is unknown.
func (jobStore *jobStore) writeHead(ctx context.Context, before versionedHead, head Head, others ...agatestage.Write) (versionedHead, error) {
	return jobStore.writeHeadIf(ctx, nil, before, head, others...)
}

// writeHeadIf is writeHead with conditions on other records. The error is
// errConditionFailed if one of them doesn't hold.
func (jobStore *jobStore) writeHeadIf(ctx context.Context, conditions []agatestage.Condition, before versionedHead, head Head, others ...agatestage.Write) (versionedHead, error) {
	data, err := head.encode()
	if err != nil {
		return before, errors.Wrap(agatestage.ErrRejected, err.Error())
	}
	conditions = append([]agatestage.Condition{{Key: headKey(head.ID), Version: before.version}}, conditions...)
	writes := append([]agatestage.Write{{Key: headKey(head.ID), Value: data}}, others...)
	version, err := jobStore.store.Commit(ctx, conditions, writes)
	switch {
	case err == nil:
		return versionedHead{Head: head, version: version}, nil
	case agatestage.NothingDone(err):
		return before, err
	}
	return jobStore.resolveWrite(ctx, before, head, data, err)
}

// resolveWrite determines the outcome of a write that was not acknowledged, or that
// conflicted, possibly with its own first execution.
func (jobStore *jobStore) resolveWrite(ctx context.Context, before versionedHead, head Head, data []byte, cause error) (versionedHead, error) {
	for range resolveAttempts {
		record, err := jobStore.store.Get(ctx, headKey(head.ID))
		switch {
		case err == nil && bytes.Equal(record.Value, data):
			return versionedHead{Head: head, version: record.Version}, nil
		case err == nil && record.Version != before.version, errors.Is(err, agatestage.ErrNotFound) && before.version != 0:
			return before, errHeadChanged
		case errors.Is(cause, agatestage.ErrConflict) && err == nil:
			return before, errConditionFailed
		case errors.Is(cause, agatestage.ErrConflict) && errors.Is(err, agatestage.ErrNotFound):
			return before, errHeadChanged
		}
		ticks.Wait(ctx, jobStore.clock, resolvePause)
		if ctx.Err() != nil {
			break
		}
	}
	return before, cause
}

// items reads the input of a job by a due time. What it has read when it fails is kept, within
// bounds, and not read again.
func (jobStore *jobStore) items(ctx context.Context, head Head, due time.Time) (items []Item, err error) {
	known := jobStore.partial.take(head)
	for ; known.parts < head.Parts; known.parts++ {
		var record agatestage.Record
		if record, err = jobStore.read(ctx, inputKey(head.ID, known.parts), due, head.partBytes()); err != nil {
			jobStore.partial.keep(head, known)
			return nil, errors.Wrapf(missing(err), "read part %d of job %s", known.parts, head.ID)
		}
		var decoded []Item
		if err = cbor.Unmarshal(record.Value, &decoded); err != nil {
			return nil, errors.Wrapf(errUnreadable, "decode items: %v", err)
		}
		known.items, known.bytes = append(known.items, decoded...), known.bytes+len(record.Value)
	}
	if len(known.items) != head.Items {
		return nil, errors.Wrapf(errUnreadable, "job %s has %d items and not %d", head.ID, len(known.items), head.Items)
	}
	return known.items, nil
}

// missing returns errUnreadable for the error of the read of a record that isn't there.
func missing(err error) error {
	if errors.Is(err, agatestage.ErrNotFound) {
		return errUnreadable
	}
	return err
}

// results reads the results of a job from a chunk on, by a due time.
func (jobStore *jobStore) results(ctx context.Context, head Head, from int, due time.Time) (results []Result, err error) {
	for chunk := from; chunk < head.Chunks; chunk++ {
		var record agatestage.Record
		if record, err = jobStore.read(ctx, chunkKey(head.ID, chunk), due, head.chunkBytes()); err != nil {
			return nil, errors.Wrapf(missing(err), "read chunk %d of job %s", chunk, head.ID)
		}
		var decoded []Result
		if err = cbor.Unmarshal(record.Value, &decoded); err != nil {
			return nil, errors.Wrapf(errUnreadable, "decode results: %v", err)
		}
		results = append(results, decoded...)
	}
	return results, nil
}

// progress reads the progress of unfinished items that an owner has written.
func (jobStore *jobStore) progress(ctx context.Context, head Head) (all []Progress, err error) {
	record, err := jobStore.read(ctx, progressPrefix+head.ID, head.Due, progressBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "read progress of job %s", head.ID)
	}
	return all, errors.Wrap(cbor.Unmarshal(record.Value, &all), "decode progress")
}

// maxRemovals is how many records one transaction of removeJob removes, beside its condition on
// the head.
const maxRemovals = agatestage.MaxCommitEntries - 1

// removeJob deletes the records of a job, its head last.
func (jobStore *jobStore) removeJob(ctx context.Context, expired versionedHead) error {
	var writes []agatestage.Write
	for part := range expired.Parts {
		writes = append(writes, agatestage.Write{Key: inputKey(expired.ID, part), Remove: true})
	}
	for chunk := range expired.Chunks {
		writes = append(writes, agatestage.Write{Key: chunkKey(expired.ID, chunk), Remove: true})
	}
	writes = append(writes, agatestage.Write{Key: progressPrefix + expired.ID, Remove: true})
	condition := []agatestage.Condition{{Key: headKey(expired.ID), Version: expired.version}}
	for len(writes) >= maxRemovals {
		if _, err := jobStore.store.Commit(ctx, condition, writes[:maxRemovals]); err != nil {
			return err
		}
		writes = writes[maxRemovals:]
	}
	writes = append(writes, agatestage.Write{Key: headKey(expired.ID), Remove: true})
	_, err := jobStore.store.Commit(ctx, condition, writes)
	return err
}
