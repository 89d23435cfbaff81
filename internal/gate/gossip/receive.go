package gossip

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// endedInstances is how many ended processes of a gateway are remembered, whose late
// reports are dropped.
const endedInstances = 4

// receivePacket applies a packet.
func (mesh *Mesh) receivePacket(payload []byte) {
	var message packet
	if err := link.Unmarshal(payload, &message); err != nil || message.Format != packetFormat {
		klog.V(1).InfoS("packet of another format dropped", "format", message.Format, "error", err)
		return
	}
	var first report
	for i, encoded := range message.Reports {
		var received report
		if err := link.Unmarshal(encoded, &received); err != nil {
			klog.V(1).InfoS("report dropped", "error", err.Error())
			continue
		}
		if i == 0 {
			first = received
		}
		if mesh.receiveReport(received) && message.Relay {
			mesh.passOn(encoded)
		}
	}
	for _, guest := range message.Guests {
		mesh.source.ReceiveGuestCalls(guest.From, guest.Target, guest.Held)
	}
	if message.Reply && first.State.Address.IsValid() {
		mesh.send(packet{Reports: mesh.ownReports(true)}, first.State.Address)
	}
}

// passOn adds a report to those for this gateway's group.
func (mesh *Mesh) passOn(encoded []byte) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if len(mesh.passedOn) < maxPassedOn {
		mesh.passedOn = append(mesh.passedOn, encoded)
	}
}

// receiveReport applies a report of another gateway and reports whether it was new. A
// gateway without a membership record is added as a new peer: its packet shows that it
// belongs to the fleet, and this process may be cut off from the store.
func (mesh *Mesh) receiveReport(received report) bool {
	state := received.State
	if state.Name == mesh.roster.Self().Name || state.Name == "" {
		return false
	}
	version, listed := mesh.source.Version(), mesh.roster.Members()[state.Name].Instance
	// While both gateways hear the store, a new process appears in its membership record.
	maybeLate := listed != "" && listed != state.Instance && state.Hears && mesh.source.StoreOutage() == 0
	mesh.mutex.Lock()
	known := mesh.peers[state.Name]
	if known == nil {
		klog.InfoS("gateway met before the store told of it", "gateway", state.Name, "instance", state.Instance, "address", state.Address)
		known = &peer{member: member.Member{Name: state.Name, Region: state.Region, Zone: state.Zone, Address: state.Address}}
		mesh.peers[state.Name] = known
		mesh.peersChanged = true
	}
	if maybeLate && known.lastHeardIs(listed, mesh.clock.Now()) || !known.accepts(received) {
		mesh.mutex.Unlock()
		return false
	}
	regained := state.Hears && !known.state.Hears && known.state.Name != ""
	known.state, known.sequence, known.lastHeard = state, received.Sequence, mesh.clock.Now()
	if state.Watches && state.Version <= version {
		mesh.confirmedAt = mesh.clock.Now()
	}
	held, complete := known.addHeld(received)
	mesh.mutex.Unlock()
	if regained {
		mesh.source.StoreRecovered()
	}
	if complete {
		mesh.source.ReceiveHeld(state.Name, held)
	}
	mesh.source.ReceiveCounts(state.Name, state.Instance, received.Counts)
	for _, strike := range received.Strikes {
		mesh.source.Strike(strike)
	}
	if received.Shares != nil {
		mesh.source.ReceiveShares(state.Name, *received.Shares)
	}
	if len(received.Notes) > 0 {
		mesh.source.ReceiveNotes(received.Notes)
	}
	if state.EvacuatedAt > 0 {
		mesh.source.OfferEvacuations(state.Evacuated, state.EvacuatedAt, state.Name)
	}
	mesh.fetchUpdates(state)
	return true
}

// lastHeardIs reports whether a process was the last to be heard, and lately.
func (peer *peer) lastHeardIs(instance string, now time.Time) bool {
	return peer.state.Instance == instance && now.Sub(peer.lastHeard) < aliveTimeout
}

// accepts reports whether a report is newer than all before it. Reports may arrive twice
// or late, also those of a process that has ended.
func (peer *peer) accepts(received report) bool {
	if received.State.Instance == peer.state.Instance {
		return received.Sequence > peer.sequence
	}
	if slices.Contains(peer.ended, received.State.Instance) {
		return false
	}
	if peer.state.Instance != "" {
		peer.ended = append(peer.ended, peer.state.Instance)
		peer.ended = peer.ended[max(0, len(peer.ended)-endedInstances):]
	}
	return true
}

// addHeld adds a report's part of the calls at targets, and returns all calls once the
// last part has arrived. If a part is missing, the calls of the state before remain.
func (peer *peer) addHeld(received report) (held map[string]sched.Held, complete bool) {
	switch {
	case received.Parts == 0:
		return nil, false
	case received.Part == 0:
		peer.held, peer.heldParts = received.Held, 1
	case received.Part == peer.heldParts:
		for target, calls := range received.Held {
			peer.held[target] = calls
		}
		peer.heldParts++
	default:
		peer.heldParts = 0
		return nil, false
	}
	return peer.held, peer.heldParts == received.Parts
}
