package batch

import (
	"context"
	"time"

	"k8s.io/klog/v2"
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
	// settledFor is how long a job stays with its owner before it may move.
	settledFor = time.Second
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

// place chooses the gateway that is to own a job: this one, unless another has
// clearly less to do for its slots. A burst of jobs that comes to one gateway would
// otherwise wait there while others are idle.
func (manager *Manager) place(items int) Gateway {
	chosen, _ := manager.choose(items)
	return chosen
}

// choose returns the gateway with the least to do and how many items there are
// for each slot here.
func (manager *Manager) choose(items int) (chosen Gateway, crowd float64) {
	now := manager.clock.Now()
	self := Gateway{Name: manager.name, Instance: manager.instance, Region: manager.region}
	alive := manager.fleet.Alive()
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for i := range alive {
		if recent := manager.placed[alive[i].Name]; now.Before(recent.until) {
			alive[i].Backlog += recent.items
		}
		if alive[i].Name == manager.name && alive[i].Instance == manager.instance {
			self = alive[i]
		}
	}
	chosen, least := self, self.load(items)
	crowd = self.load(0)
	for _, other := range alive {
		gain := moveGain
		if other.Region != manager.region {
			gain = regionGain
		}
		if cost := other.load(items) + gain; other.Name != manager.name && other.Slots > 0 && cost < least {
			chosen, least = other, cost
		}
	}
	recent := manager.placed[chosen.Name]
	if !now.Before(recent.until) {
		recent.items = 0
	}
	manager.placed[chosen.Name] = placement{items: recent.items + items, until: now.Add(placedFor)}
	return chosen, crowd
}

// balance gives one job to a gateway with clearly less to do if more items wait
// here than run. Gateways that take over what they owned before they were lost
// get crowded so.
func (manager *Manager) balance(ctx context.Context) {
	if manager.fleet.Silent() > 0 {
		return
	}
	job := manager.movable()
	if job == nil {
		return
	}
	to, crowd := manager.choose(job.left())
	if to.Name == manager.name || crowd < crowded {
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
