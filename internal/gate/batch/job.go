package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// Results are accumulated before they are written, as a write costs the store the
	// same whatever its size: for 1/commitFraction of the time until they are due, at
	// least minCommitDelay, also if they are late, and at most maxCommitDelay.
	commitFraction = 6
	minCommitDelay = 200 * time.Millisecond
	maxCommitDelay = 2 * time.Second
	// progressSavePeriod is the minimum time between two writes of a job that save
	// only the progress of running items.
	progressSavePeriod = 2 * time.Second
	// commitRetryDelay is the pause after a failed write of results that may succeed if it is
	// repeated.
	commitRetryDelay = 250 * time.Millisecond
)

// job is a job that this gateway owns.
type job struct {
	manager *Manager
	// head is the job's head when this gateway became its owner; the job's identity
	// and times don't change.
	head          Head
	items         []Item
	inputBytes    int
	cancel        context.CancelFunc
	mutex         sync.Mutex
	versionedHead versionedHead
	// stored holds the results that are in the store, pending those still to be
	// written.
	stored    []Result
	pending   []Result
	completed map[string]bool
	// failureCounts holds how often targets have failed each unfinished item;
	// progressDirty means that these counts, or the progress, must be written.
	failureCounts map[string]int
	progressDirty bool
	// committing is true while a write of the head is in flight.
	committing bool
	// sinks collect the events of unfinished items.
	sinks map[string]*collector
	// changed is closed when results are added to stored or the job is stopped.
	changed    chan struct{}
	wake       chan struct{}
	stopped    bool
	terminated chan struct{}
	// startedAt is when this gateway started to run the job.
	startedAt time.Time
	// savedEvents is the number of events of unfinished items in the store.
	savedEvents int64
	// lease is the lease of this gateway under which the store last confirmed the head.
	lease      agatestage.Lease
	confirming atomic.Bool
	// rejections counts how often in a row the store has rejected the first of the pending
	// results.
	rejections int
	// unknownSince is when the earliest write of the head began whose outcome isn't known,
	// zero if there is none.
	unknownSince time.Time
}

func newJob(manager *Manager, owned versionedHead, lease agatestage.Lease, items []Item, stored []Result) *job {
	job := &job{
		manager: manager, head: owned.Head, versionedHead: owned, lease: lease, items: items, inputBytes: itemsBytes(items), stored: stored, completed: make(map[string]bool), failureCounts: make(map[string]int), sinks: make(map[string]*collector),
		changed: make(chan struct{}), wake: make(chan struct{}, 1), terminated: make(chan struct{}),
		startedAt: manager.clock.Now(),
	}
	for _, result := range stored {
		job.completed[result.ID] = true
	}
	return job
}

// start runs the items without a result in the background.
func (job *job) start() {
	ctx, cancel := context.WithCancel(job.manager.ctx)
	job.cancel = cancel
	var items sync.WaitGroup
	for _, item := range job.unfinishedItems() {
		items.Go(func() { job.run(ctx, item, job.sinks[item.ID]) })
	}
	go func() {
		defer close(job.terminated)
		job.commitLoop(ctx)
		cancel()
		items.Wait()
	}()
}

// unfinishedItems returns the items without a result. It creates the sink of each
// of them, so that all sinks exist before any item runs.
func (job *job) unfinishedItems() (items []*Item) {
	for i := range job.items {
		item := &job.items[i]
		if job.completed[item.ID] {
			continue
		}
		if job.sinks[item.ID] == nil {
			job.sinks[item.ID] = &collector{}
		}
		items = append(items, item)
	}
	return items
}

// addResult queues the result of an item to be written.
func (job *job) addResult(result Result) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if job.completed[result.ID] || job.stopped {
		return
	}
	job.completed[result.ID] = true
	delete(job.failureCounts, result.ID)
	job.pending = append(job.pending, result)
	job.wakeCommitter()
}

// wakeCommitter makes commitLoop check for data to write.
func (job *job) wakeCommitter() {
	select {
	case job.wake <- struct{}{}:
	default:
	}
}

