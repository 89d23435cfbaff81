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
	// lapseGrace is how long an entry that vanished while the store was away may
	// take to come back; the platform names about two seconds.
	lapseGrace = 2200 * time.Millisecond
	// sweepPeriod is how often entries in their grace are looked at.
	sweepPeriod = 200 * time.Millisecond
	// targetsPace is the least time between two polls of the list. It is taken off
	// the seconds that a leaving target still serves.
	targetsPace = 500 * time.Millisecond
)

// Targets follows the list of targets.
type Targets struct {
	store   agatestage.Store
	clock   agatestage.Clock
	prefix  string
	decode  func(record agatestage.Record) (agatestage.Endpoint, error)
	contact *Contact
	apply   func([]agatestage.Endpoint)
	mutex   sync.Mutex
	records map[string]agatestage.Record
	decoded map[string]agatestage.Endpoint
	// vanished holds when the entry of each target that is kept in its grace
	// must have come back.
	vanished map[string]time.Time
	listed   bool
}

// NewTargets returns a feed of the records under prefix, each of which decode
// translates. Apply takes the whole list after each change.
func NewTargets(store agatestage.Store, clock agatestage.Clock, prefix string, decode func(record agatestage.Record) (agatestage.Endpoint, error), contact *Contact, apply func([]agatestage.Endpoint)) *Targets {
	return &Targets{
		store: store, clock: clock, prefix: prefix, decode: decode, contact: contact, apply: apply,
		records: make(map[string]agatestage.Record), decoded: make(map[string]agatestage.Endpoint), vanished: make(map[string]time.Time),
	}
}

// Serve follows the store until ctx ends.
func (targets *Targets) Serve(ctx context.Context) error {
	go func() {
		// It ends with ctx only.
		_ = ticks.Every(ctx, targets.clock, sweepPeriod, func(context.Context) { targets.Sweep() })
	}()
	return watch.Follow(ctx, targets.store, targets.clock, targets.prefix, func(_ context.Context, records []agatestage.Record, whole bool) error {
		targets.contact.Heard()
		targets.Offer(records, whole)
		return nil
	}, watch.WithWait(pollWait), watch.WithMinInterval(targetsPace), watch.WithRetryWait(targets.contact.Retry), watch.WithErrorHandler(targets.contact.Failed))
}

// String names the service in logs.
func (targets *Targets) String() string {
	return "target list feed"
}

// Listed reports whether the whole list has been read once.
func (targets *Targets) Listed() bool {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	return targets.listed
}

// Records returns the records of the list for another gateway.
func (targets *Targets) Records() []agatestage.Record {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	records := make([]agatestage.Record, 0, len(targets.records))
	for _, record := range targets.records {
		records = append(records, record)
	}
	return records
}

// Digest returns a number that two gateways with the same records have in common.
func (targets *Targets) Digest() (sum uint64) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	for key, record := range targets.records {
		// A sum doesn't depend on the order.
		sum += xxhash.Sum64String(key + "@" + strconv.FormatUint(record.Version, 10))
	}
	return sum
}

// Offer takes records that have changed, or all of them.
func (targets *Targets) Offer(records []agatestage.Record, whole bool) {
	targets.mutex.Lock()
	changed := false
	if whole {
		changed = targets.dropUnlisted(records)
		targets.listed = true
	}
	for _, record := range records {
		changed = targets.take(record) || changed
	}
	list := targets.list()
	targets.mutex.Unlock()
	if changed {
		targets.apply(list)
	}
}

// dropUnlisted treats the entries that aren't in a whole list as removed.
func (targets *Targets) dropUnlisted(records []agatestage.Record) (changed bool) {
	there := make(map[string]bool, len(records))
	for _, record := range records {
		there[record.Key] = true
	}
	for key := range targets.decoded {
		if !there[key] {
			changed = targets.remove(key) || changed
		}
	}
	return changed
}

// take adopts one record; the mutex is held.
func (targets *Targets) take(record agatestage.Record) (changed bool) {
	if record.Deleted {
		return targets.remove(record.Key)
	}
	if known, ok := targets.records[record.Key]; ok && known.Version >= record.Version {
		delete(targets.vanished, record.Key)
		return false
	}
	targets.records[record.Key] = record
	delete(targets.vanished, record.Key)
	endpoint, err := targets.decode(record)
	if err != nil {
		klog.InfoS("target's entry names none to use", "key", record.Key, "version", record.Version, "error", err.Error())
		_, known := targets.decoded[record.Key]
		delete(targets.decoded, record.Key)
		return known
	}
	if targets.decoded[record.Key] == endpoint {
		return false
	}
	klog.InfoS("target listed", "target", endpoint.ID, "service", endpoint.Service, "address", endpoint.Address, "zone", endpoint.Zone,
		"draining", endpoint.Draining, "version", record.Version)
	targets.decoded[record.Key] = endpoint
	return true
}

// remove drops an entry, after its grace if the store has been away; the mutex
// is held.
func (targets *Targets) remove(key string) (changed bool) {
	endpoint, known := targets.decoded[key]
	if !known {
		delete(targets.records, key)
		return false
	}
	grace := targets.contact.settling(lapseGrace)
	if grace > 0 && !endpoint.Draining {
		if _, waiting := targets.vanished[key]; !waiting {
			targets.vanished[key] = targets.clock.Now().Add(grace)
			klog.InfoS("target's entry lapsed while the store was away", "target", endpoint.ID, "grace", grace)
		}
		return false
	}
	klog.InfoS("target gone", "target", endpoint.ID, "address", endpoint.Address)
	delete(targets.vanished, key)
	delete(targets.decoded, key)
	delete(targets.records, key)
	return true
}

// Sweep drops the entries whose grace has ended, unless the store is away.
func (targets *Targets) Sweep() {
	if targets.contact.Silent() > 0 {
		return
	}
	targets.mutex.Lock()
	now := targets.clock.Now()
	changed := false
	for key, until := range targets.vanished {
		if now.After(until) {
			klog.InfoS("target gone", "target", targets.decoded[key].ID, "reason", "its entry has not come back")
			delete(targets.vanished, key)
			delete(targets.decoded, key)
			delete(targets.records, key)
			changed = true
		}
	}
	list := targets.list()
	targets.mutex.Unlock()
	if changed {
		targets.apply(list)
	}
}

// list returns all targets; the mutex is held.
func (targets *Targets) list() []agatestage.Endpoint {
	list := make([]agatestage.Endpoint, 0, len(targets.decoded))
	for _, endpoint := range targets.decoded {
		list = append(list, endpoint)
	}
	return list
}
