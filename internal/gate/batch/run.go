package batch

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

const (
	// runTimeout bounds one run of an item. The next run resumes after the last event.
	runTimeout = 60 * time.Second
	// minRetryDelay is the delay before an item is run again that a target failed or
	// refused. It doubles with each failure up to maxRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	// smoothingFactor is the weight of one item in the moving averages of the slot time and the
	// number of events of an item.
	// minRemainingFraction is the fraction of the mean slot time that an item with more
	// events than the mean is still assumed to need.
	smoothingFactor      = 0.05
	minRemainingFraction = 0.2
	// maxRetryShift is the number of failed or incomplete runs after which the delay is
	// maxRetryDelay.
	maxRetryShift = 4
	// maxOutputBytes bounds the events of an item, whose output must fit into a record.
	maxOutputBytes = maxRecordBytes
	// clockSkewMargin is how much later than GiveUp an item is given up, as hosts'
	// clocks differ by seconds.
	clockSkewMargin = 4 * time.Second
)

// runStats counts the outcomes of an item's runs.
type runStats struct {
	// failed counts the runs that a target answered with status 500, incomplete all other
	// unsuccessful runs.
	failed     int
	incomplete int
	// slotTime is for how long the item has had a slot here.
	slotTime time.Duration
	// initialEvents is the number of the last event that the item had when this gateway
	// started to run it.
	initialEvents int64
}

// run runs one item until it has a result or ctx ends.
func (job *job) run(ctx context.Context, item *Item, sink *collector) {
	stats := runStats{failed: job.failureCount(item.ID), initialEvents: sink.lastEvent()}
	for ctx.Err() == nil {
		route, known, ok := job.route(item)
		if !known {
			ticks.Wait(ctx, job.manager.clock, minRetryDelay)
			continue
		}
		if !ok {
			klog.InfoS("item given up", "job", job.head.ID, "item", item.ID, "reason", "no route matches the item any more")
			job.addResult(Result{ID: item.ID, Failed: true})
			return
		}
		result := job.runOnce(ctx, item, route, sink)
		stats.slotTime += result.SlotTime
		if ctx.Err() != nil {
			return
		}
		if result.Refusal != nil && result.Refusal.Code == agatestage.CodeTooLarge {
			job.restart(item, sink)
		}
		if itemResult, ok := job.evaluateRun(item, route, sink, &result, &stats); ok {
			job.addResult(itemResult)
			return
		}
		switch {
		case result.Preempted:
		case result.Refusal != nil && result.Refusal.Code == agatestage.CodeHarmful:
			ticks.Wait(ctx, job.manager.clock, min(maxRetryDelay, max(minRetryDelay, result.Refusal.RetryAfter)))
		default:
			ticks.Wait(ctx, job.manager.clock, min(maxRetryDelay, minRetryDelay<<min(maxRetryShift, stats.failed+stats.incomplete)))
		}
	}
}

// route returns the current route of the item. Known is false if the configuration in
// force, if any, is older than the job: it may not have the route yet.
func (job *job) route(item *Item) (route *rules.Route, known, ok bool) {
	snapshot := job.manager.rules.Current()
	if snapshot == nil || snapshot.Version() < job.head.ConfigVersion {
		return nil, false, false
	}
	path, _, _ := strings.Cut(item.Path, "?")
	route, ok = snapshot.MatchBatch(job.head.Host, path)
	return route, true, ok
}

// runOnce runs the item once, resuming after the last event of earlier runs.
func (job *job) runOnce(ctx context.Context, item *Item, route *rules.Route, sink *collector) relay.Result {
	call := &agatestage.Call{
		ID: item.ID, Organisation: job.head.Organisation, Service: route.Service(item.ID), Method: http.MethodPost,
		Host: job.head.Host, Path: item.Path, Header: callHeader(item), Body: item.Body, Idempotent: true, Batch: true,
	}
	call.Fingerprint = job.manager.fingerprint(call)
	now, after := job.manager.clock.Now(), sink.lastEvent()
	return job.manager.runner.Serve(ctx, call, relay.Plan{
		Service: call.Service, Class: route.Name, Repeatable: true, Attempts: 1, Stream: true, Resumable: true, Batch: true,
		Deadline: now.Add(runTimeout), Due: job.head.Due, GiveUp: job.head.GiveUp, ExpectedDuration: job.manager.estimateSlotTime(after), ResumeAfter: after,
		MaxBytes: max(1, maxOutputBytes-sink.size()), Regions: job.itemRegions(item, route),
	}, sink)
}

