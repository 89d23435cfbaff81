package feeds

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/state/watch"
)

const (
	// renewalGrace is how long after an outage a target may take to write its record
	// again if the record expired during the outage. The platform states about two
	// seconds.
	renewalGrace = 2200 * time.Millisecond
	// graceCheckPeriod is how often records in their grace period are checked.
	graceCheckPeriod = 200 * time.Millisecond
	// targetsPollInterval is the minimum time between two polls of the list. It delays the
	// news that a target is draining, which then serves for only a few more seconds.
	targetsPollInterval = 500 * time.Millisecond
	// maxRemovals bounds the removals that are remembered for other gateways.
	maxRemovals = 1000
)

// Targets watches the list of targets in the store.
type Targets struct {
	store       agatestage.Store
	clock       agatestage.Clock
	prefix      string
	decode      func(record agatestage.Record) (agatestage.Endpoint, error)
	storeHealth *StoreHealth
	apply       func([]agatestage.Endpoint)
	// applying serialises changes until they have been applied, as they come from the store and
	// from other gateways at the same time.
	applying sync.Mutex
	mutex    sync.Mutex
	records  map[string]agatestage.Record
	decoded  map[string]agatestage.Endpoint
	// graceEnds holds the end of the grace period of each record that has been removed from
	// the store but is still used here.
	graceEnds map[string]time.Time
	listed    bool
	duty      *Duty
	// lastChange is the store's revision of the newest change that is known. removed
	// holds the revisions at which records were removed lately.
	lastChange uint64
	removed    map[string]uint64
	// digest is that of the records, if digestKnown.
	digest      uint64
	digestKnown bool
	coldEntries
}

// NewTargets returns a Targets that watches the records under prefix, while the duty is
// on, and decodes each with decode. Apply is called with the whole list after each change; it must not offer records.
func NewTargets(store agatestage.Store, clock agatestage.Clock, prefix string, decode func(record agatestage.Record) (agatestage.Endpoint, error), storeHealth *StoreHealth, duty *Duty, apply func([]agatestage.Endpoint), options ...TargetsOption) *Targets {
	targets := &Targets{
		store: store, clock: clock, prefix: prefix, decode: decode, storeHealth: storeHealth, duty: duty, apply: apply, removed: make(map[string]uint64),
		records: make(map[string]agatestage.Record), decoded: make(map[string]agatestage.Endpoint), graceEnds: make(map[string]time.Time),
		coldEntries: newColdEntries(),
	}
	for _, option := range options {
		option(targets)
	}
	return targets
}

// Serve watches the store until ctx ends.
func (targets *Targets) Serve(ctx context.Context) error {
	go func() {
		// ticks.Every returns only when ctx ends.
		_ = ticks.Every(ctx, targets.clock, graceCheckPeriod, func(context.Context) { targets.DropExpired() })
	}()
	return watch.Follow(ctx, targets.store, targets.clock, targets.prefix, func(_ context.Context, records []agatestage.Record, whole bool) error {
		targets.storeHealth.RecordAnswer()
		targets.Offer(records, whole)
		return nil
	}, watch.WithGate(targets.duty.Await), watch.WithWait(pollWait), watch.WithMinInterval(targetsPollInterval), watch.WithRetryWait(targets.storeHealth.AwaitRetry), watch.WithErrorHandler(targets.storeHealth.RecordFailure))
}

// String names the service in logs.
func (targets *Targets) String() string {
	return "target list feed"
}

// Listed reports whether the whole list has been read at least once.
func (targets *Targets) Listed() bool {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	return targets.listed
}

// Changes returns the records of the list that have changed after a revision of the
// store, removed ones included, to be sent to another gateway. After revision 0 these are
// all records. A removal that this gateway doesn't know of either is missing; the
// digests differ then.
func (targets *Targets) Changes(after uint64) (records []agatestage.Record) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	inStore := func(key string) bool {
		_, listed := targets.records[key]
		_, inGrace := targets.graceEnds[key]
		return listed && !inGrace
	}
	for key, record := range targets.records {
		if record.Version > after && inStore(key) {
			records = append(records, record)
		}
	}
	for key, version := range targets.removed {
		if version > after && !inStore(key) {
			records = append(records, agatestage.Record{Key: key, Version: version, Deleted: true})
		}
	}
	return records
}

// Relist reads the whole list from the store once.
func (targets *Targets) Relist(ctx context.Context) error {
	records, _, err := targets.store.List(ctx, targets.prefix)
	if err != nil {
		return err
	}
	targets.Offer(records, true)
	return nil
}

// LastChange returns the store's revision of the newest change of the list that is known.
func (targets *Targets) LastChange() uint64 {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	return targets.lastChange
}

// Digest returns a number that is equal for two gateways with the same records.
func (targets *Targets) Digest() (sum uint64) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	if targets.digestKnown {
		return targets.digest
	}
	for key, record := range targets.records {
		// Records in their grace period have been removed from the store.
		if _, inGrace := targets.graceEnds[key]; !inGrace {
			// A sum is independent of the map's order.
			sum += xxhash.Sum64String(key + "@" + strconv.FormatUint(record.Version, 10))
		}
	}
	targets.digest, targets.digestKnown = sum, true
	return sum
}

