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
	"github.com/agatestage/agatestage/internal/limit/paper"
	"github.com/agatestage/agatestage/internal/limit/table"
	"github.com/agatestage/agatestage/internal/state/member"
)

// Ways are the ways of limiting by name.
var Ways = map[string]Build{
	"Equal": NewEqual,
	"Paper": NewPaper,
	"Asked": NewAsked,
	"Grant": NewGrant,
}

// equalWay is a fixed split among the entries there were at the start.
type equalWay struct {
	*equal.Split
}

// equalEntries is the number of entries that the fixed split is made for: it
// can't follow the fleet, since nothing tells it when a lost entry has stopped.
const equalEntries = 6

// NewEqual builds the equal split.
func NewEqual(world *World, _ *Entry) Way {
	return &equalWay{equal.New(world.Clock, world.Rates, 1.0/equalEntries)}
}

func (way *equalWay) Poll() []Message                      { return nil }
func (way *equalWay) Receive(Message) (*Message, []string) { return nil, nil }
func (way *equalWay) Control(context.Context)              {}
func (way *equalWay) Leave(context.Context)                {}

// paperWay reconciles with a controller at the first live entry.
type paperWay struct {
	*paper.Host

	entry      *Entry
	controller *paper.Controller
}

// NewPaper builds the paper's way.
func NewPaper(world *World, entry *Entry) Way {
	return &paperWay{Host: paper.NewHost(world.Clock, world.Rates), entry: entry, controller: paper.NewController(world.Clock, world.Rates)}
}

// first returns the live entry that is first by name.
func first(members map[string]member.Member) (name string) {
	for candidate := range members {
		if name == "" || candidate < name {
			name = candidate
		}
	}
	return name
}

func (way *paperWay) Poll() []Message {
	controller := first(way.entry.roster.Members())
	usages := way.Host.Poll()
	if controller == "" || len(usages) == 0 {
		return nil
	}
	return []Message{{To: controller, Body: usages}}
}

func (way *paperWay) Receive(message Message) (*Message, []string) {
	switch body := message.Body.(type) {
	case []paper.Usage:
		return &Message{To: message.From, Body: way.controller.Reconcile(body)}, nil
	case []paper.Remaining:
		return nil, way.Host.Receive(body)
	}
	return nil, nil
}

func (way *paperWay) Control(context.Context) {}
func (way *paperWay) Leave(context.Context)   {}

// askedWay asks the owner by rendezvous for each request.
type askedWay struct {
	*asked.Client

	entry *Entry
	owner *asked.Owner
}

// answered is the owner's answer to an ask.
type answered struct {
	Ask   asked.Ask
	Given int
}

// NewAsked builds the way that asks one owner for each request.
func NewAsked(world *World, entry *Entry) Way {
	return &askedWay{Client: asked.NewClient(world.Clock), entry: entry, owner: asked.NewOwner(world.Clock, world.Rates)}
}

func (way *askedWay) Poll() (messages []Message) {
	var names []string
	for name := range way.entry.roster.Members() {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, ask := range way.Client.Poll() {
		messages = append(messages, Message{To: table.Prefer(table.Partition(ask.Organisation), names), Body: ask})
	}
	return messages
}

func (way *askedWay) Receive(message Message) (*Message, []string) {
	switch body := message.Body.(type) {
	case asked.Ask:
		return &Message{To: message.From, Body: answered{Ask: body, Given: way.owner.Handle(body)}}, nil
	case answered:
		way.Client.Receive(body.Ask, body.Given)
		return nil, []string{body.Ask.Organisation}
	}
	return nil, nil
}

func (way *askedWay) Control(context.Context) {}
func (way *askedWay) Leave(context.Context)   {}

// grantWay is the way that ships.
type grantWay struct {
	*grant.Client

	world  *World
	entry  *Entry
	owner  *grant.Owner
	keeper *keep.Keeper
	sent   map[exchange]grant.Outgoing
}

// grantReply is an owner's reply and the owner's name.
type grantReply struct {
	Owner string
	Reply grant.Reply
}

// NewGrant builds the owner's grants with reserved shares.
func NewGrant(world *World, entry *Entry) Way {
	way := &grantWay{world: world, entry: entry, sent: make(map[exchange]grant.Outgoing)}
	way.owner = grant.NewOwner(entry.Name, entry.Name, world.Clock, world.Rates, func() time.Time { return way.keeper.Until() })
	way.Client = grant.NewClient(entry.Name, entry.Name, world.Clock, world.Rates)
	way.keeper = keep.New(world.Store(entry), world.Clock, entry.roster, way.owner, way.Client, way, world.Hosts)
	return way
}

func (way *grantWay) Poll() (messages []Message) {
	way.giveUp()
	for _, outgoing := range way.Client.Poll() {
		way.sent[exchange{outgoing.Owner, outgoing.Ask.Seq}] = outgoing
		messages = append(messages, Message{To: outgoing.Owner, Body: outgoing.Ask})
	}
	return messages
}

// exchange names a request to an owner.
type exchange struct {
	owner string
	seq   uint64
}

// giveUp fails the requests that have had no reply in time.
func (way *grantWay) giveUp() {
	for id, outgoing := range way.sent {
		if way.world.Clock.Since(outgoing.Sent) > askTimeout {
			delete(way.sent, id)
			way.Client.Fail(outgoing)
		}
	}
}

func (way *grantWay) Receive(message Message) (*Message, []string) {
	switch body := message.Body.(type) {
	case grant.Ask:
		return &Message{To: message.From, Body: grantReply{Owner: way.entry.Name, Reply: way.owner.Handle(body)}}, nil
	case grantReply:
		id := exchange{body.Owner, body.Reply.Seq}
		outgoing, ok := way.sent[id]
		if !ok {
			return nil, nil
		}
		delete(way.sent, id)
		return nil, way.Client.Receive(outgoing, body.Reply)
	}
	return nil, nil
}

// potential returns the tokens that could be used or granted here now.
func (way *grantWay) potential(organisation string) float64 {
	return way.Client.Holds(organisation) + way.owner.Level(organisation)
}

func (way *grantWay) Control(ctx context.Context) {
	_ = way.keeper.Refresh(ctx)
	_ = way.keeper.Step(ctx)
}

func (way *grantWay) Leave(ctx context.Context) {
	_ = way.keeper.Leave(ctx)
}

// Handover implements keep.Transport.
func (way *grantWay) Handover(_ context.Context, to member.Member, handovers []grant.Handover) error {
	next := way.world.Entry(to.Name)
	if next == nil || next.dead || next.paused || !way.world.reaches(way.entry, next) {
		return errors.New("the next owner is not reached")
	}
	for _, handover := range handovers {
		next.way.(*grantWay).owner.Import(handover)
	}
	return nil
}
