package start

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/base/intake"
	"github.com/agatestage/agatestage/internal/base/super"
)

// bodySilence is how long a caller may send nothing of a body, unless idle connections may be
// silent for longer: a few times what a broken path takes to recover.
const bodySilence = 30 * time.Second

// probeHeaderBytes is the size of a head at the listeners for probes and metrics, whose clients
// the platform runs.
const probeHeaderBytes = 16 << 10

// probeIdleTime is how long their connections may be idle: a few scrapes apart.
const probeIdleTime = 2 * time.Minute

// startIntake bounds what clients may take, at all listeners together.
func (gateway *Gateway) startIntake() {
	sizes := intake.SizesOf(gateway.settings.Limits)
	sizes.LimitRuntime()
	gateway.intake = intake.New(sizes, gateway.clock)
	gateway.intake.RegisterMetrics()
	gateway.tree.Start("intake", super.Func("intake", gateway.intake.Trim), super.Func("sockets", gateway.intake.Watch))
	klog.InfoS("limits of clients", "memory", sizes.Memory, "requests", sizes.Pool, "responses", sizes.Responses, "work", sizes.Work,
		"inputs", sizes.Inputs, "cache", sizes.Cache, "connections", sizes.Conns)
}
