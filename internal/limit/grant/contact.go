package grant

import (
	"time"
)

// contact is the owner's state of one entry.
type contact struct {
	instance string
	// lastSeq is the highest Seq received.
	lastSeq uint64
	// pending holds the requests whose replies have not been confirmed, by Seq.
	pending map[uint64]pendingAsk
	// lastConfirmed is when the last confirmed request was received.
	lastConfirmed time.Time
	// lastAuthorised is when the last confirmed request was received whose reply was
	// sent with authority, so that the entry doesn't use its share.
	lastAuthorised time.Time
	// settled and seen are the highest epochs that the entry has reported in
	// confirmed requests with an authorised reply and in any request.
	settled uint64
	seen    uint64
	// share is the static share that the entry last reported.
	share float64
}

// pendingAsk is a request whose reply has not been confirmed.
type pendingAsk struct {
	received time.Time
	settled  uint64
	// authorised says that the owner had authority when it replied.
	authorised bool
}

// setAuthorised records whether the owner had authority when it replied to a
// request.
func (contact *contact) setAuthorised(seq uint64, authorised bool) {
	asked := contact.pending[seq]
	asked.authorised = authorised
	contact.pending[seq] = asked
}

// confirm applies a request whose reply has been confirmed.
func (contact *contact) confirm(confirmed pendingAsk) {
	if confirmed.received.After(contact.lastConfirmed) {
		contact.lastConfirmed = confirmed.received
	}
	if confirmed.authorised && confirmed.received.After(contact.lastAuthorised) {
		contact.lastAuthorised, contact.settled = confirmed.received, max(contact.settled, confirmed.settled)
	}
}

// dropBefore removes the pending requests before seq.
func (contact *contact) dropBefore(seq uint64) {
	for old := range contact.pending {
		if old < seq {
			delete(contact.pending, old)
		}
	}
}
