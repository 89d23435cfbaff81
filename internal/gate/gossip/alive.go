package gossip

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"
)

// refresh takes the members of the store and drops gateways that are long gone.
func (mesh *Mesh) refresh() {
	members := mesh.roster.Members()
	mesh.mutex.Lock()
	now := mesh.clock.Now()
	for name, listed := range members {
		if name == mesh.roster.Self().Name {
			continue
		}
		known := mesh.peers[name]
		if known == nil {
			known = &peer{heard: now.Add(-aliveFor)}
			mesh.peers[name] = known
		}
		if known.member.Address != listed.Address {
			known.member = listed
		}
	}
	for name, known := range mesh.peers {
		if _, listed := members[name]; !listed && now.Sub(known.heard) > forgetAfter {
			klog.InfoS("gateway forgotten", "gateway", name, "lastHeard", now.Sub(known.heard))
			delete(mesh.peers, name)
		}
	}
	changed := mesh.follow(now)
	mesh.mutex.Unlock()
	if changed {
		mesh.source.Changed()
	}
}

// follow notes which gateways are alive now, and reports whether others are than
// before; the mutex is held.
func (mesh *Mesh) follow(now time.Time) (changed bool) {
	for name, known := range mesh.peers {
		alive := known.alive(now)
		if alive == known.wasAlive {
			continue
		}
		known.wasAlive, changed = alive, true
		message := "gateway lost"
		if alive {
			message = "gateway heard"
		}
		klog.InfoS(message, "gateway", name, "instance", known.state.Instance, "zone", known.state.Zone, "leaving", known.state.Leaving,
			"lastHeard", now.Sub(known.heard), "version", known.state.Version, "hearsStore", known.state.Hears)
	}
	return changed
}

// alive reports whether the gateway was heard lately and takes new work.
func (peer *peer) alive(now time.Time) bool {
	return now.Sub(peer.heard) < aliveFor && peer.state.Name != "" && !peer.state.Leaving
}

// Alive returns the states of the gateways that are alive, this one included.
func (mesh *Mesh) Alive() []State {
	own := mesh.own(false)
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return append(mesh.states(mesh.clock.Now()), own)
}

// states returns the states of the other gateways that are alive, by name; the
// mutex is held.
func (mesh *Mesh) states(now time.Time) (states []State) {
	for _, known := range mesh.peers {
		if known.alive(now) {
			states = append(states, known.state)
		}
	}
	sortStates(states)
	return states
}

// Gone reports whether a process of a gateway has ended, as another of that
// gateway runs, or can't act any more, as it is neither a member nor heard.
func (mesh *Mesh) Gone(name, instance string) bool {
	if name == mesh.roster.Self().Name {
		return instance != mesh.instance
	}
	_, listed := mesh.roster.Members()[name]
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	known := mesh.peers[name]
	if known == nil || known.state.Name == "" {
		return !listed
	}
	silent := mesh.clock.Since(known.heard)
	if silent < aliveFor {
		return known.state.Instance != instance
	}
	return !listed && silent > goneAfter
}

// Address returns where a gateway listens.
func (mesh *Mesh) Address(name string) (address netip.AddrPort, ok bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	known := mesh.peers[name]
	if known == nil {
		return address, false
	}
	return known.member.Address, true
}

// Admitting returns the names of the other gateways that may admit requests:
// those that were heard lately, and members that may only be cut off.
func (mesh *Mesh) Admitting() (names []string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	for name, known := range mesh.peers {
		if now.Sub(known.heard) < admitFor {
			names = append(names, name)
		}
	}
	return names
}

// Fresh reports whether a gateway that hears the store was heard lately and
// knows no newer configuration than this one.
func (mesh *Mesh) Fresh() bool {
	version := mesh.source.Version()
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	for _, known := range mesh.peers {
		if now.Sub(known.heard) < aliveFor && known.state.Hears && known.state.Version <= version {
			return true
		}
	}
	return false
}
