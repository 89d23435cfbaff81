package gossip

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/gate/share"
	"github.com/agatestage/agatestage/internal/limit/tally"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// reportTargets, reportCounts, reportStrikes and reportNotes are how many of each a
	// report contains at most, so that it usually fits into a packet.
	reportTargets = 40
	reportCounts  = 20
	reportStrikes = 8
	reportNotes   = 12
	// envelopeBytes is the size of a packet without its reports, at most.
	envelopeBytes = 16
	// strikeTime is how long a strike is part of each message.
	strikeTime = 2 * time.Second
	// maxPassedOn bounds the reports that wait to be passed on.
	maxPassedOn = 1024
)

// ownStrike is a strike that this gateway has recorded, and when.
type ownStrike struct {
	blame.Strike
	at time.Time
}

// tick updates the view of the fleet and sends what is due.
func (mesh *Mesh) tick(context.Context) {
	mesh.refreshPeers()
	mesh.mutex.Lock()
	now := mesh.clock.Now()
	deliveries := mesh.due(now)
	var passedOn []cbor.RawMessage
	if slices.ContainsFunc(deliveries, func(delivery delivery) bool { return delivery.passedOn }) {
		passedOn, mesh.passedOn = mesh.passedOn, nil
	}
	mesh.mutex.Unlock()
	// Messages of one tick share their reports.
	var some, all []cbor.RawMessage
	for _, delivery := range deliveries {
		if len(delivery.addresses) == 0 {
			continue
		}
		reports := &some
		if delivery.all {
			reports = &all
		}
		if *reports == nil {
			*reports = mesh.ownReports(delivery.all)
		}
		message := packet{Relay: delivery.relay, Reply: delivery.reply, Reports: *reports}
		if delivery.passedOn {
			message.Reports = slices.Concat(message.Reports, passedOn)
		}
		mesh.send(message, delivery.addresses...)
	}
}

// send sends a message as one or more packets.
func (mesh *Mesh) send(message packet, addresses ...netip.AddrPort) {
	message.Format = packetFormat
	for _, reports := range pack(message.Reports) {
		message.Reports = reports
		payload, err := link.Marshal(message)
		if err == nil {
			err = mesh.transport.SendPacket(payload, addresses...)
		}
		if err != nil {
			klog.V(1).InfoS("message to gateways not sent", "recipients", len(addresses), "error", err.Error())
		}
		// One reply is enough.
		message.Reply = false
	}
}

// pack divides reports into packets. It returns one packet if there are no reports.
func pack(reports []cbor.RawMessage) (packets [][]cbor.RawMessage) {
	first, size := 0, 0
	for i, report := range reports {
		if size += len(report); size > link.MaxPayload-envelopeBytes && i > first {
			packets = append(packets, reports[first:i])
			first, size = i, len(report)
		}
	}
	return append(packets, reports[first:])
}

// ownReports returns this gateway's state, with the counts of all organisations, their use of slots and the
// strikes of all requests in quarantine, or only with the counts near limits and recent
// strikes. Reports that are too large for a packet, because some names are long, are
// divided further.
func (mesh *Mesh) ownReports(all bool) (encoded []cbor.RawMessage) {
	state, held, counts, notes := mesh.ownState(), mesh.source.Held(), mesh.source.Counts(all), mesh.source.Notes()
	mesh.mutex.Lock()
	strikes := mesh.recentStrikes()
	mesh.mutex.Unlock()
	var shares *share.Report
	if all {
		strikes = append(strikes, mesh.source.KnownStrikes()...)
		shares = mesh.source.Shares()
	}
	for part := 1; part <= reportTargets; part *= 2 {
		encoded = encoded[:0]
		reports := divideState(state, held, counts, strikes, notes, part)
		if shares != nil {
			reports = append(reports, report{State: state, Shares: shares})
		}
		for _, report := range reports {
			report.Sequence = mesh.nextSequence()
			data, err := link.Marshal(report)
			if err != nil {
				klog.ErrorS(err, "state can't be encoded")
				continue
			}
			encoded = append(encoded, data)
		}
		if !slices.ContainsFunc(encoded, func(data cbor.RawMessage) bool { return len(data) > link.MaxPayload-envelopeBytes }) {
			break
		}
	}
	return encoded
}

// divideState divides a gateway's state into reports, each with at most a share of what
// reports usually have.
func divideState(state State, held map[string]sched.Held, counts map[string]tally.Count, strikes []blame.Strike, notes []batch.Note, share int) (reports []report) {
	heldParts := chunks(held, max(1, reportTargets/share))
	if len(heldParts) == 0 {
		heldParts = []map[string]sched.Held{nil}
	}
	for i, part := range heldParts {
		reports = append(reports, report{State: state, Held: part, Part: i, Parts: len(heldParts)})
	}
	for i, part := range chunks(counts, max(1, reportCounts/share)) {
		if last := &reports[len(reports)-1]; i == 0 && len(last.Held) <= reportTargets/share/2 {
			last.Counts = part
			continue
		}
		reports = append(reports, report{State: state, Counts: part})
	}
	for part := range slices.Chunk(strikes, max(1, reportStrikes/share)) {
		reports = append(reports, report{State: state, Strikes: part})
	}
	for part := range slices.Chunk(notes, max(1, reportNotes/share)) {
		reports = append(reports, report{State: state, Notes: part})
	}
	return reports
}

// chunks divides a map into maps of at most size entries.
func chunks[V sched.Held | tally.Count](whole map[string]V, size int) (parts []map[string]V) {
	if len(whole) <= size {
		if len(whole) == 0 {
			return nil
		}
		return []map[string]V{whole}
	}
	for keys := range slices.Chunk(slices.Sorted(maps.Keys(whole)), size) {
		part := make(map[string]V, len(keys))
		for _, key := range keys {
			part[key] = whole[key]
		}
		parts = append(parts, part)
	}
	return parts
}

func (mesh *Mesh) nextSequence() uint64 {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.sequence++
	return mesh.sequence
}

// recentStrikes returns the strikes to report, with their ages. The mutex must be held.
func (mesh *Mesh) recentStrikes() (strikes []blame.Strike) {
	now := mesh.clock.Now()
	mesh.strikes = slices.DeleteFunc(mesh.strikes, func(strike ownStrike) bool { return now.Sub(strike.at) > strikeTime })
	for _, recorded := range mesh.strikes {
		strike := recorded.Strike
		strike.Age += now.Sub(recorded.at)
		strikes = append(strikes, strike)
	}
	return strikes
}

// BroadcastStrike sends a strike to all other gateways with the next messages, the first
// of which is sent within a tick.
func (mesh *Mesh) BroadcastStrike(strike blame.Strike) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.strikes = append(mesh.strikes, ownStrike{Strike: strike, at: mesh.clock.Now()})
	mesh.urgent = true
}

// SendGuestCalls sends this gateway's calls at a target to the target's home. If that is
// lost, the gateway's next state has them too.
func (mesh *Mesh) SendGuestCalls(home string, calls GuestCalls) {
	address, ok := mesh.Address(home)
	if !ok {
		return
	}
	calls.From = mesh.roster.Self().Name
	mesh.send(packet{Guests: []GuestCalls{calls}}, address)
}
