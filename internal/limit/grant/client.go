package grant

import (
	"slices"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/limit/table"
)

// idleTimeout is how long an organisation's balance is kept without a request.
const idleTimeout = 30 * time.Second

// Client holds an entry's tokens and requests them from the owners. It implements
// agatestage.TokenSource.
type Client struct {
	self     string
	instance string
	clock    agatestage.Clock
	rates    agatestage.RateSource
	mutex    sync.Mutex
	began    time.Time
	record   *table.Record
	// share is the entry's static share.
	share    float64
	slices   [table.Partitions]slice
	owners   map[string]*ownerLink
	balances map[string]*balance
	swept    time.Time
	wake     chan struct{}
}

// slice is an entry's state of one partition.
type slice struct {
	owner string
	since uint64
	// replied is when the owner's last reply for this partition was received.
	replied time.Time
	// settledAt is the time from which the entry's confirmations no longer let the
	// former owner continue to grant.
	settledAt time.Time
	// former is the previous owner. It is used until settledAt.
	former string
	// share is the static share that the owner is known to reserve.
	share float64
}

// ownerLink is the state of the exchange with one owner.
type ownerLink struct {
	instance string
	seq      uint64
	confirms uint64
	// reportedSettled is the settled epoch last reported to the owner.
	reportedSettled uint64
	replied         time.Time
	lastAsk         time.Time
	inFlight        bool
	// needed says that a request is due at due, in addition to the heartbeats.
	needed bool
	due    time.Time
	// dirty holds the organisations that the next request has to report on.
	dirty map[string]bool
}

// Outgoing is a request to send.
type Outgoing struct {
	Owner string
	Ask   Ask
	// Sent is when the request was made. The life of grants counts from then.
	Sent time.Time
}

// NewClient returns a client without a table. The instance must be unique to each
// process of the entry.
func NewClient(self, instance string, clock agatestage.Clock, rates agatestage.RateSource) *Client {
	now := clock.Now()
	client := &Client{
		self: self, instance: instance, clock: clock, rates: rates, began: now, swept: now, record: &table.Record{},
		owners: make(map[string]*ownerLink), balances: make(map[string]*balance), wake: make(chan struct{}, 1),
	}
	for i := range client.slices {
		client.slices[i].replied = now
	}
	return client
}

// Wake returns a channel that is signalled when a request may be due.
func (client *Client) Wake() <-chan struct{} {
	return client.wake
}

// SetTable applies a table if it is newer than the current one.
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
			client.changeOwner(slice, ownership, now)
		}
		slice.share = min(slice.share, client.share)
	}
	client.signal()
}

// changeOwner records a partition's new owner.
func (client *Client) changeOwner(slice *slice, ownership table.Ownership, now time.Time) {
	slice.settledAt, slice.former = now, slice.owner
	if former := client.owners[slice.owner]; former != nil && !ownership.Released && !ownership.First {
		slice.settledAt = former.replied.Add(Settle)
	} else if !ownership.Released && !ownership.First {
		slice.settledAt = client.began.Add(Settle)
	}
	if now.Before(slice.settledAt) && slice.former != "" {
		// A former owner stops by itself once it is informed of the newer table.
		client.link(slice.former).schedule(now)
	}
	if ownership.First {
		slice.replied = now
	}
	slice.owner, slice.since = ownership.Owner, ownership.Since
	// The owner took the partition after this entry had written its share to the
	// table, so it reserves that share.
	slice.share = client.share
	if ownership.Owner != "" {
		client.link(ownership.Owner).schedule(now)
	}
}

// LowerShare stops the use of the static share above the given one. It is called
// before the lower share is written to the table.
func (client *Client) LowerShare(share float64) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.share = min(client.share, share)
	for i := range client.slices {
		client.slices[i].share = min(client.slices[i].share, share)
	}
}

