package owner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/wire/calls"
)

const (
	// promptLosses is the number of lost targets after which an item is dispatched
	// again at once. After more, it is delayed, so that an item that does crash
	// targets can't take down the fleet within seconds.
	promptLosses = 1
	// minLossDelay is the first delay, maxLossDelay the longest one.
	minLossDelay = 2 * time.Second
	maxLossDelay = time.Minute
)

// lossDelay returns the delay before an item may be dispatched again after an outcome
// that has been counted; the mutex is held.
func (job *Job) lossDelay(number int, outcome calls.ItemResult) time.Duration {
	losses := job.losses[number]
	if !ran(outcome) || !outcome.TargetLost || losses <= promptLosses {
		return 0
	}
	delay := minLossDelay
	for range losses - promptLosses - 1 {
		delay = min(2*delay, maxLossDelay)
	}
	return delay
}

// delay moves an item from inflight to delayed, and to ready once its delay has
// passed, unless the job has ended by then or the item is no longer dispatched here;
// the mutex is held.
func (job *Job) delay(number int, delay time.Duration) {
	item := job.inflight[number]
	delete(job.inflight, number)
	if job.done.Test(uint(number)) || !job.active() {
		return
	}
	job.delayed[number] = item
	klog.InfoS("item delayed, as targets went down while they ran it", "job", job.entry.Head.ID, "item", number, "losses", job.losses[number], "delay", delay)
	timer := job.clock.NewTimer(delay)
	go func() {
		defer timer.Stop()
		select {
		case <-job.finished:
		case <-timer.C():
			job.endDelay(number)
		}
	}()
}

// endDelay moves an item from delayed to ready.
func (job *Job) endDelay(number int) {
	job.mutex.Lock()
	if item, ok := job.delayed[number]; ok {
		delete(job.delayed, number)
		job.ready = append([]Item{item}, job.ready...)
	}
	job.mutex.Unlock()
	job.changed()
}
