package owner

import (
	"context"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/heads"
)

// scanBlocks is the number of block summaries requested by one scan.
const scanBlocks = 512

// take makes this entry the owner of a job. It increments the epoch in the head,
// then fences the copies of the open segment, then indexes input and results.
// It retries until it succeeds, ctx ends or another entry takes the job.
func (manager *Manager) take(ctx context.Context, entry heads.Entry) (*Job, error) {
	head := entry.Head.Clone()
	head.Owner, head.Epoch = manager.sites.Self(), entry.Head.Epoch+1
	entry, err := manager.registry.Swap(ctx, head, entry.Version)
	if err != nil {
		return nil, err
	}
	job := newJob(manager, entry)
	for {
		if err = job.recover(ctx); err == nil {
			klog.InfoS("job taken", "job", head.ID, "epoch", head.Epoch, "done", job.doneCount, "items", head.Items)
			return job, nil
		}
		if ctx.Err() != nil || errors.Is(err, errNotOwner) {
			return nil, err
		}
		klog.InfoS("failed to recover job; retrying", "job", head.ID, "error", err.Error())
		job.pause(ctx, commitRetryPause)
	}
}

// recover seals the open result segment of the previous owner, opens a new one and
// rebuilds the indexes of input and results.
func (job *Job) recover(ctx context.Context) error {
	entry := job.currentEntry()
	head := entry.Head.Clone()
	if n := len(head.Results); n > 0 && !head.Results[n-1].Sealed {
		length, err := job.fencedLength(ctx, head.Results[n-1])
		if err != nil {
			return err
		}
		head.Results[n-1].Bytes, head.Results[n-1].Sealed = length, true
	}
	if err := job.addSegment(ctx, &head, nil); err != nil {
		return err
	}
	if err := job.writeHead(ctx, head, entry.Version, 0); err != nil {
		return err
	}
	if err := job.indexInput(ctx); err != nil {
		return err
	}
	return job.indexResults(ctx)
}

// fencedLength fences the copies of an open segment and returns its length. A
// write is acknowledged only by all copies together, so each copy contains all
// acknowledged data; the longest length is used in case another copy has lost its
// end. A copy that doesn't list the segment has lost it and is ignored.
func (job *Job) fencedLength(ctx context.Context, segment heads.Segment) (int64, error) {
	longest, found := int64(0), false
	for _, host := range segment.Copies {
		ledger, err := job.sites.Ledger(host)
		if err != nil {
			continue
		}
		lengths, err := ledger.Fence(ctx, job.entry.Head.ID, job.epoch)
		if errors.Is(err, agatestage.ErrFenced) {
			return 0, errNotOwner
		}
		for _, length := range lengths {
			if err == nil && length.Segment.Name == segment.Name {
				longest, found = max(longest, length.Bytes), true
			}
		}
	}
	if !found {
		return 0, errors.Errorf("no copy of segment %s is reachable", segment.Name)
	}
	return longest, nil
}

// indexInput builds the index of input blocks.
func (job *Job) indexInput(ctx context.Context) error {
	head := job.currentEntry().Head
	var blocks []block
	for i, segment := range head.Input {
		err := job.scan(ctx, segment, func(summary agatestage.Summary) {
			blocks = append(blocks, block{segment: i, offset: summary.Offset, first: summary.Items[0], count: len(summary.Items)})
		})
		if err != nil {
			return err
		}
	}
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.blocks, job.nextBlock = blocks, 0
	return nil
}

// indexResults sets the done bits of all items that have results, and counts them.
func (job *Job) indexResults(ctx context.Context) error {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.done.ClearAll()
	job.doneCount, job.failed = 0, 0
	for _, segment := range job.entry.Head.Results {
		if !segment.Sealed {
			continue
		}
		err := job.scan(ctx, segment, func(summary agatestage.Summary) {
			job.failed += summary.Failed
			for _, item := range summary.Items {
				if !job.done.Test(uint(item)) {
					job.done.Set(uint(item))
					job.doneCount++
				}
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// scan calls visit with the summary of each block of a sealed segment.
func (job *Job) scan(ctx context.Context, segment heads.Segment, visit func(agatestage.Summary)) error {
	name := agatestage.Segment{Job: job.entry.Head.ID, Name: segment.Name}
	for offset := int64(0); offset < segment.Bytes; {
		summaries, err := job.sites.Scan(ctx, name, offset, scanBlocks, segment.Copies)
		if err != nil {
			return err
		}
		for _, summary := range summaries {
			if summary.End > segment.Bytes {
				return nil
			}
			visit(summary)
			offset = summary.End
		}
	}
	return nil
}