// evaluateRun updates the stats with the outcome of a run. It returns the item's
// result if the run completed the item, or if the item is given up.
func (job *job) evaluateRun(item *Item, route *rules.Route, sink *collector, result *relay.Result, stats *runStats) (Result, bool) {
	var code, reason string
	if result.Refusal != nil {
		code, reason = string(result.Refusal.Code), result.Refusal.Message
	}
	metrics.GetOrCreateCounter(`agatestage_gateway_item_runs_total{code="` + code + `"}`).Inc()
	switch {
	case result.Refusal == nil && result.Status == http.StatusOK:
		job.manager.recordItemCost(stats, sink.lastEvent())
		return Result{ID: item.ID, Output: sink.output()}, true
	case result.Refusal == nil && result.Status == http.StatusUnprocessableEntity:
		klog.InfoS("item can't be done", "job", job.head.ID, "item", item.ID, "status", result.Status)
		return Result{ID: item.ID, Failed: true}, true
	case result.Refusal == nil && result.Status == http.StatusInternalServerError:
		stats.failed++
		job.recordFailure(item.ID, stats.failed)
	case result.Preempted, result.Refusal != nil && waits(result.Refusal.Code) && job.beforeGiveUp():
		// Preemption, a full target and a part of the prompt in quarantine are no failure.
		return Result{}, false
	default:
		stats.incomplete++
	}
	klog.InfoS("item run failed", "job", job.head.ID, "item", item.ID, "status", result.Status, "code", code, "reason", reason, "targets", result.Targets, "failed", stats.failed, "broken", stats.incomplete, "after", result.LastEventID)
	if stats.failed >= route.Attempts {
		klog.InfoS("item given up", "job", job.head.ID, "item", item.ID, "failed", stats.failed)
		return Result{ID: item.ID, Failed: true}, true
	}
	if !job.beforeGiveUp() {
		klog.InfoS("item given up", "job", job.head.ID, "item", item.ID, "reason", "the job's give-up time has passed")
		return Result{ID: item.ID, Failed: true}, true
	}
	return Result{}, false
}

// waits reports whether an item that was refused is still owed as before.
func waits(code agatestage.Code) bool {
	return code == agatestage.CodeBusy || code == agatestage.CodeHarmful
}

// beforeGiveUp reports whether the job's items must still be retried.
func (job *job) beforeGiveUp() bool {
	return !job.manager.clock.Now().After(job.head.GiveUp.Add(clockSkewMargin))
}

// estimateSlotTime returns how long an item that already has a number of events will
// probably need a slot; zero as long as none has completed here.
func (manager *Manager) estimateSlotTime(events int64) time.Duration {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.meanItemEvents == 0 {
		return 0
	}
	remaining := max(minRemainingFraction, 1-float64(events)/manager.meanItemEvents)
	return time.Duration(remaining * float64(manager.meanItemTime))
}

// recordItemCost updates the moving averages with an item that ran completely here.
func (manager *Manager) recordItemCost(stats *runStats, events int64) {
	if stats.initialEvents > 0 {
		return
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.meanItemEvents == 0 {
		manager.meanItemTime, manager.meanItemEvents = stats.slotTime, float64(events)
		return
	}
	manager.meanItemTime += time.Duration(smoothingFactor * float64(stats.slotTime-manager.meanItemTime))
	manager.meanItemEvents += smoothingFactor * (float64(events) - manager.meanItemEvents)
}

// itemEvents returns the mean number of events of an item; zero as long as none has completed
// here.
func (manager *Manager) itemEvents() float64 {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	return manager.meanItemEvents
}
