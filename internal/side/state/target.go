// Package state tracks the targets of a side: whether each is ready, which models
// it holds, which calls the configuration permits and which calls are running.
package state

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/side/slots"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

const (
	// probePeriod is the time between two probes of a target.
	probePeriod = time.Second
	// confirmTimeout bounds the probe that distinguishes a lost target from a lost
	// connection.
	confirmTimeout = 500 * time.Millisecond
	confirmPause   = 20 * time.Millisecond
)

// Target is a back end of a side: a model engine or a plain service.
type Target struct {
	Name     string
	Kind     agatestage.Kind
	Backend  agatestage.Target
	Pool     *slots.Pool
	clock    agatestage.Clock
	changed  func()
	mutex    sync.Mutex
	ready    bool
	holdings []agatestage.Holding
	// policy is valid once hasPolicy is set by the first SetPolicy.
	policy    model.Target
	hasPolicy bool
	// running counts the running calls by model.
	running map[string]int
}

// New returns a target that is not ready until a probe has succeeded. Changed is
// called after its readiness or holdings have changed.
func New(name string, kind agatestage.Kind, backend agatestage.Target, pool *slots.Pool, clock agatestage.Clock, changed func()) *Target {
	return &Target{Name: name, Kind: kind, Backend: backend, Pool: pool, clock: clock, changed: changed, running: make(map[string]int)}
}

// Serve probes the target until ctx ends.
func (target *Target) Serve(ctx context.Context) error {
	ticker := target.clock.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		target.Probe(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
	}
}

// String names the service in logs.
func (target *Target) String() string {
	return "target " + target.Name
}

// Probe asks the target for its holdings and reports whether it answered.
func (target *Target) Probe(ctx context.Context) bool {
	holdings, err := target.Backend.Holdings(ctx)
	if ctx.Err() != nil {
		return false
	}
	target.update(err == nil, holdings)
	return err == nil
}

// Lost reports whether the target is down. It is called after the connection of a
// call broke, and doesn't depend on the call's deadline.
func (target *Target) Lost(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	_, err := target.Backend.Holdings(ctx)
	if err != nil {
		target.update(false, nil)
	}
	return err != nil
}

// Refuses reports whether the target's host refuses connections, as it does once the
// target's process has ended. A target that is silent or busy goes on.
func (target *Target) Refuses(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := target.Backend.Holdings(ctx)
		if err == nil {
			return false
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			target.update(false, nil)
			return true
		}
		// The connection may have been accepted just before the process ended.
		ticks.Wait(ctx, target.clock, confirmPause)
	}
	return false
}

func (target *Target) update(ready bool, holdings []agatestage.Holding) {
	target.mutex.Lock()
	same := target.ready == ready && slices.Equal(target.holdings, holdings)
	target.ready, target.holdings = ready, holdings
	target.mutex.Unlock()
	if same {
		return
	}
	klog.InfoS("target changed", "target", target.Name, "ready", ready, "holdings", len(holdings))
	target.changed()
}

// SetPolicy sets which calls the configuration permits on the target.
func (target *Target) SetPolicy(policy model.Target) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.policy, target.hasPolicy = policy, true
}

// Policy returns which calls the configuration permits on the target, and false if
// no policy has been set.
func (target *Target) Policy() (model.Target, bool) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.policy, target.hasPolicy
}

// Holdings returns the models that the target held at the last probe.
func (target *Target) Holdings() []agatestage.Holding {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return slices.Clone(target.holdings)
}

// Ready reports whether the target answered the last probe.
func (target *Target) Ready() bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.ready
}

// Accepts returns nil if the target is ready and may run the call, otherwise a
// refusal.
func (target *Target) Accepts(call *agatestage.Call) error {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	switch {
	case !target.ready:
		return agatestage.Refuse(agatestage.CodeNoTarget, "target %s is not ready", target.Name)
	case !target.hasPolicy:
		return agatestage.Refuse(agatestage.CodeNoTarget, "target %s is not in the configuration", target.Name)
	case call.Batch && !target.policy.Batch, !call.Batch && !target.policy.Online:
		return agatestage.Refuse(agatestage.CodeNoTarget, "target %s does not take this class of work", target.Name)
	case call.Service != "" && !slices.Contains(target.policy.Services, call.Service):
		return agatestage.Refuse(agatestage.CodeNoTarget, "target %s does not serve %s", target.Name, call.Service)
	case call.Model != "" && !target.serves(call.Model):
		return agatestage.Refuse(agatestage.CodeNoTarget, "target %s does not hold %s", target.Name, call.Model)
	}
	return nil
}

// serves reports whether the model is configured for the target and held; the
// mutex is held.
func (target *Target) serves(name string) bool {
	if !slices.Contains(target.policy.Models, name) {
		return false
	}
	return slices.ContainsFunc(target.holdings, func(holding agatestage.Holding) bool { return holding.Model == name })
}

// Begin counts a running call until the returned function is called.
func (target *Target) Begin(call *agatestage.Call) (end func()) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.running[call.Model]++
	return func() {
		target.mutex.Lock()
		defer target.mutex.Unlock()
		if target.running[call.Model]--; target.running[call.Model] <= 0 {
			delete(target.running, call.Model)
		}
	}
}

// Running returns the number of running calls of a model.
func (target *Target) Running(model string) int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.running[model]
}

// Report returns the target's state as reported to entries.
func (target *Target) Report() calls.TargetReport {
	report := calls.TargetReport{Name: target.Name, Kind: target.Kind, Load: target.Load(), Holdings: target.Holdings()}
	return report
}

// Load returns the load of the target, including its readiness.
func (target *Target) Load() agatestage.Load {
	load := target.Pool.Load()
	load.Ready = target.Ready()
	return load
}
