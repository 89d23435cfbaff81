package peers

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// PermitTrial asks the entry that permits the trials of the request. If it isn't reached,
// there is no permission. It implements blame.Permit.
func (mesh *Mesh) PermitTrial(ctx context.Context, inquiry blame.Inquiry) (permitted bool) {
	others, owner, err := mesh.otherEntries(), mesh.trialOwner(inquiry.Fingerprint), error(nil)
	if owner == mesh.roster.Self().Name {
		permitted = mesh.blame.PermitTrial(inquiry)
	} else {
		ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
		defer cancel()
		if err = mesh.node.Ask(ctx, others[owner], KindTrial, inquiry, &permitted); err != nil {
			// The owner may have permitted the trial.
			go mesh.Strike(ctx, inquiry.Withdrawn())
		}
	}
	klog.InfoS("trial of a request in quarantine", "body", blame.Name(inquiry.Fingerprint), "evidence", len(inquiry.Strikes), "permitted", permitted, "owner", owner, "error", err)
	return permitted && err == nil
}

// OwnsTrials reports whether this entry permits the trials of a request.
func (mesh *Mesh) OwnsTrials(fingerprint uint64) bool {
	return mesh.trialOwner(fingerprint) == mesh.roster.Self().Name
}

// trialOwner returns the name of the entry that permits the trials of a request.
func (mesh *Mesh) trialOwner(fingerprint uint64) string {
	return blame.Owner(fingerprint, append(mesh.heard(), mesh.roster.Self().Name))
}

// heard returns the names of the other entries whose status is valid.
func (mesh *Mesh) heard() (names []string) {
	others := mesh.otherEntries()
	now := mesh.clock.Now()
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for name := range others {
		if peer, ok := mesh.peers[name]; ok && now.Sub(peer.receivedAt) <= maxStatusAge {
			names = append(names, name)
		}
	}
	return names
}

// serveTrial decides on a peer's inquiry.
func (mesh *Mesh) serveTrial(_ context.Context, peer certs.Identity, stream *link.Stream) error {
	if err := requireEntry(peer); err != nil {
		return err
	}
	var inquiry blame.Inquiry
	if err := stream.Receive(&inquiry); err != nil {
		return err
	}
	return stream.Send(mesh.blame.PermitTrial(inquiry))
}
