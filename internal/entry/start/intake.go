package start

import (
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/intake"
	"github.com/agatestage/agatestage/internal/base/setup"
)

// newIntake returns the pool that bounds what clients may take, at all listeners together.
func newIntake(settings setup.Settings, clock agatestage.Clock) *intake.Pool {
	sizes := intake.SizesOf(settings.Limits)
	sizes.LimitRuntime()
	pool := intake.New(sizes, clock)
	pool.RegisterMetrics()
	klog.InfoS("limits of clients", "memory", sizes.Memory, "requests", sizes.Pool, "work", sizes.Work, "connections", sizes.Conns)
	return pool
}
