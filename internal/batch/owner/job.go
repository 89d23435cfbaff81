// Package owner runs the batch jobs that an entry owns.
//
// Items are read from the input in order, a bounded number ahead. A bit set
// records which items have a result. Results are written in groups to all copies
// of the open result segment and count only once all copies have acknowledged
// them. An item may run more than once; its result is recorded once.
//
// Ownership is fenced by epoch: ledgers refuse writes of an older epoch, so an
// owner that resumes after a pause can't do harm. An owner needs no lease to
// continue, because another entry can take a job only by changing its head in the
// store.
package owner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/sites"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

const (
	// readAheadItems is the number of ready items below which another input block
	// is read.
	readAheadItems = 256
	// maxAttempts bounds the failed attempts of an item. Attempts that were
	// returned, for example because they were preempted by online calls, that
	// certainly didn't run or whose target went down don't count.
	maxAttempts = 4
	// maxGroupDelay, maxGroupLines and maxGroupBytes bound a group of results by time and size.
	// One result, of 16 MB at most, is written whatever its size; a frame and a message to
	// a ledger may have 64 MB.
	maxGroupDelay = 20 * time.Millisecond
	maxGroupLines = 512
	maxGroupBytes = 8 << 20
)

func itoa(n int) string {
	return strconv.Itoa(n)
}

// block locates an input block and the items in it.
type block struct {
	segment int
	offset  int64
	first   int
	count   int
}

// Job is one job that this entry owns.
//
// Invariants: an item is in at most one of ready, inflight, delayed and
// unacknowledged; an item whose done bit is set is in none of them; a done bit is set only after all
// copies have acknowledged the result.
type Job struct {
	sites    *sites.Sites
	registry *heads.Registry
	clock    agatestage.Clock
	epoch    uint64

	mutex sync.Mutex
	entry heads.Entry
	// blocks is the index of the input; nextBlock is the first one not read yet.
	blocks    []block
	nextBlock int
	ready     []Item
	inflight  map[int]Item
	// delayed holds the items that are not dispatched until their delay has passed.
	delayed map[int]Item
	// attempts counts the failed attempts of each item, losses those whose target
	// went down.
	attempts map[int]int
	losses   map[int]int
	// done has a bit for each item with a result; doneCount is the number of set
	// bits, failed the number of failed results among them.
	done      *bitset.BitSet
	doneCount int
	failed    int
	// buffer holds results that have not been written yet; unacknowledged holds
	// the items with results that have not been acknowledged.
	buffer         []agatestage.Line
	unacknowledged map[int]bool
	// acked is the acknowledged length of the open result segment.
	acked      int64
	cancelling bool
	stopped    bool
	// finished is closed when the job has ended or is no longer owned here.
	finished chan struct{}
	// wake and refill trigger the writing of results and the reading of items.
	wake    chan struct{}
	refill  chan struct{}
	changed func()
	revoke  func(job string)
}

// newJob returns a job whose state has not been recovered yet.
func newJob(manager *Manager, entry heads.Entry) *Job {
	items := uint(entry.Head.Items)
	return &Job{
		sites: manager.sites, registry: manager.registry, clock: manager.clock, epoch: entry.Head.Epoch, entry: entry,
		inflight: make(map[int]Item), delayed: make(map[int]Item), attempts: make(map[int]int), losses: make(map[int]int), unacknowledged: make(map[int]bool),
		done: bitset.New(items), finished: make(chan struct{}),
		wake: make(chan struct{}, 1), refill: make(chan struct{}, 1),
		changed: manager.Changed, revoke: manager.Revoke,
	}
}

// Head returns the head as last written or read by this owner.
func (job *Job) Head() heads.Head {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.entry.Head
}

// Progress is the progress of a job.
type Progress struct {
	Head      heads.Head
	Completed int
	Failed    int
	Running   int
	// Acked is the acknowledged length of the open result segment in bytes; only
	// this part may be read.
	Acked      int64
	Cancelling bool
}

// Progress returns the job's current progress.
func (job *Job) Progress() Progress {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return Progress{
		Head: job.entry.Head, Completed: job.doneCount - job.failed, Failed: job.failed,
		Running: len(job.inflight), Acked: job.acked, Cancelling: job.cancelling,
	}
}

