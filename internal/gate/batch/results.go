package batch

import (
	"cmp"
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

// Page is one page of a job's results: Total is the number of the job's items, Next
// the offset of the next page.
type Page struct {
	Total   int
	Next    int
	Results []Result
}

// Peers exchanges jobs with other gateways.
type Peers interface {
	// QueryJob requests the head of a job and its results from an offset on from the
	// job's owner. It returns false if the gateway can't be reached or isn't the owner.
	QueryJob(ctx context.Context, owner, id string, after int) (Answer, bool)
	// HeadChanged sends the owner of a job the head that has been written. Owners also
	// see it in their next poll of the heads.
	HeadChanged(owner string, handover Handover)
	// Submit forwards a job to a gateway and returns the record of the job's head. After
	// an error other than a *agatestage.Refusal the job may or may not have been accepted.
	Submit(ctx context.Context, gateway string, spec Spec) (agatestage.Record, error)
}

// Handover is sent by a gateway that has written the head of a job to the job's owner,
// so that the owner needs no call to the store.
type Handover struct {
	// Record is the record of the head.
	Record agatestage.Record
	// Whole means that the job itself is handed over, with its items, results and
	// progress.
	Whole bool
	// TakeOver means that the recipient is to run the job, unless it does already: the
	// job's owner is lost, or the recipient owns it and may not know.
	TakeOver bool
	Items    []Item
	Results  []Result
	Progress []Progress
}

// noPeers implements Peers for a gateway that reaches no other.
type noPeers struct{}

// QueryJob implements Peers.
func (noPeers) QueryJob(context.Context, string, string, int) (Answer, bool) { return Answer{}, false }

// HeadChanged implements Peers.
func (noPeers) HeadChanged(string, Handover) {}

// Submit implements Peers.
func (noPeers) Submit(context.Context, string, Spec) (agatestage.Record, error) {
	return agatestage.Record{}, agatestage.Refuse(agatestage.CodeStore, "this gateway reaches no other")
}

// Answer is the owner's reply to QueryJob.
type Answer struct {
	Head    Head
	Version uint64
	Results []Result
}

// defaultResultsWait limits the wait for a result. Callers that want to wait longer ask again.
const defaultResultsWait = 5 * time.Second

// WithResultsWait limits how long Results waits; zero means five seconds.
func WithResultsWait(limit time.Duration) Option {
	return func(manager *Manager) { manager.resultsWait = limit }
}

// limitWait returns how long a read of results may wait.
func (manager *Manager) limitWait(wait time.Duration) time.Duration {
	limit := cmp.Or(manager.resultsWait, defaultResultsWait)
	if wait <= limit {
		return wait
	}
	metrics.GetOrCreateCounter("agatestage_batch_waits_limited_total").Inc()
	return limit
}

// Results returns the results from an offset on. If there are none yet, it waits
// for some, at most for the given time, the configured limit and until left is closed.
func (manager *Manager) Results(ctx context.Context, organisation, id string, offset int, wait time.Duration, left <-chan struct{}) (Page, error) {
	deadline := manager.clock.Now().Add(manager.limitWait(wait))
	for {
		page, changed, err := manager.page(ctx, organisation, id, offset)
		remaining := deadline.Sub(manager.clock.Now())
		if err != nil || len(page.Results) > 0 || offset >= page.Total || remaining <= 0 || changed == nil {
			return page, err
		}
		timer := manager.clock.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C():
		case <-left:
			deadline = manager.clock.Now()
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return page, nil
		}
	}
}

// page returns the stored results from an offset on and a channel that is
// closed when there may be more. The channel is nil if there will be no more.
func (manager *Manager) page(ctx context.Context, organisation, id string, offset int) (Page, <-chan struct{}, error) {
	head, err := manager.findHead(ctx, organisation, id)
	if err != nil {
		return Page{}, nil, err
	}
	manager.mutex.Lock()
	job, changed := manager.jobs[id], (<-chan struct{})(manager.changed)
	manager.mutex.Unlock()
	shown := listing{source: sourceOwn}
	switch owned := job != nil && job.isOwned(head); {
	case owned:
		shown.versionedHead, shown.results, changed = job.snapshot()
	case job != nil && manager.fleet.StoreOutage() > 0:
		shown, err = job.ownListing(offset)
	default:
		shown, err = manager.remoteResults(ctx, head, offset)
	}
	if err != nil {
		return Page{}, nil, err
	}
	manager.recordPage(shown)
	if !shown.Open() {
		changed = nil
	}
	return buildPage(shown.Head, shown.results, offset), changed, nil
}

// maxPageBytes bounds the results of one page, which has at least one result.
const maxPageBytes = 1 << 20

// buildPage returns the results from an offset on that fit into one page.
func buildPage(head Head, results []Result, offset int) Page {
	page := Page{Total: head.Items, Next: offset}
	size := 0
	for i := offset; i >= 0 && i < len(results); i++ {
		if size += len(results[i].Output); size > maxPageBytes && i > offset {
			break
		}
		page.Results = append(page.Results, results[i])
		page.Next = i + 1
	}
	return page
}

