package grant

import (
	"sort"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/limit/table"
)

// Owner holds the buckets of the partitions that one entry owns, and grants tokens
// from them.
type Owner struct {
	self     string
	instance string
	clock    agatestage.Clock
	rates    agatestage.RateSource
	// until returns when the entry's lease ends by its own clock.
	until    func() time.Time
	mutex    sync.Mutex
	record   *table.Record
	contacts map[string]*contact
	shards   map[int]*shard
	imports  map[int]imported
	// lastGrant is when tokens were last granted or renewed.
	lastGrant time.Time
}

// shard is the owner's state of a partition that this entry owns.
type shard struct {
	since uint64
	// starts is when grants may begin.
	starts time.Time
	// frozen says that the state has been exported, so that nothing may be granted.
	frozen bool
	// full says that buckets begin full instead of empty.
	full bool

	segments []segment
	accounts map[string]*account
	// initialUnused holds until when each entry is known not to use its share by
	// what the former owner sent, or because nobody owned the partition before.
	initialUnused map[string]time.Time
}

// imported is the state of a partition that a former owner has sent.
type imported struct {
	handover Handover
	at       time.Time
}

// NewOwner returns an owner without partitions. The instance must be unique to
// each process of the entry. The function until returns when the entry's lease
// ends.
func NewOwner(self, instance string, clock agatestage.Clock, rates agatestage.RateSource, until func() time.Time) *Owner {
	return &Owner{
		self: self, instance: instance, clock: clock, rates: rates, until: until, lastGrant: clock.Now(),
		record: &table.Record{}, contacts: make(map[string]*contact), shards: make(map[int]*shard), imports: make(map[int]imported),
	}
}

// SetTable applies a table if it is newer than the current one. It drops the
// partitions that the table assigns to other entries.
func (owner *Owner) SetTable(record *table.Record) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if record.Epoch <= owner.record.Epoch {
		return
	}
	now := owner.clock.Now()
	for partition, shard := range owner.shards {
		ownership := record.Owners[partition]
		if ownership.Owner != owner.self || ownership.Since != shard.since {
			delete(owner.shards, partition)
			continue
		}
		owner.advance(shard, now)
	}
	owner.record = record
	owner.dropDeparted()
	// The table may have changed the shares.
	owner.advanceAll(now)
}

// dropDeparted removes the contacts of entries that have left the table and have
// confirmed nothing for contactRetention.
func (owner *Owner) dropDeparted() {
	for name, contact := range owner.contacts {
		if _, ok := owner.record.Shares[name]; !ok && owner.clock.Since(contact.lastConfirmed) > contactRetention {
			delete(owner.contacts, name)
		}
	}
}

// Start begins to own a partition that the table has assigned to this entry since
// an epoch. If released is true, the former owner gave the partition up and its
// state is taken over if it was received; without that state, nothing is granted
// until all grants of the former owner have expired. A partition that nobody owned
// before starts with full buckets, and no entry uses its share of it for
// FallbackAfter.
func (owner *Owner) Start(partition int, since uint64, released, first bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if shard := owner.shards[partition]; shard != nil && shard.since == since {
		return
	}
	now := owner.clock.Now()
	shard := &shard{since: since, starts: now, accounts: make(map[string]*account), initialUnused: make(map[string]time.Time)}
	state, ok := owner.imports[partition]
	delete(owner.imports, partition)
	if released && ok && now.Sub(state.at) < Life {
		shard.restore(state)
	} else if released {
		shard.starts = now.Add(Life)
	}
	if first {
		for _, entry := range owner.entries() {
			shard.initialUnused[entry] = now.Add(ReserveAfter)
		}
	}
	shard.full = first
	if fraction := owner.fraction(shard, now); len(shard.segments) == 0 {
		shard.segments = []segment{{from: shard.starts, fraction: fraction}}
	} else {
		shard.setFraction(now, fraction)
	}
	owner.shards[partition] = shard
}

