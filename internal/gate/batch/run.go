package batch

import (
	"context"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

const (
	// runTime bounds one run of an item; a run that is cut goes on from its last
	// event in the next.
	runTime = 60 * time.Second
	// firstEvent is how long a target may take to an item's first event before the
	// item is tried elsewhere. A full batch of prompts is read in a tenth of it.
	firstEvent = 1500 * time.Millisecond
	// silence is how long a target may pause within an item's stream where the
	// route doesn't say.
	silence = 600 * time.Millisecond
	// retryPause is the time between two runs of an item that a target failed
	// or turned away; it doubles up to retryPauseMost.
	retryPause     = 200 * time.Millisecond
	retryPauseMost = 3 * time.Second
	// firstItemTime is how long an item is taken to need a slot, and firstItemEvents how
	// many events it is taken to have, before any has been done here: the users' sheets
	// name about 200 events of 20 to 30 ms.
	firstItemTime   = 5 * time.Second
	firstItemEvents = 200
	// itemWeight is the weight of one item in the means of both, and leastNeed the part
	// of the time that an item which has more events may still need.
	itemWeight = 0.05
	leastNeed  = 0.2
	// endlessRuns is how many runs may fail without a word from the target before
	// the item waits for retryPauseMost each time.
	endlessRuns = 4
	// clockMargin is how much later than GiveUp an item is given up, as hosts'
	// clocks differ by seconds.
	clockMargin = 4 * time.Second
)

// attempts is what the runs of one item came to.
type attempts struct {
	failed int
	broken int
	// served is for how long the item has had a slot here.
	served time.Duration
	// before is the number of the last event that the item had when this gateway began
	// with it.
	before int64
}

// run runs one item until it has a result or ctx ends.
func (job *job) run(ctx context.Context, item *Item, sink *collector) {
	tries := attempts{failed: job.failures(item.ID), before: sink.last()}
	for ctx.Err() == nil {
		route, known, ok := job.route(item)
		if !known {
			ticks.Wait(ctx, job.manager.clock, retryPause)
			continue
		}
		if !ok {
			klog.InfoS("item given up", "job", job.head.ID, "item", item.ID, "reason", "its route is gone")
			job.finish(Result{ID: item.ID, Failed: true})
			return
		}
		result := job.send(ctx, item, route, sink)
		tries.served += result.SlotTime
		if ctx.Err() != nil {
			return
		}
		if end, ok := job.judge(item, route, sink, &result, &tries); ok {
			job.finish(end)
			return
		}
		if !result.Preempted {
			ticks.Wait(ctx, job.manager.clock, min(retryPauseMost, retryPause<<min(endlessRuns, tries.failed+tries.broken)))
		}
	}
}

// route returns the route that the item has now, and whether any configuration
// is known here yet: a gateway that has just started may read jobs before it.
func (job *job) route(item *Item) (route *rules.Route, known, ok bool) {
	snapshot := job.manager.rules.Current()
	if snapshot == nil {
		return nil, false, false
	}
	path, _, _ := strings.Cut(item.Path, "?")
	route, ok = snapshot.MatchBatch(job.head.Host, path)
	return route, true, ok
}

// send runs the item once, from where it was cut before.
func (job *job) send(ctx context.Context, item *Item, route *rules.Route, sink *collector) relay.Result {
	call := &agatestage.Call{
		ID: item.ID, Organisation: job.head.Organisation, Service: route.Service(item.ID), Method: http.MethodPost,
		Host: job.head.Host, Path: item.Path, Header: headerOf(item), Body: item.Body, Idempotent: true, Batch: true,
	}
	call.Fingerprint = job.manager.fingerprint(call)
	gap := route.Gap
	if gap <= 0 {
		gap = silence
	}
	now, after := job.manager.clock.Now(), sink.last()
	return job.manager.runner.Serve(ctx, call, relay.Plan{
		Service: call.Service, Repeatable: true, Attempts: 1, Stream: true, Resumable: true, Batch: true,
		Aim: firstEvent, Gap: gap, Deadline: now.Add(runTime), Due: job.head.Due, ExpectedDuration: job.manager.need(after), ResumeAfter: after,
	}, sink)
}

// judge decides what a run means for its item. It returns the item's result, if
// it has one now.
func (job *job) judge(item *Item, route *rules.Route, sink *collector, run *relay.Result, tries *attempts) (Result, bool) {
	switch {
	case run.Refusal == nil && run.Status == http.StatusOK:
		job.manager.noteItem(tries, sink.last())
		return Result{ID: item.ID, Output: sink.output()}, true
	case run.Refusal == nil && run.Status == http.StatusUnprocessableEntity:
		klog.InfoS("item can't be done", "job", job.head.ID, "item", item.ID, "status", run.Status)
		return Result{ID: item.ID, Failed: true}, true
	case run.Refusal == nil && run.Status == http.StatusInternalServerError:
		tries.failed++
		job.noteFailure(item.ID, tries.failed)
	case run.Preempted, run.Refusal != nil && run.Refusal.Code == agatestage.CodeBusy && job.inTime():
		// Nothing is wrong with the item or its target.
		return Result{}, false
	default:
		tries.broken++
	}
	klog.InfoS("item run failed", "job", job.head.ID, "item", item.ID, "status", run.Status, "targets", run.Targets, "failed", tries.failed, "broken", tries.broken, "after", run.LastEventID)
	if tries.failed >= route.Attempts {
		klog.InfoS("item given up", "job", job.head.ID, "item", item.ID, "failed", tries.failed)
		return Result{ID: item.ID, Failed: true}, true
	}
	if !job.inTime() {
		klog.InfoS("item given up", "job", job.head.ID, "item", item.ID, "reason", "its time is over")
		return Result{ID: item.ID, Failed: true}, true
	}
	return Result{}, false
}

// inTime reports whether the job's items must still be tried.
func (job *job) inTime() bool {
	return !job.manager.clock.Now().After(job.head.GiveUp.Add(clockMargin))
}

// need returns for how long an item is likely to need a slot that has so many events
// already.
func (manager *Manager) need(events int64) time.Duration {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	left := max(leastNeed, 1-float64(events)/manager.itemEvents)
	return time.Duration(left * float64(manager.itemTime))
}

// noteItem takes what an item that was done whole here has needed into the means.
func (manager *Manager) noteItem(tries *attempts, events int64) {
	if tries.before > 0 {
		return
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.itemTime += time.Duration(itemWeight * float64(tries.served-manager.itemTime))
	manager.itemEvents += itemWeight * (float64(events) - manager.itemEvents)
}
