package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/frame"
)

const (
	// readRetryPause is the pause before a failed read of the input is retried.
	readRetryPause = 500 * time.Millisecond
	// itemTimeout bounds one attempt to run an item.
	itemTimeout = 10 * time.Minute
	// prefixBytes is the length of the part of a body whose hash is the call's
	// prefix; calls with the same prefix share cached computation on a target.
	prefixBytes = 256
)

// readInput reads input blocks so that at least readAheadItems items are ready,
// until ctx ends.
func (job *Job) readInput(ctx context.Context) {
	for {
		for job.needsBlock() {
			if err := job.readBlock(ctx); err != nil {
				if ctx.Err() != nil {
					return
				}
				klog.InfoS("failed to read batch input; retrying", "job", job.entry.Head.ID, "error", err.Error())
				job.pause(ctx, readRetryPause)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-job.refill:
		}
	}
}

func (job *Job) needsBlock() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.active() && len(job.ready) < readAheadItems && job.nextBlock < len(job.blocks)
}

// readBlock reads the next block with unfinished items and adds these to ready.
func (job *Job) readBlock(ctx context.Context) error {
	job.mutex.Lock()
	for job.nextBlock < len(job.blocks) && job.blockDone(job.blocks[job.nextBlock]) {
		job.nextBlock++
	}
	if job.nextBlock >= len(job.blocks) {
		job.mutex.Unlock()
		return nil
	}
	block := job.blocks[job.nextBlock]
	segment := job.entry.Head.Input[block.segment]
	id := job.entry.Head.ID
	job.mutex.Unlock()
	frames, err := job.sites.Read(ctx, agatestage.Segment{Job: id, Name: segment.Name}, block.offset, 1, segment.Copies)
	if err != nil {
		return err
	}
	var blocks []agatestage.Block
	if blocks, err = frame.Blocks(bytes.NewReader(frames), int64(len(frames))); err != nil {
		return err
	}
	if len(blocks) == 0 || len(blocks[0].Lines) != block.count {
		return errors.Errorf("block at %d does not hold %d items", block.offset, block.count)
	}
	job.mutex.Lock()
	for _, line := range blocks[0].Lines {
		if !job.done.Test(uint(line.Item)) {
			job.ready = append(job.ready, Item{Number: line.Item, Line: line.Body})
		}
	}
	job.nextBlock++
	job.mutex.Unlock()
	job.changed()
	return nil
}

// blockDone reports whether all items of a block have results.
func (job *Job) blockDone(block block) bool {
	for i := range block.count {
		if !job.done.Test(uint(block.first + i)) {
			return false
		}
	}
	return true
}

// call returns the call that runs an item.
func (job *Job) call(item Item) agatestage.Call {
	var request Request
	// The line was validated when the job was accepted.
	_ = json.Unmarshal(item.Line, &request)
	head := job.entry.Head
	return agatestage.Call{
		Organisation: head.Organisation,
		Model:        head.Model,
		Method:       http.MethodPost,
		Path:         head.Endpoint,
		Header:       http.Header{"Content-Type": []string{"application/json"}},
		Body:         request.Body,
		Timeout:      itemTimeout,
		Idempotent:   true,
		Batch:        true,
		Suspect:      job.suspect(item.Number),
		Fingerprint:  xxhash.Sum64(item.Line),
		Prefix:       xxhash.Sum64(request.Body[:min(len(request.Body), prefixBytes)]),
	}
}
