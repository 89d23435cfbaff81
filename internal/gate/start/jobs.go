package start

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/gossip"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// kindJob is the exchange by which a gateway asks the owner of a job, kindSubmit that
// by which it passes a job on.
const (
	kindJob    = "GatewayJob"
	kindSubmit = "GatewaySubmit"
)

const (
	// jobTimeout bounds a question; the store is asked after it.
	jobTimeout = 300 * time.Millisecond
	// handoverTimeout bounds the handing over of a job, which may be some megabytes
	// on a link of 30 Mbit/s. What doesn't arrive is read from the store.
	handoverTimeout = 2 * time.Second
)

// question asks for a job's head and its results from After on, or hands over what
// has been written to its head.
type question struct {
	ID       string
	After    int
	Handover *batch.Handover
}

// told is the owner's answer.
type told struct {
	Known  bool
	Answer batch.Answer
}

// owners speaks to the owners of jobs over their links. It implements
// batch.Peers.
type owners struct {
	node *link.Node
	mesh *gossip.Mesh
}

// QueryJob implements batch.Peers.
func (owners *owners) QueryJob(ctx context.Context, owner, id string, after int) (batch.Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	reply, err := owners.exchange(ctx, owner, question{ID: id, After: after})
	if err != nil {
		klog.V(1).InfoS("owner of a job not heard", "owner", owner, "job", id, "error", err.Error())
	}
	return reply.Answer, err == nil && reply.Known
}

// HeadChanged implements batch.Peers.
func (owners *owners) HeadChanged(owner string, handover batch.Handover) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		if _, err := owners.exchange(ctx, owner, question{Handover: &handover}); err != nil {
			klog.InfoS("owner of a changed job not told", "owner", owner, "key", handover.Record.Key, "error", err.Error())
		}
	}()
}

// accepted is the answer to a job that was passed on.
type accepted struct {
	Record  agatestage.Record
	Refusal *agatestage.Refusal
}

// Submit implements batch.Peers.
func (owners *owners) Submit(ctx context.Context, gateway string, spec batch.Spec) (agatestage.Record, error) {
	address, ok := owners.mesh.Address(gateway)
	if !ok {
		return agatestage.Record{}, agatestage.Refuse(agatestage.CodeStore, "the address of gateway %q is not known", gateway)
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var reply accepted
	if err := owners.node.Ask(ctx, address, kindSubmit, spec, &reply); err != nil {
		return agatestage.Record{}, err
	}
	if reply.Refusal != nil {
		return agatestage.Record{}, reply.Refusal
	}
	return reply.Record, nil
}

// serveSubmit accepts jobs for other gateways.
func serveSubmit(jobs *batch.Manager) link.Handler {
	return func(ctx context.Context, _ certs.Identity, stream *link.Stream) error {
		var spec batch.Spec
		if err := stream.Receive(&spec); err != nil {
			return err
		}
		record, err := jobs.AcceptForwarded(ctx, spec)
		var refusal *agatestage.Refusal
		if err != nil && !errors.As(err, &refusal) {
			return err
		}
		return stream.Send(accepted{Record: record, Refusal: refusal})
	}
}

// exchange sends one question to a gateway.
func (owners *owners) exchange(ctx context.Context, owner string, asked question) (reply told, err error) {
	address, ok := owners.mesh.Address(owner)
	if !ok {
		return reply, errors.Errorf("the address of gateway %q is not known", owner)
	}
	err = owners.node.Ask(ctx, address, kindJob, asked, &reply)
	return reply, err
}

// serveJob answers other gateways.
func serveJob(jobs *batch.Manager) link.Handler {
	return func(_ context.Context, _ certs.Identity, stream *link.Stream) error {
		var asked question
		if err := stream.Receive(&asked); err != nil {
			return err
		}
		if asked.Handover != nil {
			jobs.HeadChanged(*asked.Handover)
			return stream.Send(told{})
		}
		answer, known := jobs.AnswerQuery(asked.ID, asked.After)
		return stream.Send(told{Known: known, Answer: answer})
	}
}
