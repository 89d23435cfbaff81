package batch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// source is where the results of a page come from.
type source string

// The sources of pages: the job that runs here, the job's owner, the cache and the store.
const (
	sourceOwn   source = "own"
	sourceOwner source = "owner"
	sourceCache source = "cache"
	sourceStore source = "store"
)

// shortPagePeriod is the minimum time between two lines about short pages.
const shortPagePeriod = time.Second

// listing is a job's head and the results that are shown with it.
type listing struct {
	versionedHead
	results []Result
	source  source
}

// recordPage counts a page and logs that this gateway shows fewer results than it has
// known the job to have.
func (manager *Manager) recordPage(listing listing) {
	metrics.GetOrCreateCounter(`agatestage_batch_pages_total{source="` + string(listing.source) + `"}`).Inc()
	now := manager.clock.Now()
	manager.mutex.Lock()
	known := manager.heads[listing.ID]
	short := len(listing.results) < known.Results && now.Sub(manager.shortPageAt) >= shortPagePeriod
	if short {
		manager.shortPageAt = now
	}
	manager.mutex.Unlock()
	if short {
		klog.InfoS("fewer results shown than known", "job", listing.ID, "results", len(listing.results), "known", known.Results, "source", listing.source,
			"owner", listing.Owner, "epoch", listing.Epoch, "knownOwner", known.Owner, "knownEpoch", known.Epoch, "version", listing.version)
	}
}
