package batch

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// maxRejections is how often in a row the store may reject a result that is written alone
	// before the item's failure is listed in its place.
	maxRejections = 2
	// rejectedPause is the pause after the store has rejected a write of which there is no
	// smaller one. Repeating it has no effect unless the store has changed.
	rejectedPause = 2 * time.Second
)

// resultGroup is what one transaction writes of a job beside its head: the first of the pending
// results, and with the last of them the progress of unfinished items. Until then the progress
// that was written before stays, so that an owner that is lost between two groups costs the
// items of the later ones no more than the results.
type resultGroup struct {
	results  []Result
	progress []Progress
	last     bool
}

// reduce returns a smaller group to write after the store has rejected one, as a single record
// may be the reason. If the store has rejected a single result that often in a row, the
// item's failure is written in its place: should the store reject that, too, the result isn't
// the reason, and stays pending.
func (group resultGroup) reduce(rejections int) (smaller resultGroup, ok bool) {
	results := group.results
	switch {
	case len(results) > 0 && len(group.progress) > 0:
		return resultGroup{results: results}, true
	case len(results) > 1:
		return resultGroup{results: results[:len(results)/2]}, true
	case len(results) == 1 && !results[0].Failed && rejections >= maxRejections:
		return resultGroup{results: []Result{{ID: results[0].ID, Failed: true}}}, true
	}
	return group, false
}

// firstResults returns the first of the pending results, as many as transferBytes allows but at
// least one. Their chunks take far less than the entries of a transaction, as two chunks in a
// row have more than maxRecordBytes together.
func firstResults(pending []Result) []Result {
	size := 0
	for i, result := range pending {
		if size += result.size(); size > transferBytes && i > 0 {
			return slices.Clone(pending[:i])
		}
	}
	return slices.Clone(pending)
}

// commit writes the first group of the pending results, or a part of it if the store rejects
// the whole.
func (job *job) commit(ctx context.Context) (err error) {
	var release func()
	if release, err = job.manager.jobStore.writes.Acquire(ctx, job.head.Due, job.groupBytes()); err != nil {
		return errors.Wrap(agatestage.ErrUnavailable, err.Error())
	}
	defer release()
	whole, progressDirty := job.nextGroup()
	group, smaller := whole, true
	for smaller {
		if err = job.write(ctx, group); !errors.Is(err, agatestage.ErrRejected) {
			break
		}
		metrics.GetOrCreateCounter("agatestage_batch_writes_rejected_total").Inc()
		klog.ErrorS(err, "results rejected by the store", "job", job.head.ID, "results", len(group.results), "begun", len(group.progress))
		group, smaller = group.reduce(job.rejections)
	}
	if err == nil && len(group.results) == 1 && group.results[0].Failed && !whole.results[0].Failed {
		klog.InfoS("item given up", "job", job.head.ID, "item", group.results[0].ID, "reason", "the store rejects its result")
	}
	return job.endCommit(whole, group, progressDirty, err)
}

// nextGroup returns what the next transaction is to write, and whether its progress must be
// written.
func (job *job) nextGroup() (group resultGroup, progressDirty bool) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	group.results = firstResults(job.pending)
	if group.last = len(group.results) == len(job.pending); group.last {
		group.progress, progressDirty = job.progressLocked(), job.progressDirty
		job.progressDirty = false
	}
	return group, progressDirty
}

// groupBytes returns the size of the results that the next transaction is to write.
func (job *job) groupBytes() (total int64) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	for _, result := range firstResults(job.pending) {
		total += int64(result.size())
	}
	return total
}

// endCommit records the outcome for the last group that was tried of a whole one, and returns
// the error of the commit.
func (job *job) endCommit(whole, tried resultGroup, progressDirty bool, err error) error {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	rejected := errors.Is(err, agatestage.ErrRejected)
	if rejected && len(whole.results) == 0 {
		// Later progress may fit.
		job.savedEvents = countEvents(whole.progress)
		return nil
	}
	job.progressDirty = job.progressDirty || progressDirty && (err != nil || !tried.last)
	switch {
	case err == nil:
		job.rejections = 0
	case rejected:
		job.rejections++
	}
	return err
}

// write writes a group in one transaction with the head that counts its results.
func (job *job) write(ctx context.Context, group resultGroup) (err error) {
	before, end := job.beginWrite()
	defer func() { end(err) }()
	head := before.Head
	var writes []agatestage.Write
	if writes, err = group.encode(&head); err != nil {
		return err
	}
	lease := job.manager.currentLease()
	var written versionedHead
	if written, err = job.manager.jobStore.writeHead(ctx, before, head, writes...); err != nil {
		return err
	}
	job.manager.cacheHead(written)
	job.markStored(written, lease, group)
	message := "results listed"
	if len(group.results) == 0 {
		message = "progress saved"
	}
	klog.InfoS(message, "job", head.ID, "epoch", head.Epoch, "results", head.Results, "items", head.Items, "begun", len(group.progress), "version", written.version)
	return nil
}

// beginWrite returns the job's head before a write of it. The function that it returns must be
// called with the outcome.
func (job *job) beginWrite() (before versionedHead, end func(error)) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.committing = true
	known := job.unknownSince.IsZero()
	if known {
		job.unknownSince = job.manager.clock.Now()
	}
	return job.versionedHead, func(err error) {
		job.mutex.Lock()
		defer job.mutex.Unlock()
		job.committing = false
		if err == nil || known && agatestage.NothingDone(err) {
			job.unknownSince = time.Time{}
		}
	}
}

// encode returns the records of the group, and changes the head to the one that counts them.
func (group resultGroup) encode(head *Head) (writes []agatestage.Write, err error) {
	chunks, err := encodeRecords(group.results)
	if err != nil {
		return nil, errors.Wrap(agatestage.ErrRejected, err.Error())
	}
	for i, chunk := range chunks {
		writes = append(writes, agatestage.Write{Key: chunkKey(head.ID, head.Chunks+i), Value: chunk})
	}
	if len(group.progress) > 0 {
		var data []byte
		if data, err = encodeProgress(group.progress); err != nil {
			return nil, errors.Wrap(agatestage.ErrRejected, err.Error())
		}
		head.Progress = true
		writes = append(writes, agatestage.Write{Key: progressPrefix + head.ID, Value: data})
	}
	head.Chunks += len(chunks)
	head.ResultBytes += totalBytes(chunks)
	head.Results += len(group.results)
	if head.Results >= head.Items {
		head.State = StateDone
	}
	return writes, nil
}

// markStored moves the results of a group that has been written under a lease from pending to
// stored, and records how many events of unfinished items were written with them.
func (job *job) markStored(written versionedHead, lease agatestage.Lease, group resultGroup) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.versionedHead, job.lease = written, lease
	if group.last {
		job.savedEvents = countEvents(group.progress)
	}
	if len(group.results) == 0 {
		return
	}
	job.stored = append(job.stored, group.results...)
	job.pending = job.pending[len(group.results):]
	job.notifyLocked()
}