// Offer applies records that have changed or, if whole is set, the whole list.
func (targets *Targets) Offer(records []agatestage.Record, whole bool) {
	targets.applying.Lock()
	defer targets.applying.Unlock()
	targets.mutex.Lock()
	changed := false
	targets.digestKnown = targets.digestKnown && !whole && len(records) == 0
	if whole {
		// The first list is applied also if it is empty: it tells later incarnations from earlier ones.
		changed = targets.dropUnlisted(records) || !targets.listed
		targets.listed = true
	}
	for _, record := range records {
		targets.lastChange = max(targets.lastChange, record.Version)
		if record.Deleted {
			targets.recordRemoval(record)
		}
		changed = targets.applyRecord(record) || changed
	}
	endpoints, cold := targets.endpoints(), targets.takeRenewed()
	targets.mutex.Unlock()
	if changed {
		targets.apply(endpoints)
	}
	targets.reportCold(cold)
}

// recordRemoval records a removal, and forgets all if there are too many; the mutex must
// be held.
func (targets *Targets) recordRemoval(record agatestage.Record) {
	if len(targets.removed) >= maxRemovals {
		clear(targets.removed)
	}
	targets.removed[record.Key] = record.Version
}

// dropUnlisted removes the records that aren't in a whole list.
func (targets *Targets) dropUnlisted(records []agatestage.Record) (changed bool) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = true
	}
	for key := range targets.records {
		if !present[key] {
			changed = targets.removeRecord(key) || changed
		}
	}
	return changed
}

// applyRecord applies one record unless a newer version is known; the mutex must be
// held.
func (targets *Targets) applyRecord(record agatestage.Record) (changed bool) {
	if record.Deleted {
		if targets.records[record.Key].Version > record.Version {
			// Another gateway's news of a removal before the record was written again.
			return false
		}
		return targets.removeRecord(record.Key)
	}
	known, listed := targets.records[record.Key]
	if listed && known.Version >= record.Version {
		delete(targets.graceEnds, record.Key)
		return false
	}
	delete(targets.graceEnds, record.Key)
	endpoint, err := targets.decode(record)
	if err != nil {
		// Its value, which may be large, is of no use here or at other gateways.
		record.Value = nil
	}
	targets.records[record.Key] = record
	_, used := targets.decoded[record.Key]
	if err != nil {
		// Its writer may write it again at any rate.
		if used || !listed {
			klog.InfoS("target's entry names none to use", "key", record.Key, "version", record.Version, "error", err.Error())
		}
		delete(targets.decoded, record.Key)
		return used
	}
	endpoint.ColdFor = targets.recordCold(record.Key, endpoint, targets.clock.Now())
	if targets.decoded[record.Key].Equal(endpoint) {
		return false
	}
	klog.InfoS("target listed", "target", endpoint.ID, "service", endpoint.Service, "address", endpoint.Address, "zone", endpoint.Zone,
		"draining", endpoint.Draining, "version", record.Version)
	targets.decoded[record.Key] = endpoint
	return true
}

// removeRecord removes a record, after its grace period if there has just been an
// outage, unless its target is draining. The mutex must be held.
func (targets *Targets) removeRecord(key string) (changed bool) {
	endpoint, known := targets.decoded[key]
	if !known {
		delete(targets.records, key)
		return false
	}
	grace := targets.storeHealth.remainingGrace(renewalGrace)
	if grace > 0 && !endpoint.Draining {
		if _, inGrace := targets.graceEnds[key]; !inGrace {
			targets.graceEnds[key] = targets.clock.Now().Add(grace)
			klog.InfoS("target's entry lapsed while the store was away", "target", endpoint.ID, "grace", grace)
		}
		return false
	}
	klog.InfoS("target gone", "target", endpoint.ID, "address", endpoint.Address)
	delete(targets.graceEnds, key)
	delete(targets.decoded, key)
	delete(targets.records, key)
	return true
}

// DropExpired removes the records whose grace period has ended, except during an outage.
func (targets *Targets) DropExpired() {
	if targets.storeHealth.StoreOutage() > 0 {
		return
	}
	targets.applying.Lock()
	defer targets.applying.Unlock()
	targets.mutex.Lock()
	now := targets.clock.Now()
	changed := false
	for key, until := range targets.graceEnds {
		if now.After(until) {
			klog.InfoS("target gone", "target", targets.decoded[key].ID, "reason", "its record was not written again in its grace period")
			delete(targets.graceEnds, key)
			delete(targets.decoded, key)
			delete(targets.records, key)
			changed = true
		}
	}
	targets.digestKnown = targets.digestKnown && !changed
	endpoints := targets.endpoints()
	targets.mutex.Unlock()
	if changed {
		targets.apply(endpoints)
	}
}

// endpoints returns all targets; the mutex must be held.
func (targets *Targets) endpoints() []agatestage.Endpoint {
	endpoints := make([]agatestage.Endpoint, 0, len(targets.decoded))
	now := targets.clock.Now()
	for key, endpoint := range targets.decoded {
		endpoint.ColdFor = targets.coldFor(key, now)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
