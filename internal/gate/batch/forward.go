package batch

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

// Jobs are forwarded because the store may reject the calls of some gateways only. The
// callers of such a gateway may reach no other one, and the gateways that do reach the
// store can accept their jobs.

// forward lets a gateway that reaches the store accept a job that this one can't
// write. The cause must leave no doubt that the job hasn't been written.
func (manager *Manager) forward(ctx context.Context, spec Spec, cause error) error {
	regions := manager.regions(spec.head())
	to, ok := manager.peerWithStore(spec.ID, regions)
	if !ok && regions.Restricted {
		countJob("refused")
	}
	if !ok || spec.forwarded {
		return storeRefusal("the job can't be kept now", cause)
	}
	record, err := manager.peers.Submit(ctx, to.Name, spec)
	var refusal *agatestage.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case err != nil:
		klog.InfoS("job submission not acknowledged by another gateway", "job", spec.ID, "gateway", to.Name, "error", err.Error())
		return unknownRefusal("another gateway did not say whether it has the job")
	}
	klog.InfoS("job passed on", "job", spec.ID, "gateway", to.Name, "reason", cause.Error())
	accepted, err := decodeVersionedHead(record)
	if err != nil {
		klog.ErrorS(err, "job head from another gateway can't be decoded", "key", record.Key)
		return nil
	}
	manager.cacheHead(accepted)
	return nil
}

// peerWithStore returns another gateway that reaches the store, preferably of an allowed
// region and of this one. It is in one of both, as it is sent the job's input.
func (manager *Manager) peerWithStore(id string, regions agatestage.Regions) (Gateway, bool) {
	others := slices.DeleteFunc(slices.Clone(manager.fleet.Alive()), func(gateway Gateway) bool {
		return gateway.Name == manager.name || !gateway.Hears || !regions.Allows(gateway.Region) && (manager.region == "" || gateway.Region != manager.region)
	})
	if len(others) == 0 {
		return Gateway{}, false
	}
	return slices.MaxFunc(others, func(a, b Gateway) int {
		return cmp.Or(allowedRank(regions, a)-allowedRank(regions, b), cmp.Compare(manager.localityRank(a), manager.localityRank(b)), cmp.Compare(rendezvousHash(a.Name, id), rendezvousHash(b.Name, id)))
	}), true
}

// localityRank is 1 for gateways of this region and 0 for others.
func (manager *Manager) localityRank(gateway Gateway) int {
	if gateway.Region == manager.region {
		return 1
	}
	return 0
}

// allowedRank is 1 for gateways of allowed regions and 0 for others.
func allowedRank(regions agatestage.Regions, gateway Gateway) int {
	if regions.Allows(gateway.Region) {
		return 1
	}
	return 0
}

// AcceptForwarded accepts a job for another gateway that can't reach the store, and
// returns the record of the job's head, also if ctx, that of the other gateway's request,
// ends meanwhile. The error is a *agatestage.Refusal.
func (manager *Manager) AcceptForwarded(ctx context.Context, spec Spec) (agatestage.Record, error) {
	spec.forwarded = true
	if err := manager.Submit(context.WithoutCancel(ctx), spec); err != nil {
		return agatestage.Record{}, err
	}
	manager.mutex.Lock()
	accepted := manager.heads[spec.ID]
	manager.mutex.Unlock()
	return accepted.record()
}
