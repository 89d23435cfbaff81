package agatestage_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/agatestage/agatestage"
)

func TestSystemClock(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := agatestage.SystemClock()
	t.Run("follows the boot time clock", func(*testing.T) {
		earliest, began := booted(expect), clock.Now()
		latest, ended := booted(expect), clock.Now()
		expect.Expect(ended.Sub(began)).To(gomega.BeNumerically(">=", 0))
		expect.Expect(latest.Sub(earliest)).To(gomega.BeNumerically(">=", 0))
		expect.Expect(began.Sub(earliest)).To(gomega.BeNumerically(">=", ended.Sub(booted(expect))), "the clocks differ by more than the time between the readings")
	})
	t.Run("has no monotonic reading, which would exclude suspensions from differences", func(*testing.T) {
		now := clock.Now()
		expect.Expect(now == now.Round(0)).To(gomega.BeTrue())
	})
	t.Run("is a singleton", func(*testing.T) {
		expect.Expect(agatestage.SystemClock()).To(gomega.Equal(clock))
	})
}

// booted returns the reading of the boot time clock as a time.
func booted(expect *gomega.WithT) time.Time {
	var now unix.Timespec
	expect.Expect(unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)).To(gomega.Succeed())
	return time.Unix(now.Unix())
}
