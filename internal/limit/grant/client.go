package grant

import (
	"slices"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/limit/table"
)

// idlePurse is how long an organisation's state is kept without a request.
const idlePurse = 30 * time.Second

// Client is the entry's side of the limits. It implements agatestage.TokenSource.
type Client struct {
	self     string
	instance string
	clock    agatestage.Clock
	rates    agatestage.RateSource
	mutex    sync.Mutex
	began    time.Time
	record   *table.Record
	share    float64
	slices   [table.Partitions]slice
	owners   map[string]*ownerLink
	purses   map[string]*purse
	swept    time.Time
	wake     chan struct{}
}

// slice is an entry's state of one partition.
type slice struct {
	owner string
	since uint64
	// replied is when the last reply of the owner for this partition came.
	replied time.Time
	// settles is when the entry has certainly stopped keeping the former
	// owner going.
	settles time.Time
	// former is the owner before, as long as that matters.
	former string
	// share is the static share that the owner is known to reserve.
	share float64
}

// ownerLink is the exchange with one owner.
type ownerLink struct {
	instance string
	seq      uint64
	confirms uint64
	// claimed is the settled epoch that the owner has been told.
	claimed  uint64
	replied  time.Time
	asked    time.Time
	inFlight bool
	// needed says that a request is due at due, besides the regular ones.
	needed bool
	due    time.Time
	dirty  map[string]bool
}

// Outgoing is a request to send.
type Outgoing struct {
	Owner string
	Ask   Ask
	// Sent is when it was made; the life of grants counts from it.
	Sent time.Time
}

// NewClient returns a client that knows no table. Instance must differ in each
// run of the entry.
func NewClient(self, instance string, clock agatestage.Clock, rates agatestage.RateSource) *Client {
	now := clock.Now()
	client := &Client{
		self: self, instance: instance, clock: clock, rates: rates, began: now, swept: now, record: &table.Record{},
		owners: make(map[string]*ownerLink), purses: make(map[string]*purse), wake: make(chan struct{}, 1),
	}
	for i := range client.slices {
		client.slices[i].replied = now
	}
	return client
}

// Wake returns a channel that receives when there may be a request to send.
func (client *Client) Wake() <-chan struct{} {
	return client.wake
}

// SetTable takes a newer table.
func (client *Client) SetTable(record *table.Record) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if record.Epoch <= client.record.Epoch {
		return
	}
	now := client.clock.Now()
	client.record = record
	client.share = record.Shares[client.self]
	for partition := range client.slices {
		slice := &client.slices[partition]
		ownership := record.Owners[partition]
		if ownership.Owner != slice.owner || ownership.Since != slice.since {
			client.move(slice, ownership, now)
		}
		slice.share = min(slice.share, client.share)
	}
	client.signal()
}

// move follows a partition to its new owner.
func (client *Client) move(slice *slice, ownership table.Ownership, now time.Time) {
	slice.settles, slice.former = now, slice.owner
	if former := client.owners[slice.owner]; former != nil && !ownership.Released && !ownership.First {
		slice.settles = former.replied.Add(Settle)
	} else if !ownership.Released && !ownership.First {
		slice.settles = client.began.Add(Settle)
	}
	if now.Before(slice.settles) && slice.former != "" {
		// A former owner that learns of the newer table stops by itself.
		client.link(slice.former).need(now)
	}
	if ownership.First {
		slice.replied = now
	}
	slice.owner, slice.since = ownership.Owner, ownership.Since
	// The owner took the partition after this entry wrote its share into the
	// table, so it reserves the share.
	slice.share = client.share
	if ownership.Owner != "" {
		client.link(ownership.Owner).need(now)
	}
}

// Lower gives up a part of the static share before the table is changed.
func (client *Client) Lower(share float64) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.share = min(client.share, share)
	for i := range client.slices {
		client.slices[i].share = min(client.slices[i].share, share)
	}
}

// Replied returns when an owner last replied; the start of this run if never.
func (client *Client) Replied(owner string) time.Time {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if link := client.owners[owner]; link != nil {
		return link.replied
	}
	return client.began
}

func (client *Client) link(owner string) *ownerLink {
	link := client.owners[owner]
	if link == nil {
		link = &ownerLink{dirty: make(map[string]bool), replied: client.began}
		client.owners[owner] = link
	}
	return link
}

func (client *Client) purse(organisation string) *purse {
	entry := client.purses[organisation]
	if entry == nil {
		now := client.clock.Now()
		entry = &purse{seen: now, used: now}
		client.purses[organisation] = entry
	}
	return entry
}

