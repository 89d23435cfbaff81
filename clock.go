package agatestage

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// Clock is the time source of all components. Tests replace it to control
// time-outs, leases and limits deterministically.
type Clock interface {
	clock.WithTicker
}

// SystemClock returns a clock based on the host's boot time clock. Unlike the
// monotonic clock, it advances while the host is suspended, so that leases and
// deadlines expire during a suspension; unlike the wall clock, it never jumps. Its
// timers, however, don't count the time of a suspension.
func SystemClock() Clock {
	return system()
}

// system creates the clock once. Two clocks would differ by any adjustment of the
// wall clock in between.
var system = sync.OnceValue(func() Clock {
	booted, err := sinceBoot()
	if err != nil {
		klog.ErrorS(err, "boot time clock not available; using the monotonic clock")
		return clock.RealClock{}
	}
	// Round strips the monotonic reading, so that differences of times are computed
	// from the boot time clock.
	return systemClock{origin: time.Now().Round(0).Add(-booted)}
})

// systemClock is a clock that adds the time since boot to a fixed origin.
type systemClock struct {
	clock.RealClock
	// origin is the wall-clock time of the host's boot, as computed at process start.
	origin time.Time
}

// Now implements Clock.
func (systemClock systemClock) Now() time.Time {
	booted, err := sinceBoot()
	if err != nil {
		// The call succeeded when the clock was created, and it can only fail if the
		// kernel doesn't support the clock.
		panic(err)
	}
	return systemClock.origin.Add(booted)
}

// Since implements Clock.
func (systemClock systemClock) Since(since time.Time) time.Duration {
	return systemClock.Now().Sub(since)
}

// sinceBoot returns the time since the host's boot, including suspensions.
func sinceBoot() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
