package gossip

import (
	"slices"
	"time"

	"github.com/agatestage/agatestage/internal/state/member"
)

const (
	// sendTick is how often messages are sent, and so the shortest period of messages
	// to one gateway. It is that of gateways of the same zone, as they share targets.
	sendTick = 100 * time.Millisecond
	// regionPeriod and remotePeriod are the periods of messages to gateways of other
	// zones of the region and of other regions, in small fleets. With more than
	// zonePeers, regionPeers and remotePeers gateways at a distance, the three periods
	// grow in proportion to their number, so that the rate of messages that a gateway
	// sends doesn't.
	regionPeriod = 100 * time.Millisecond
	remotePeriod = 500 * time.Millisecond
	zonePeers    = 6
	regionPeers  = 3
	remotePeers  = 4
	// maxPeriod bounds the periods, so that two messages may be lost before a gateway
	// is considered lost.
	maxPeriod = 800 * time.Millisecond
	// allCountsPeriod is the period of messages with the counts of all active
	// organisations.
	allCountsPeriod = 500 * time.Millisecond
)

// recipient is a gateway to which a message is due. With all, the message has the
// counts of all organisations.
type recipient struct {
	member member.Member
	all    bool
}

// due returns the gateways to which a message is due now, and records that it is
// sent.
func (mesh *Mesh) due(now time.Time) (recipients []recipient) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	periods := mesh.periods()
	for _, peer := range mesh.peers {
		period := periods[mesh.distance(peer.member)]
		if now.Sub(peer.lastSent) < period-sendTick/2 {
			continue
		}
		peer.lastSent = now
		all := now.Sub(peer.lastSentAll) >= allCountsPeriod-sendTick/2
		if all {
			peer.lastSentAll = now
		}
		recipients = append(recipients, recipient{member: peer.member, all: all})
	}
	return recipients
}

// Distances of another gateway, in the order in which targets are chosen.
const (
	sameZone = iota
	sameRegion
	elsewhere
	distances
)

// distance returns the distance of another gateway from this one.
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

// periods returns the period of messages to a gateway, by its distance; the mutex must
// be held.
func (mesh *Mesh) periods() (periods [distances]time.Duration) {
	var counts [distances]int
	for _, peer := range mesh.peers {
		counts[mesh.distance(peer.member)]++
	}
	for distance, pace := range [distances]struct {
		period time.Duration
		count  int
	}{{sendTick, zonePeers}, {regionPeriod, regionPeers}, {remotePeriod, remotePeers}} {
		scaled := pace.period * time.Duration(counts[distance]) / time.Duration(pace.count)
		periods[distance] = min(maxPeriod, max(pace.period, scaled))
	}
	return periods
}

// MaxSendDelay returns the longest time until a change in this gateway's state has
// been sent to every other gateway.
func (mesh *Mesh) MaxSendDelay() time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	periods := mesh.periods()
	return slices.Max(periods[:]) + sendTick
}
