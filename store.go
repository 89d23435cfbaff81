package agatestage

import (
	"context"
	"errors"
	"time"
)

// The errors of a Store, each of them certain. A caller that receives another
// error doesn't know whether a write took effect and must read back.
var (
	ErrNotFound = errors.New("store: key not found")
	ErrConflict = errors.New("store: version conflict")
	ErrNoLease  = errors.New("store: lease not found or expired")
	// ErrUnavailable is certain: the store has not done what was asked.
	ErrUnavailable = errors.New("store: unavailable, nothing was done")
)

// Lease identifies a lease that the store granted.
type Lease string

// Record is one value of the store.
type Record struct {
	Key   string
	Value []byte
	// Version is the store-wide revision of the record's last write.
	Version uint64
	// Deleted marks a removal in the result of a watch.
	Deleted bool
}

// Store is the platform's key-value service. It holds only small things:
// configuration, leases and job heads. Each method is one counted call.
type Store interface {
	// Get returns the record at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys begin with prefix, and the
	// store-wide revision at which they were read.
	List(ctx context.Context, prefix string) ([]Record, uint64, error)
	// Swap writes value if the record's version is still version; zero means
	// that the key doesn't exist. The record vanishes with the lease, if one
	// is named. It returns the new version, or ErrConflict.
	Swap(ctx context.Context, key string, version uint64, value []byte, lease Lease) (uint64, error)
	// Delete removes the record if its version is still version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits for changes under prefix after the store-wide revision
	// after, for at most wait, and returns them with the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Record, uint64, error)
	// Grant creates a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends the lease, or returns ErrNoLease.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends the lease and removes its records.
	Revoke(ctx context.Context, lease Lease) error
}

// Write is one change within a Commit.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
	// Remove deletes the key instead of writing it.
	Remove bool
}

// Condition holds while the record at Key has Version; zero means that there
// is none.
type Condition struct {
	Key     string
	Version uint64
}

// Transactor is a Store that also changes several records at once.
type Transactor interface {
	Store
	// Commit makes all writes if every condition holds, and none otherwise. It
	// returns the version of the written records, or ErrConflict.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (uint64, error)
}
