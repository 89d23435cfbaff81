// Package grant limits organisations over the whole fleet by prepaid grants of
// tokens.
//
// # Model
//
// Each organisation has one owner among the entries. The owner holds the
// organisation's token bucket and gives short-lived grants of tokens to entries
// according to their demand. Granted tokens count as spent. In addition, each
// entry has a static share of every bucket, which it may use only while it is cut
// off from the owner. The owner reserves that share, that is, takes it out of the
// bucket, before the entry can begin to use it.
//
// # Invariant
//
// At any time, and for each organisation, the owner's level, the outstanding
// grants and the shares in use add up to at most the burst, and their sum grows
// by at most the rate. So at most rate × t + burst requests are admitted in any
// window of length t, whichever messages are lost or late and whichever entries
// are down.
//
// # Outstanding grants
//
// Each request states the tokens that the entry holds. The owner replaces its
// record of the entry's outstanding grants by that number and renews them for a
// whole life. The number is never too low: the owner ignores a request that
// arrives after a later one of the same entry, and an entry drops the reply to a
// request that it has given up.
//
// # Reservation before use
//
// An entry confirms each reply of the owner in its next request. The owner's
// time-out starts when it receives a request whose reply is later confirmed: after
// ReserveAfter it reserves the entry's share. The entry's time-out starts when it
// receives that reply, which is later: after FallbackAfter it begins to use its
// share, with an empty bucket. FallbackAfter exceeds ReserveAfter by more than the
// life of a grant, so the grants that could take up the reserved part have expired
// by then.
//
// # Change of owner
//
// An owner stops granting before its lease expires in the store, and its grants
// expire with the lease. An owner that takes a new lease enters it in the table
// before it grants again, and an entry takes partitions over only if the lease in
// the table has expired, so that the two can't happen at once. A new owner starts
// with empty buckets, and with each entry's share reserved until it has contact
// with that entry. An owner whose lease has expired because the store is
// unreachable continues to grant only while every entry in the table keeps
// confirming its replies and none knows a newer table. An entry reports to a new
// owner that it may stop reserving the share only after the time for which the
// entry's own confirmations could have let the former owner continue to grant.
package grant

import "time"

const (
	// Life is how long a grant can be used.
	Life = 2200 * time.Millisecond
	// ReserveAfter is the time without contact after which the owner reserves an
	// entry's share.
	ReserveAfter = 1300 * time.Millisecond
	// FallbackAfter is the time without contact after which an entry uses its
	// share: ReserveAfter + Life and a margin for the drift between two clocks.
	FallbackAfter = 4100 * time.Millisecond
	// Settle is how long after an owner's last reply to an entry that owner may
	// still grant, or its grants may still be used, because the entry confirmed
	// its replies: ReserveAfter + Life.
	Settle = ReserveAfter + Life
	// heartbeatPeriod is the time between two requests to an owner from which
	// nothing is needed.
	heartbeatPeriod = 500 * time.Millisecond
	// minAskInterval is the least time between two requests to an owner.
	minAskInterval = 15 * time.Millisecond
	// unmetRetryDelay is the time after which an entry requests tokens again if
	// the owner granted fewer than requested.
	unmetRetryDelay = 60 * time.Millisecond
	// demandHorizon is the time whose demand the grants of an entry are sized for.
	demandHorizon = Life
	// lowFraction is the part of that demand below which an entry requests more
	// tokens. It is large enough for the tokens held to last for most of the time
	// that the successor of a lost owner needs.
	lowFraction = 0.6
	// surplusFactor is the multiple of the tokens needed for the demand above which
	// an entry returns tokens.
	surplusFactor = 2
	// demandDecay is the time constant of the measured demand.
	demandDecay = 3 * time.Second
	// requesterTimeout is how long after its last request for an organisation's
	// tokens an entry counts as one of those that share the bucket.
	requesterTimeout = 2 * time.Second
	// contactRetention is how long the owner keeps the state of an entry that has
	// left the table, counted from the last contact.
	contactRetention = time.Minute
	// maxSegments bounds the segments kept per partition.
	maxSegments = 512
	// maxPendingAsks bounds the unconfirmed requests kept per entry.
	maxPendingAsks = 64
)
