package batch

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

// The load that this answers is a store that turns some gateways away: callers may
// reach no other gateway, and their jobs can be kept by those that hear the store.

// pass lets a gateway that hears the store accept a job that can't be kept here, for
// a cause that leaves no doubt that it isn't kept yet.
func (manager *Manager) pass(ctx context.Context, spec Spec, cause error) error {
	to, ok := manager.hearing(spec.ID)
	if !ok || spec.relayed {
		return unsure("the job can't be kept now", cause)
	}
	record, err := manager.others.Submit(ctx, to.Name, spec)
	var refusal *agatestage.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case err != nil:
		klog.InfoS("job submission not acknowledged by another gateway", "job", spec.ID, "gateway", to.Name, "error", err.Error())
		return &agatestage.Refusal{Code: agatestage.CodeStore, Message: "another gateway did not say whether it has the job", Ran: agatestage.RanUnknown}
	}
	klog.InfoS("job passed on", "job", spec.ID, "gateway", to.Name, "reason", cause.Error())
	kept, err := decodeEntry(record)
	if err != nil {
		klog.ErrorS(err, "job head told by another gateway is not readable", "key", record.Key)
		return nil
	}
	manager.note(kept)
	return nil
}

// hearing returns one of the other gateways that hear the store, of this region if
// there is any there.
func (manager *Manager) hearing(id string) (Gateway, bool) {
	others := slices.DeleteFunc(slices.Clone(manager.fleet.Alive()), func(gateway Gateway) bool {
		return gateway.Name == manager.name || !gateway.Hears
	})
	if len(others) == 0 {
		return Gateway{}, false
	}
	return slices.MaxFunc(others, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(manager.near(a), manager.near(b)), cmp.Compare(rank(a.Name, id), rank(b.Name, id)))
	}), true
}

// near is 1 for gateways of this region and 0 for others.
func (manager *Manager) near(gateway Gateway) int {
	if gateway.Region == manager.region {
		return 1
	}
	return 0
}

// Accept keeps a job for another gateway that can't, and returns its head's record.
// The error is a *agatestage.Refusal.
func (manager *Manager) Accept(ctx context.Context, spec Spec) (agatestage.Record, error) {
	spec.relayed = true
	if err := manager.Submit(ctx, spec); err != nil {
		return agatestage.Record{}, err
	}
	manager.mutex.Lock()
	kept := manager.heads[spec.ID]
	manager.mutex.Unlock()
	return kept.record()
}
