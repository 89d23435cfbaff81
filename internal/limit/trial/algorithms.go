package trial

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/agatestage/agatestage/internal/limit/asked"
	"github.com/agatestage/agatestage/internal/limit/equal"
	"github.com/agatestage/agatestage/internal/limit/grant"
	"github.com/agatestage/agatestage/internal/limit/keep"
	"github.com/agatestage/agatestage/internal/limit/quota"
	"github.com/agatestage/agatestage/internal/limit/table"
	"github.com/agatestage/agatestage/internal/state/member"
)

// Algorithms are the limiting algorithms by name.
var Algorithms = map[string]Build{
	"Equal": NewEqual,
	"Paper": NewQuota,
	"Asked": NewAsked,
	"Grant": NewGrant,
}

// equalAlgorithm is a fixed split among the entries at the start. It implements
// Algorithm and sends no messages.
type equalAlgorithm struct {
	*equal.Split
}

// equalEntries is the number of entries of the fixed split. The split can't follow
// the fleet, because it isn't informed when a lost entry has stopped admitting.
const equalEntries = 6

// NewEqual returns an entry's part of the equal split.
func NewEqual(world *World, _ *Entry) Algorithm {
	return &equalAlgorithm{equal.New(world.Clock, world.Rates, 1.0/equalEntries)}
}

func (algorithm *equalAlgorithm) Poll() []Message                      { return nil }
func (algorithm *equalAlgorithm) Receive(Message) (*Message, []string) { return nil, nil }
func (algorithm *equalAlgorithm) Control(context.Context)              {}
func (algorithm *equalAlgorithm) Leave(context.Context)                {}

// quotaAlgorithm reconciles with a controller at the first live entry. It implements
// Algorithm.
type quotaAlgorithm struct {
	*quota.Host

	entry      *Entry
	controller *quota.Controller
}

// NewQuota returns an entry's part of the Federated ResourceQuota design.
func NewQuota(world *World, entry *Entry) Algorithm {
	return &quotaAlgorithm{Host: quota.NewHost(world.Clock, world.Rates), entry: entry, controller: quota.NewController(world.Clock, world.Rates)}
}

// first returns the member whose name is first in alphabetical order.
func first(members map[string]member.Member) (name string) {
	for candidate := range members {
		if name == "" || candidate < name {
			name = candidate
		}
	}
	return name
}

func (algorithm *quotaAlgorithm) Poll() []Message {
	controller := first(algorithm.entry.roster.Members())
	usages := algorithm.Host.Poll()
	if controller == "" || len(usages) == 0 {
		return nil
	}
	return []Message{{To: controller, Body: usages}}
}

func (algorithm *quotaAlgorithm) Receive(message Message) (*Message, []string) {
	switch body := message.Body.(type) {
	case []quota.Usage:
		return &Message{To: message.From, Body: algorithm.controller.Reconcile(body)}, nil
	case []quota.Remaining:
		return nil, algorithm.Host.Receive(body)
	}
	return nil, nil
}

func (algorithm *quotaAlgorithm) Control(context.Context) {}
func (algorithm *quotaAlgorithm) Leave(context.Context)   {}

// askedAlgorithm asks one owner, chosen by rendezvous hashing, about each request. It
// implements Algorithm.
type askedAlgorithm struct {
	*asked.Client

	entry *Entry
	owner *asked.Owner
}

// answered is an owner's reply to an Ask.
type answered struct {
	Ask   asked.Ask
	Given int
}

// NewAsked returns an entry's part of the algorithm that asks one owner about each
// request.
func NewAsked(world *World, entry *Entry) Algorithm {
	return &askedAlgorithm{Client: asked.NewClient(world.Clock), entry: entry, owner: asked.NewOwner(world.Clock, world.Rates)}
}

