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
	// moveGain is how much less loaded another gateway must be for a job to be run
	// there, in items for each of its slots: the owner's own readers are near.
	moveGain = 0.25
	// regionGain is the same for a gateway of another region.
	regionGain = 0.75
	// balancePeriod is the time between two looks whether a job should move.
	balancePeriod = 500 * time.Millisecond
	// crowded is the number of items for each slot from which a gateway gives jobs
	// away: then about as many wait as run.
	crowded = 1.5
	// settledFor is how long a job stays with its owner before it may move: a move
	// costs the store four calls and its running items their slots.
	settledFor = 3 * time.Second
	// choices is how many other gateways are looked at for one job.
	choices = 3
	// moveTime bounds one move.
	moveTime = 3 * time.Second
	// placedFor is how long items that were placed at a gateway are counted beside
	// the backlog that it tells.
	placedFor = 400 * time.Millisecond
)

// placement is a number of items that were placed at a gateway lately.
type placement struct {
	items int
	until time.Time
}

// load returns the items for each slot of a gateway.
func (gateway Gateway) load(more int) float64 {
	return float64(gateway.Backlog+more) / float64(max(1, gateway.Slots))
}

// place chooses the gateway that is to own a new job: this one, unless another has
// clearly less to do for its slots. A burst of jobs that comes to one gateway would
// otherwise wait there while others are idle. A gateway that is about to stop names
// another one, or none if it knows of none: the next that sees the job takes it then.
func (manager *Manager) place(id string, items int) Gateway {
	self, others := manager.loads()
	manager.mutex.Lock()
	draining := manager.draining
	manager.mutex.Unlock()
	if draining {
		return manager.choose(Gateway{}, others, id, items, math.Inf(1))
	}
	return manager.choose(self, others, id, items, self.load(items))
}

// handOver makes another gateway the owner of a job that isn't run here any more, or
// leaves it to any if none is named.
func (manager *Manager) handOver(ctx context.Context, before entry, to Gateway, handover Handover) {
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
	after, err := manager.vault.write(ctx, before, head, writes...)
	if err != nil {
		klog.InfoS("job not handed over; it is taken over after a while", "job", head.ID, "error", err.Error())
		return
	}
	manager.note(after)
	handover.Whole = true
	manager.tellOwner(after, handover)
	klog.InfoS("job handed over", "job", head.ID, "to", to.Name, "results", head.Results, "items", head.Items, "begun", len(handover.Progress))
}

// loads returns this gateway and the others, with what was placed there lately.
func (manager *Manager) loads() (self Gateway, others []Gateway) {
	self = Gateway{Name: manager.name, Instance: manager.instance, Region: manager.region}
	now := manager.clock.Now()
	alive := manager.fleet.Alive()
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for _, gateway := range alive {
		if recent := manager.placed[gateway.Name]; now.Before(recent.until) {
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

// choose returns this gateway, which would have a load, or one of a few others that
// has clearly less to do with the items. Which are looked at depends on the job, as all
// gateways would otherwise choose the same one before it has told of the first.
func (manager *Manager) choose(self Gateway, others []Gateway, id string, items int, load float64) Gateway {
	slices.SortFunc(others, func(a, b Gateway) int { return cmp.Compare(rank(b.Name, id), rank(a.Name, id)) })
	chosen, least := self, load
	for _, other := range others[:min(len(others), choices)] {
		gain := moveGain
		if other.Region != manager.region {
			gain = regionGain
		}
		if cost := other.load(items) + gain; other.Slots > 0 && cost < least {
			chosen, least = other, cost
		}
	}
	now := manager.clock.Now()
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	recent := manager.placed[chosen.Name]
	if !now.Before(recent.until) {
		recent.items = 0
	}
	manager.placed[chosen.Name] = placement{items: recent.items + items, until: now.Add(placedFor)}
	return chosen
}

// rank orders gateways in a way of its own for each job.
func rank(gateway, id string) uint64 {
	return xxhash.Sum64String(gateway + "/" + id)
}

// balance gives one job to a gateway with clearly less to do if more items wait
// here than run. Gateways that take over what they owned before they were lost
// get crowded so.
func (manager *Manager) balance(ctx context.Context) {
	if manager.fleet.Silent() > 0 {
		return
	}
	self, others := manager.loads()
	crowd := self.load(0)
	if crowd < crowded {
		return
	}
	job := manager.movable()
	if job == nil {
		return
	}
	// The job's items are in this gateway's load already.
	to := manager.choose(self, others, job.head.ID, job.left(), crowd)
	if to.Name == manager.name {
		return
	}
	manager.mutex.Lock()
	if manager.jobs[job.head.ID] != job || manager.taking[job.head.ID] || manager.draining {
		manager.mutex.Unlock()
		return
	}
	delete(manager.jobs, job.head.ID)
	// It must not be taken back before it has been given away.
	manager.taking[job.head.ID] = true
	manager.mutex.Unlock()
	defer manager.taken(job.head.ID)
	klog.InfoS("job moves", "job", job.head.ID, "to", to.Name, "crowd", crowd, "left", job.left())
	ctx, cancel := context.WithTimeout(ctx, moveTime)
	defer cancel()
	job.release(ctx, to)
}

// movable returns the job that is due last and has been here for a while.
func (manager *Manager) movable() (last *job) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for _, job := range manager.jobs {
		if job.left() == 0 || manager.clock.Since(job.began) < settledFor {
			continue
		}
		if last == nil || job.head.Due.After(last.head.Due) {
			last = job
		}
	}
	return last
}
