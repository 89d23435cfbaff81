package batch

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// moveThreshold is by how much another gateway must be less loaded for a job to be
	// placed there, in items per slot: its load is as old as its last message, and callers
	// that read results are near the owner.
	moveThreshold = 0.25
	// crossRegionThreshold is the same for a gateway of another region, whose load is older
	// and which reads the whole input over the line between the regions.
	crossRegionThreshold = 0.75
	// rebalancePeriod is the period of the check whether a job should move.
	rebalancePeriod = 500 * time.Millisecond
	// overloadThreshold is the load, in items per slot, from which a gateway moves
	// jobs to others: then half as many items wait as run, and a move may pay.
	overloadThreshold = 1.5
	// minOwnershipTime is how long a job stays with its owner before it may move: a
	// move costs four calls to the store, and the running items lose their slots.
	minOwnershipTime = 3 * time.Second
	// maxCandidates is how many other gateways are considered for one job.
	maxCandidates = 3
	// moveTimeout bounds one move.
	moveTimeout = 3 * time.Second
	// placementTTL is how long items that were placed at a gateway are added to the
	// backlog that it reports.
	placementTTL = 400 * time.Millisecond
)

// unlimitedLoad is the load of a gateway that must not be chosen.
var unlimitedLoad = math.Inf(1)

// placement is the number of items that were recently placed at a gateway.
type placement struct {
	items   int
	expires time.Time
}

// load returns the items per slot of a gateway, with extraItems added to its backlog.
func (gateway Gateway) load(extraItems int) float64 {
	return float64(gateway.Backlog+extraItems) / float64(max(1, gateway.Slots))
}

// placeJob chooses the gateway that is to own a new job: this one, unless another is
// clearly less loaded. Otherwise a burst of jobs submitted to one gateway would wait
// there while others are idle. A draining gateway chooses another one, or none if it
// knows of none; the next gateway that sees the job then takes it over. Only gateways in the
// job's regions are chosen.
func (manager *Manager) placeJob(head Head, items int) Gateway {
	self, others := manager.gatewayLoads()
	regions := manager.regions(head)
	others = allowedIn(regions, others)
	switch {
	case !regions.Allows(manager.region):
		return manager.placeForeign(self, others, head, items)
	case manager.isDraining():
		return manager.chooseOwner(Gateway{}, others, head.ID, items, unlimitedLoad)
	}
	return manager.chooseOwner(self, others, head.ID, items, self.load(items))
}

// handOver makes another gateway the owner of a job that is no longer run here, or
// clears the owner if to is empty, so that any gateway may take the job over.
func (manager *Manager) handOver(ctx context.Context, before versionedHead, to Gateway, handover Handover) {
	head := before.Head
	if head.Owner, head.Instance = to.Name, to.Instance; to.Name != "" {
		head.Epoch++
	}
	var writes []agatestage.Write
	if len(handover.Progress) > 0 {
		if data, err := encodeProgress(handover.Progress); err != nil {
			klog.ErrorS(err, "progress of items not handed over", "job", head.ID)
		} else {
			head.Progress = true
			writes = append(writes, agatestage.Write{Key: progressPrefix + head.ID, Value: data})
		}
	}
	written, err := manager.jobStore.writeHead(ctx, before, head, writes...)
	if err != nil {
		manager.noteWrite(head.ID, err)
		klog.InfoS("job not handed over; it will be taken over later", "job", head.ID, "error", err.Error())
		return
	}
	manager.mutex.Lock()
	manager.cacheHeadLocked(written)
	manager.noteOwner(written.Head)
	manager.mutex.Unlock()
	handover.Whole = true
	manager.notifyOwner(written, handover)
	klog.InfoS("job handed over", "job", head.ID, "to", to.Name, "results", head.Results, "items", head.Items, "begun", len(handover.Progress))
}