// remoteResults returns the results of a job that this gateway doesn't own: from the
// cache, else from the job's owner, else from the store.
func (manager *Manager) remoteResults(ctx context.Context, head versionedHead, offset int) (listing, error) {
	askedAt := manager.clock.Now()
	manager.mutex.Lock()
	cached := manager.snapshots.get(head.ID)
	results, chunks := cached.results, cached.chunks
	uncached := !manager.mayCache(head.Head)
	if uncached {
		// Results before the offset aren't shown, so that they aren't asked for again.
		results, chunks = make([]Result, min(max(0, offset), head.Results)), 0
	}
	confirmed := askedAt.Sub(cached.confirmedAt) < headFreshFor
	fresh := askedAt.Sub(manager.headsConfirmedAt) < headFreshFor && head.Owner != manager.name
	manager.mutex.Unlock()
	// The cache must hold all results that the head counts, so that a caller that reads
	// from the beginning again gets them all.
	complete := len(results) >= head.Results
	if complete && (!head.Open() || len(results) > offset && (confirmed || fresh)) {
		return listing{versionedHead: head, results: results, source: sourceCache}, nil
	}
	if head.Owner != "" && head.Owner != manager.name {
		if answer, ok := manager.peers.QueryJob(ctx, head.Owner, head.ID, len(results)); ok && answer.Head.Results >= len(results) && manager.isNews(answer) {
			return manager.cacheAnswer(results, answer, askedAt), nil
		}
	}
	if complete && len(results) > offset && manager.fleet.StoreOutage() > 0 {
		return listing{versionedHead: head, results: results, source: sourceCache}, nil
	}
	observed, more, err := manager.readNewResults(ctx, head, chunks, fresh)
	if err != nil && len(results) > offset {
		klog.InfoS("store unavailable; results answered from the cache", "job", head.ID, "results", len(results), "of", head.Results, "error", err.Error())
		return listing{versionedHead: head, results: results, source: sourceCache}, nil
	}
	if err != nil {
		return listing{}, storeRefusal("the job's results can't be looked up now", err)
	}
	if uncached {
		results = nil
	}
	results = append(results[:len(results):len(results)], more...)
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.cacheHeadLocked(observed)
	if uncached {
		return listing{versionedHead: observed, results: results, source: sourceStore}, nil
	}
	// Another read, of an older or a newer head, may have ended meanwhile.
	manager.snapshots.confirm(head.ID, results, observed.Chunks, askedAt)
	return listing{versionedHead: observed, results: results, source: sourceStore}, nil
}

// isNews reports whether an owner's answer has all results that this gateway knows of.
func (manager *Manager) isNews(answer Answer) bool {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	return answer.Head.Results >= manager.heads[answer.Head.ID].Results
}

// readNewResults reads the chunks of results from a chunk on from the store. It first
// reads the head, unless the cached one is fresh.
func (manager *Manager) readNewResults(ctx context.Context, head versionedHead, from int, fresh bool) (versionedHead, []Result, error) {
	if !fresh || head.Chunks < from {
		var err error
		if head, err = manager.jobStore.head(ctx, head.ID); err != nil {
			return head, nil, err
		}
	}
	more, err := manager.jobStore.results(ctx, head.Head, from, manager.clock.Now())
	return head, more, err
}

// cacheAnswer caches the answer of a job's owner to a query after the known results, which
// was sent at a given time.
func (manager *Manager) cacheAnswer(known []Result, answer Answer, askedAt time.Time) listing {
	results := append(known[:len(known):len(known)], answer.Results...)
	observed := versionedHead{Head: answer.Head, version: answer.Version}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.cacheHeadLocked(observed)
	if len(results) == answer.Head.Results && manager.mayCache(answer.Head) {
		manager.snapshots.confirm(observed.ID, results, answer.Head.Chunks, askedAt)
	}
	return listing{versionedHead: observed, results: results, source: sourceOwner}
}

// AnswerQuery answers another gateway's QueryJob for a job that certainly runs here, or
// ran here until it ended.
func (manager *Manager) AnswerQuery(id string, offset int) (Answer, bool) {
	manager.mutex.Lock()
	job, observed := manager.jobs[id], manager.heads[id]
	results := manager.snapshots.get(id).results
	manager.mutex.Unlock()
	switch {
	case job != nil && !job.isOwned(observed):
		return Answer{}, false
	case job != nil:
		observed, results, _ = job.snapshot()
	case observed.Owner != manager.name || observed.Open() || len(results) != observed.Results:
		return Answer{}, false
	}
	if offset > len(results) {
		return Answer{}, false
	}
	return Answer{Head: observed.Head, Version: observed.version, Results: results[offset:]}, true
}
