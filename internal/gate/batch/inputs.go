package batch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// inputsRetryAfter is the retry delay of a job for whose input the memory is lacking: the
	// items of a gateway's jobs end over seconds.
	inputsRetryAfter = 2 * time.Second
	// inputsLogPeriod is the least time between two lines on jobs refused for memory.
	inputsLogPeriod = time.Second
)

// openInputs bounds the inputs of the jobs that this gateway keeps in memory as it runs them, and
// of those that are being submitted to it. Its zero value has no bound. The manager's mutex must be held.
type openInputs struct {
	limit int
	// submitted is the size of the inputs of submissions that haven't started yet.
	submitted int
	loggedAt  time.Time
	unlogged  int
}

// WithMemory sets how many bytes the inputs of open jobs and the cached jobs may take. The first
// one bounds submissions, by what their owner has; jobs that are taken over or moved are run regardless.
func WithMemory(inputs, cache int64) Option {
	return func(manager *Manager) {
		manager.inputs.limit = int(inputs)
		manager.reads.limit(cache)
		if cache > 0 {
			manager.snapshots.maxBytes = int(min(cache, maxSnapshotBytes))
		}
	}
}

// itemsBytes returns the memory that items take, about.
func itemsBytes(items []Item) int { return (&snapshot{items: items}).size() }

// admitInput admits the input of a submission. The first one is admitted whatever its size. The
// function that it returns must be called once the job is started or refused.
func (manager *Manager) admitInput(spec Spec) (release func(), refusal *agatestage.Refusal) {
	bytes := itemsBytes(spec.Items)
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	inputs := &manager.inputs
	open := inputs.submitted
	for _, job := range manager.jobs {
		open += job.inputBytes
	}
	if inputs.limit <= 0 || open == 0 || open+bytes <= inputs.limit {
		inputs.submitted += bytes
		return func() {
			manager.mutex.Lock()
			defer manager.mutex.Unlock()
			manager.inputs.submitted -= bytes
		}, nil
	}
	return nil, manager.refuseInput(spec.ID, manager.name, bytes, open)
}

// checkOwnersInputs returns a refusal if the open jobs that another gateway is to run, as far as
// this one knows them, have inputs as large as this gateway would admit. Hosts of gateways are alike.
func (manager *Manager) checkOwnersInputs(spec Spec, owner string, bytes int) *agatestage.Refusal {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.inputs.limit <= 0 || owner == manager.name {
		return nil
	}
	open := 0
	for _, head := range manager.heads {
		if head.Owner == owner && head.Open() {
			open += head.InputBytes
		}
	}
	if open == 0 || open+bytes <= manager.inputs.limit {
		return nil
	}
	return manager.refuseInput(spec.ID, owner, bytes, open)
}

// refuseInput returns the refusal of a job for whose input its owner lacks the memory; the mutex
// must be held.
func (manager *Manager) refuseInput(id, owner string, bytes, open int) *agatestage.Refusal {
	inputs := &manager.inputs
	metrics.GetOrCreateCounter("agatestage_batch_inputs_refused_total").Inc()
	if inputs.unlogged++; manager.clock.Since(inputs.loggedAt) >= inputsLogPeriod {
		klog.InfoS("job refused for memory", "job", id, "owner", owner, "bytes", bytes, "open", open, "limit", inputs.limit, "jobs", len(manager.jobs), "count", inputs.unlogged)
		inputs.loggedAt, inputs.unlogged = manager.clock.Now(), 0
	}
	refusal := agatestage.Refuse(agatestage.CodeBusy, "the memory for inputs of open jobs is in use")
	refusal.RetryAfter = inputsRetryAfter
	return refusal
}
