// Package claims distributes the batch items of an entry to sides.
//
// A side opens one exchange to each entry that has work for it and grants it
// credit for a number of items. The entry answers at once with items from its
// jobs: among organisations by weighted fair queueing, within an organisation by
// earliest due time. Items that a side holds when its exchange ends return to the
// queue; this doesn't count as a failed attempt.
package claims

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/owner"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

var (
	itemsGiven    = metrics.NewCounter("agatestage_batch_items_given_total")
	itemsReturned = metrics.NewCounter("agatestage_batch_items_returned_total")
	itemsAnswered = metrics.NewCounter("agatestage_batch_items_answered_total")
)

// Weights returns an organisation's weight for batch capacity.
type Weights func(organisation string) float64

// Dispatcher answers the claims of sides with items of the jobs that this entry owns.
type Dispatcher struct {
	manager *owner.Manager
	weights Weights
	mutex   sync.Mutex
	// served is the number of items dispatched for each organisation, divided by its
	// weight.
	served map[string]float64
	notice notice
	claims map[*claim]struct{}
}

// claim is one open exchange and the items that its side holds.
type claim struct {
	stream *link.Stream
	// send serialises messages on the stream.
	send  sync.Mutex
	mutex sync.Mutex
	held  map[calls.ItemRef]bool
}

// New returns a dispatcher and registers its exchange with the node.
func New(node *link.Node, manager *owner.Manager, weights Weights) *Dispatcher {
	dispatcher := &Dispatcher{manager: manager, weights: weights, served: make(map[string]float64), claims: make(map[*claim]struct{})}
	node.Handle(calls.KindClaim, dispatcher.serve)
	return dispatcher
}

// Work returns the models that have waiting items, or had when all sides were last
// sent an announcement and have unfinished jobs, each with the earliest due time
// among its jobs. Entries send it to sides.
func (dispatcher *Dispatcher) Work() []calls.Work {
	return dispatcher.notice.sent(dispatcher.listWork)
}

// listWork returns the models that have waiting items, and those of also that have jobs.
func (dispatcher *Dispatcher) listWork(also map[string]bool) (work []calls.Work) {
	seen := make(map[string]bool)
	for _, job := range dispatcher.manager.Jobs() {
		head := job.Head()
		if seen[head.Model] || job.Waiting() == 0 && !also[head.Model] {
			continue
		}
		seen[head.Model] = true
		work = append(work, calls.Work{Model: head.Model, Due: head.Due.Unix()})
	}
	return work
}

// Announcer returns a function that calls announce if the list of models with
// waiting items isn't the one that sides were last sent.
func (dispatcher *Dispatcher) Announcer(announce func()) func() {
	return func() {
		if dispatcher.notice.due(dispatcher.listWork) {
			announce()
		}
	}
}

// Revoke asks all sides that hold items of a job to cancel them.
func (dispatcher *Dispatcher) Revoke(job string) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for claim := range dispatcher.claims {
		go claim.revoke(job)
	}
}

func (claim *claim) revoke(job string) {
	var down calls.ClaimDown
	claim.mutex.Lock()
	for ref := range claim.held {
		if ref.Job == job {
			down.Revoked = append(down.Revoked, ref)
		}
	}
	claim.mutex.Unlock()
	if len(down.Revoked) == 0 {
		return
	}
	claim.send.Lock()
	defer claim.send.Unlock()
	// If this fails, the exchange ends and the side cancels all its items.
	_ = claim.stream.Send(down)
}

// serve serves one KindClaim exchange.
func (dispatcher *Dispatcher) serve(_ context.Context, peer certs.Identity, stream *link.Stream) error {
	if peer.Role != agatestage.RoleSide {
		return errors.Errorf("%s is not a side", peer.Host)
	}
	claim := &claim{stream: stream, held: make(map[calls.ItemRef]bool)}
	dispatcher.mutex.Lock()
	dispatcher.claims[claim] = struct{}{}
	dispatcher.mutex.Unlock()
	defer dispatcher.release(claim)
	for {
		var up calls.ClaimUp
		if err := stream.Receive(&up); err != nil {
			return nil
		}
		for _, result := range up.Results {
			dispatcher.result(claim, result)
		}
		if up.Credit <= 0 {
			continue
		}
		if err := dispatcher.sendItems(claim, up); err != nil {
			return err
		}
	}
}