// gatewayLoads returns this gateway and the others, with recent placements added to
// their backlogs.
func (manager *Manager) gatewayLoads() (self Gateway, others []Gateway) {
	self = Gateway{Name: manager.name, Instance: manager.instance, Region: manager.region}
	now := manager.clock.Now()
	alive := manager.fleet.Alive()
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for _, gateway := range alive {
		if recent := manager.placements[gateway.Name]; now.Before(recent.expires) {
			gateway.Backlog += recent.items
		}
		switch {
		case gateway.Name != manager.name:
			others = append(others, gateway)
		case gateway.Instance == manager.instance:
			self = gateway
		}
	}
	return self, others
}

// chooseOwner returns self, which would have the given load, or one of a few other
// gateways that is clearly less loaded with the items added. The candidates depend on
// the job's ID: otherwise all gateways would choose the same one before it has reported
// the first job.
func (manager *Manager) chooseOwner(self Gateway, others []Gateway, id string, items int, load float64) Gateway {
	slices.SortFunc(others, func(a, b Gateway) int { return cmp.Compare(rendezvousHash(b.Name, id), rendezvousHash(a.Name, id)) })
	chosen, least := self, load
	for _, other := range others[:min(len(others), maxCandidates)] {
		threshold := moveThreshold
		if other.Region != manager.region {
			threshold = crossRegionThreshold
		}
		if cost := other.load(items) + threshold; other.Slots > 0 && cost < least {
			chosen, least = other, cost
		}
	}
	now := manager.clock.Now()
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	recent := manager.placements[chosen.Name]
	if !now.Before(recent.expires) {
		recent.items = 0
	}
	manager.placements[chosen.Name] = placement{items: recent.items + items, expires: now.Add(placementTTL)}
	return chosen
}

// rendezvousHash is the weight of a gateway for a job in rendezvous hashing.
func rendezvousHash(gateway, id string) uint64 {
	return xxhash.Sum64String(gateway + "/" + id)
}

// byRendezvous returns the gateway with the highest weight for a job.
func byRendezvous(gateways []Gateway, id string) Gateway {
	return slices.MaxFunc(gateways, func(a, b Gateway) int { return cmp.Compare(rendezvousHash(a.Name, id), rendezvousHash(b.Name, id)) })
}

// rebalance moves one job to a clearly less loaded gateway if the load here has
// reached overloadThreshold. Gateways become overloaded in this way when they restart
// and take back the jobs that they owned before.
func (manager *Manager) rebalance(ctx context.Context) {
	if manager.fleet.StoreOutage() > 0 {
		return
	}
	self, others := manager.gatewayLoads()
	currentLoad := self.load(0)
	if currentLoad < overloadThreshold {
		return
	}
	job := manager.jobToMove(others)
	if job == nil {
		return
	}
	// This gateway's load already includes the job's items.
	to := manager.chooseOwner(self, allowedIn(manager.regions(job.head), others), job.head.ID, job.remaining(), currentLoad)
	if to.Name == manager.name {
		return
	}
	manager.mutex.Lock()
	if manager.jobs[job.head.ID] != job || manager.claimed[job.head.ID] || manager.draining {
		manager.mutex.Unlock()
		return
	}
	delete(manager.jobs, job.head.ID)
	// The job must not be taken over here again before it has been handed over.
	manager.claimed[job.head.ID] = true
	manager.mutex.Unlock()
	defer manager.taken(job.head.ID)
	klog.InfoS("job moves", "job", job.head.ID, "to", to.Name, "crowd", currentLoad, "left", job.remaining())
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	job.release(ctx, to)
}

// jobToMove returns the job with the latest due time among those with remaining items
// that have been owned for at least minOwnershipTime and aren't limited to regions without
// another gateway.
func (manager *Manager) jobToMove(others []Gateway) (latest *job) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for _, job := range manager.jobs {
		if job.remaining() == 0 || manager.clock.Since(job.startedAt) < minOwnershipTime {
			continue
		}
		if regions := manager.regions(job.head); regions.Restricted && len(allowedIn(regions, others)) == 0 {
			continue
		}
		if latest == nil || job.head.Due.After(latest.head.Due) {
			latest = job
		}
	}
	return latest
}