// active reports whether items may be dispatched; the mutex is held.
func (job *Job) active() bool {
	return !job.stopped && !job.cancelling
}

// Waiting returns the number of items that can be dispatched now.
func (job *Job) Waiting() int {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if !job.active() {
		return 0
	}
	return len(job.ready)
}

// Take returns up to n items to dispatch.
func (job *Job) Take(n int) []calls.BatchItem {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if !job.active() {
		return nil
	}
	n = min(n, len(job.ready))
	items := make([]calls.BatchItem, 0, n)
	for _, item := range job.ready[:n] {
		job.inflight[item.Number] = item
		items = append(items, calls.BatchItem{Ref: job.ref(item.Number), Call: job.call(item)})
	}
	job.ready = job.ready[n:]
	if len(job.ready) < readAheadItems {
		signal(job.refill)
	}
	return items
}

func (job *Job) ref(number int) calls.ItemRef {
	return calls.ItemRef{Job: job.entry.Head.ID, Epoch: job.epoch, Item: number}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Requeue requeues an item whose attempt had no outcome. It doesn't count as a
// failed attempt.
func (job *Job) Requeue(number int) {
	job.mutex.Lock()
	job.requeue(number)
	job.mutex.Unlock()
	job.changed()
}

// requeue moves an item from inflight to the front of ready, unless it already has
// a result; the mutex is held.
func (job *Job) requeue(number int) {
	item, ok := job.inflight[number]
	if !ok {
		return
	}
	delete(job.inflight, number)
	if !job.done.Test(uint(number)) {
		job.ready = append([]Item{item}, job.ready...)
	}
}

// Finish records the outcome of an attempt, or requeues the item for another one.
// Outcomes of items that are not running, or of another epoch, are ignored.
func (job *Job) Finish(outcome calls.ItemResult) {
	job.mutex.Lock()
	number := outcome.Ref.Item
	item, ok := job.inflight[number]
	if !ok || outcome.Ref.Epoch != job.epoch || job.stopped {
		job.mutex.Unlock()
		return
	}
	if job.shouldRetry(number, outcome) {
		if delay := job.lossDelay(number, outcome); delay > 0 {
			job.delay(number, delay)
		} else {
			job.requeue(number)
		}
		job.mutex.Unlock()
		job.changed()
		return
	}
	delete(job.inflight, number)
	delete(job.attempts, number)
	delete(job.losses, number)
	job.unacknowledged[number] = true
	job.buffer = append(job.buffer, resultLine(job.entry.Head.ID, item, outcome))
	job.mutex.Unlock()
	signal(job.wake)
}

// shouldRetry counts a failed attempt and reports whether the item should be
// retried; the mutex is held.
func (job *Job) shouldRetry(number int, outcome calls.ItemResult) bool {
	if !ran(outcome) {
		return true
	}
	// Items never crash targets by themselves: one that ran at a target that went
	// down is still owed.
	if outcome.TargetLost {
		job.losses[number]++
		return true
	}
	if !transient(outcome) {
		return false
	}
	job.attempts[number]++
	return job.attempts[number] < maxAttempts
}

// ran reports whether an attempt says something about its item: it was not returned,
// and may have run.
func ran(outcome calls.ItemResult) bool {
	return !outcome.Returned && (outcome.Refusal == nil || outcome.Refusal.Ran != agatestage.RanNo)
}

// transient reports whether another attempt may have another outcome.
func transient(outcome calls.ItemResult) bool {
	if outcome.Refusal != nil {
		return true
	}
	return outcome.Status >= 500 || outcome.Status == 429 || outcome.Status == 408
}

// suspect reports whether a target went down while running the item; the mutex is
// held.
func (job *Job) suspect(number int) bool {
	return job.losses[number] > 0
}

// Run reads items and writes results until the job has ended, another entry owns
// it or ctx ends.
func (job *Job) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go job.readInput(ctx)
	job.commit(ctx)
	job.mutex.Lock()
	job.stopped = true
	job.mutex.Unlock()
	close(job.finished)
	job.revoke(job.entry.Head.ID)
}

// Finished is closed when Run has returned.
func (job *Job) Finished() <-chan struct{} {
	return job.finished
}