// release removes a claim and requeues the items that its side still holds.
func (dispatcher *Dispatcher) release(claim *claim) {
	dispatcher.mutex.Lock()
	delete(dispatcher.claims, claim)
	dispatcher.mutex.Unlock()
	claim.mutex.Lock()
	held := claim.held
	claim.held = nil
	claim.mutex.Unlock()
	for ref := range held {
		if job, ok := dispatcher.manager.Get(ref.Job); ok {
			itemsReturned.Inc()
			job.Requeue(ref.Item)
		}
	}
}

// result passes the outcome of one attempt to its job. Outcomes of items
// that the side doesn't hold are ignored.
func (dispatcher *Dispatcher) result(claim *claim, result calls.ItemResult) {
	claim.mutex.Lock()
	held := claim.held[result.Ref]
	delete(claim.held, result.Ref)
	claim.mutex.Unlock()
	if !held {
		return
	}
	if result.Returned {
		itemsReturned.Inc()
	} else {
		itemsAnswered.Inc()
	}
	if job, ok := dispatcher.manager.Get(result.Ref.Job); ok {
		job.Finish(result)
	}
}

// sendItems sends items for the credit of a side, and the number of items for which
// there was no work.
func (dispatcher *Dispatcher) sendItems(claim *claim, up calls.ClaimUp) error {
	down := calls.ClaimDown{}
	models := make(map[string]bool, len(up.Models))
	for _, model := range up.Models {
		models[model] = true
	}
	for len(down.Items) < up.Credit {
		items := dispatcher.chooseItems(models, up.Credit-len(down.Items))
		if len(items) == 0 {
			break
		}
		down.Items = append(down.Items, items...)
	}
	claim.mutex.Lock()
	for _, item := range down.Items {
		claim.held[item.Ref] = true
	}
	claim.mutex.Unlock()
	itemsGiven.Add(len(down.Items))
	down.Unused = up.Credit - len(down.Items)
	claim.send.Lock()
	defer claim.send.Unlock()
	return claim.stream.Send(down)
}

// chooseItems takes up to n items from the organisation that has been served
// least by weight. It takes one at a time if several organisations have waiting
// items.
func (dispatcher *Dispatcher) chooseItems(models map[string]bool, n int) []calls.BatchItem {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	firstJobs := make(map[string]*owner.Job)
	leastServed, chosen := 0.0, ""
	lowest := dispatcher.lowest()
	for _, job := range dispatcher.manager.Jobs() {
		head := job.Head()
		if !models[head.Model] || job.Waiting() == 0 || firstJobs[head.Organisation] != nil {
			continue
		}
		firstJobs[head.Organisation] = job
		// An organisation that had no jobs for a while gets no credit for that
		// time.
		served := max(dispatcher.served[head.Organisation], lowest)
		if chosen == "" || served < leastServed {
			leastServed, chosen = served, head.Organisation
		}
	}
	if chosen == "" {
		return nil
	}
	if len(firstJobs) > 1 {
		n = 1
	}
	items := firstJobs[chosen].Take(n)
	dispatcher.served[chosen] = leastServed + float64(len(items))/max(dispatcher.weights(chosen), minWeight)
	return items
}

// minWeight is the lower bound of weights; it avoids a division by zero.
const minWeight = 0.01

// lowest returns the lowest value of served among the organisations
// that have jobs here and have been served before; the mutex is held.
func (dispatcher *Dispatcher) lowest() float64 {
	lowest, found := 0.0, false
	for _, job := range dispatcher.manager.Jobs() {
		if served, ok := dispatcher.served[job.Head().Organisation]; ok && (!found || served < lowest) {
			lowest, found = served, true
		}
	}
	return lowest
}
