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

// kindJob is the exchange by which a gateway queries the owner of a job or sends it a
// changed head; kindSubmit is that by which it forwards a submitted job.
const (
	kindJob    = "GatewayJob"
	kindSubmit = "GatewaySubmit"
)

const (
	// queryTimeout bounds a query to a job's owner; after it, the store is read.
	queryTimeout = 300 * time.Millisecond
	// handoverTimeout bounds the transfer of a job, which may have some megabytes, on a
	// link of 30 Mbit/s. A job that doesn't arrive in time is read from the store.
	handoverTimeout = 2 * time.Second
	// handoverAttempts is how often a head is sent to a gateway that doesn't confirm it.
	handoverAttempts = 2
)

// jobRequest queries a job's head and its results from After on or, with Handover,
// sends a head that has been written.
type jobRequest struct {
	ID       string
	After    int
	Handover *batch.Handover
}

// jobReply is the owner's reply.
type jobReply struct {
	Known  bool
	Answer batch.Answer
}

// peerClient exchanges jobs with other gateways over their links. It implements
// batch.Peers.
type peerClient struct {
	node *link.Node
	mesh *gossip.Mesh
}

// QueryJob implements batch.Peers.
func (peerClient *peerClient) QueryJob(ctx context.Context, owner, id string, after int) (batch.Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := peerClient.exchange(ctx, owner, jobRequest{ID: id, After: after})
	if err != nil {
		klog.V(1).InfoS("query to the owner of a job failed", "owner", owner, "job", id, "error", err.Error())
	}
	return reply.Answer, err == nil && reply.Known
}

// HeadChanged implements batch.Peers.
func (peerClient *peerClient) HeadChanged(owner string, handover batch.Handover) {
	go func() {
		for range handoverAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
			_, err := peerClient.exchange(ctx, owner, jobRequest{Handover: &handover})
			cancel()
			if err == nil {
				return
			}
			klog.InfoS("changed head not delivered to the owner of the job", "owner", owner, "key", handover.Record.Key, "error", err.Error())
		}
	}()
}

// submitReply is the reply to a forwarded job.
type submitReply struct {
	Record  agatestage.Record
	Refusal *agatestage.Refusal
}

// Submit implements batch.Peers.
func (peerClient *peerClient) Submit(ctx context.Context, gateway string, spec batch.Spec) (agatestage.Record, error) {
	address, ok := peerClient.mesh.Address(gateway)
	if !ok {
		return agatestage.Record{}, agatestage.Refuse(agatestage.CodeStore, "the address of gateway %q is not known", gateway)
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var reply submitReply
	if err := peerClient.node.Ask(ctx, address, kindSubmit, spec, &reply); err != nil {
		return agatestage.Record{}, err
	}
	if reply.Refusal != nil {
		return agatestage.Record{}, reply.Refusal
	}
	return reply.Record, nil
}

// serveSubmit accepts jobs that other gateways forward.
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
		return stream.Send(submitReply{Record: record, Refusal: refusal})
	}
}

// exchange sends one request to a gateway and returns its reply.
func (peerClient *peerClient) exchange(ctx context.Context, owner string, request jobRequest) (reply jobReply, err error) {
	address, ok := peerClient.mesh.Address(owner)
	if !ok {
		return reply, errors.Errorf("the address of gateway %q is not known", owner)
	}
	err = peerClient.node.Ask(ctx, address, kindJob, request, &reply)
	return reply, err
}

// serveJob answers queries about jobs and receives changed heads.
func serveJob(jobs *batch.Manager) link.Handler {
	return func(_ context.Context, _ certs.Identity, stream *link.Stream) error {
		var request jobRequest
		if err := stream.Receive(&request); err != nil {
			return err
		}
		if request.Handover != nil {
			jobs.HeadChanged(*request.Handover)
			return stream.Send(jobReply{})
		}
		answer, known := jobs.AnswerQuery(request.ID, request.After)
		return stream.Send(jobReply{Known: known, Answer: answer})
	}
}
