package gossip

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/state/member"
)

// What only one gateway may do at a time, without asking the others, is done by the one that
// follows from the set of the gateways which may be running, silent ones included. Gateways
// that take different sets for it may name different ones. So each reports a digest of its
// set, and acts only while most of its set have lately reported the same: two sets that
// differ by one gateway have no two majorities without a common member, and that reports one
// of them only.
//
// For targets that bear few requests while they are cold, the gateway is their cold home.

const (
	// reportAge is how old a report may be when it arrives, as others may have passed it on.
	reportAge = 1500 * time.Millisecond
	// pauseTolerance is how long this process may stand still unnoticed, with reports waiting.
	pauseTolerance = time.Second
	// settleTime is how long most gateways must have agreed with this one before it acts. A
	// gateway that they agreed with before has counted the last of these reports until then.
	settleTime = aliveTimeout + reportAge + pauseTolerance
)

// Quorum is how far other gateways agree with this one on the set of those that may be
// running.
type Quorum struct {
	// Fleet is a digest of the set; 0 if it isn't known yet. Members holds it by name, this
	// gateway included. It must not be changed.
	Fleet   uint64
	Members []member.Member
	// From and Until are when more than half of the set agree for long enough, if no report
	// changes that. Until isn't after From if they don't.
	From  time.Time
	Until time.Time
	// Large is true if more than three quarters agree.
	Large bool
	// Isolated is true if this gateway hears less than half of the set, itself included.
	Isolated bool
}

// quorum is the state of a gateway's Quorum.
type quorum struct {
	digest  uint64
	members []member.Member
	// since is since when most have agreed without a break, and until until when they do. checked is
	// when that was last determined.
	since   time.Time
	until   time.Time
	checked time.Time
}

// updateFleet updates the set of gateways that may be running; the mutex must be held.
func (mesh *Mesh) updateFleet(others []member.Member) {
	self := mesh.roster.Self()
	members := append(slices.Clone(others), member.Member{Name: self.Name, Region: self.Region, Zone: self.Zone})
	slices.SortFunc(members, func(a, b member.Member) int { return strings.Compare(a.Name, b.Name) })
	var digest xxhash.Digest
	digest.Reset()
	for _, member := range members {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(member.Name + "\x00" + member.Region + "\x00" + member.Zone + "\x00")
	}
	mesh.quorum.digest, mesh.quorum.members, mesh.quorum.since = max(1, digest.Sum64()), members, time.Time{}
}

// updateQuorum determines how far the other gateways agree; the mutex must be held.
func (mesh *Mesh) updateQuorum(now time.Time) Quorum {
	quorum := &mesh.quorum
	current := Quorum{Fleet: quorum.digest, Members: quorum.members}
	if len(mesh.peers) == 0 && mesh.roster.ConfirmedAt().IsZero() {
		// The set has not been read.
		quorum.since, current.Fleet, current.Isolated = time.Time{}, 0, true
		return current
	}
	heard, votes := 1, []time.Time{now}
	for _, peer := range mesh.peers {
		if now.Sub(peer.lastHeard) >= aliveTimeout {
			continue
		}
		heard++
		if peer.state.Fleet == quorum.digest {
			votes = append(votes, peer.lastHeard)
		}
	}
	size := len(mesh.peers) + 1
	current.Isolated, current.Large = 2*heard < size, 4*len(votes) > 3*size
	holds, held := 2*len(votes) > size, !quorum.since.IsZero()
	if !quorum.checked.IsZero() && now.Sub(quorum.checked) > pauseTolerance || held && now.After(quorum.until) {
		// This process stood still; what it read after that may be old.
		quorum.since = time.Time{}
	}
	switch {
	case !holds:
		quorum.since = time.Time{}
	case quorum.since.IsZero():
		quorum.since = now
	}
	quorum.checked = now
	if holds {
		slices.SortFunc(votes, func(a, b time.Time) int { return cmp.Compare(b.UnixNano(), a.UnixNano()) })
		quorum.until = votes[size/2].Add(aliveTimeout)
		current.From, current.Until = quorum.since.Add(settleTime), quorum.until
	}
	if holds != held {
		klog.V(1).InfoS("agreement on the gateways that may be running", "holds", holds, "gateways", size, "heard", heard, "agree", len(votes))
	}
	return current
}

// ColdHome returns the gateway that may send requests to a target while that is cold: of the
// nearest gateways of a set the one with the highest hash of its name and the target's ID. It
// depends on nothing else.
func ColdHome(members []member.Member, endpoint agatestage.Endpoint) (home string) {
	var digest xxhash.Digest
	highest, nearest := uint64(0), 0
	for _, member := range members {
		away := distance(State{Region: member.Region, Zone: member.Zone}, endpoint)
		if home != "" && away > nearest {
			continue
		}
		digest.Reset()
		_, _ = digest.WriteString(member.Name)
		_, _ = digest.WriteString("\x00" + endpoint.ID)
		if rank := digest.Sum64(); home == "" || away < nearest || rank > highest {
			home, highest, nearest = member.Name, rank, away
		}
	}
	return home
}
