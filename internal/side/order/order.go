// Package order makes an engine hold what the configuration says.
//
// Each engine has one Orderer, so its orders can't overtake one another. The
// revision of the configuration is their fencing number: the orderer never gives
// an order of a lower one than before, also to engines that ignore the number.
// After a start it waits until every entry has had time to speak, so that one
// that lags behind can't make it order an old revision. Loads and drops need an
// entry's permit.
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
	// startWait is the time after a start in which no order is given.
	startWait = 3 * time.Second
	// lookPeriod is how often what is held is compared with what is wanted.
	lookPeriod = time.Second
	// permitTimeout bounds the question to one entry.
	permitTimeout = 8 * time.Second
	// finishTime bounds the wait for calls of a model that is dropped.
	finishTime = time.Minute
	finishPoll = 50 * time.Millisecond
)

// Orderer orders one engine.
type Orderer struct {
	target *state.Target
	node   *link.Node
	clock  agatestage.Clock
	began  time.Time
	mutex  sync.Mutex
	// revision is the highest that has been seen; wanted is what it says.
	revision uint64
	wanted   []agatestage.Holding
	role     string
	entries  map[string]netip.AddrPort
	// refused is the revision that the engine has refused.
	refused uint64
}

// New returns the orderer of a target.
func New(target *state.Target, node *link.Node, clock agatestage.Clock) *Orderer {
	return &Orderer{target: target, node: node, clock: clock, began: clock.Now(), entries: make(map[string]netip.AddrPort)}
}

// String names the service in logs.
func (orderer *Orderer) String() string {
	return "orders of " + orderer.target.Name
}

// Follow takes an entry's policy unless it is older than what is known.
func (orderer *Orderer) Follow(policy calls.Policy) {
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	orderer.entries[policy.Entry] = policy.Address
	if policy.Revision < orderer.revision {
		return
	}
	for _, configured := range policy.Targets {
		if configured.Name != orderer.target.Name {
			continue
		}
		orderer.revision, orderer.role, orderer.wanted = policy.Revision, configured.Role, nil
		for _, model := range policy.Models {
			if slices.Contains(configured.Models, model.Name) {
				orderer.wanted = append(orderer.wanted, model.Holding())
			}
		}
	}
}

// Serve compares and orders until ctx ends.
func (orderer *Orderer) Serve(ctx context.Context) error {
	return ticks.Every(ctx, orderer.clock, lookPeriod, func(ctx context.Context) {
		if orderer.clock.Since(orderer.began) < startWait || !orderer.target.Ready() {
			return
		}
		if err := orderer.step(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("engine not ordered; it is tried again", "target", orderer.target.Name, "error", err.Error())
		}
	})
}

// plan is one order and what it changes.
type plan struct {
	order agatestage.Order
	loads int
	drops []string
}

// plan returns the order that is due, or false if nothing differs.
func (orderer *Orderer) plan() (plan plan, due bool) {
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	held := orderer.target.Holdings()
	if orderer.revision == 0 || orderer.revision == orderer.refused || len(orderer.wanted) == 0 {
		return plan, false
	}
	for _, holding := range orderer.wanted {
		if !slices.Contains(held, holding) {
			plan.loads++
		}
	}
	for _, holding := range held {
		kept := slices.ContainsFunc(orderer.wanted, func(wanted agatestage.Holding) bool { return wanted.Model == holding.Model })
		if !kept || !slices.Contains(orderer.wanted, holding) {
			plan.drops = append(plan.drops, holding.Model)
		}
	}
	plan.order = agatestage.Order{Fence: orderer.revision, Role: orderer.role, Holdings: slices.Clone(orderer.wanted)}
	return plan, plan.loads+len(plan.drops) > 0
}

// step gives the order that is due, with a permit, once the calls of models
// that are dropped have finished.
func (orderer *Orderer) step(ctx context.Context) error {
	plan, due := orderer.plan()
	if !due {
		return nil
	}
	if err := orderer.permit(ctx, plan); err != nil {
		return err
	}
	for _, model := range plan.drops {
		orderer.finish(ctx, model)
	}
	if current, _ := orderer.plan(); current.order.Fence != plan.order.Fence {
		return errors.New("the configuration has moved on")
	}
	klog.InfoS("engine ordered", "target", orderer.target.Name, "fence", plan.order.Fence, "loads", plan.loads, "drops", len(plan.drops))
	if err := orderer.target.Backend.Order(ctx, plan.order); err != nil {
		orderer.mutex.Lock()
		orderer.refused = plan.order.Fence
		orderer.mutex.Unlock()
		return errors.Wrap(err, "the engine refused")
	}
	orderer.target.Probe(ctx)
	return nil
}

// finish waits for the calls of a model. New ones are refused already, because
// the configuration doesn't give the model to the target any more.
func (orderer *Orderer) finish(ctx context.Context, model string) {
	limit := orderer.clock.NewTimer(finishTime)
	defer limit.Stop()
	ticker := orderer.clock.NewTicker(finishPoll)
	defer ticker.Stop()
	for orderer.target.Running(model) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-limit.C():
			return
		case <-ticker.C():
		}
	}
}

// permit asks the entries in turn until one answers.
func (orderer *Orderer) permit(ctx context.Context, plan plan) error {
	orderer.mutex.Lock()
	entries := make([]netip.AddrPort, 0, len(orderer.entries))
	for _, address := range orderer.entries {
		entries = append(entries, address)
	}
	orderer.mutex.Unlock()
	ask := calls.PermitRequest{Target: orderer.target.Name, Revision: plan.order.Fence, Loads: plan.loads, Drops: plan.drops}
	for _, address := range entries {
		var permit calls.Permit
		if err := orderer.ask(ctx, address, ask, &permit); err != nil {
			continue
		}
		if !permit.Granted {
			return errors.New(permit.Reason)
		}
		return nil
	}
	return errors.New("no entry answers")
}

func (orderer *Orderer) ask(ctx context.Context, address netip.AddrPort, ask calls.PermitRequest, permit *calls.Permit) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return orderer.node.Ask(ctx, address, calls.KindPermit, ask, permit)
}
