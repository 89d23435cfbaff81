package agatestage

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// The errors of a Store with a known outcome. After any other error, it is unknown
// whether a write took effect, and the caller has to read it back.
var (
	ErrNotFound = errors.New("store: key not found")
	ErrConflict = errors.New("store: version conflict")
	ErrNoLease  = errors.New("store: lease not found or expired")
	// ErrTooManyChanges is the error of a watch whose changes don't fit into one reply.
	ErrTooManyChanges = errors.New("store: too many changes for one reply")
	// ErrUnavailable means that the store has definitely not executed the operation.
	ErrUnavailable = errors.New("store: unavailable, nothing was done")
	// ErrRejected means that the store has definitely not executed the operation, and won't
	// execute it if it is repeated unchanged: it is beyond one of the limits below, or invalid.
	ErrRejected = errors.New("store: rejected, nothing was done")
)

// The limits of a Store. A write beyond them is rejected.
const (
	// MaxCommitEntries is how many conditions and writes a Commit may have together.
	MaxCommitEntries = 32
	// MaxKeyBytes and MaxValueBytes bound a record.
	MaxKeyBytes   = 200
	MaxValueBytes = 1 << 20
)

// NothingDone reports whether the error of a write says that the store has definitely not
// executed it, and won't execute it later.
func NothingDone(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRejected)
}

// CheckCommit returns ErrRejected, with the reason, for a Commit that is beyond the limits of a
// Store.
func CheckCommit(conditions []Condition, writes []Write) error {
	if entries := len(conditions) + len(writes); entries > MaxCommitEntries {
		return fmt.Errorf("%w: %d entries, and not %d at most", ErrRejected, entries, MaxCommitEntries)
	}
	for _, condition := range conditions {
		if len(condition.Key) > MaxKeyBytes {
			return fmt.Errorf("%w: a key of %d bytes, and not %d at most", ErrRejected, len(condition.Key), MaxKeyBytes)
		}
	}
	for _, write := range writes {
		if len(write.Key) > MaxKeyBytes || len(write.Value) > MaxValueBytes {
			return fmt.Errorf("%w: %.40s: a key of %d bytes and a value of %d, and not %d and %d at most", ErrRejected, write.Key, len(write.Key), len(write.Value), MaxKeyBytes, MaxValueBytes)
		}
	}
	return nil
}

// Lease identifies a lease that the store granted.
type Lease string

// Record is one value of the store.
type Record struct {
	Key   string
	Value []byte
	// Version is the store-wide revision of the last write to the record.
	Version uint64
	// Deleted marks a deletion in the result of a watch.
	Deleted bool
}

// Store is the platform's key-value service. It is used for small records only:
// configuration, leases and job heads. Each method makes one call, and calls are
// counted.
type Store interface {
	// Get returns the record at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys begin with prefix, and the
	// store-wide revision at which they were read.
	List(ctx context.Context, prefix string) ([]Record, uint64, error)
	// Swap is a compare-and-swap: it writes value if the record still has version;
	// zero means that the key doesn't exist. If lease is set, the record is deleted
	// when the lease ends. Swap returns the new version, or ErrConflict.
	Swap(ctx context.Context, key string, version uint64, value []byte, lease Lease) (uint64, error)
	// Delete deletes the record if it still has version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits at most wait for changes under prefix that are newer than the
	// store-wide revision after. It returns them and the revision from which the
	// next watch continues.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Record, uint64, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends the lease, or returns ErrNoLease.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends the lease and deletes its records.
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

// Condition requires that the record at Key has Version; zero means that the key
// doesn't exist.
type Condition struct {
	Key     string
	Version uint64
}

// Transactor is a Store with multi-record transactions.
type Transactor interface {
	Store
	// Commit atomically applies all writes if every condition holds. It returns the
	// version of the written records, or ErrConflict. It takes MaxCommitEntries at most.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (uint64, error)
}
