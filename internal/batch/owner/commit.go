package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/batch/frame"
	"github.com/agatestage/agatestage/internal/batch/heads"
)

// commitRetryPause is the pause before a failed write of results or of the head is
// retried.
const commitRetryPause = 300 * time.Millisecond

// errNotOwner reports that another entry owns the job, or that it no longer exists.
var errNotOwner = errors.New("another entry owns the job")

// commit writes results in groups until the job has ended, another entry owns it
// or ctx ends.
func (job *Job) commit(ctx context.Context) {
	for {
		if ended, err := job.endIfFinished(ctx); ended || errors.Is(err, errNotOwner) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-job.wake:
		}
		job.awaitGroup(ctx)
		lines := job.nextGroup()
		for len(lines) > 0 && ctx.Err() == nil && !job.isCancelling() {
			if err := job.writeGroup(ctx, lines); err == nil {
				lines = job.nextGroup()
				continue
			} else if errors.Is(err, errNotOwner) {
				klog.InfoS("another entry owns the job; stopped writing results", "job", job.entry.Head.ID, "epoch", job.epoch)
				return
			}
			job.pause(ctx, commitRetryPause)
		}
	}
}

func (job *Job) isCancelling() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.cancelling
}

// awaitGroup waits for maxGroupDelay if items are running and the buffer doesn't
// hold a full group yet, so that one disk sync covers many results.
func (job *Job) awaitGroup(ctx context.Context) {
	job.mutex.Lock()
	enough := len(job.buffer) >= maxGroupLines || len(job.inflight) == 0
	job.mutex.Unlock()
	if !enough {
		job.pause(ctx, maxGroupDelay)
	}
}

func (job *Job) pause(ctx context.Context, pause time.Duration) {
	ticks.Wait(ctx, job.clock, pause)
}

// nextGroup removes the results of one group from the buffer and returns them, or
// none once the job is being cancelled.
func (job *Job) nextGroup() []agatestage.Line {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if job.cancelling {
		return nil
	}
	lines := job.buffer[:min(len(job.buffer), maxGroupLines)]
	size := 0
	for i, line := range lines {
		if size += len(line.Body); size > maxGroupBytes && i > 0 {
			lines = lines[:i]
			break
		}
	}
	job.buffer = job.buffer[len(lines):]
	return lines
}

// writeGroup writes one group to all copies of the open segment and then marks its
// items as done. If a copy fails, it writes the group to a new segment on other
// hosts.
func (job *Job) writeGroup(ctx context.Context, lines []agatestage.Line) error {
	frames, err := frame.Append(nil, agatestage.Block{Lines: lines})
	if err != nil {
		return err
	}
	segment, offset := job.currentSegment()
	var end int64
	if end, err = job.write(ctx, segment, offset, frames); err != nil {
		klog.InfoS("failed to write result segment; opening a new one", "job", job.entry.Head.ID, "segment", segment.Name, "error", err.Error())
		if err = job.replaceSegment(ctx, offset); err != nil {
			return err
		}
		segment, offset = job.currentSegment()
		if end, err = job.write(ctx, segment, offset, frames); err != nil {
			return err
		}
	}
	job.markDone(lines, end)
	return nil
}

// currentSegment returns the open result segment and its acknowledged length.
func (job *Job) currentSegment() (heads.Segment, int64) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	results := job.entry.Head.Results
	return results[len(results)-1], job.acked
}

func (job *Job) write(ctx context.Context, segment heads.Segment, offset int64, frames []byte) (int64, error) {
	return job.sites.Append(ctx, agatestage.Segment{Job: job.entry.Head.ID, Name: segment.Name}, job.epoch, offset, frames, segment.Copies)
}

// markDone marks the items of acknowledged results as done.
func (job *Job) markDone(lines []agatestage.Line, end int64) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.acked = end
	for _, line := range lines {
		delete(job.unacknowledged, line.Item)
		if job.done.Test(uint(line.Item)) {
			continue
		}
		job.done.Set(uint(line.Item))
		job.doneCount++
		if line.Failed {
			job.failed++
		}
	}
	if job.doneCount >= job.entry.Head.Items {
		signal(job.wake)
	}
}

