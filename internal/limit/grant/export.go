package grant

import (
	"time"
)

// Export freezes a partition and returns its state for the next owner. It returns
// false if this entry doesn't own the partition.
func (owner *Owner) Export(partition int) (Handover, bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	shard := owner.shards[partition]
	if shard == nil {
		return Handover{}, false
	}
	now := owner.clock.Now()
	owner.advance(shard, now)
	shard.frozen = true
	handover := Handover{Partition: partition, From: owner.self, Since: shard.since}
	for _, segment := range shard.segments {
		handover.Segments = append(handover.Segments, SegmentState{Age: now.Sub(segment.from), Fraction: segment.fraction})
	}
	for _, entry := range owner.entries() {
		if left := owner.shareUnusedUntil(shard, entry).Sub(now); left > 0 {
			handover.Contacts = append(handover.Contacts, ContactState{Entry: entry, Left: left})
		}
	}
	for organisation, account := range shard.accounts {
		rate, known := owner.rates.Rate(organisation)
		if !known {
			continue
		}
		account.update(rate, shard.segments, now)
		handover.Accounts = append(handover.Accounts, account.export(organisation, now))
	}
	return handover, true
}

func (account *account) export(organisation string, now time.Time) AccountState {
	state := AccountState{Organisation: organisation, Level: account.level}
	for _, grant := range account.grants {
		state.Outstanding = append(state.Outstanding, Outstanding{Entry: grant.entry, Tokens: grant.tokens, Left: grant.expires.Sub(now)})
	}
	return state
}

// Import stores the state of a partition until the table assigns the partition to
// this entry.
func (owner *Owner) Import(handover Handover) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.imports[handover.Partition] = imported{handover: handover, at: owner.clock.Now()}
}

// restore sets the state that the former owner sent.
func (shard *shard) restore(state imported) {
	for _, sent := range state.handover.Segments {
		shard.segments = append(shard.segments, segment{from: state.at.Add(-sent.Age), fraction: sent.Fraction})
	}
	for _, contact := range state.handover.Contacts {
		shard.initialUnused[contact.Entry] = state.at.Add(contact.Left)
	}
	for _, sent := range state.handover.Accounts {
		account := &account{level: sent.Level, at: shard.starts}
		for _, grant := range sent.Outstanding {
			account.addGrant(outstanding{entry: grant.Entry, tokens: grant.Tokens, expires: state.at.Add(grant.Left)})
		}
		shard.accounts[sent.Organisation] = account
	}
}

// Resume unfreezes a partition whose handover failed.
func (owner *Owner) Resume(partition int) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if shard := owner.shards[partition]; shard != nil {
		shard.frozen = false
	}
}
