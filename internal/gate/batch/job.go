package batch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// groupTime is how long results are gathered before they are written: a write
	// costs the store as much as any, and results are due many seconds later.
	groupTime = time.Second
	// saveTime is the least time between two writes of a job for the sake of its
	// running items alone, and saveEvents the events that are worth one: what two
	// items of the users' sheets have.
	saveTime   = 2 * time.Second
	saveEvents = 400
	// commitRetry is the pause after results could not be written.
	commitRetry = 250 * time.Millisecond
)

// job is a job that this gateway owns.
type job struct {
	manager *Manager
	// head is the job as it was when this gateway began with it; its identity and
	// times don't change.
	head   Head
	items  []Item
	cancel context.CancelFunc
	mutex  sync.Mutex
	entry  entry
	// listed holds the results in the store; ready those that wait for it.
	listed []Result
	ready  []Result
	done   map[string]bool
	// failed counts how often targets have failed each unfinished item; unwritten
	// says that the store doesn't have all counts yet.
	failed    map[string]int
	unwritten bool
	// committing says that a write of the head is on its way.
	committing bool
	// sinks gather the unfinished items' events.
	sinks map[string]*collector
	// changed is closed when more results are listed or the job has ended.
	changed chan struct{}
	wake    chan struct{}
	stopped bool
	idle    chan struct{}
	// began is when this gateway began with the job.
	began time.Time
	// saved counts the events of unfinished items that the store has.
	saved int64
}

func newJob(manager *Manager, owned entry, items []Item, listed []Result) *job {
	job := &job{
		manager: manager, head: owned.Head, entry: owned, items: items, listed: listed, done: make(map[string]bool), failed: make(map[string]int), sinks: make(map[string]*collector),
		changed: make(chan struct{}), wake: make(chan struct{}, 1), idle: make(chan struct{}),
		began: manager.clock.Now(),
	}
	for _, result := range listed {
		job.done[result.ID] = true
	}
	return job
}

// start runs the items that have no result.
func (job *job) start() {
	ctx, cancel := context.WithCancel(job.manager.ctx)
	job.cancel = cancel
	var items sync.WaitGroup
	for _, item := range job.unfinished() {
		items.Go(func() { job.run(ctx, item, job.sinks[item.ID]) })
	}
	go func() {
		defer close(job.idle)
		job.commitAll(ctx)
		cancel()
		items.Wait()
	}()
}

// unfinished returns the items without a result and makes a sink for each, before
// any of them runs.
func (job *job) unfinished() (items []*Item) {
	for i := range job.items {
		item := &job.items[i]
		if job.done[item.ID] {
			continue
		}
		if job.sinks[item.ID] == nil {
			job.sinks[item.ID] = &collector{}
		}
		items = append(items, item)
	}
	return items
}

// finish takes the result of an item.
func (job *job) finish(result Result) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if job.done[result.ID] || job.stopped {
		return
	}
	job.done[result.ID] = true
	delete(job.failed, result.ID)
	job.ready = append(job.ready, result)
	job.rouse()
}

// rouse makes commitAll look what is to be written.
func (job *job) rouse() {
	select {
	case job.wake <- struct{}{}:
	default:
	}
}

// commitAll writes results, counts of failures and the progress of items in groups
// until the job has ended or is stopped.
func (job *job) commitAll(ctx context.Context) {
	save := job.manager.clock.NewTicker(saveTime)
	defer save.Stop()
	for {
		if job.complete() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-save.C():
			if !job.worthSaving() {
				continue
			}
		case <-job.wake:
			if !job.allDone() {
				ticks.Wait(ctx, job.manager.clock, groupTime)
			}
		}
		for job.pending() && ctx.Err() == nil {
			job.manager.contact.Await(ctx)
			if err := job.commit(ctx); errors.Is(err, errMoved) {
				job.stop()
				return
			} else if err != nil {
				klog.InfoS("results not written", "job", job.head.ID, "results", job.waiting(), "error", err.Error())
				ticks.Wait(ctx, job.manager.clock, commitRetry)
			}
		}
	}
}

func (job *job) waiting() int {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return len(job.ready)
}

// pending reports whether something waits to be written.
func (job *job) pending() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return len(job.ready) > 0 || job.unwritten
}

// allDone reports whether every item has a result, listed or not.
func (job *job) allDone() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return len(job.done) >= len(job.items)
}

// complete reports whether every result is listed or the job is over.
func (job *job) complete() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.stopped || !job.entry.Open() || len(job.listed) >= len(job.items)
}

