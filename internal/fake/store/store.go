// Package store implements a stand-in for the platform's key-value service.
//
// It keeps records in memory under one revision counter, with leases and watches, and
// counts all calls. It can inject the faults of the platform's service: outages,
// delays, replies lost after a write has taken effect, and a rate limit.
package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// ErrOutage is returned by all calls while Faults.Outage is set.
var ErrOutage = errors.New("store: out of service")

// The limits of the platform's service: the entries of a transaction, and the bytes of a
// key and of a value.
const (
	maxEntries    = 32
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
)

// maxDeletions is the number of latest deletions that watches can see.
const maxDeletions = 4096

// Faults describes the faults that the store injects.
type Faults struct {
	// Outage makes all calls fail without effect.
	Outage bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseReplies is the number of following writes that take effect but return an
	// error.
	LoseReplies int
	// CallsPerSecond is the rate above which calls fail; 0 is no limit.
	CallsPerSecond int
}

// Counts holds the number of calls of each kind.
type Counts struct {
	Reads   int64
	Writes  int64
	Watches int64
	Leases  int64
}

// lease is the state of one lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// entry is a record and the lease that it is bound to, if any.
type entry struct {
	record agatestage.Record
	lease  agatestage.Lease
}

// Store is the stand-in for the key-value service. Use New; the zero value is not
// usable.
type Store struct {
	clock       agatestage.Clock
	mutex       sync.Mutex
	revision    uint64
	entries     map[string]entry
	deleted     []agatestage.Record
	leases      map[agatestage.Lease]*lease
	changed     chan struct{}
	faults      Faults
	counts      Counts
	windowStart time.Time
	windowCalls int
}

// New returns an empty store.
func New(clock agatestage.Clock) *Store {
	return &Store{
		clock:   clock,
		entries: make(map[string]entry),
		leases:  make(map[agatestage.Lease]*lease),
		changed: make(chan struct{}),
	}
}

// SetFaults sets the faults of all following calls.
func (store *Store) SetFaults(faults Faults) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.faults = faults
	store.notifyWatches()
}

// Counts returns the number of calls so far.
func (store *Store) Counts() Counts {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.counts
}

// beginCall counts a call and applies the faults that come before its effect.
func (store *Store) beginCall(ctx context.Context, counter *int64) error {
	store.mutex.Lock()
	*counter++
	faults := store.faults
	limited := store.overLimit(faults.CallsPerSecond)
	store.mutex.Unlock()
	if faults.Delay > 0 {
		timer := store.clock.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C():
		}
	}
	if faults.Outage {
		return ErrOutage
	}
	if limited {
		return errors.New("store: too many calls")
	}
	return nil
}

func (store *Store) overLimit(limit int) bool {
	if limit == 0 {
		return false
	}
	if now := store.clock.Now(); now.Sub(store.windowStart) >= time.Second {
		store.windowStart, store.windowCalls = now, 0
	}
	store.windowCalls++
	return store.windowCalls > limit
}

// finishWrite applies LoseReplies to a write that has taken effect.
func (store *Store) finishWrite() error {
	if store.faults.LoseReplies > 0 {
		store.faults.LoseReplies--
		return errors.New("store: reply lost")
	}
	return nil
}

// notifyWatches wakes up all waiting watches. The caller holds the mutex.
func (store *Store) notifyWatches() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// expire removes expired leases and their records. The caller holds the mutex.
func (store *Store) expire() {
	now := store.clock.Now()
	for id, lease := range store.leases {
		if now.After(lease.expires) {
			store.dropLease(id)
		}
	}
}

func (store *Store) dropLease(id agatestage.Lease) {
	delete(store.leases, id)
	for key, entry := range store.entries {
		if entry.lease == id {
			store.removeKey(key)
		}
	}
}

func (store *Store) removeKey(key string) {
	store.revision++
	delete(store.entries, key)
	store.deleted = append(store.deleted, agatestage.Record{Key: key, Version: store.revision, Deleted: true})
	if len(store.deleted) > maxDeletions {
		store.deleted = store.deleted[len(store.deleted)-maxDeletions:]
	}
	store.notifyWatches()
}

