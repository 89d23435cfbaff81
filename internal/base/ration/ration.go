// Package ration shares a line among transfers.
//
// Transfers that all begin at once all end late. A queue lets only so many bytes be under way
// at a time, and lets the transfers begin in the order of their due times, so that the
// first one ends soon, however many wait.
package ration

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Queue admits transfers.
type Queue struct {
	capacity int64
	mutex    sync.Mutex
	free     int64
	// waiting holds the transfers that wait, by due time.
	waiting []*transfer
}

// transfer is one that waits.
type transfer struct {
	due      time.Time
	bytes    int64
	admitted chan struct{}
}

// New returns a queue that admits transfers of at most so many bytes together.
func New(bytes int64) *Queue {
	return &Queue{capacity: bytes, free: bytes}
}

// Acquire waits until a transfer may begin, or returns the error of ctx. The transfer must
// be released at its end. One that is larger than the queue's capacity counts as having that.
func (queue *Queue) Acquire(ctx context.Context, due time.Time, bytes int64) (release func(), err error) {
	waiting := &transfer{due: due, bytes: min(max(1, bytes), queue.capacity), admitted: make(chan struct{})}
	queue.mutex.Lock()
	at := slices.IndexFunc(queue.waiting, func(other *transfer) bool { return other.due.After(due) })
	if at < 0 {
		at = len(queue.waiting)
	}
	queue.waiting = slices.Insert(queue.waiting, at, waiting)
	queue.admit()
	queue.mutex.Unlock()
	select {
	case <-waiting.admitted:
	case <-ctx.Done():
		if !queue.leave(waiting) {
			queue.release(waiting)
		}
		return nil, ctx.Err()
	}
	var once sync.Once
	return func() { once.Do(func() { queue.release(waiting) }) }, nil
}

// admit lets the first transfers begin; the mutex must be held. Smaller ones don't overtake the
// first one, which might otherwise wait for good.
func (queue *Queue) admit() {
	for len(queue.waiting) > 0 && queue.waiting[0].bytes <= queue.free {
		next := queue.waiting[0]
		queue.waiting = slices.Delete(queue.waiting, 0, 1)
		queue.free -= next.bytes
		close(next.admitted)
	}
}

// leave removes a transfer that no longer waits. It returns false if the transfer has been
// admitted.
func (queue *Queue) leave(waiting *transfer) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	at := slices.Index(queue.waiting, waiting)
	if at < 0 {
		return false
	}
	queue.waiting = slices.Delete(queue.waiting, at, at+1)
	queue.admit()
	return true
}

func (queue *Queue) release(ended *transfer) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.free += ended.bytes
	queue.admit()
}
