package heads

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/state/watch"
)

const (
	prefix    = "job/"
	keyPrefix = "jobkey/"
	// maxRetries bounds the retries of a write whose outcome is unknown because
	// its reply was lost.
	maxRetries = 5
	retryPause = 200 * time.Millisecond
)

// Entry is a head and the version of its record in the store.
type Entry struct {
	Head    Head
	Version uint64
}

// Registry caches all heads by watching the store, and writes them by
// compare-and-swap. The cached heads stay readable while the store is
// unavailable.
type Registry struct {
	store   agatestage.Store
	clock   agatestage.Clock
	mutex   sync.Mutex
	entries map[string]Entry
	// ready is set once all heads have been read.
	ready bool
	// lastAnswer is when the store last answered.
	lastAnswer time.Time
	changed    chan struct{}
}

// New returns an empty registry.
func New(store agatestage.Store, clock agatestage.Clock) *Registry {
	return &Registry{store: store, clock: clock, entries: make(map[string]Entry), changed: make(chan struct{})}
}

// Changed returns a channel that is closed when any head changes next.
func (registry *Registry) Changed() <-chan struct{} {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.changed
}

// Ready reports whether all heads have been read, and when the store last
// answered.
func (registry *Registry) Ready() (bool, time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.ready, registry.lastAnswer
}

// Get returns a head from the cache.
func (registry *Registry) Get(id string) (Entry, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	entry, ok := registry.entries[id]
	return entry, ok
}

// All returns all cached heads.
func (registry *Registry) All() []Entry {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	entries := make([]Entry, 0, len(registry.entries))
	for _, entry := range registry.entries {
		entries = append(entries, entry)
	}
	return entries
}

// Serve watches the store until ctx ends.
func (registry *Registry) Serve(ctx context.Context) error {
	return watch.Follow(ctx, registry.store, registry.clock, prefix, func(_ context.Context, records []agatestage.Record, complete bool) error {
		registry.apply(records, complete)
		return nil
	})
}

// String names the service in logs.
func (registry *Registry) String() string {
	return "job heads"
}

// apply updates the cache from changed records, or from a complete listing if
// complete is set.
func (registry *Registry) apply(records []agatestage.Record, complete bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if complete {
		registry.dropUnlisted(records)
	}
	for _, record := range records {
		registry.update(record)
	}
	registry.ready, registry.lastAnswer = true, registry.clock.Now()
	if len(records) > 0 || complete {
		registry.notify()
	}
}

// dropUnlisted removes heads that were deleted while the watch was interrupted;
// the mutex is held.
func (registry *Registry) dropUnlisted(records []agatestage.Record) {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		listed[record.Key[len(prefix):]] = true
	}
	for id := range registry.entries {
		if !listed[id] {
			delete(registry.entries, id)
		}
	}
}

// update updates the cache from a record unless the cached version is newer; the
// mutex is held.
func (registry *Registry) update(record agatestage.Record) {
	id := record.Key[len(prefix):]
	if record.Version < registry.entries[id].Version {
		return
	}
	if record.Deleted {
		delete(registry.entries, id)
		return
	}
	head, err := Decode(record.Value)
	if err != nil {
		klog.ErrorS(err, "job head is not readable", "job", id)
		return
	}
	registry.entries[id] = Entry{Head: head, Version: record.Version}
}

func (registry *Registry) notify() {
	close(registry.changed)
	registry.changed = make(chan struct{})
}

