package grant

import "time"

// Ask is an entry's request to an owner.
type Ask struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Instance is unique to each process of the requesting entry.
	Instance string
	Seq      uint64
	// Confirms is the last Seq whose reply has been received from the owner's
	// process named by OwnerInstance.
	Confirms      uint64
	OwnerInstance string
	// Settled is the epoch of the table up to which no former owner of this
	// owner's partitions can continue to grant because of the entry's confirmations.
	Settled uint64
	// Seen is the epoch of the newest table that the entry knows.
	Seen uint64
	// Share is the entry's static share.
	Share float64
	Wants []Want
}

// Want states an entry's demand for one organisation.
type Want struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	// Held is the number of granted tokens that the entry holds, without Returned.
	Held float64
	// Returned is the number of unused tokens that the entry returns.
	Returned float64
	// Tokens is the number of tokens requested.
	Tokens float64
	// Waiting is the number of requests that wait for a token.
	Waiting float64
}

// Reply is an owner's reply to an Ask.
type Reply struct {
	_ struct{} `cbor:",toarray"`
	// Instance is unique to each process of the owner.
	Instance string
	Seq      uint64
	// Idle is the time since this owner last granted anything.
	Idle time.Duration
	// Life is how long the grants can be used, counted from when the request was
	// sent. It also applies to the tokens held of the organisations in Renewed.
	Life    time.Duration
	Renewed []string
	Grants  []Grant
}

// Grant is a number of tokens for one organisation.
type Grant struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Tokens       float64
}

// Handover transfers a partition's state from one owner to the next.
type Handover struct {
	Partition int
	From      string
	// Since is the epoch in which the former owner took the partition.
	Since uint64
	// Segments are the changes of the unreserved fraction, oldest first. The bucket
	// of an organisation without an account has been refilling since the first.
	Segments []SegmentState
	Accounts []AccountState
	// Contacts states for how long each entry is known not to use its share.
	Contacts []ContactState
}

// AccountState is the state of one organisation's bucket.
type AccountState struct {
	Organisation string
	Level        float64
	Outstanding  []Outstanding
}

// Outstanding is a grant that has neither expired nor been reported as spent.
type Outstanding struct {
	Entry  string
	Tokens float64
	Left   time.Duration
}

// ContactState states for how long an entry is known not to use its share.
type ContactState struct {
	Entry string
	Left  time.Duration
}

// SegmentState is the unreserved fraction of a segment that began Age ago.
type SegmentState struct {
	Age      time.Duration
	Fraction float64
}
