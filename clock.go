package agatestage

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// Clock is the source of time of every component, so that tests can drive
// time-outs, leases and limits deterministically.
type Clock interface {
	clock.WithTicker
}

// SystemClock returns the clock of the operating system. Unlike the monotonic
// clock, it goes on while the machine is suspended, so that what has lapsed
// meanwhile counts as lapsed; unlike the time of day, it never jumps. Its timers
// don't count a suspension.
func SystemClock() Clock {
	return system()
}

// system makes the clock once, as two would differ by what the time of day has
// jumped in between.
var system = sync.OnceValue(func() Clock {
	booted, err := sinceBoot()
	if err != nil {
		klog.ErrorS(err, "no clock that counts suspensions; the monotonic clock is used")
		return clock.RealClock{}
	}
	// Without its monotonic reading, a difference of times is that of the readings
	// below.
	return systemClock{origin: time.Now().Round(0).Add(-booted)}
})

// systemClock tells the time by the time since the machine's boot.
type systemClock struct {
	clock.RealClock
	// origin is the machine's boot by the time of day at the start of the process.
	origin time.Time
}

// Now implements Clock.
func (systemClock systemClock) Now() time.Time {
	booted, err := sinceBoot()
	if err != nil {
		// It worked when the clock was made, and has no other way to fail.
		panic(err)
	}
	return systemClock.origin.Add(booted)
}

// Since implements Clock.
func (systemClock systemClock) Since(since time.Time) time.Duration {
	return systemClock.Now().Sub(since)
}

// sinceBoot returns the time since the machine's boot, suspensions included.
func sinceBoot() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