// commit writes the results that wait, with the head that counts them, and what
// there is of unfinished items.
func (job *job) commit(ctx context.Context) (err error) {
	job.mutex.Lock()
	before, ready, progress := job.entry, slices.Clone(job.ready), job.unfinishedProgress()
	unwritten := job.unwritten
	job.unwritten, job.committing = false, true
	job.mutex.Unlock()
	defer func() {
		job.mutex.Lock()
		defer job.mutex.Unlock()
		job.committing = false
		job.unwritten = job.unwritten || (err != nil && unwritten)
	}()
	chunks, err := splitResults(ready)
	if err != nil {
		return err
	}
	head := before.Head
	var writes []agatestage.Write
	for i, chunk := range chunks {
		writes = append(writes, agatestage.Write{Key: chunkKey(head.ID, head.Chunks+i), Value: chunk})
	}
	if len(progress) > 0 {
		var data []byte
		if data, err = encodeProgress(progress); err != nil {
			return err
		}
		head.Progress = true
		writes = append(writes, agatestage.Write{Key: progressPrefix + head.ID, Value: data})
	}
	head.Chunks += len(chunks)
	head.Results += len(ready)
	if head.Results >= head.Items {
		head.State = StateDone
	}
	var after entry
	if after, err = job.manager.vault.write(ctx, before, head, writes...); err != nil {
		return err
	}
	job.manager.note(after)
	job.list(after, ready, eventsOf(progress))
	message := "results listed"
	if len(ready) == 0 {
		message = "progress saved"
	}
	klog.InfoS(message, "job", head.ID, "epoch", head.Epoch, "results", head.Results, "items", head.Items, "begun", len(progress), "version", after.version)
	return nil
}

// list shows results that have been written, with so many events of unfinished
// items.
func (job *job) list(after entry, results []Result, saved int64) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.entry, job.saved = after, saved
	if len(results) == 0 {
		return
	}
	job.listed = append(job.listed, results...)
	job.ready = job.ready[len(results):]
	job.announce()
}

// announce wakes those who wait for results; the mutex is held.
func (job *job) announce() {
	close(job.changed)
	job.changed = make(chan struct{})
}

// stop ends the work on the job without changing its records.
func (job *job) stop() {
	job.mutex.Lock()
	if !job.stopped {
		job.stopped = true
		job.announce()
	}
	job.mutex.Unlock()
	job.cancel()
}

// view returns the job's head, its listed results and a channel that is closed
// when they change.
func (job *job) view() (entry, []Result, <-chan struct{}) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.entry, job.listed, job.changed
}

// adopt takes a head that has been changed elsewhere. It reports whether this
// gateway is still the job's owner.
func (job *job) adopt(seen entry) bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if seen.version <= job.entry.version {
		return !job.stopped
	}
	if seen.Epoch != job.entry.Epoch || seen.Instance != job.manager.instance {
		return false
	}
	if seen.Results != job.entry.Results {
		// Own results whose write has not been acknowledged here yet; if none is on its
		// way, an earlier one was executed late, and the job has to be read anew.
		return job.committing || len(job.ready) > 0
	}
	job.entry = seen
	return seen.Open()
}

// release writes the results that wait and gives the job to another gateway, or
// to any if none is named.
func (job *job) release(ctx context.Context, to Gateway) {
	job.cancel()
	var progress []Progress
	select {
	case <-job.idle:
		progress = job.progress()
	case <-ctx.Done():
	}
	for job.waiting() > 0 && ctx.Err() == nil {
		if err := job.commit(ctx); errors.Is(err, errMoved) {
			return
		} else if err != nil {
			klog.InfoS("results not written before the stop", "job", job.head.ID, "error", err.Error())
			ticks.Wait(ctx, job.manager.clock, commitRetry)
		}
	}
	job.mutex.Lock()
	before := job.entry
	job.stopped = true
	job.mutex.Unlock()
	if !before.Open() {
		return
	}
	_, listed, _ := job.view()
	job.manager.handOver(ctx, before, to, Handover{Items: job.items, Results: listed, Progress: progress})
}

// left returns how many items have no result.
func (job *job) left() int {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return len(job.items) - len(job.done)
}

// itemOf returns an item by its ID.
func itemOf(items []Item, id string) (*Item, bool) {
	for i := range items {
		if items[i].ID == id {
			return &items[i], true
		}
	}
	return nil, false
}

// headerOf returns an item's header for its call.
func headerOf(item *Item) map[string][]string {
	header := make(map[string][]string, len(item.Header))
	for name, value := range maps.All(item.Header) {
		header[name] = []string{value}
	}
	return header
}