// replaceSegment seals the open segment at its acknowledged length and opens a
// new one, preferably on other hosts than those that failed, by one
// compare-and-swap of the head.
func (job *Job) replaceSegment(ctx context.Context, length int64) error {
	entry := job.currentEntry()
	head := entry.Head.Clone()
	last := &head.Results[len(head.Results)-1]
	last.Bytes, last.Sealed = length, true
	avoid := job.failedHosts(ctx, *last)
	if err := job.addSegment(ctx, &head, avoid); err != nil {
		return err
	}
	return job.writeHead(ctx, head, entry.Version, 0)
}

// failedHosts returns the hosts of a segment that don't acknowledge a fence.
func (job *Job) failedHosts(ctx context.Context, segment heads.Segment) map[string]bool {
	avoid := make(map[string]bool)
	for _, host := range segment.Copies {
		ledger, err := job.sites.Ledger(host)
		if err == nil {
			_, err = ledger.Fence(ctx, job.entry.Head.ID, job.epoch)
		}
		if err != nil {
			avoid[host] = true
		}
	}
	return avoid
}

// addSegment creates a new result segment on its hosts and then adds it to the
// head.
func (job *Job) addSegment(ctx context.Context, head *heads.Head, avoid map[string]bool) error {
	hosts, err := job.sites.Choose(head.ID, avoid)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("result-%d-%d", job.epoch, len(head.Results))
	if err = job.sites.Create(ctx, agatestage.Segment{Job: head.ID, Name: name}, job.epoch, hosts); err != nil {
		return err
	}
	head.Results = append(head.Results, heads.Segment{Name: name, Copies: hosts})
	return nil
}

func (job *Job) currentEntry() heads.Entry {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.entry
}

// writeHead writes the head. A conflict means that another entry has taken the job,
// or that repair has changed the hosts of its copies.
func (job *Job) writeHead(ctx context.Context, head heads.Head, version uint64, acked int64) error {
	entry, err := job.registry.Swap(ctx, head, version)
	if errors.Is(err, agatestage.ErrConflict) {
		return job.reconcile(ctx)
	}
	if err != nil {
		return err
	}
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.entry, job.acked = entry, acked
	return nil
}

// reconcile handles a conflicting write of the head. If this entry still owns the
// job, it adopts the stored head and returns an error, so that the write is
// retried; otherwise it returns errNotOwner.
func (job *Job) reconcile(ctx context.Context) error {
	entry, err := job.registry.Fetch(ctx, job.entry.Head.ID)
	if errors.Is(err, agatestage.ErrNotFound) {
		return errNotOwner
	}
	if err != nil {
		return err
	}
	if entry.Head.Epoch != job.epoch || entry.Head.Owner != job.sites.Self() || entry.Head.State.Ended() {
		return errNotOwner
	}
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.entry = entry
	return errors.New("the head was changed by another entry; the write must be retried")
}

// endIfFinished writes the final state to the head once every item has a result
// or the job is being cancelled. It reports whether the job has ended.
func (job *Job) endIfFinished(ctx context.Context) (bool, error) {
	job.mutex.Lock()
	entry, acked := job.entry, job.acked
	head := entry.Head.Clone()
	complete := job.doneCount >= head.Items
	cancelling := job.cancelling
	head.Completed, head.Failed = job.doneCount-job.failed, job.failed
	job.mutex.Unlock()
	if !complete && !cancelling {
		return false, nil
	}
	if head.State = heads.StateDone; !complete {
		head.State = heads.StateCancelled
	}
	head.Ended = job.clock.Now().UTC()
	last := &head.Results[len(head.Results)-1]
	last.Bytes, last.Sealed = acked, true
	if err := job.writeHead(ctx, head, entry.Version, acked); err != nil {
		if errors.Is(err, errNotOwner) {
			return false, err
		}
		job.pause(ctx, commitRetryPause)
		signal(job.wake)
		return false, err
	}
	klog.InfoS("job ended", "job", head.ID, "state", head.State, "completed", head.Completed, "failed", head.Failed)
	return true, nil
}

// Cancel cancels the job: from now on no items are dispatched and no results are
// recorded. It returns once Run has ended the job, or with an error if ctx ends
// first; the cancellation then continues in the background.
func (job *Job) Cancel(ctx context.Context) error {
	job.mutex.Lock()
	job.cancelling = true
	job.buffer, job.ready = nil, nil
	clear(job.delayed)
	job.mutex.Unlock()
	job.revoke(job.entry.Head.ID)
	signal(job.wake)
	select {
	case <-job.finished:
		return nil
	case <-ctx.Done():
		return errors.New("the cancellation has not been written to the store yet")
	}
}
