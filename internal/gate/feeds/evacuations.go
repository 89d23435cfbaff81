package feeds

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

// maxZoneBytes bounds the names of evacuated zones, which are part of each state that gateways
// send in packets of at most 1,200 bytes.
const maxZoneBytes = 480

// Evacuations holds the availability zones that operators have evacuated, and the store's
// revision as of which they are the evacuated ones. Zones as of a higher revision replace those
// of a lower one, whether they come from the store or from another gateway.
type Evacuations struct {
	prefix string
	apply  func(zones []string, announce bool)
	// applying serialises calls of apply, so that the last one has the zones in force.
	applying sync.Mutex
	mutex    sync.Mutex
	zones    map[string]bool
	revision uint64
	// read is true once the zones have been read from the store.
	read bool
}

// NewEvacuations returns an Evacuations that knows nothing yet. A zone is evacuated while the
// store has a record whose key is the prefix and the zone's name. Apply is called with the
// zones once they are known and after each change; announce says that the news comes from the
// store, so that other gateways may lack it.
func NewEvacuations(prefix string, apply func(zones []string, announce bool)) *Evacuations {
	return &Evacuations{prefix: prefix, apply: apply, zones: make(map[string]bool)}
}

// Known reports whether the evacuated zones are known, from whatever source.
func (evacuations *Evacuations) Known() bool {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	return evacuations.revision > 0
}

// Read reports whether the evacuated zones have been read from the store.
func (evacuations *Evacuations) Read() bool {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	return evacuations.read
}

// State returns the evacuated zones in alphabetical order and the store's revision as of which
// they are known; 0 if they aren't.
func (evacuations *Evacuations) State() (zones []string, revision uint64) {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	return evacuations.inForce(), evacuations.revision
}

// Offer applies the zones that another gateway knows, if they are newer.
func (evacuations *Evacuations) Offer(zones []string, revision uint64, gateway string) {
	evacuations.mutex.Lock()
	known := evacuations.revision
	evacuations.mutex.Unlock()
	if revision <= known {
		// Each report has the zones, nearly always the known ones.
		return
	}
	evacuations.update(gateway, func() bool {
		if revision <= evacuations.revision {
			return false
		}
		evacuations.zones, evacuations.revision = make(map[string]bool, len(zones)), revision
		for _, zone := range zones {
			evacuations.zones[zone] = true
		}
		return true
	})
}

// offerRecords applies records of the store: all as of a revision if whole is true, or those
// that have changed. Others than the records of evacuations are ignored.
func (evacuations *Evacuations) offerRecords(records []agatestage.Record, whole bool, revision uint64) {
	evacuations.update("store", func() bool {
		evacuations.read = evacuations.read || whole
		if whole {
			// The store has no revision before its first write.
			if revision = max(1, revision); revision < evacuations.revision {
				return false
			}
			clear(evacuations.zones)
			evacuations.revision = revision
		}
		newest := evacuations.revision
		for _, record := range records {
			zone, ok := evacuations.zoneOf(record)
			if !ok || !whole && record.Version <= evacuations.revision {
				continue
			}
			newest = max(newest, record.Version)
			if record.Deleted {
				delete(evacuations.zones, zone)
			} else {
				evacuations.zones[zone] = true
			}
		}
		if !whole {
			// Later pages of a list may be newer than its revision, but not complete as of that.
			evacuations.revision = newest
		}
		return true
	})
}

// zoneOf returns the zone of an evacuation's record.
func (evacuations *Evacuations) zoneOf(record agatestage.Record) (zone string, ok bool) {
	zone, ok = strings.CutPrefix(record.Key, evacuations.prefix)
	return zone, ok && zone != ""
}

// update changes what is known, and applies and logs the change. Change returns false if it
// changes nothing.
func (evacuations *Evacuations) update(source string, change func() bool) {
	evacuations.applying.Lock()
	defer evacuations.applying.Unlock()
	evacuations.mutex.Lock()
	before, knownBefore := evacuations.inForce(), evacuations.revision > 0
	if !change() {
		evacuations.mutex.Unlock()
		return
	}
	after, revision, total := evacuations.inForce(), evacuations.revision, len(evacuations.zones)
	evacuations.mutex.Unlock()
	if knownBefore && slices.Equal(before, after) {
		return
	}
	for _, zone := range after {
		if !slices.Contains(before, zone) {
			metrics.GetOrCreateCounter("agatestage_evacuations_begun_total").Inc()
			klog.InfoS("zone evacuated", "zone", zone, "revision", revision, "source", source)
		}
	}
	for _, zone := range before {
		if !slices.Contains(after, zone) {
			metrics.GetOrCreateCounter("agatestage_evacuations_ended_total").Inc()
			klog.InfoS("zone no longer evacuated", "zone", zone, "revision", revision, "source", source)
		}
	}
	if len(after) < total {
		klog.ErrorS(nil, "evacuations ignored, as their names are too long together", "ignored", total-len(after), "bytes", maxZoneBytes)
	}
	evacuations.apply(after, source == "store" && knownBefore)
}

// inForce returns the zones in alphabetical order, as far as their names fit into a state: the
// shortest ones first, so that one wrong key doesn't displace all zones. The mutex must be held.
func (evacuations *Evacuations) inForce() []string {
	zones := slices.SortedFunc(maps.Keys(evacuations.zones), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b))
	})
	size := 0
	for i, zone := range zones {
		// A name is encoded with up to two bytes of its length.
		if size += len(zone) + 2; size > maxZoneBytes {
			zones = zones[:i]
			break
		}
	}
	slices.Sort(zones)
	return zones
}
