package gossip

import (
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/state/member"
)

// refreshPeers updates the peers from the membership records in the store and removes
// those that are no longer members and have not been heard for forgetAfter.
func (mesh *Mesh) refreshPeers() {
	members := mesh.roster.Members()
	mesh.mutex.Lock()
	now := mesh.clock.Now()
	mesh.addMembers(members, now)
	for name, known := range mesh.peers {
		if _, listed := members[name]; !listed && now.Sub(known.lastHeard) > forgetAfter {
			klog.InfoS("gateway forgotten", "gateway", name, "lastHeard", now.Sub(known.lastHeard))
			delete(mesh.peers, name)
			mesh.peersChanged = true
		}
	}
	changed := mesh.updateAlive(now)
	mesh.updateNeighbours()
	mesh.updateAdmitting(now)
	watchingChanged, watching := mesh.updateWatching(now), mesh.watching
	quorum := mesh.updateQuorum(now)
	mesh.mutex.Unlock()
	mesh.source.QuorumChecked(quorum)
	if changed {
		mesh.source.GatewaysChanged()
	}
	if watchingChanged {
		mesh.source.WatchingChanged(watching)
	}
}

// addMembers adds the gateways of membership records; the mutex must be held.
func (mesh *Mesh) addMembers(members map[string]member.Member, now time.Time) {
	for name, listed := range members {
		if name == mesh.roster.Self().Name {
			continue
		}
		known := mesh.peers[name]
		if known == nil {
			known = &peer{lastHeard: now.Add(-aliveTimeout)}
			mesh.peers[name] = known
		}
		if known.member.Address != listed.Address || known.member.Zone != listed.Zone || known.member.Region != listed.Region {
			known.member, mesh.peersChanged = listed, true
		}
	}
}

// updateNeighbours divides the fleet again if the known gateways have changed; the mutex
// must be held.
func (mesh *Mesh) updateNeighbours() {
	if !mesh.peersChanged {
		return
	}
	mesh.peersChanged = false
	others := make([]member.Member, 0, len(mesh.peers))
	for name, peer := range mesh.peers {
		other := peer.member
		other.Name = name
		others = append(others, other)
	}
	mesh.neighbours = divide(mesh.roster.Self(), others)
	mesh.updateFleet(others)
	mesh.sendDelay = mesh.longestDelay()
	klog.V(1).InfoS("fleet divided", "gateways", len(others)+1, "mates", len(mesh.neighbours.mates), "groups", len(mesh.neighbours.groups), "sendDelay", mesh.sendDelay)
}

// updateAdmitting updates the names of the gateways that may be admitting requests; the
// mutex must be held.
func (mesh *Mesh) updateAdmitting(now time.Time) {
	names := make([]string, 0, len(mesh.peers))
	for name, peer := range mesh.peers {
		if now.Sub(peer.lastHeard) < admissionTimeout {
			names = append(names, name)
		}
	}
	mesh.admitting = names
}

// updateAlive updates which gateways are alive and reports whether that has changed;
// the mutex must be held.
func (mesh *Mesh) updateAlive(now time.Time) (changed bool) {
	for name, peer := range mesh.peers {
		alive := peer.alive(now)
		if alive == peer.wasAlive {
			continue
		}
		peer.wasAlive, changed = alive, true
		message := "gateway lost"
		if alive {
			message = "gateway heard"
		}
		klog.InfoS(message, "gateway", name, "instance", peer.state.Instance, "zone", peer.state.Zone, "leaving", peer.state.Leaving,
			"lastHeard", now.Sub(peer.lastHeard), "version", peer.state.Version, "hearsStore", peer.state.Hears)
	}
	return changed
}

// alive reports whether the gateway was heard within aliveTimeout and accepts new work.
func (peer *peer) alive(now time.Time) bool {
	return now.Sub(peer.lastHeard) < aliveTimeout && peer.state.Name != "" && !peer.state.Leaving
}

// Alive returns the states of the gateways that are alive, this one included.
func (mesh *Mesh) Alive() []State {
	ownState := mesh.ownState()
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return append(mesh.aliveStates(mesh.clock.Now()), ownState)
}

// aliveStates returns the states of the other gateways that are alive, sorted by name;
// the mutex must be held.
func (mesh *Mesh) aliveStates(now time.Time) (aliveStates []State) {
	for _, peer := range mesh.peers {
		if peer.alive(now) {
			aliveStates = append(aliveStates, peer.state)
		}
	}
	sortStates(aliveStates)
	return aliveStates
}

// Gone reports whether a process of a gateway has ended, because another process of
// that gateway runs, or can no longer act, because the gateway is neither a member nor
// heard. A gateway that doesn't follow the store can't tell the latter.
func (mesh *Mesh) Gone(name, instance string) bool {
	if name == mesh.roster.Self().Name {
		return instance != mesh.instance
	}
	_, listed := mesh.roster.Members()[name]
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, watching := mesh.peers[name], mesh.watching
	if peer == nil || peer.state.Name == "" {
		return !listed && watching
	}
	silent := mesh.clock.Since(peer.lastHeard)
	if silent < aliveTimeout {
		return peer.state.Instance != instance
	}
	return !listed && watching && silent > takeOverAfter
}

// Replaced reports whether another process of a gateway has been heard after the given one,
// so that this one has certainly ended.
func (mesh *Mesh) Replaced(name, instance string) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer := mesh.peers[name]
	return peer != nil && slices.Contains(peer.ended, instance)
}

// Address returns the address at which a gateway listens for other gateways.
func (mesh *Mesh) Address(name string) (address netip.AddrPort, ok bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer := mesh.peers[name]
	if peer == nil {
		return address, false
	}
	return peer.member.Address, true
}

// Admitting returns the names of the other gateways that may be admitting requests:
// all that were heard within admissionTimeout, as one that is no longer heard may only
// be cut off from this one. Callers must not change the result.
func (mesh *Mesh) Admitting() []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.admitting
}

// ConfirmedAge returns how long ago a gateway that follows the store last knew no newer
// configuration than this one, or the maximum duration if none ever has.
func (mesh *Mesh) ConfirmedAge() time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return mesh.clock.Since(mesh.confirmedAt)
}

// Fresh reports whether a live gateway that follows the store knows no newer
// configuration than this one.
func (mesh *Mesh) Fresh() bool {
	version := mesh.source.Version()
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	for _, peer := range mesh.peers {
		if now.Sub(peer.lastHeard) < aliveTimeout && peer.state.Watches && peer.state.Version <= version {
			return true
		}
	}
	return false
}
