package rules

import (
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

// Holder holds the snapshot in force in this process. The version never decreases,
// whichever source a snapshot comes from.
type Holder struct {
	current atomic.Pointer[Snapshot]
	mutex   sync.Mutex
	changed []func(*Snapshot)
}

// NewHolder returns a holder without a snapshot.
func NewHolder() *Holder {
	return &Holder{}
}

// Current returns the snapshot in force, or nil before the first.
func (holder *Holder) Current() *Snapshot {
	return holder.current.Load()
}

// Version returns the version in force, or 0 before the first.
func (holder *Holder) Version() uint64 {
	if snapshot := holder.current.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}

// OnChange registers a function that is called with each snapshot that comes into
// force.
func (holder *Holder) OnChange(changed func(*Snapshot)) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.changed = append(holder.changed, changed)
}

// Offer puts the snapshot in force unless the version in force is the same or
// higher. It reports whether it did.
func (holder *Holder) Offer(snapshot *Snapshot, source string) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if before := holder.Version(); snapshot.Version() <= before {
		klog.V(1).InfoS("configuration ignored, as it is not newer than the one in force", "version", snapshot.Version(), "inForce", before, "source", source)
		return false
	}
	before := holder.Version()
	holder.current.Store(snapshot)
	klog.InfoS("configuration in force", "version", snapshot.Version(), "before", before, "source", source,
		"routes", len(snapshot.content.Routes), "services", len(snapshot.content.Services), "organisations", len(snapshot.content.Organisations))
	for _, changed := range holder.changed {
		changed(snapshot)
	}
	return true
}

// Rate implements agatestage.RateSource.
func (holder *Holder) Rate(organisation string) (agatestage.Rate, bool) {
	snapshot := holder.Current()
	if snapshot == nil {
		return agatestage.Rate{}, false
	}
	found, ok := snapshot.Organisation(organisation)
	return found.Rate, ok
}
