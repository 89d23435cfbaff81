package batch

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

// Page is a part of a job's results.
type Page struct {
	Total   int
	Next    int
	Results []Result
}

// view is what is known of a job that this gateway doesn't own.
type view struct {
	results []Result
	chunks  int
	items   []Item
}

// Others speaks to the gateways that own jobs.
type Others interface {
	// Ask asks the owner of a job for its head and the results from a position
	// on. It returns false if the owner can't be reached or isn't the owner.
	Ask(ctx context.Context, owner, id string, after int) (Answer, bool)
	// Changed tells the owner of a job what has been written to its head. Owners also
	// see that by themselves, later.
	Changed(owner string, handover Handover)
	// Submit lets a gateway accept a job and returns the record of its head. An error
	// that is no *agatestage.Refusal leaves it open whether it has.
	Submit(ctx context.Context, gateway string, spec Spec) (agatestage.Record, error)
}

// Handover is what a gateway that has written the head of a job tells the job's owner,
// so that it need not ask the store.
type Handover struct {
	// Record is the head.
	Record agatestage.Record
	// Whole says that the job is handed over, with all there is of it.
	Whole    bool
	Items    []Item
	Results  []Result
	Progress []Progress
}

// alone is a gateway that reaches no other.
type alone struct{}

// Ask implements Others.
func (alone) Ask(context.Context, string, string, int) (Answer, bool) { return Answer{}, false }

// Changed implements Others.
func (alone) Changed(string, Handover) {}

// Submit implements Others.
func (alone) Submit(context.Context, string, Spec) (agatestage.Record, error) {
	return agatestage.Record{}, agatestage.Refuse(agatestage.CodeStore, "this gateway reaches no other")
}

// Answer is what an owner tells of its job.
type Answer struct {
	Head    Head
	Version uint64
	Results []Result
}

// Results returns the results from a position on. If there are none yet, it
// waits for some for at most wait.
func (manager *Manager) Results(ctx context.Context, organisation, id string, after int, wait time.Duration) (Page, error) {
	until := manager.clock.Now().Add(wait)
	for {
		page, changed, err := manager.page(ctx, organisation, id, after)
		left := until.Sub(manager.clock.Now())
		if err != nil || len(page.Results) > 0 || after >= page.Total || left <= 0 || changed == nil {
			return page, err
		}
		timer := manager.clock.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C():
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return page, nil
		}
	}
}

// page returns what is listed from a position on, and a channel that is closed
// when that may have changed; nil if no more will be listed.
func (manager *Manager) page(ctx context.Context, organisation, id string, after int) (Page, <-chan struct{}, error) {
	head, err := manager.find(ctx, organisation, id)
	if err != nil {
		return Page{}, nil, err
	}
	manager.mutex.Lock()
	owned, changed := manager.jobs[id], (<-chan struct{})(manager.changed)
	manager.mutex.Unlock()
	var results []Result
	if owned != nil {
		var seen entry
		if seen, results, changed = owned.view(); seen.Instance == manager.instance && seen.Epoch >= head.Epoch {
			head = seen
		} else {
			owned = nil
		}
	}
	if owned == nil {
		if head, results, err = manager.remote(ctx, head, after); err != nil {
			return Page{}, nil, err
		}
	}
	if !head.Open() {
		changed = nil
	}
	return cutPage(head.Head, results, after), changed, nil
}

// pageBytes bounds the results of one page; the first is always in it.
const pageBytes = 1 << 20

// cutPage returns the results from a position on that fit into one page.
func cutPage(head Head, results []Result, after int) Page {
	page := Page{Total: head.Items, Next: after}
	size := 0
	for i := after; i >= 0 && i < len(results); i++ {
		if size += len(results[i].Output); size > pageBytes && i > after {
			break
		}
		page.Results = append(page.Results, results[i])
		page.Next = i + 1
	}
	return page
}

// remote returns the results of a job that another gateway owns: what is known
// here, then what its owner tells, then what the store has.
func (manager *Manager) remote(ctx context.Context, head entry, after int) (entry, []Result, error) {
	manager.mutex.Lock()
	cached := manager.view(head.ID)
	results, chunks := cached.results, cached.chunks
	fresh := manager.clock.Since(manager.heardAt) < confirmedFor
	manager.mutex.Unlock()
	// A caller that reads from the beginning again gets all that the head counts.
	if len(results) >= head.Results && (len(results) > after || !head.Open()) {
		return head, results, nil
	}
	if head.Owner != "" && head.Owner != manager.name {
		if answer, ok := manager.others.Ask(ctx, head.Owner, head.ID, len(results)); ok && answer.Head.Results >= len(results) {
			return manager.learn(head, results, answer)
		}
	}
	seen, more, err := manager.lookUp(ctx, head, chunks, fresh)
	if err != nil && len(results) > after {
		klog.InfoS("results shown as far as they are known", "job", head.ID, "results", len(results), "of", head.Results, "error", err.Error())
		return head, results, nil
	}
	if err != nil {
		return head, nil, unsure("the job's results can't be looked up now", err)
	}
	head = seen
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.keep(head)
	if cached.chunks == chunks {
		cached.results, cached.chunks = append(results[:len(results):len(results)], more...), head.Chunks
	}
	return head, cached.results, nil
}

// lookUp reads the chunks of results from one on, and the head before them unless it
// was confirmed lately.
func (manager *Manager) lookUp(ctx context.Context, head entry, from int, fresh bool) (entry, []Result, error) {
	if !fresh || head.Chunks < from {
		var err error
		if head, err = manager.vault.head(ctx, head.ID); err != nil {
			return head, nil, err
		}
	}
	more, err := manager.vault.results(ctx, head.Head, from)
	return head, more, err
}

// learn takes what a job's owner told.
func (manager *Manager) learn(head entry, known []Result, answer Answer) (entry, []Result, error) {
	results := append(known[:len(known):len(known)], answer.Results...)
	seen := entry{Head: answer.Head, version: answer.Version}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.keep(seen)
	if cached := manager.view(head.ID); len(cached.results) < len(results) && len(results) == answer.Head.Results {
		cached.results, cached.chunks = results, answer.Head.Chunks
	}
	return seen, results, nil
}

// view returns what is remembered of a job; the mutex is held.
func (manager *Manager) view(id string) *view {
	cached := manager.views[id]
	if cached == nil {
		if len(manager.views) >= maxViews {
			clear(manager.views)
		}
		cached = &view{}
		manager.views[id] = cached
	}
	return cached
}

// Tell answers another gateway's question about a job that is run here, or was
// until it had ended.
func (manager *Manager) Tell(id string, after int) (Answer, bool) {
	manager.mutex.Lock()
	owned, seen := manager.jobs[id], manager.heads[id]
	var results []Result
	if cached := manager.views[id]; cached != nil {
		results = cached.results
	}
	manager.mutex.Unlock()
	switch {
	case owned != nil:
		seen, results, _ = owned.view()
	case seen.Owner != manager.name || seen.Open() || len(results) != seen.Results:
		return Answer{}, false
	}
	if after > len(results) {
		return Answer{}, false
	}
	return Answer{Head: seen.Head, Version: seen.version, Results: results[after:]}, true
}