// commitLoop writes results, failure counts and the progress of items in batches
// until the job has ended or is stopped.
func (job *job) commitLoop(ctx context.Context) {
	saveTicker := job.manager.clock.NewTicker(progressSavePeriod)
	defer saveTicker.Stop()
	for {
		if job.isFinished() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-saveTicker.C():
			if !job.shouldSaveProgress() {
				continue
			}
		case <-job.wake:
			if !job.allCompleted() {
				ticks.Wait(ctx, job.manager.clock, commitDelay(job.head.Due.Sub(job.manager.clock.Now())))
			}
		}
		for job.hasUnwritten() && ctx.Err() == nil {
			if job.manager.storeHealth.AwaitRecovery(ctx); ctx.Err() != nil {
				return
			}
			// A write that was begun ends also if the job moves: its outcome would be unknown.
			if err := job.commit(job.manager.ctx); errors.Is(err, errHeadChanged) {
				job.stop()
				return
			} else if err != nil {
				klog.InfoS("results not written", "job", job.head.ID, "results", job.pendingResults(), "error", err.Error())
				ticks.Wait(ctx, job.manager.clock, retryDelay(err))
			}
		}
	}
}

// retryDelay returns the pause after a failed write of results.
func retryDelay(err error) time.Duration {
	if errors.Is(err, agatestage.ErrRejected) {
		return rejectedPause
	}
	return commitRetryDelay
}

// commitDelay returns how long to accumulate results that are due after the given time.
func commitDelay(left time.Duration) time.Duration {
	return min(maxCommitDelay, max(minCommitDelay, left/commitFraction))
}

func (job *job) pendingResults() int {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return len(job.pending)
}

// hasUnwritten reports whether there are results or progress to write.
func (job *job) hasUnwritten() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return len(job.pending) > 0 || job.progressDirty
}

// allCompleted reports whether every item has a result, stored or pending.
func (job *job) allCompleted() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return len(job.completed) >= len(job.items)
}

// isFinished reports whether every result is stored or the job has ended or been
// stopped.
func (job *job) isFinished() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.stopped || !job.versionedHead.Open() || len(job.stored) >= len(job.items)
}

// notifyLocked wakes all callers that wait for results; the mutex must be held.
func (job *job) notifyLocked() {
	close(job.changed)
	job.changed = make(chan struct{})
}

// stop ends the local work on the job without changing its records.
func (job *job) stop() {
	job.mutex.Lock()
	if !job.stopped {
		job.stopped = true
		job.notifyLocked()
	}
	job.mutex.Unlock()
	job.cancel()
}

// snapshot returns the job's current head, its stored results and a channel that
// is closed when they change.
func (job *job) snapshot() (versionedHead, []Result, <-chan struct{}) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.versionedHead, job.stored, job.changed
}

// updateHead applies a head that another gateway has written. It reports whether
// this process is to continue to run the job.
func (job *job) updateHead(observed versionedHead) bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if observed.version <= job.versionedHead.version {
		return !job.stopped
	}
	if observed.Epoch != job.versionedHead.Epoch || observed.Instance != job.manager.instance {
		return false
	}
	if observed.Results != job.versionedHead.Results {
		// These are own results whose write has not been acknowledged yet. If no write
		// is in flight, the store has executed an earlier one late, and the job must be
		// read again.
		return job.committing || len(job.pending) > 0
	}
	job.versionedHead = observed
	return observed.Open()
}

// release writes the pending results and hands the job over to another gateway, or
// to any gateway if to is empty.
func (job *job) release(ctx context.Context, to Gateway) {
	job.cancel()
	var progress []Progress
	select {
	case <-job.terminated:
		progress = job.progress()
	case <-ctx.Done():
	}
	for job.pendingResults() > 0 && ctx.Err() == nil {
		if err := job.commit(ctx); errors.Is(err, errHeadChanged) {
			return
		} else if err != nil {
			job.manager.noteWrite(job.head.ID, err)
			klog.InfoS("results not written before the stop", "job", job.head.ID, "error", err.Error())
			if errors.Is(err, agatestage.ErrRejected) {
				// The next owner runs the items again.
				break
			}
			ticks.Wait(ctx, job.manager.clock, commitRetryDelay)
		}
	}
	job.mutex.Lock()
	before := job.versionedHead
	job.stopped = true
	job.mutex.Unlock()
	if !before.Open() {
		return
	}
	_, stored, _ := job.snapshot()
	job.manager.handOver(ctx, before, to, Handover{Items: job.items, Results: stored, Progress: progress})
}

// remaining returns the number of items without a result.
func (job *job) remaining() int {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return len(job.items) - len(job.completed)
}