// LastReply returns when an owner's last reply was received, or when the client
// was made if there was none.
func (client *Client) LastReply(owner string) time.Time {
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

func (client *Client) balance(organisation string) *balance {
	found := client.balances[organisation]
	if found == nil {
		now := client.clock.Now()
		found = &balance{demandUpdated: now, used: now}
		client.balances[organisation] = found
	}
	return found
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
	balance := client.balance(organisation)
	if balance.waiting == 0 {
		balance.recordArrival(now)
	}
	slice := &client.slices[table.Partition(organisation)]
	taken := balance.takeGrant(now)
	if taken {
		// The next request has to report the tokens that are still held.
		client.link(slice.owner).dirty[organisation] = true
	}
	if since := slice.replied.Add(FallbackAfter); !taken && !now.Before(since) {
		taken = balance.takeShare(rate, slice.share, since, now)
	}
	if taken && balance.waiting > 0 {
		balance.waiting--
	}
	if balance.low(now) {
		client.markDirty(organisation, slice.owner, now)
	}
	return taken
}

// SetWaiting implements agatestage.TokenSource.
func (client *Client) SetWaiting(organisation string, waiting int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.clock.Now()
	balance := client.balance(organisation)
	balance.used = now
	if waiting > balance.waiting && balance.waiting > 0 {
		// The first waiting request was recorded when it tried to take a token.
		balance.recordArrival(now)
	}
	balance.waiting = waiting
	if waiting > 0 {
		client.markDirty(organisation, client.slices[table.Partition(organisation)].owner, now)
	}
}

// markDirty schedules a request to the owner that reports on the organisation.
func (client *Client) markDirty(organisation, owner string, now time.Time) {
	if owner == "" {
		return
	}
	link := client.link(owner)
	link.dirty[organisation] = true
	due := now
	if balance := client.balances[organisation]; balance.retryAt.After(now) {
		due = balance.retryAt
	}
	link.schedule(due)
	client.signal()
}

// schedule makes the next request due at the given time, unless one is due earlier.
func (link *ownerLink) schedule(due time.Time) {
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
	for _, owner := range client.recipients(now) {
		link := client.link(owner)
		quiet := now.Sub(link.lastAsk)
		needed := link.needed && !now.Before(link.due) || link.reportedSettled < client.settled(owner, now)
		if link.inFlight || quiet < minAskInterval || !needed && quiet < heartbeatPeriod {
			continue
		}
		outgoing = append(outgoing, client.ask(owner, link, now))
	}
	return outgoing
}

// recipients returns the owners, and the former owners that may still be granting
// because of this entry's confirmations.
func (client *Client) recipients(now time.Time) []string {
	names := client.record.OwnerNames()
	for i := range client.slices {
		slice := &client.slices[i]
		if slice.former != "" && now.Before(slice.settledAt) && !slices.Contains(names, slice.former) {
			names = append(names, slice.former)
		}
	}
	return names
}

// ask makes the next request to an owner.
func (client *Client) ask(owner string, link *ownerLink, now time.Time) Outgoing {
	link.seq++
	link.lastAsk, link.inFlight, link.needed = now, true, false
	ask := Ask{
		From: client.self, Instance: client.instance, Seq: link.seq, Confirms: link.confirms, OwnerInstance: link.instance,
		Settled: client.settled(owner, now), Seen: client.record.Epoch, Share: client.share,
	}
	for organisation := range link.dirty {
		balance := client.balances[organisation]
		if balance == nil || client.slices[table.Partition(organisation)].owner != owner {
			continue
		}
		ask.Wants = append(ask.Wants, balance.want(organisation, now))
	}
	clear(link.dirty)
	return Outgoing{Owner: owner, Ask: ask, Sent: now}
}

// settled returns the epoch up to which no former owner of the owner's partitions
// can continue to grant because of this entry's confirmations.
func (client *Client) settled(owner string, now time.Time) uint64 {
	epoch := client.record.Epoch
	for i := range client.slices {
		slice := &client.slices[i]
		if slice.owner == owner && now.Before(slice.settledAt) {
			epoch = min(epoch, slice.since-1)
		}
	}
	return epoch
}

// Available returns the tokens of an organisation that could be used here now.
func (client *Client) Available(organisation string) float64 {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	rate, known := client.rates.Rate(organisation)
	balance := client.balances[organisation]
	if balance == nil || !known {
		return 0
	}
	now := client.clock.Now()
	balance.expire(now)
	tokens := balance.tokens()
	slice := &client.slices[table.Partition(organisation)]
	if since := slice.replied.Add(FallbackAfter); !now.Before(since) {
		balance.refillShare(rate, slice.share, since, now)
		tokens += balance.level
	}
	return tokens
}
