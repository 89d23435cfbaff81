// Package order makes an engine hold the models that the configuration assigns to
// it.
//
// Each engine has one Reconciler, so its orders can't overtake one another. The
// revision of the configuration is their fencing number: a Reconciler never sends
// an order with a lower revision than before, which also protects engines that
// ignore the number. After a start it waits until every entry has had time to
// send its policy, so that an entry that lags behind can't make it order an old
// revision. Loading and dropping models requires a permit from an entry.
package order

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// startDelay is the time after a start during which no order is sent.
	startDelay = 3 * time.Second
	// comparePeriod is the time between two comparisons of the models that are held
	// with those that are wanted.
	comparePeriod = time.Second
	// permitTimeout bounds the request for a permit to one entry.
	permitTimeout = 8 * time.Second
	// drainTimeout bounds the wait for running calls of a model to be dropped.
	drainTimeout    = time.Minute
	drainPollPeriod = 50 * time.Millisecond
)

// Reconciler sends orders to one engine.
type Reconciler struct {
	target  *state.Target
	node    *link.Node
	clock   agatestage.Clock
	started time.Time
	mutex   sync.Mutex
	// revision is the highest revision received; wanted and role are the models and
	// the role that it assigns to the engine.
	revision uint64
	wanted   []agatestage.Holding
	role     string
	// entries holds the addresses of the entries that have sent a policy.
	entries map[string]netip.AddrPort
	// refusedRevision is the revision that the engine has refused last; it isn't
	// ordered again.
	refusedRevision uint64
}

// New returns the reconciler of a target.
func New(target *state.Target, node *link.Node, clock agatestage.Clock) *Reconciler {
	return &Reconciler{target: target, node: node, clock: clock, started: clock.Now(), entries: make(map[string]netip.AddrPort)}
}

// String names the service in logs.
func (reconciler *Reconciler) String() string {
	return "orders of " + reconciler.target.Name
}

// ApplyPolicy applies an entry's policy unless its revision is lower than the
// highest received.
func (reconciler *Reconciler) ApplyPolicy(policy calls.Policy) {
	reconciler.mutex.Lock()
	defer reconciler.mutex.Unlock()
	reconciler.entries[policy.Entry] = policy.Address
	if policy.Revision < reconciler.revision {
		return
	}
	for _, configured := range policy.Targets {
		if configured.Name != reconciler.target.Name {
			continue
		}
		reconciler.revision, reconciler.role, reconciler.wanted = policy.Revision, configured.Role, nil
		for _, model := range policy.Models {
			if slices.Contains(configured.Models, model.Name) {
				reconciler.wanted = append(reconciler.wanted, model.Holding())
			}
		}
	}
}

// Serve compares the models held with those wanted, and sends orders, until ctx
// ends.
func (reconciler *Reconciler) Serve(ctx context.Context) error {
	return ticks.Every(ctx, reconciler.clock, comparePeriod, func(ctx context.Context) {
		if reconciler.clock.Since(reconciler.started) < startDelay || !reconciler.target.Ready() {
			return
		}
		if err := reconciler.reconcile(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("failed to order engine; retrying", "target", reconciler.target.Name, "error", err.Error())
		}
	})
}

// plan is an order, the number of models it loads and the models it drops.
type plan struct {
	order agatestage.Order
	loads int
	drops []string
}

// plan returns the next order, or false if none is needed.
func (reconciler *Reconciler) plan() (plan plan, due bool) {
	reconciler.mutex.Lock()
	defer reconciler.mutex.Unlock()
	held := reconciler.target.Holdings()
	if reconciler.revision == 0 || reconciler.revision == reconciler.refusedRevision || len(reconciler.wanted) == 0 {
		return plan, false
	}
	for _, holding := range reconciler.wanted {
		if !slices.Contains(held, holding) {
			plan.loads++
		}
	}
	for _, holding := range held {
		kept := slices.ContainsFunc(reconciler.wanted, func(wanted agatestage.Holding) bool { return wanted.Model == holding.Model })
		if !kept || !slices.Contains(reconciler.wanted, holding) {
			plan.drops = append(plan.drops, holding.Model)
		}
	}
	plan.order = agatestage.Order{Fence: reconciler.revision, Role: reconciler.role, Holdings: slices.Clone(reconciler.wanted)}
	return plan, plan.loads+len(plan.drops) > 0
}

// reconcile sends the next order, if any, after it has got a permit and the calls
// of models to be dropped have finished.
func (reconciler *Reconciler) reconcile(ctx context.Context) error {
	plan, due := reconciler.plan()
	if !due {
		return nil
	}
	if err := reconciler.permit(ctx, plan); err != nil {
		return err
	}
	for _, model := range plan.drops {
		reconciler.drainModel(ctx, model)
	}
	if current, _ := reconciler.plan(); current.order.Fence != plan.order.Fence {
		return errors.New("the configuration has changed since the permit was granted")
	}
	klog.InfoS("engine ordered", "target", reconciler.target.Name, "fence", plan.order.Fence, "loads", plan.loads, "drops", len(plan.drops))
	if err := reconciler.target.Backend.Order(ctx, plan.order); err != nil {
		reconciler.mutex.Lock()
		reconciler.refusedRevision = plan.order.Fence
		reconciler.mutex.Unlock()
		return errors.Wrap(err, "engine refused the order")
	}
	reconciler.target.Probe(ctx)
	return nil
}

// drainModel waits until no calls of a model are running, but no longer than
// drainTimeout. New calls are refused already, because the configuration no longer
// assigns the model to the target.
func (reconciler *Reconciler) drainModel(ctx context.Context, model string) {
	limit := reconciler.clock.NewTimer(drainTimeout)
	defer limit.Stop()
	ticker := reconciler.clock.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for reconciler.target.Running(model) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-limit.C():
			return
		case <-ticker.C():
		}
	}
}

// permit asks the entries for a permit, one after the other, until one answers.
func (reconciler *Reconciler) permit(ctx context.Context, plan plan) error {
	reconciler.mutex.Lock()
	entries := make([]netip.AddrPort, 0, len(reconciler.entries))
	for _, address := range reconciler.entries {
		entries = append(entries, address)
	}
	reconciler.mutex.Unlock()
	request := calls.PermitRequest{Target: reconciler.target.Name, Revision: plan.order.Fence, Loads: plan.loads, Drops: plan.drops}
	for _, address := range entries {
		var permit calls.Permit
		if err := reconciler.request(ctx, address, request, &permit); err != nil {
			continue
		}
		if !permit.Granted {
			return errors.New(permit.Reason)
		}
		return nil
	}
	return errors.New("no entry answered the request for a permit")
}

func (reconciler *Reconciler) request(ctx context.Context, address netip.AddrPort, request calls.PermitRequest, permit *calls.Permit) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return reconciler.node.Ask(ctx, address, calls.KindPermit, request, permit)
}
