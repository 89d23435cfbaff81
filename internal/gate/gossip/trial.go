package gossip

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// trialTimeout bounds the question whether a request may run on trial. Its caller waits.
const trialTimeout = 400 * time.Millisecond

// PermitTrial asks the gateway that permits the trials of the request. If it isn't reached,
// there is no permission. It implements blame.Permit.
func (mesh *Mesh) PermitTrial(ctx context.Context, inquiry blame.Inquiry) (permitted bool) {
	owner, err := mesh.trialOwner(inquiry.Fingerprint), error(nil)
	if owner.Name == mesh.roster.Self().Name {
		permitted = mesh.source.PermitTrial(inquiry)
	} else {
		ctx, cancel := context.WithTimeout(ctx, trialTimeout)
		defer cancel()
		if err = mesh.transport.Ask(ctx, owner.Address, KindTrial, inquiry, &permitted); err != nil {
			// The owner may have permitted the trial.
			mesh.BroadcastStrike(inquiry.Withdrawn())
		}
	}
	klog.InfoS("trial of a request in quarantine", "body", blame.Name(inquiry.Fingerprint), "evidence", len(inquiry.Strikes), "permitted", permitted, "owner", owner.Name, "error", err)
	return permitted && err == nil
}

// OwnsTrials reports whether this gateway permits the trials of a request.
func (mesh *Mesh) OwnsTrials(fingerprint uint64) bool {
	return mesh.trialOwner(fingerprint).Name == mesh.roster.Self().Name
}

// trialOwner returns the gateway that permits the trials of a request.
func (mesh *Mesh) trialOwner(fingerprint uint64) State {
	alive := mesh.Alive()
	states := make(map[string]State, len(alive))
	names := make([]string, 0, len(alive))
	for _, state := range alive {
		if state.Leaving && len(alive) > 1 {
			continue
		}
		states[state.Name] = state
		names = append(names, state.Name)
	}
	return states[blame.Owner(fingerprint, names)]
}

func (mesh *Mesh) serveTrial(_ context.Context, _ certs.Identity, stream *link.Stream) error {
	var inquiry blame.Inquiry
	if err := stream.Receive(&inquiry); err != nil {
		return err
	}
	return stream.Send(mesh.source.PermitTrial(inquiry))
}
