package batch

import "time"

const (
	// moveGain is how much less loaded another gateway must be for a job to be run
	// there, in items for each of its slots: the owner's own readers are near.
	moveGain = 0.25
	// regionGain is the same for a gateway of another region.
	regionGain = 0.75
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

// place chooses the gateway that is to own a new job: this one, unless another
// has clearly less to do for its slots. A burst of jobs that comes to one gateway
// would otherwise wait there while others are idle.
func (manager *Manager) place(items int) Gateway {
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
	return chosen
}
