// Package store is a stand-in for the platform's key-value service.
//
// It keeps records in memory under one revision counter, with leases and
// watches, counts every call and can be made to fail as the platform's does:
// outage, slowness, replies lost after a write has taken effect, a rate cap.
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

// ErrOutage is returned while the store is made to fail.
var ErrOutage = errors.New("store: out of service")

// maxValue is the largest value, in bytes.
const maxValue = 1 << 20

// maxHistory bounds the deletions that watches can still see.
const maxHistory = 4096

// Faults says how the store misbehaves.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseReplies makes that many following writes take effect and fail.
	LoseReplies int
	// CallsPerSecond refuses calls above it; 0 is no cap.
	CallsPerSecond int
}

// Counts is the number of calls by kind.
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

// entry is a record and the lease it hangs on.
type entry struct {
	record agatestage.Record
	lease  agatestage.Lease
}

// Store is the stand-in. Its zero value is not usable; see New.
type Store struct {
	clock    agatestage.Clock
	mutex    sync.Mutex
	revision uint64
	entries  map[string]entry
	deleted  []agatestage.Record
	leases   map[agatestage.Lease]*lease
	changed  chan struct{}
	faults   Faults
	counts   Counts
	window   time.Time
	inWindow int
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

// Fail sets how the store misbehaves from now on.
func (store *Store) Fail(faults Faults) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.faults = faults
	store.wake()
}

// Counts returns the calls so far.
func (store *Store) Counts() Counts {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.counts
}

// begin counts a call and applies the faults that precede its effect.
func (store *Store) begin(ctx context.Context, counter *int64) error {
	store.mutex.Lock()
	*counter++
	faults := store.faults
	capped := store.overCap(faults.CallsPerSecond)
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
	if capped {
		return errors.New("store: too many calls")
	}
	return nil
}

func (store *Store) overCap(limit int) bool {
	if limit == 0 {
		return false
	}
	if now := store.clock.Now(); now.Sub(store.window) >= time.Second {
		store.window, store.inWindow = now, 0
	}
	store.inWindow++
	return store.inWindow > limit
}

// finish applies the loss of replies to a write that took effect.
func (store *Store) finish() error {
	if store.faults.LoseReplies > 0 {
		store.faults.LoseReplies--
		return errors.New("store: reply lost")
	}
	return nil
}

// wake releases the watches; the mutex is held.
func (store *Store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// expire removes lapsed leases; the mutex is held.
func (store *Store) expire() {
	now := store.clock.Now()
	for id, lease := range store.leases {
		if now.After(lease.expires) {
			store.drop(id)
		}
	}
}

func (store *Store) drop(id agatestage.Lease) {
	delete(store.leases, id)
	for key, entry := range store.entries {
		if entry.lease == id {
			store.remove(key)
		}
	}
}

func (store *Store) remove(key string) {
	store.revision++
	delete(store.entries, key)
	store.deleted = append(store.deleted, agatestage.Record{Key: key, Version: store.revision, Deleted: true})
	if len(store.deleted) > maxHistory {
		store.deleted = store.deleted[len(store.deleted)-maxHistory:]
	}
	store.wake()
}

// Get implements agatestage.Store.
func (store *Store) Get(ctx context.Context, key string) (agatestage.Record, error) {
	if err := store.begin(ctx, &store.counts.Reads); err != nil {
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
	if err := store.begin(ctx, &store.counts.Reads); err != nil {
		return nil, 0, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	return store.since(prefix, 0, false), store.revision, nil
}

// since returns the records under prefix that are newer than after, by key.
func (store *Store) since(prefix string, after uint64, deletions bool) (records []agatestage.Record) {
	for key, entry := range store.entries {
		if strings.HasPrefix(key, prefix) && entry.record.Version > after {
			records = append(records, entry.record)
		}
	}
	if deletions {
		for _, record := range store.deleted {
			if _, again := store.entries[record.Key]; !again && strings.HasPrefix(record.Key, prefix) && record.Version > after {
				records = append(records, record)
			}
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Version < records[j].Version })
	return records
}

// Swap implements agatestage.Store.
func (store *Store) Swap(ctx context.Context, key string, version uint64, value []byte, id agatestage.Lease) (uint64, error) {
	if err := store.begin(ctx, &store.counts.Writes); err != nil {
		return 0, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	if len(value) > maxValue {
		return 0, errors.Errorf("store: value of %d bytes is above %d", len(value), maxValue)
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
	store.wake()
	return store.revision, store.finish()
}

// Commit implements agatestage.Transactor.
func (store *Store) Commit(ctx context.Context, conditions []agatestage.Condition, writes []agatestage.Write) (uint64, error) {
	if err := store.begin(ctx, &store.counts.Writes); err != nil {
		return 0, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
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
				store.remove(write.Key)
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
	store.wake()
	return store.revision, store.finish()
}

// Delete implements agatestage.Store.
func (store *Store) Delete(ctx context.Context, key string, version uint64) error {
	if err := store.begin(ctx, &store.counts.Writes); err != nil {
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
	store.remove(key)
	return store.finish()
}

// Watch implements agatestage.Store.
func (store *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]agatestage.Record, uint64, error) {
	if err := store.begin(ctx, &store.counts.Watches); err != nil {
		return nil, 0, err
	}
	timer := store.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		store.expire()
		records, revision, changed, outage := store.since(prefix, after, true), store.revision, store.changed, store.faults.Outage
		store.mutex.Unlock()
		if outage {
			return nil, 0, ErrOutage
		}
		if len(records) > 0 {
			return records, revision, nil
		}
		lapse := store.clock.NewTimer(expiryPeriod)
		select {
		case <-ctx.Done():
			lapse.Stop()
			return nil, 0, ctx.Err()
		case <-timer.C():
			lapse.Stop()
			return nil, revision, nil
		case <-changed:
		case <-lapse.C():
		}
		lapse.Stop()
	}
}

// expiryPeriod is how often a waiting watch looks for lapsed leases.
const expiryPeriod = 100 * time.Millisecond

// Grant implements agatestage.Store.
func (store *Store) Grant(ctx context.Context, ttl time.Duration) (agatestage.Lease, error) {
	if err := store.begin(ctx, &store.counts.Leases); err != nil {
		return "", err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	id := agatestage.Lease(uuid.NewString())
	store.leases[id] = &lease{ttl: ttl, expires: store.clock.Now().Add(ttl)}
	return id, store.finish()
}

// Renew implements agatestage.Store.
func (store *Store) Renew(ctx context.Context, id agatestage.Lease) error {
	if err := store.begin(ctx, &store.counts.Leases); err != nil {
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
	if err := store.begin(ctx, &store.counts.Leases); err != nil {
		return err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.drop(id)
	return nil
}
