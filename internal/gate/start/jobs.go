package start

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/gossip"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// kindJob is the exchange by which a gateway asks the owner of a job.
const kindJob = "GatewayJob"

// jobTimeout bounds the exchange; the store is asked after it.
const jobTimeout = 300 * time.Millisecond

// question asks for a job's head and its results from After on, or tells its
// owner that the head has been changed.
type question struct {
	ID      string
	After   int
	Changed bool
}

// told is the owner's answer.
type told struct {
	Known  bool
	Answer batch.Answer
}

// owners speaks to the owners of jobs over their links. It implements
// batch.Others.
type owners struct {
	node *link.Node
	mesh *gossip.Mesh
}

// Ask implements batch.Others.
func (owners *owners) Ask(ctx context.Context, owner, id string, after int) (batch.Answer, bool) {
	reply, err := owners.exchange(ctx, owner, question{ID: id, After: after})
	if err != nil {
		klog.V(1).InfoS("owner of a job not heard", "owner", owner, "job", id, "error", err.Error())
	}
	return reply.Answer, err == nil && reply.Known
}

// Changed implements batch.Others.
func (owners *owners) Changed(owner, id string) {
	go func() {
		if _, err := owners.exchange(context.Background(), owner, question{ID: id, Changed: true}); err != nil {
			klog.InfoS("owner of a changed job not told", "owner", owner, "job", id, "error", err.Error())
		}
	}()
}

// exchange sends one question to a gateway.
func (owners *owners) exchange(ctx context.Context, owner string, asked question) (reply told, err error) {
	address, ok := owners.mesh.Address(owner)
	if !ok {
		return reply, errors.Errorf("the address of gateway %q is not known", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	err = owners.node.Ask(ctx, address, kindJob, asked, &reply)
	return reply, err
}

// serveJob answers other gateways.
func serveJob(jobs *batch.Manager) link.Handler {
	return func(ctx context.Context, _ certs.Identity, stream *link.Stream) error {
		var asked question
		if err := stream.Receive(&asked); err != nil {
			return err
		}
		if asked.Changed {
			jobs.Changed(ctx, asked.ID)
			return stream.Send(told{})
		}
		answer, known := jobs.Tell(asked.ID, asked.After)
		return stream.Send(told{Known: known, Answer: answer})
	}
}
