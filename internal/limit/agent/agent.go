// Package agent runs the fleet-wide limits at one entry: it exchanges requests for
// grants, handovers of partitions and the limit table with other entries.
package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/super"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/limit/grant"
	"github.com/agatestage/agatestage/internal/limit/keep"
	"github.com/agatestage/agatestage/internal/limit/queue"
	"github.com/agatestage/agatestage/internal/limit/table"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// Kinds of the exchanges between entries.
const (
	KindLimit    = "Limit"
	KindHandover = "Handover"
	KindTable    = "Table"
)

const (
	// pollPeriod is how often the client is polled for due requests without a
	// wake-up.
	pollPeriod = 40 * time.Millisecond
	// askTimeout bounds one request to an owner.
	askTimeout = 700 * time.Millisecond
	// tablePeriod is how often the table is requested from other entries while the
	// store doesn't confirm the members.
	tablePeriod = time.Second
	// instanceLength is the length of the instance ID, which only has to distinguish
	// the processes of one entry.
	instanceLength = 8
	// handoverTimeout bounds a handover. The margins of the limits allow for it.
	handoverTimeout = 300 * time.Millisecond
)

// Agent is an entry's limiter and its service for other entries.
type Agent struct {
	*queue.Queue

	node       *link.Node
	roster     *member.Roster
	clock      agatestage.Clock
	owner      *grant.Owner
	client     *grant.Client
	reconciler *keep.Reconciler
	hosts      func() []agatestage.Host
}

// New returns an agent and registers its exchanges with the node. Requests wait for
// a token of their organisation for at most wait.
func New(node *link.Node, roster *member.Roster, store agatestage.Store, rates agatestage.RateSource, hosts func() []agatestage.Host, wait time.Duration, clock agatestage.Clock) *Agent {
	self, instance := roster.Self().Name, uuid.NewString()[:instanceLength]
	agent := &Agent{node: node, roster: roster, clock: clock, hosts: hosts}
	agent.owner = grant.NewOwner(self, instance, clock, rates, func() time.Time { return agent.reconciler.Until() })
	agent.client = grant.NewClient(self, instance, clock, rates)
	agent.reconciler = keep.New(store, clock, roster, agent.owner, agent.client, agent, hosts)
	agent.Queue = queue.New(clock, rates, agent.client, wait)
	node.Handle(KindLimit, agent.serveAsk)
	node.Handle(KindHandover, agent.serveHandover)
	node.Handle(KindTable, agent.serveTable)
	return agent
}

// Services returns the services that the supervisor runs.
func (agent *Agent) Services() []super.Service {
	return []super.Service{agent.Queue, agent.reconciler, agent.reconciler.Follower(), super.Func("limit requests", agent.send), super.Func("limit table of peers", agent.fetchTables)}
}

// Reconciler returns the reconciler of the limit table.
func (agent *Agent) Reconciler() *keep.Reconciler {
	return agent.reconciler
}

// send sends the client's requests until ctx ends.
func (agent *Agent) send(ctx context.Context) error {
	ticker := agent.clock.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		for _, outgoing := range agent.client.Poll() {
			go agent.exchange(ctx, outgoing)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-agent.client.Wake():
		case <-ticker.C():
		}
	}
}

// exchange sends one request to its owner and applies the reply.
func (agent *Agent) exchange(ctx context.Context, outgoing grant.Outgoing) {
	reply, err := agent.ask(ctx, outgoing)
	if err != nil {
		klog.V(2).InfoS("limit owner did not reply", "owner", outgoing.Owner, "error", err.Error())
		agent.client.Fail(outgoing)
		return
	}
	for _, organisation := range agent.client.Receive(outgoing, reply) {
		agent.Dispatch(organisation)
	}
}

func (agent *Agent) ask(ctx context.Context, outgoing grant.Outgoing) (reply grant.Reply, err error) {
	if outgoing.Owner == agent.roster.Self().Name {
		return agent.owner.Handle(outgoing.Ask), nil
	}
	address, ok := agent.address(outgoing.Owner)
	if !ok {
		return reply, errors.Errorf("address of entry %s is not known", outgoing.Owner)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err = agent.node.Ask(ctx, address, KindLimit, outgoing.Ask, &reply)
	return reply, err
}

// address returns the address of an entry from the members, or else from the host
// list, which may be available when the store isn't.
func (agent *Agent) address(name string) (netip.AddrPort, bool) {
	if address, ok := agent.roster.Address(name); ok {
		return address, true
	}
	for _, host := range agent.hosts() {
		if host.Name == name {
			return host.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// fetchTables fetches the table from other entries while the store doesn't confirm
// the members, so that an entry that starts during an outage of the store knows the
// owners.
func (agent *Agent) fetchTables(ctx context.Context) error {
	return ticks.Every(ctx, agent.clock, tablePeriod, func(ctx context.Context) {
		if !agent.reconciler.RosterStale() {
			return
		}
		for _, host := range agent.hosts() {
			if host.Role == agatestage.RoleEntry && host.Name != agent.roster.Self().Name {
				agent.fetchTable(ctx, host.Address)
			}
		}
	})
}

func (agent *Agent) fetchTable(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var record table.Record
	if err := agent.node.Ask(ctx, address, KindTable, agent.reconciler.Record().Epoch, &record); err == nil {
		agent.reconciler.Offer(&record)
	}
}

// serveTable replies with the table if it is newer than the entry's epoch, or else
// with an empty one.
func (agent *Agent) serveTable(_ context.Context, peer certs.Identity, stream *link.Stream) error {
	var epoch uint64
	if err := stream.Receive(&epoch); err != nil {
		return err
	}
	if peer.Role != agatestage.RoleEntry {
		return errors.Errorf("%s is not an entry", peer.Host)
	}
	record := agent.reconciler.Record()
	if record.Epoch <= epoch {
		record = &table.Record{}
	}
	return stream.Send(record)
}

func (agent *Agent) serveAsk(_ context.Context, peer certs.Identity, stream *link.Stream) error {
	var ask grant.Ask
	if err := stream.Receive(&ask); err != nil {
		return err
	}
	if peer.Role != agatestage.RoleEntry || peer.Host != ask.From {
		return errors.Errorf("%s requests grants as %s", peer.Host, ask.From)
	}
	return stream.Send(agent.owner.Handle(ask))
}

// Handover implements keep.Transport.
func (agent *Agent) Handover(ctx context.Context, to member.Member, handovers []grant.Handover) error {
	if to.Address == (netip.AddrPort{}) {
		return errors.New("address of the next owner is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var taken int
	if err := agent.node.Ask(ctx, to.Address, KindHandover, handovers, &taken); err != nil {
		return err
	}
	if taken != len(handovers) {
		return errors.Errorf("next owner accepted %d of %d partitions", taken, len(handovers))
	}
	return nil
}

func (agent *Agent) serveHandover(_ context.Context, peer certs.Identity, stream *link.Stream) error {
	var handovers []grant.Handover
	if err := stream.Receive(&handovers); err != nil {
		return err
	}
	taken := 0
	for _, handover := range handovers {
		if peer.Role == agatestage.RoleEntry && peer.Host == handover.From {
			agent.owner.Import(handover)
			taken++
		}
	}
	return stream.Send(taken)
}
