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
	t.Run("keeps to the time since the boot", func(*testing.T) {
		earliest, began := booted(expect), clock.Now()
		latest, ended := booted(expect), clock.Now()
		expect.Expect(ended.Sub(began)).To(gomega.BeNumerically(">=", 0))
		expect.Expect(latest.Sub(earliest)).To(gomega.BeNumerically(">=", 0))
		expect.Expect(began.Sub(earliest)).To(gomega.BeNumerically(">=", ended.Sub(booted(expect))), "the distance between both only shrinks by the time between the readings")
	})
	t.Run("has no monotonic reading, which would leave suspensions out of differences", func(*testing.T) {
		now := clock.Now()
		expect.Expect(now == now.Round(0)).To(gomega.BeTrue())
	})
	t.Run("is one for all parts", func(*testing.T) {
		expect.Expect(agatestage.SystemClock()).To(gomega.Equal(clock))
	})
}

// booted returns the time since the boot as a time.
func booted(expect *gomega.WithT) time.Time {
	var now unix.Timespec
	expect.Expect(unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)).To(gomega.Succeed())
	return time.Unix(now.Unix())
}
