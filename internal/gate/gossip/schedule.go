package gossip

import (
	"net/netip"
	"time"
)

const (
	// sendTick is how often messages are sent, and so the shortest period of messages.
	sendTick = 100 * time.Millisecond
	// remotePeriod is the shortest period of messages to other regions, where bytes are
	// dear.
	remotePeriod = 500 * time.Millisecond
	// maxPeriod bounds the periods, so that two messages may be lost before a gateway
	// is considered lost.
	maxPeriod = 800 * time.Millisecond
	// zoneRate and outerRate are the numbers of messages that a gateway sends per second
	// at most within its zone, whose targets it shares most, and beyond it. With more
	// recipients the periods grow.
	zoneRate  = 80
	outerRate = 40
	// allCountsPeriod is the period of messages with the counts of all active
	// organisations and the strikes of all requests in quarantine.
	allCountsPeriod = 500 * time.Millisecond
	// repairAfter is how long a gateway must not have been heard before it is asked for
	// its state directly: the gateways that should pass it on may know others. At most
	// repairsPerTick are asked at a time.
	repairAfter    = time.Second
	repairsPerTick = 2
)

// recipients is a class of gateways that get messages at the same time.
type recipients int

// The recipients of the own group, and of other groups at each distance.
const (
	mates recipients = iota
	zoneGroups
	regionGroups
	remoteGroups
	recipientClasses
)

// delivery is a message that is due now.
type delivery struct {
	addresses []netip.AddrPort
	// all says that it has the counts of all organisations and the strikes of all requests in quarantine.
	all bool
	// relay and reply are those of the packet.
	relay bool
	reply bool
	// passedOn says that it has the reports that are to be passed on.
	passedOn bool
}

// due returns the messages that are due now, and records that they are sent. The mutex
// must be held.
func (mesh *Mesh) due(now time.Time) (deliveries []delivery) {
	periods := mesh.periods()
	for class, period := range periods {
		if !mesh.urgent && now.Sub(mesh.lastSent[class]) < period-sendTick/2 {
			continue
		}
		all := now.Sub(mesh.lastSentAll[class]) >= allCountsPeriod-sendTick/2
		mesh.lastSent[class] = now
		if all {
			mesh.lastSentAll[class] = now
		}
		deliveries = append(deliveries, mesh.deliveries(recipients(class), all, now)...)
	}
	mesh.urgent = false
	if overdue := mesh.overdue(now); len(overdue) > 0 {
		deliveries = append(deliveries, delivery{addresses: overdue, reply: true})
	}
	return deliveries
}

// deliveries returns the messages to one class of recipients. The mutex must be held.
func (mesh *Mesh) deliveries(class recipients, all bool, now time.Time) []delivery {
	if class == mates {
		return []delivery{{addresses: mesh.addresses(mesh.neighbours.mates), all: all, passedOn: true}}
	}
	single, relayed := delivery{all: all}, delivery{all: all, relay: true}
	for _, group := range mesh.neighbours.groups {
		if group.distance != int(class-zoneGroups) {
			continue
		}
		chosen := &single
		if len(group.members) > 1 {
			chosen = &relayed
		}
		chosen.addresses = append(chosen.addresses, mesh.addresses([]string{mesh.contact(group, now)})...)
	}
	return []delivery{single, relayed}
}

// contact draws the gateway of a group that gets the next message, among those that are
// heard. The mutex must be held.
func (mesh *Mesh) contact(group group, now time.Time) string {
	var heard []string
	for _, name := range group.members {
		if peer := mesh.peers[name]; peer != nil && now.Sub(peer.lastHeard) < aliveTimeout {
			heard = append(heard, name)
		}
	}
	if len(heard) == 0 {
		heard = group.members
	}
	return heard[mesh.random(len(heard))]
}

// overdue returns the addresses of a few gateways that have not been heard for
// repairAfter. Where each gets all messages itself, that changes nothing. The mutex
// must be held.
func (mesh *Mesh) overdue(now time.Time) (addresses []netip.AddrPort) {
	if !mesh.neighbours.relays() {
		return nil
	}
	for _, peer := range mesh.peers {
		if now.Sub(peer.lastHeard) > repairAfter {
			if addresses = append(addresses, peer.member.Address); len(addresses) == repairsPerTick {
				break
			}
		}
	}
	return addresses
}

// addresses returns the addresses of gateways. The mutex must be held.
func (mesh *Mesh) addresses(names []string) (addresses []netip.AddrPort) {
	for _, name := range names {
		if peer := mesh.peers[name]; peer != nil {
			addresses = append(addresses, peer.member.Address)
		}
	}
	return addresses
}

// periods returns the period of messages to each class of recipients. The mutex must
// be held.
func (mesh *Mesh) periods() (periods [recipientClasses]time.Duration) {
	zone, outer := mesh.neighbours.recipients()
	zonePeriod := max(sendTick, time.Duration(zone)*time.Second/zoneRate)
	outerPeriod := max(sendTick, time.Duration(outer)*time.Second/outerRate)
	return [recipientClasses]time.Duration{
		mates: min(maxPeriod, zonePeriod), zoneGroups: min(maxPeriod, zonePeriod),
		regionGroups: min(maxPeriod, outerPeriod), remoteGroups: min(maxPeriod, max(remotePeriod, outerPeriod)),
	}
}

// longestDelay returns the longest time until a change in this gateway's state has been
// sent to every other gateway, also through a third one. The mutex must be held.
func (mesh *Mesh) longestDelay() time.Duration {
	periods := mesh.periods()
	longest := periods[mates]
	for _, group := range mesh.neighbours.groups {
		longest = max(longest, periods[int(zoneGroups)+group.distance])
	}
	if mesh.neighbours.relays() {
		longest += periods[mates] + sendTick
	}
	return longest + sendTick
}

// MaxSendDelay returns the longest time until a change in this gateway's state has
// been sent to every other gateway.
func (mesh *Mesh) MaxSendDelay() time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.sendDelay
}
