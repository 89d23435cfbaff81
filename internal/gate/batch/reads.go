package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"
)

// readPatience is how long the read of an input waits for the memory that others have: callers
// wait for 1.5 s, and the read takes its time, too.
const readPatience = time.Second

// errReadsBusy means that others read as many inputs as the memory allows.
var errReadsBusy = errors.New("the memory for reading inputs is in use")

// inputReads are the reads of inputs from the store for callers that ask for an item's body. All
// that ask for a job's at a time share one read. Its zero value doesn't bound the reads.
type inputReads struct {
	running singleflight.Group
	bytes   int64
	free    *semaphore.Weighted
}

// limit sets how many bytes the inputs that are being read may have together. One that is larger is read alone.
func (inputReads *inputReads) limit(bytes int64) {
	if bytes > 0 {
		inputReads.bytes, inputReads.free = bytes, semaphore.NewWeighted(bytes)
	}
}

// input returns what read returns, or what a read of the same job returns that is running already.
// It goes on for the others when a caller has left.
func (inputReads *inputReads) input(ctx context.Context, id string, read func(ctx context.Context) ([]Item, error)) ([]Item, error) {
	result := inputReads.running.DoChan(id, func() (any, error) { return read(context.WithoutCancel(ctx)) })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case outcome := <-result:
		if outcome.Err != nil {
			return nil, outcome.Err
		}
		return outcome.Val.([]Item), nil
	}
}

// readInput reads the input of a job from the store and caches it.
func (manager *Manager) readInput(ctx context.Context, head versionedHead) ([]Item, error) {
	release, err := manager.admitRead(ctx, int64(head.InputBytes))
	if err != nil {
		return nil, err
	}
	defer release()
	items, err := manager.jobStore.items(ctx, head.Head, manager.clock.Now())
	if err != nil {
		return nil, err
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.mayCache(head.Head) {
		manager.snapshots.setItems(head.ID, items)
	}
	return items, nil
}

// admitRead waits until an input of that size may be read. The function that it returns must be called
// after the read.
func (manager *Manager) admitRead(ctx context.Context, bytes int64) (release func(), err error) {
	reads := &manager.reads
	if reads.free == nil {
		return func() {}, nil
	}
	bytes = min(bytes, reads.bytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := manager.clock.NewTimer(readPatience)
	defer timer.Stop()
	go func() {
		select {
		case <-timer.C():
			cancel()
		case <-ctx.Done():
		}
	}()
	if err = reads.free.Acquire(ctx, bytes); err != nil {
		return nil, errReadsBusy
	}
	return func() { reads.free.Release(bytes) }, nil
}
