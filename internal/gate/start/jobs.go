package start

import (
	"context"
	"time"

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

// question asks for a job's head and its results from After on.
type question struct {
	ID    string
	After int
}

// told is the owner's answer.
type told struct {
	Known  bool
	Answer batch.Answer
}

// asker asks the owners of jobs over their links.
func asker(node *link.Node, mesh *gossip.Mesh) batch.Asker {
	return func(ctx context.Context, owner, id string, after int) (batch.Answer, bool) {
		address, ok := mesh.Address(owner)
		if !ok {
			return batch.Answer{}, false
		}
		ctx, cancel := context.WithTimeout(ctx, jobTimeout)
		defer cancel()
		var reply told
		if err := node.Ask(ctx, address, kindJob, question{ID: id, After: after}, &reply); err != nil {
			klog.V(1).InfoS("owner of a job not heard", "owner", owner, "job", id, "error", err.Error())
			return batch.Answer{}, false
		}
		return reply.Answer, reply.Known
	}
}

// serveJob answers other gateways.
func serveJob(jobs *batch.Manager) link.Handler {
	return func(_ context.Context, _ certs.Identity, stream *link.Stream) error {
		var asked question
		if err := stream.Receive(&asked); err != nil {
			return err
		}
		answer, known := jobs.Tell(asked.ID, asked.After)
		return stream.Send(told{Known: known, Answer: answer})
	}
}