// Owns reports whether this process of the entry owns the partition.
func (owner *Owner) Owns(partition int) bool {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.shards[partition] != nil
}

// Handle returns the reply to a request.
func (owner *Owner) Handle(ask Ask) Reply {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := owner.clock.Now()
	reply := Reply{Instance: owner.instance, Seq: ask.Seq, Idle: now.Sub(owner.lastGrant)}
	if overtaken := owner.recordAsk(ask, now); overtaken {
		return reply
	}
	life := owner.authority(now)
	reply.Life = max(0, life)
	owner.contacts[ask.From].setAuthorised(ask.Seq, life > 0)
	for _, want := range ask.Wants {
		shard := owner.shards[table.Partition(want.Organisation)]
		rate, known := owner.rates.Rate(want.Organisation)
		if shard == nil || !known || now.Before(shard.starts) {
			continue
		}
		owner.advance(shard, now)
		account := shard.account(want.Organisation, rate)
		account.update(rate, shard.segments, now)
		if life <= 0 || shard.frozen {
			// The tokens that the entry holds keep their expiry.
			continue
		}
		account.replaceGrants(ask.From, want.Held+want.Returned, now.Add(life))
		account.returnTokens(ask.From, want.Returned)
		owner.lastGrant = now
		reply.Renewed = append(reply.Renewed, want.Organisation)
		if tokens := account.grantTokens(ask.From, want, life, now); tokens > 0 {
			reply.Grants = append(reply.Grants, Grant{Organisation: want.Organisation, Tokens: tokens})
		}
	}
	return reply
}

// account returns an organisation's bucket. A bucket that has never been used was
// full or empty when the partition's first segment began, and has been refilling
// since.
func (shard *shard) account(organisation string, rate agatestage.Rate) *account {
	found := shard.accounts[organisation]
	if found == nil {
		found = &account{at: shard.segments[0].from}
		if shard.full {
			found.level = rate.Burst
		}
		shard.accounts[organisation] = found
	}
	return found
}

// recordAsk records a request and what it confirms. It reports whether a later
// request of the entry has been received before it.
func (owner *Owner) recordAsk(ask Ask, now time.Time) (overtaken bool) {
	requester := owner.contacts[ask.From]
	if requester == nil {
		requester = &contact{pending: make(map[uint64]pendingAsk)}
		owner.contacts[ask.From] = requester
	}
	if requester.instance != ask.Instance {
		requester.instance, requester.pending, requester.lastSeq = ask.Instance, make(map[uint64]pendingAsk), 0
	}
	overtaken = ask.Seq <= requester.lastSeq
	requester.lastSeq = max(requester.lastSeq, ask.Seq)
	requester.pending[ask.Seq] = pendingAsk{received: now, settled: ask.Settled}
	requester.seen = max(requester.seen, ask.Seen)
	if share := max(ask.Share, 0); share != requester.share {
		requester.share = share
		owner.advanceAll(now)
	}
	if len(requester.pending) > maxPendingAsks {
		requester.dropBefore(ask.Seq - maxPendingAsks/2)
	}
	confirmed, ok := requester.pending[ask.Confirms]
	if !ok || ask.OwnerInstance != owner.instance || ask.Confirms >= ask.Seq {
		return overtaken
	}
	// Bring all partitions to now first, because shares may have become reserved
	// while the entry had no contact.
	owner.advanceAll(now)
	requester.confirm(confirmed)
	requester.dropBefore(ask.Confirms)
	owner.advanceAll(now)
	return overtaken
}

// advanceAll brings every partition to now and records its unreserved fraction.
func (owner *Owner) advanceAll(now time.Time) {
	for _, shard := range owner.shards {
		owner.advance(shard, now)
		shard.setFraction(now, owner.fraction(shard, now))
	}
}

