package batch

import (
	"container/list"
	"time"
)

const (
	// maxSnapshotBytes bounds the inputs and results of all cached jobs. The smallest gateways
	// have 184 MB for all that they do.
	maxSnapshotBytes = 24 << 20
	// maxSnapshots bounds their number.
	maxSnapshots = 2000
	// snapshotOverhead is the assumed size of a cached job, an item or a result beside their bytes.
	snapshotOverhead = 256
)

// snapshot is the cached input and results of a job that this gateway doesn't own, or that
// has ended here.
type snapshot struct {
	id      string
	results []Result
	chunks  int
	items   []Item
	// confirmedAt is when the job's owner or the store was last asked whether there are
	// more results.
	confirmedAt time.Time
	bytes       int
}

// size returns the memory that a snapshot takes, about.
func (snapshot *snapshot) size() int {
	size := snapshotOverhead * (1 + len(snapshot.items) + len(snapshot.results))
	for _, item := range snapshot.items {
		size += len(item.Body)
	}
	for _, result := range snapshot.results {
		size += len(result.Output)
	}
	return size
}

// snapshotCache holds the snapshots that were used last. What it no longer holds is read again
// from the job's owner or from the store. It isn't safe for concurrent use.
type snapshotCache struct {
	jobs map[string]*list.Element
	// order has the snapshots, those that were used last at its front.
	order list.List
	bytes int
	// maxBytes is maxSnapshotBytes, or less on hosts with little memory.
	maxBytes int
}

func newSnapshotCache() *snapshotCache {
	return &snapshotCache{jobs: make(map[string]*list.Element), maxBytes: maxSnapshotBytes}
}

// get returns what is cached of a job, which may be nothing. It must not be changed.
func (snapshotCache *snapshotCache) get(id string) snapshot {
	if element := snapshotCache.jobs[id]; element != nil {
		snapshotCache.order.MoveToFront(element)
		return *element.Value.(*snapshot)
	}
	return snapshot{}
}

// setItems caches the items of a job.
func (snapshotCache *snapshotCache) setItems(id string, items []Item) {
	snapshotCache.change(id, func(cached *snapshot) { cached.items = items })
}

// confirm caches the results that a job had at a given time, unless more are cached.
func (snapshotCache *snapshotCache) confirm(id string, results []Result, chunks int, at time.Time) {
	snapshotCache.change(id, func(cached *snapshot) {
		if len(cached.results) > len(results) {
			return
		}
		cached.results, cached.chunks = results, chunks
		if at.After(cached.confirmedAt) {
			cached.confirmedAt = at
		}
	})
}

// change changes the snapshot of a job, and drops those that were used longest ago if all are
// too large or too many then.
func (snapshotCache *snapshotCache) change(id string, change func(*snapshot)) {
	element := snapshotCache.jobs[id]
	if element == nil {
		element = snapshotCache.order.PushFront(&snapshot{id: id})
		snapshotCache.jobs[id] = element
	}
	snapshotCache.order.MoveToFront(element)
	cached := element.Value.(*snapshot)
	change(cached)
	snapshotCache.bytes -= cached.bytes
	cached.bytes = cached.size()
	snapshotCache.bytes += cached.bytes
	for snapshotCache.bytes > snapshotCache.maxBytes || len(snapshotCache.jobs) > maxSnapshots {
		snapshotCache.remove(snapshotCache.order.Back())
	}
}

func (snapshotCache *snapshotCache) remove(element *list.Element) {
	dropped := snapshotCache.order.Remove(element).(*snapshot)
	snapshotCache.bytes -= dropped.bytes
	delete(snapshotCache.jobs, dropped.id)
}