// Get implements agatestage.Store.
func (store *Store) Get(ctx context.Context, key string) (agatestage.Record, error) {
	if err := store.beginCall(ctx, &store.counts.Reads); err != nil {
		return agatestage.Record{}, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	entry, ok := store.entries[key]
	if !ok {
		return agatestage.Record{}, agatestage.ErrNotFound
	}
	return entry.record, nil
}

// List implements agatestage.Store.
func (store *Store) List(ctx context.Context, prefix string) ([]agatestage.Record, uint64, error) {
	if err := store.beginCall(ctx, &store.counts.Reads); err != nil {
		return nil, 0, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	return store.changedSince(prefix, 0, false), store.revision, nil
}

// changedSince returns the records under prefix with a version greater than after,
// sorted by version, and the deletions if deletions is set.
func (store *Store) changedSince(prefix string, after uint64, deletions bool) (records []agatestage.Record) {
	for key, entry := range store.entries {
		if strings.HasPrefix(key, prefix) && entry.record.Version > after {
			records = append(records, entry.record)
		}
	}
	if deletions {
		for _, record := range store.deleted {
			if _, exists := store.entries[record.Key]; !exists && strings.HasPrefix(record.Key, prefix) && record.Version > after {
				records = append(records, record)
			}
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Version < records[j].Version })
	return records
}

// Swap implements agatestage.Store.
func (store *Store) Swap(ctx context.Context, key string, version uint64, value []byte, id agatestage.Lease) (uint64, error) {
	if err := store.beginCall(ctx, &store.counts.Writes); err != nil {
		return 0, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	if err := checkLimits([]agatestage.Condition{{Key: key}}, []agatestage.Write{{Key: key, Value: value}}); err != nil {
		return 0, err
	}
	if _, ok := store.leases[id]; id != "" && !ok {
		return 0, agatestage.ErrNoLease
	}
	if store.entries[key].record.Version != version {
		return 0, agatestage.ErrConflict
	}
	store.revision++
	record := agatestage.Record{Key: key, Value: append([]byte(nil), value...), Version: store.revision}
	store.entries[key] = entry{record: record, lease: id}
	store.notifyWatches()
	return store.revision, store.finishWrite()
}

// checkLimits returns the error of a transaction that the service takes in no state.
func checkLimits(conditions []agatestage.Condition, writes []agatestage.Write) error {
	if entries := len(conditions) + len(writes); entries > maxEntries {
		return errors.Wrapf(agatestage.ErrRejected, "a transaction of %d entries is above %d", entries, maxEntries)
	}
	for _, condition := range conditions {
		if len(condition.Key) > maxKeyBytes {
			return errors.Wrapf(agatestage.ErrRejected, "a key of %d bytes is above %d", len(condition.Key), maxKeyBytes)
		}
	}
	for _, write := range writes {
		if len(write.Key) > maxKeyBytes || len(write.Value) > maxValueBytes {
			return errors.Wrapf(agatestage.ErrRejected, "a record of %d and %d bytes is above %d or %d", len(write.Key), len(write.Value), maxKeyBytes, maxValueBytes)
		}
	}
	return nil
}

// Commit implements agatestage.Transactor.
func (store *Store) Commit(ctx context.Context, conditions []agatestage.Condition, writes []agatestage.Write) (uint64, error) {
	if err := store.beginCall(ctx, &store.counts.Writes); err != nil {
		return 0, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	if err := checkLimits(conditions, writes); err != nil {
		return 0, err
	}
	for _, condition := range conditions {
		if store.entries[condition.Key].record.Version != condition.Version {
			return 0, agatestage.ErrConflict
		}
	}
	for _, write := range writes {
		if _, ok := store.leases[write.Lease]; write.Lease != "" && !ok {
			return 0, agatestage.ErrNoLease
		}
	}
	for _, write := range writes {
		if write.Remove {
			if _, ok := store.entries[write.Key]; ok {
				store.removeKey(write.Key)
			}
		}
	}
	store.revision++
	for _, write := range writes {
		if !write.Remove {
			record := agatestage.Record{Key: write.Key, Value: append([]byte(nil), write.Value...), Version: store.revision}
			store.entries[write.Key] = entry{record: record, lease: write.Lease}
		}
	}
	store.notifyWatches()
	return store.revision, store.finishWrite()
}

// Delete implements agatestage.Store.
func (store *Store) Delete(ctx context.Context, key string, version uint64) error {
	if err := store.beginCall(ctx, &store.counts.Writes); err != nil {
		return err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	entry, ok := store.entries[key]
	if !ok {
		return agatestage.ErrNotFound
	}
	if entry.record.Version != version {
		return agatestage.ErrConflict
	}
	store.removeKey(key)
	return store.finishWrite()
}

// Watch implements agatestage.Store.
func (store *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]agatestage.Record, uint64, error) {
	if err := store.beginCall(ctx, &store.counts.Watches); err != nil {
		return nil, 0, err
	}
	timer := store.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		store.expire()
		records, revision, changed, outage := store.changedSince(prefix, after, true), store.revision, store.changed, store.faults.Outage
		store.mutex.Unlock()
		if outage {
			return nil, 0, ErrOutage
		}
		if len(records) > 0 {
			return records, revision, nil
		}
		expiry := store.clock.NewTimer(expiryInterval)
		select {
		case <-ctx.Done():
			expiry.Stop()
			return nil, 0, ctx.Err()
		case <-timer.C():
			expiry.Stop()
			return nil, revision, nil
		case <-changed:
		case <-expiry.C():
		}
		expiry.Stop()
	}
}

// expiryInterval is the time between a waiting watch's checks for expired leases.
const expiryInterval = 100 * time.Millisecond

// Grant implements agatestage.Store.
func (store *Store) Grant(ctx context.Context, ttl time.Duration) (agatestage.Lease, error) {
	if err := store.beginCall(ctx, &store.counts.Leases); err != nil {
		return "", err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	id := agatestage.Lease(uuid.NewString())
	store.leases[id] = &lease{ttl: ttl, expires: store.clock.Now().Add(ttl)}
	return id, store.finishWrite()
}

// Renew implements agatestage.Store.
func (store *Store) Renew(ctx context.Context, id agatestage.Lease) error {
	if err := store.beginCall(ctx, &store.counts.Leases); err != nil {
		return err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	lease, ok := store.leases[id]
	if !ok {
		return agatestage.ErrNoLease
	}
	lease.expires = store.clock.Now().Add(lease.ttl)
	return nil
}

// Revoke implements agatestage.Store.
func (store *Store) Revoke(ctx context.Context, id agatestage.Lease) error {
	if err := store.beginCall(ctx, &store.counts.Leases); err != nil {
		return err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.dropLease(id)
	return nil
}