// shareUnusedUntil returns until when an entry is known not to use its share. From
// then on the share has to be reserved.
func (owner *Owner) shareUnusedUntil(shard *shard, entry string) time.Time {
	until := shard.initialUnused[entry]
	if contact := owner.contacts[entry]; contact != nil && contact.settled >= shard.since {
		if end := contact.lastAuthorised.Add(ReserveAfter); end.After(until) {
			until = end
		}
	}
	return until
}

// share returns the static share of an entry that has to be reserved without
// contact.
func (owner *Owner) share(entry string) float64 {
	share := owner.record.Shares[entry]
	if contact := owner.contacts[entry]; contact != nil {
		share = max(share, contact.share)
	}
	return share
}

// fraction returns the fraction of each bucket that isn't reserved at a time.
func (owner *Owner) fraction(shard *shard, at time.Time) float64 {
	fraction := 1.0
	for _, entry := range owner.entries() {
		if !at.Before(owner.shareUnusedUntil(shard, entry)) {
			fraction -= owner.share(entry)
		}
	}
	return min(1, max(0, fraction))
}

// entries returns the entries that may have a share: those in the table, and those
// that have reported one, which the table known here may not have yet.
func (owner *Owner) entries() []string {
	names := make([]string, 0, len(owner.record.Shares))
	for name := range owner.record.Shares {
		names = append(names, name)
	}
	for name, contact := range owner.contacts {
		if _, ok := owner.record.Shares[name]; !ok && contact.share > 0 {
			names = append(names, name)
		}
	}
	return names
}

// advance records the changes of the unreserved fraction since the last segment,
// which are the times at which entries' shares became reserved.
func (owner *Owner) advance(shard *shard, now time.Time) {
	last := shard.segments[len(shard.segments)-1].from
	var ends []time.Time
	for _, entry := range owner.entries() {
		if end := owner.shareUnusedUntil(shard, entry); end.After(last) && !end.After(now) {
			ends = append(ends, end)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	for _, end := range ends {
		shard.setFraction(end, owner.fraction(shard, end))
	}
}

// setFraction begins a segment if the unreserved fraction has changed.
func (shard *shard) setFraction(from time.Time, fraction float64) {
	last := &shard.segments[len(shard.segments)-1]
	if last.fraction == fraction {
		return
	}
	if !from.After(last.from) {
		last.fraction = fraction
		return
	}
	shard.segments = append(shard.segments, segment{from: from, fraction: fraction})
	if len(shard.segments) > maxSegments {
		shard.segments = append([]segment(nil), shard.segments[len(shard.segments)-maxSegments/2:]...)
	}
}

// authority returns how long grants may live now: until the lease ends, or for
// their whole life while the confirmations of all entries let this owner grant.
// Without authority it is 0 or negative.
func (owner *Owner) authority(now time.Time) time.Duration {
	if owner.confirmedByAll(now) {
		return Life
	}
	return min(Life, owner.until().Sub(now))
}

// confirmedByAll reports whether every entry has confirmed a request received
// within ReserveAfter, and none has reported a newer table.
func (owner *Owner) confirmedByAll(now time.Time) bool {
	entries := owner.entries()
	for _, entry := range entries {
		contact := owner.contacts[entry]
		if contact == nil || contact.seen > owner.record.Epoch || !now.Before(contact.lastConfirmed.Add(ReserveAfter)) {
			return false
		}
	}
	return len(entries) > 0
}

// Level returns the number of an organisation's tokens that this owner could grant
// now, which is 0 if it doesn't own the organisation.
func (owner *Owner) Level(organisation string) float64 {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	shard := owner.shards[table.Partition(organisation)]
	rate, known := owner.rates.Rate(organisation)
	now := owner.clock.Now()
	if shard == nil || !known || shard.frozen || now.Before(shard.starts) || owner.authority(now) <= 0 {
		return 0
	}
	owner.advance(shard, now)
	account := shard.account(organisation, rate)
	account.update(rate, shard.segments, now)
	return account.level
}
