package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"

	"github.com/agatestage/agatestage/internal/gate/sched"
)

// The causes for which a watchdog ends an exchange.
const (
	endedNone int32 = iota
	endedTimeout
	endedPreempted
)

// watchdog ends an exchange whose target sends nothing for too long, once another target
// has a slot for the call, or whose slot is needed for an online call.
type watchdog struct {
	run         *run
	reservation *sched.Reservation
	// request is for a slot at a target to which the call has not been sent.
	request sched.Request
	timer   clock.Timer
	cause   atomic.Int32
	quit    chan struct{}
	mutex   sync.Mutex
	// move is the request for the slot, made when the timeout has passed.
	move *sched.Move
	// since is when the target has last sent something, timeout how long it may be silent.
	since   time.Time
	timeout time.Duration
	// pauseLimit is the timeout once the target has sent events.
	pauseLimit time.Duration
	// least is what a run at another target takes at least.
	least time.Duration
	// next is the slot for the next attempt.
	next    *sched.Reservation
	stopped bool
}

// newWatchdog starts a watchdog for an attempt. Only calls that may be retried at
// another target are moved when the target is silent; the last attempt stays.
func (run *run) newWatchdog(ctx context.Context, cancel context.CancelFunc, reservation *sched.Reservation) *watchdog {
	watchdog := &watchdog{run: run, reservation: reservation, quit: make(chan struct{}), since: run.clock.Now()}
	var expired <-chan time.Time
	if run.plan.movable() && (run.plan.Batch || run.attempts+1 < run.plan.Attempts) {
		watchdog.timeout, watchdog.pauseLimit, watchdog.least = run.silenceLimit(false), run.silenceLimit(true), run.takes().Fastest
		watchdog.request = run.request(append(run.tried(), reservation.Target.ID))
		watchdog.timer = run.clock.NewTimer(watchdog.timeout)
		expired = watchdog.timer.C()
	}
	if expired != nil || reservation.Batch {
		go watchdog.watch(ctx, cancel, expired)
	}
	return watchdog
}

// movable reports whether a call that has begun at a target may continue at another one.
func (plan *Plan) movable() bool {
	return plan.Repeatable && (!plan.Stream || plan.Resumable)
}

func (watchdog *watchdog) watch(ctx context.Context, cancel context.CancelFunc, expired <-chan time.Time) {
	var slot <-chan *sched.Reservation
	for {
		select {
		case <-expired:
			move, end := watchdog.expire()
			if move != nil {
				slot = move.Slot()
			}
			if !end {
				continue
			}
		case next := <-slot:
			slot = nil
			if !watchdog.accept(next) {
				continue
			}
		case <-watchdog.reservation.Preempted():
			watchdog.cause.Store(endedPreempted)
		case <-ctx.Done():
			return
		case <-watchdog.quit:
			return
		}
		cancel()
		return
	}
}

// expire requests a slot at another target if this one is still silent. It reports
// whether the exchange is to be ended without one, as the time for that has passed, too.
func (watchdog *watchdog) expire() (move *sched.Move, end bool) {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	if watchdog.stopped {
		return nil, false
	}
	silence := watchdog.run.clock.Since(watchdog.since)
	if silence < watchdog.timeout {
		// The target has sent something since the timer expired.
		watchdog.timer.Reset(watchdog.timeout - silence)
		return nil, false
	}
	if watchdog.move != nil {
		watchdog.cause.Store(endedTimeout)
		return nil, true
	}
	if watchdog.run.plan.Batch {
		watchdog.timer.Reset(max(maxBatchSilence-silence, watchdog.timeout))
	}
	watchdog.request.Regions = watchdog.run.regions()
	watchdog.move = watchdog.run.sched.RequestMove(watchdog.request)
	return watchdog.move, false
}

// accept takes the slot for the next attempt, or releases it if it is no longer needed.
// It reports whether the exchange is to be ended, which it isn't if the call couldn't be served
// elsewhere any more.
func (watchdog *watchdog) accept(next *sched.Reservation) bool {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	run := watchdog.run
	if watchdog.move == nil || watchdog.stopped || run.plan.Deadline.Sub(run.clock.Now()) < watchdog.least {
		next.Release(false)
		return false
	}
	if !run.checkRegion(next) {
		// Another slot is requested once the target has been silent for as long again.
		watchdog.move = nil
		watchdog.timer.Reset(watchdog.timeout)
		return false
	}
	watchdog.next = next
	watchdog.cause.Store(endedTimeout)
	return true
}

// extend restarts the timeout after the target has sent events.
func (watchdog *watchdog) extend() {
	if watchdog.timer == nil {
		return
	}
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.since, watchdog.timeout = watchdog.run.clock.Now(), watchdog.pauseLimit
	// The stream would be resumed, with an unknown part of the work left.
	watchdog.least = 0
	watchdog.cancelMove()
	watchdog.timer.Reset(watchdog.timeout)
}

// cancelMove withdraws the request for a slot. The mutex must be held.
func (watchdog *watchdog) cancelMove() {
	if watchdog.move != nil {
		watchdog.move.Cancel()
		watchdog.move = nil
	}
}

func (watchdog *watchdog) ended() int32 {
	return watchdog.cause.Load()
}

// stop ends the watchdog. It returns the slot that was reserved for the next attempt, if
// any.
func (watchdog *watchdog) stop() *sched.Reservation {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.stopped = true
	watchdog.cancelMove()
	if watchdog.timer != nil {
		watchdog.timer.Stop()
	}
	close(watchdog.quit)
	return watchdog.next
}