// Take implements agatestage.TokenSource.
func (client *Client) Take(organisation string) bool {
	rate, ok := client.rates.Rate(organisation)
	if !ok {
		return false
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.clock.Now()
	purse := client.purse(organisation)
	if purse.waiting == 0 {
		purse.arrive(now)
	}
	slice := &client.slices[table.Partition(organisation)]
	taken := purse.takeGrant(now)
	if taken {
		// What is still held is told with the next request.
		client.link(slice.owner).dirty[organisation] = true
	}
	if since := slice.replied.Add(FallbackAfter); !taken && !now.Before(since) {
		taken = purse.takeShare(rate, slice.share, since, now)
	}
	if taken && purse.waiting > 0 {
		purse.waiting--
	}
	if purse.low(now) {
		client.mark(organisation, slice.owner, now)
	}
	return taken
}

// SetWaiting implements agatestage.TokenSource.
func (client *Client) SetWaiting(organisation string, waiting int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.clock.Now()
	purse := client.purse(organisation)
	purse.used = now
	if waiting > purse.waiting && purse.waiting > 0 {
		// The first that waits was noted when it tried to take a token.
		purse.arrive(now)
	}
	purse.waiting = waiting
	if waiting > 0 {
		client.mark(organisation, client.slices[table.Partition(organisation)].owner, now)
	}
}

// mark makes a request to the owner due that speaks of the organisation.
func (client *Client) mark(organisation, owner string, now time.Time) {
	if owner == "" {
		return
	}
	link := client.link(owner)
	link.dirty[organisation] = true
	due := now
	if purse := client.purses[organisation]; purse.askAfter.After(now) {
		due = purse.askAfter
	}
	link.need(due)
	client.signal()
}

// need makes the next request due at a time, or earlier if it is already.
func (link *ownerLink) need(due time.Time) {
	if !link.needed || due.Before(link.due) {
		link.needed, link.due = true, due
	}
}

func (client *Client) signal() {
	select {
	case client.wake <- struct{}{}:
	default:
	}
}

// Poll returns the requests that are due now.
func (client *Client) Poll() (outgoing []Outgoing) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.clock.Now()
	client.sweep(now)
	for _, owner := range client.addressees(now) {
		link := client.link(owner)
		quiet := now.Sub(link.asked)
		needed := link.needed && !now.Before(link.due) || link.claimed < client.settled(owner, now)
		if link.inFlight || quiet < askGap || !needed && quiet < pulsePeriod {
			continue
		}
		outgoing = append(outgoing, client.ask(owner, link, now))
	}
	return outgoing
}

// addressees returns the owners, and the former ones that may still be kept
// going.
func (client *Client) addressees(now time.Time) []string {
	names := client.record.OwnerNames()
	for i := range client.slices {
		slice := &client.slices[i]
		if slice.former != "" && now.Before(slice.settles) && !slices.Contains(names, slice.former) {
			names = append(names, slice.former)
		}
	}
	return names
}

// ask makes the next request to an owner.
func (client *Client) ask(owner string, link *ownerLink, now time.Time) Outgoing {
	link.seq++
	link.asked, link.inFlight, link.needed = now, true, false
	ask := Ask{
		From: client.self, Instance: client.instance, Seq: link.seq, Confirms: link.confirms, OwnerInstance: link.instance,
		Settled: client.settled(owner, now), Seen: client.record.Epoch, Share: client.share,
	}
	for organisation := range link.dirty {
		purse := client.purses[organisation]
		if purse == nil || client.slices[table.Partition(organisation)].owner != owner {
			continue
		}
		ask.Wants = append(ask.Wants, purse.want(organisation, now))
	}
	clear(link.dirty)
	return Outgoing{Owner: owner, Ask: ask, Sent: now}
}

// settled returns the epoch up to which no former owner of the owner's
// partitions is kept going by this entry.
func (client *Client) settled(owner string, now time.Time) uint64 {
	epoch := client.record.Epoch
	for i := range client.slices {
		slice := &client.slices[i]
		if slice.owner == owner && now.Before(slice.settles) {
			epoch = min(epoch, slice.since-1)
		}
	}
	return epoch
}

// Holds returns the tokens of an organisation that could be used here now.
func (client *Client) Holds(organisation string) float64 {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	rate, known := client.rates.Rate(organisation)
	purse := client.purses[organisation]
	if purse == nil || !known {
		return 0
	}
	now := client.clock.Now()
	purse.expire(now)
	tokens := purse.tokens()
	slice := &client.slices[table.Partition(organisation)]
	if since := slice.replied.Add(FallbackAfter); !now.Before(since) {
		purse.fill(rate, slice.share, since, now)
		tokens += purse.level
	}
	return tokens
}
