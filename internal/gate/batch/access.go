package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

const (
	// storeRetry is when a caller may come back whom the store couldn't be asked
	// for.
	storeRetry = time.Second
	// confirmedFor is how old the heads may be to say that a job has no more
	// results; callers may rely on what another gateway has shown for a second.
	confirmedFor = 300 * time.Millisecond
	// maxViews bounds the jobs of other gateways that are remembered.
	maxViews = 2000
	// defaultGiveUp is for how long items are tried if their route doesn't say.
	defaultGiveUp = time.Hour
)

// Spec is a job as its caller submits it.
type Spec struct {
	ID           string
	Organisation string
	Route        *rules.Route
	Host         string
	Items        []Item
	// Arrived is when the submission was read.
	Arrived time.Time
}

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
	// Changed tells the owner of a job that its head has been changed. Owners also
	// see that by themselves, later.
	Changed(owner, id string)
}

// alone is a gateway that reaches no other.
type alone struct{}

// Ask implements Others.
func (alone) Ask(context.Context, string, string, int) (Answer, bool) { return Answer{}, false }

// Changed implements Others.
func (alone) Changed(string, string) {}

// Answer is what an owner tells of its job.
type Answer struct {
	Head    Head
	Version uint64
	Results []Result
}

// unsure is the refusal of a question that only the store can answer.
func unsure(what string, err error) *agatestage.Refusal {
	refusal := agatestage.Refuse(agatestage.CodeStore, "%s: %v", what, err)
	refusal.RetryAfter = storeRetry
	return refusal
}

// canonical encodes equal items to equal bytes, whatever the order of their
// headers.
var canonical = mustCanonical()

func mustCanonical() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func digestOf(items []Item) (string, error) {
	data, err := canonical.Marshal(items)
	if err != nil {
		return "", errors.Wrap(err, "encode items")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Submit accepts a job. It is kept from the moment that nil is returned; the
// same job may be submitted again. A refusal with RanUnknown doesn't say
// whether it has been accepted.
func (manager *Manager) Submit(ctx context.Context, spec Spec) error {
	digest, err := digestOf(spec.Items)
	if err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "%v", err)
	}
	manager.mutex.Lock()
	known, ok := manager.heads[spec.ID]
	draining, busy := manager.draining, manager.taking[spec.ID]
	if !ok && !draining && !busy {
		// Nobody else takes the job over between its writing and its beginning.
		manager.taking[spec.ID] = true
		defer manager.taken(spec.ID)
	}
	manager.mutex.Unlock()
	switch {
	case ok:
		return repeated(known.Head, spec, digest)
	case draining:
		return agatestage.Refuse(agatestage.CodeStopping, "this gateway is about to stop")
	case busy:
		return unsure("the job can't be kept now", errors.New("it is being submitted already"))
	}
	var parts [][]byte
	if parts, err = splitItems(spec.Items); err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "%v", err)
	}
	giveUp := spec.Route.GiveUp
	if giveUp <= 0 {
		giveUp = defaultGiveUp
	}
	owner := manager.place(len(spec.Items))
	head := Head{
		ID: spec.ID, Organisation: spec.Organisation, Route: spec.Route.Name, Host: spec.Host, Region: manager.region,
		Items: len(spec.Items), Parts: len(parts), Digest: digest, State: StateOpen,
		Submitted: spec.Arrived.UTC(), Due: spec.Arrived.Add(spec.Route.Due).UTC(), GiveUp: spec.Arrived.Add(giveUp).UTC(),
		Owner: owner.Name, Instance: owner.Instance, Epoch: 1,
	}
	var writes []agatestage.Write
	for i, part := range parts {
		writes = append(writes, agatestage.Write{Key: inputKey(spec.ID, i), Value: part})
	}
	accepted, err := manager.vault.write(ctx, entry{}, head, writes...)
	switch {
	case err == nil:
		manager.accept(accepted, spec)
		return nil
	case errors.Is(err, errMoved):
		return manager.repeat(ctx, spec, digest)
	case errors.Is(err, agatestage.ErrUnavailable):
		return unsure("the job can't be kept now", err)
	}
	klog.InfoS("job submission not acknowledged by the store", "job", spec.ID, "error", err.Error())
	return &agatestage.Refusal{Code: agatestage.CodeStore, Message: "the store did not say whether it has the job", Ran: agatestage.RanUnknown}
}

// accept begins a job that has just been written, or tells its owner.
func (manager *Manager) accept(accepted entry, spec Spec) {
	klog.InfoS("job accepted", "job", spec.ID, "organisation", spec.Organisation, "route", spec.Route.Name, "items", len(spec.Items),
		"owner", accepted.Owner, "version", accepted.version)
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.keep(accepted)
	if accepted.Owner != manager.name {
		manager.view(spec.ID).items = spec.Items
		manager.others.Changed(accepted.Owner, spec.ID)
		return
	}
	if manager.jobs[spec.ID] == nil && !manager.draining {
		manager.begin(accepted, spec.Items, nil, nil)
	}
}

