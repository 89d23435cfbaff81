package intake

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

// workPatience is how long work waits for its memory: the time that a submission waits for the
// line to the store.
const workPatience = 1500 * time.Millisecond

// work admits work on requests that have arrived whole, in order of arrival. It is apart from the
// pool, since those that hold a part of the pool would wait for one another.
type work struct {
	size int64
	free *semaphore.Weighted
}

func newWork(bytes int64) *work {
	return &work{size: bytes, free: semaphore.NewWeighted(max(1, bytes))}
}

// Work waits until that much memory may be used beside the pool, for at most workPatience. Work that
// needs more than there is runs alone. The function that it returns gives the memory back.
func (pool *Pool) Work(ctx context.Context, bytes int64) (release func(), err error) {
	work := pool.work
	bytes = min(bytes, work.size)
	if bytes <= 0 {
		return func() {}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := pool.clock.NewTimer(workPatience)
	defer timer.Stop()
	go func() {
		select {
		case <-timer.C():
			cancel()
		case <-ctx.Done():
		}
	}()
	if err = work.free.Acquire(ctx, bytes); err != nil {
		pool.count("work")
		return nil, ErrShort
	}
	return func() { work.free.Release(bytes) }, nil
}