// Fetch reads a head from the store and updates the cache.
func (registry *Registry) Fetch(ctx context.Context, id string) (Entry, error) {
	record, err := registry.store.Get(ctx, prefix+id)
	if err != nil {
		return Entry{}, err
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.update(record)
	registry.notify()
	return registry.entries[id], nil
}

// Swap replaces a head if its record still has the given version; version 0
// creates it. When a reply is lost, Swap reads the record back and counts the
// write as successful if the stored value is the one it wrote. ErrConflict is
// definite, as is ErrRejected; after any other error the head may have been written.
func (registry *Registry) Swap(ctx context.Context, head Head, version uint64) (Entry, error) {
	data, err := head.Encode()
	if err != nil {
		return Entry{}, err
	}
	written, err := registry.store.Swap(ctx, prefix+head.ID, version, data, "")
	for try := 0; err != nil && !errors.Is(err, agatestage.ErrConflict) && !errors.Is(err, agatestage.ErrRejected) && try < maxRetries; try++ {
		record, readErr := registry.store.Get(ctx, prefix+head.ID)
		if readErr == nil && string(record.Value) == string(data) {
			written, err = record.Version, nil
			break
		}
		if readErr == nil && record.Version != version {
			err = agatestage.ErrConflict
			break
		}
		ticks.Wait(ctx, registry.clock, retryPause)
		if ctx.Err() != nil {
			return Entry{}, err
		}
		written, err = registry.store.Swap(ctx, prefix+head.ID, version, data, "")
	}
	if errors.Is(err, agatestage.ErrConflict) {
		return registry.resolveConflict(ctx, head, data)
	}
	if err != nil {
		return Entry{}, err
	}
	return registry.set(Entry{Head: head, Version: written}), nil
}

// resolveConflict distinguishes a conflict with another writer from one with this
// registry's own write whose reply was lost. It succeeds in the latter case.
func (registry *Registry) resolveConflict(ctx context.Context, head Head, data []byte) (Entry, error) {
	record, err := registry.store.Get(ctx, prefix+head.ID)
	if err == nil && string(record.Value) == string(data) {
		return registry.set(Entry{Head: head, Version: record.Version}), nil
	}
	return Entry{}, agatestage.ErrConflict
}

func (registry *Registry) set(entry Entry) Entry {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if entry.Version >= registry.entries[entry.Head.ID].Version {
		registry.entries[entry.Head.ID] = entry
	}
	registry.notify()
	return entry
}

// Delete removes a head.
func (registry *Registry) Delete(ctx context.Context, entry Entry) error {
	if err := registry.store.Delete(ctx, prefix+entry.Head.ID, entry.Version); err != nil {
		return err
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	delete(registry.entries, entry.Head.ID)
	registry.notify()
	return nil
}

// Key is the stored record of an idempotency key.
type Key struct {
	Job    string
	Digest string
}

// BindKey binds an idempotency key to a job. If the key is already bound, BindKey
// returns the existing binding.
func (registry *Registry) BindKey(ctx context.Context, name string, key Key) (Key, error) {
	data, err := json.Marshal(key)
	if err != nil {
		return Key{}, errors.Wrap(err, "encode idempotency key")
	}
	for range maxRetries {
		if _, err = registry.store.Swap(ctx, keyPrefix+name, 0, data, ""); err == nil {
			return key, nil
		}
		record, readErr := registry.store.Get(ctx, keyPrefix+name)
		if readErr == nil {
			var existing Key
			return existing, errors.Wrap(json.Unmarshal(record.Value, &existing), "decode idempotency key")
		}
	}
	return Key{}, err
}

// RebindKey moves an idempotency key from a job that was never created to another
// one. It returns ErrConflict if the key is bound to neither.
func (registry *Registry) RebindKey(ctx context.Context, name string, from, to Key) error {
	record, err := registry.store.Get(ctx, keyPrefix+name)
	if err != nil {
		return err
	}
	var existing Key
	if err = json.Unmarshal(record.Value, &existing); err != nil {
		return errors.Wrap(err, "decode idempotency key")
	}
	if existing == to {
		return nil
	}
	if existing != from {
		return agatestage.ErrConflict
	}
	var data []byte
	if data, err = json.Marshal(to); err != nil {
		return errors.Wrap(err, "encode idempotency key")
	}
	_, err = registry.store.Swap(ctx, keyPrefix+name, record.Version, data, "")
	return err
}

// UnbindKey deletes an idempotency key; called when its job is removed.
func (registry *Registry) UnbindKey(ctx context.Context, name string) error {
	record, err := registry.store.Get(ctx, keyPrefix+name)
	if err != nil {
		return err
	}
	return registry.store.Delete(ctx, keyPrefix+name, record.Version)
}