// repeat answers a submission whose job the store has already.
func (manager *Manager) repeat(ctx context.Context, spec Spec, digest string) error {
	seen, err := manager.vault.head(ctx, spec.ID)
	if err != nil {
		return unsure("the job can't be looked up now", err)
	}
	manager.note(seen)
	return repeated(seen.Head, spec, digest)
}

// repeated tells the same job from another one with its ID.
func repeated(head Head, spec Spec, digest string) error {
	if head.Organisation != spec.Organisation || head.Digest != digest {
		return agatestage.Refuse(agatestage.CodeConflict, "another job has the ID %s", spec.ID)
	}
	return nil
}

// find returns the head of an organisation's job. It asks the store unless the
// job is known here.
func (manager *Manager) find(ctx context.Context, organisation, id string) (entry, error) {
	manager.mutex.Lock()
	seen, ok := manager.heads[id]
	manager.mutex.Unlock()
	if !ok {
		var err error
		if seen, err = manager.vault.head(ctx, id); err != nil {
			if errors.Is(err, agatestage.ErrNotFound) {
				return seen, agatestage.Refuse(agatestage.CodeNotFound, "there is no job %s", id)
			}
			return seen, unsure("the job can't be looked up now", err)
		}
		manager.note(seen)
	}
	if seen.Organisation != organisation {
		return seen, agatestage.Refuse(agatestage.CodeNotFound, "there is no job %s", id)
	}
	return seen, nil
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
	if len(results) > after || (!head.Open() && len(results) >= head.Results) {
		return head, results, nil
	}
	if head.Owner != "" && head.Owner != manager.name {
		if answer, ok := manager.others.Ask(ctx, head.Owner, head.ID, len(results)); ok && answer.Head.Results >= len(results) {
			return manager.learn(head, results, answer)
		}
	}
	if !fresh || head.Chunks < chunks {
		seen, err := manager.vault.head(ctx, head.ID)
		if err != nil {
			return head, nil, unsure("the job's results can't be looked up now", err)
		}
		head = seen
	}
	more, err := manager.vault.results(ctx, head.Head, chunks)
	if err != nil {
		return head, nil, unsure("the job's results can't be read now", err)
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.keep(head)
	if cached.chunks == chunks {
		cached.results, cached.chunks = append(results[:len(results):len(results)], more...), head.Chunks
	}
	return head, cached.results, nil
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

// Body returns the body of an item.
func (manager *Manager) Body(ctx context.Context, organisation, id, item string) ([]byte, error) {
	head, err := manager.find(ctx, organisation, id)
	if err != nil {
		return nil, err
	}
	items, err := manager.input(ctx, head)
	if err != nil {
		return nil, unsure("the job's items can't be read now", err)
	}
	found, ok := itemOf(items, item)
	if !ok {
		return nil, agatestage.Refuse(agatestage.CodeNotFound, "job %s has no item %s", id, item)
	}
	return found.Body, nil
}

// input returns the items of a job.
func (manager *Manager) input(ctx context.Context, head entry) ([]Item, error) {
	manager.mutex.Lock()
	owned := manager.jobs[head.ID]
	items := manager.view(head.ID).items
	manager.mutex.Unlock()
	if owned != nil {
		return owned.items, nil
	}
	if items != nil {
		return items, nil
	}
	items, err := manager.vault.items(ctx, head.Head)
	if err != nil {
		return nil, err
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.view(head.ID).items = items
	return items, nil
}

// End ends a job: nothing of it is begun any more. It returns nil also if the
// job has ended already.
func (manager *Manager) End(ctx context.Context, organisation, id string) error {
	head, err := manager.find(ctx, organisation, id)
	if err != nil {
		return err
	}
	for {
		if !head.Open() {
			return nil
		}
		ended := head.Head
		ended.State = StateEnded
		var after entry
		if after, err = manager.vault.write(ctx, head, ended); err == nil {
			manager.ended(after)
			return nil
		}
		if errors.Is(err, agatestage.ErrUnavailable) {
			return unsure("the job can't be ended now", err)
		}
		if !errors.Is(err, errMoved) {
			return &agatestage.Refusal{Code: agatestage.CodeStore, Message: "the store did not say whether the job has ended", Ran: agatestage.RanUnknown}
		}
		if head, err = manager.vault.head(ctx, id); err != nil {
			return unsure("the job can't be looked up now", err)
		}
	}
}

// ended stops the work on a job that has been ended here.
func (manager *Manager) ended(after entry) {
	klog.InfoS("job ended", "job", after.ID, "results", after.Results, "items", after.Items, "version", after.version)
	manager.mutex.Lock()
	owned := manager.keep(after)
	manager.mutex.Unlock()
	switch {
	case owned == nil && after.Owner != manager.name:
		manager.others.Changed(after.Owner, after.ID)
	case owned != nil && !owned.adopt(after):
		owned.stop()
	}
}
