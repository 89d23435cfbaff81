package gossip

import (
	"slices"
	"time"

	"github.com/agatestage/agatestage/internal/state/member"
)

const (
	// tick is how often messages are sent: the shortest time between two to one
	// gateway, which those of the same zone get as they share targets.
	tick = 100 * time.Millisecond
	// regionPeriod and remotePeriod are the times between two messages to gateways
	// of other zones, in small fleets. All three grow with the number of gateways, so
	// that a gateway's messages don't: zoneCount, regionCount and remoteCount of them
	// are told at that pace.
	regionPeriod = 100 * time.Millisecond
	remotePeriod = 500 * time.Millisecond
	zoneCount    = 6
	regionCount  = 3
	remoteCount  = 4
	// longestPeriod bounds them, so that two messages may be lost before a gateway
	// counts as lost.
	longestPeriod = 800 * time.Millisecond
	// allPeriod is the time between two messages with the counts of all active
	// organisations.
	allPeriod = 500 * time.Millisecond
)

// addressee is a gateway to which a message is due.
type addressee struct {
	member member.Member
	all    bool
}

// due returns the gateways to which a message is due now.
func (mesh *Mesh) due(now time.Time) (addressees []addressee) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	periods := mesh.periods()
	for _, known := range mesh.peers {
		period := periods[mesh.distance(known.member)]
		if now.Sub(known.told) < period-tick/2 {
			continue
		}
		known.told = now
		all := now.Sub(known.toldAll) >= allPeriod-tick/2
		if all {
			known.toldAll = now
		}
		addressees = append(addressees, addressee{member: known.member, all: all})
	}
	return addressees
}

// The distances of another gateway, in the order in which targets are chosen.
const (
	sameZone = iota
	sameRegion
	elsewhere
	distances
)

// distance returns how far another gateway is from this one.
func (mesh *Mesh) distance(other member.Member) int {
	self := mesh.roster.Self()
	switch {
	case other.Zone == self.Zone:
		return sameZone
	case other.Region == self.Region:
		return sameRegion
	}
	return elsewhere
}

// periods returns the times between two messages to a gateway, by its distance;
// the mutex is held.
func (mesh *Mesh) periods() (periods [distances]time.Duration) {
	var counts [distances]int
	for _, known := range mesh.peers {
		counts[mesh.distance(known.member)]++
	}
	for distance, pace := range [distances]struct {
		period time.Duration
		count  int
	}{{tick, zoneCount}, {regionPeriod, regionCount}, {remotePeriod, remoteCount}} {
		scaled := pace.period * time.Duration(counts[distance]) / time.Duration(pace.count)
		periods[distance] = min(longestPeriod, max(pace.period, scaled))
	}
	return periods
}

// Delay returns how long what a gateway does may go untold.
func (mesh *Mesh) Delay() time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	periods := mesh.periods()
	return slices.Max(periods[:]) + tick
}