func (algorithm *askedAlgorithm) Poll() (messages []Message) {
	var names []string
	for name := range algorithm.entry.roster.Members() {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, ask := range algorithm.Client.Poll() {
		messages = append(messages, Message{To: table.PreferredOwner(table.Partition(ask.Organisation), names), Body: ask})
	}
	return messages
}

func (algorithm *askedAlgorithm) Receive(message Message) (*Message, []string) {
	switch body := message.Body.(type) {
	case asked.Ask:
		return &Message{To: message.From, Body: answered{Ask: body, Given: algorithm.owner.Handle(body)}}, nil
	case answered:
		algorithm.Client.Receive(body.Ask, body.Given)
		return nil, []string{body.Ask.Organisation}
	}
	return nil, nil
}

func (algorithm *askedAlgorithm) Control(context.Context) {}
func (algorithm *askedAlgorithm) Leave(context.Context)   {}

// grantAlgorithm is the algorithm used for serving. It implements Algorithm.
type grantAlgorithm struct {
	*grant.Client

	world      *World
	entry      *Entry
	owner      *grant.Owner
	reconciler *keep.Reconciler
	sent       map[exchange]grant.Outgoing
}

// grantReply is an owner's reply with the owner's name.
type grantReply struct {
	Owner string
	Reply grant.Reply
}

// NewGrant returns an entry's part of the grants with reserved shares.
func NewGrant(world *World, entry *Entry) Algorithm {
	algorithm := &grantAlgorithm{world: world, entry: entry, sent: make(map[exchange]grant.Outgoing)}
	algorithm.owner = grant.NewOwner(entry.Name, entry.Name, world.Clock, world.Rates, func() time.Time { return algorithm.reconciler.Until() })
	algorithm.Client = grant.NewClient(entry.Name, entry.Name, world.Clock, world.Rates)
	algorithm.reconciler = keep.New(world.Store(entry), world.Clock, entry.roster, algorithm.owner, algorithm.Client, algorithm, world.Hosts)
	return algorithm
}

func (algorithm *grantAlgorithm) Poll() (messages []Message) {
	algorithm.failOverdue()
	for _, outgoing := range algorithm.Client.Poll() {
		algorithm.sent[exchange{outgoing.Owner, outgoing.Ask.Seq}] = outgoing
		messages = append(messages, Message{To: outgoing.Owner, Body: outgoing.Ask})
	}
	return messages
}

// exchange identifies a request to an owner.
type exchange struct {
	owner string
	seq   uint64
}

// failOverdue fails the requests without a reply within askTimeout.
func (algorithm *grantAlgorithm) failOverdue() {
	for id, outgoing := range algorithm.sent {
		if algorithm.world.Clock.Since(outgoing.Sent) > askTimeout {
			delete(algorithm.sent, id)
			algorithm.Client.Fail(outgoing)
		}
	}
}

func (algorithm *grantAlgorithm) Receive(message Message) (*Message, []string) {
	switch body := message.Body.(type) {
	case grant.Ask:
		return &Message{To: message.From, Body: grantReply{Owner: algorithm.entry.Name, Reply: algorithm.owner.Handle(body)}}, nil
	case grantReply:
		id := exchange{body.Owner, body.Reply.Seq}
		outgoing, ok := algorithm.sent[id]
		if !ok {
			return nil, nil
		}
		delete(algorithm.sent, id)
		return nil, algorithm.Client.Receive(outgoing, body.Reply)
	}
	return nil, nil
}

// usableTokens returns the number of tokens that could be used or granted here now.
func (algorithm *grantAlgorithm) usableTokens(organisation string) float64 {
	return algorithm.Client.Available(organisation) + algorithm.owner.Level(organisation)
}

func (algorithm *grantAlgorithm) Control(ctx context.Context) {
	_ = algorithm.reconciler.Refresh(ctx)
	_ = algorithm.reconciler.Step(ctx)
}

func (algorithm *grantAlgorithm) Leave(ctx context.Context) {
	_ = algorithm.reconciler.Leave(ctx)
}

// Handover implements keep.Transport.
func (algorithm *grantAlgorithm) Handover(_ context.Context, to member.Member, handovers []grant.Handover) error {
	next := algorithm.world.Entry(to.Name)
	if next == nil || next.dead || next.paused || !algorithm.world.reaches(algorithm.entry, next) {
		return errors.New("next owner is unreachable")
	}
	for _, handover := range handovers {
		next.algorithm.(*grantAlgorithm).owner.Import(handover)
	}
	return nil
}
