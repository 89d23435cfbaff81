package gossip

import (
	"context"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

func (mesh *Mesh) serveState(_ context.Context, from certs.Identity, stream *link.Stream) error {
	var state State
	if err := stream.Receive(&state); err != nil {
		return err
	}
	if from.Host != state.Name {
		return errors.Errorf("gateway %s sent the state of gateway %s", from.Host, state.Name)
	}
	mesh.receiveState(state)
	return stream.Send(Ack{Version: mesh.source.Version(), Hears: mesh.source.StoreOutage() == 0})
}

func (mesh *Mesh) serveConfig(_ context.Context, _ certs.Identity, stream *link.Stream) error {
	var version uint64
	if err := stream.Receive(&version); err != nil {
		return err
	}
	return stream.Send(mesh.source.Config())
}

func (mesh *Mesh) serveTargets(_ context.Context, _ certs.Identity, stream *link.Stream) error {
	var digest uint64
	if err := stream.Receive(&digest); err != nil {
		return err
	}
	if digest == mesh.source.TargetsDigest() {
		return stream.Send(TargetList{})
	}
	return stream.Send(TargetList{Changed: true, Records: mesh.source.Targets()})
}

func (mesh *Mesh) serveStrike(_ context.Context, _ certs.Identity, stream *link.Stream) error {
	var strike blame.Strike
	if err := stream.Receive(&strike); err != nil {
		return err
	}
	mesh.source.Strike(strike)
	return stream.Send(true)
}

func (mesh *Mesh) serveGuest(_ context.Context, from certs.Identity, stream *link.Stream) error {
	var calls GuestCalls
	if err := stream.Receive(&calls); err != nil {
		return err
	}
	mesh.source.ReceiveGuestCalls(from.Host, calls.Target, calls.Held)
	return stream.Send(true)
}
