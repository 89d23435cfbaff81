package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// storeRetryAfter is the Retry-After of refusals while the store is unavailable.
	storeRetryAfter = time.Second
	// forwardAfter is how long the store must have failed before submissions are
	// forwarded to another gateway, or refused, without a call to the store. It is
	// longer than the retry after a single lost reply takes.
	forwardAfter = 400 * time.Millisecond
	// headFreshFor is the maximum age of cached heads that may be relied on to conclude
	// that a job has no more results. Callers may rely on a result that another gateway
	// returned a second ago.
	headFreshFor = 300 * time.Millisecond
	// defaultGiveUp is how long items are retried if their route sets no limit.
	defaultGiveUp = time.Hour
)

// storeRefusal returns the refusal of a request that needs the store while the
// store is unavailable.
func storeRefusal(what string, err error) *agatestage.Refusal {
	refusal := agatestage.Refuse(agatestage.CodeStore, "%s: %v", what, err)
	refusal.RetryAfter = storeRetryAfter
	return refusal
}

// unknownRefusal returns the refusal of a request whose write may be in the store, or get
// there.
func unknownRefusal(message string) *agatestage.Refusal {
	return &agatestage.Refusal{Code: agatestage.CodeStore, Message: message, Ran: agatestage.RanUnknown}
}

// headOfOwner asks the gateway that was announced as a job's owner for the job's head and
// results, and caches them.
func (manager *Manager) headOfOwner(ctx context.Context, id string) (versionedHead, bool) {
	owner := manager.announcedOwner(id)
	if owner == "" || owner == manager.name {
		return versionedHead{}, false
	}
	askedAt := manager.clock.Now()
	answer, ok := manager.peers.QueryJob(ctx, owner, id, 0)
	if !ok {
		return versionedHead{}, false
	}
	return manager.cacheAnswer(nil, answer, askedAt).versionedHead, true
}

// findHead returns the head of an organisation's job: if it isn't cached, from the job's
// owner or from the store.
func (manager *Manager) findHead(ctx context.Context, organisation, id string) (versionedHead, error) {
	manager.mutex.Lock()
	observed, ok := manager.heads[id]
	manager.mutex.Unlock()
	if !ok {
		observed, ok = manager.headOfOwner(ctx, id)
	}
	if !ok {
		var err error
		if observed, err = manager.jobStore.head(ctx, id); err != nil {
			if errors.Is(err, agatestage.ErrNotFound) {
				return observed, agatestage.Refuse(agatestage.CodeNotFound, "there is no job %s", id)
			}
			return observed, storeRefusal("the job can't be looked up now", err)
		}
		manager.cacheHead(observed)
	}
	return observed, checkOrganisation(observed.Head, organisation)
}

// checkOrganisation returns a refusal if an organisation may not see a job. All may see a job
// that was accepted without a key. A caller without an organisation isn't told that there is
// no job: only the configuration in force here needs no key of it.
func checkOrganisation(head Head, organisation string) error {
	switch {
	case head.Organisation == "" || head.Organisation == organisation:
		return nil
	case organisation == "":
		return agatestage.Refuse(agatestage.CodeNotFresh, "the job is that of an organisation, and the configuration has none")
	}
	return agatestage.Refuse(agatestage.CodeNotFound, "there is no job %s", head.ID)
}

// Body returns the request body of an item.
func (manager *Manager) Body(ctx context.Context, organisation, id, item string) ([]byte, error) {
	head, err := manager.findHead(ctx, organisation, id)
	if err != nil {
		return nil, err
	}
	items, err := manager.jobItems(ctx, head)
	if err != nil {
		return nil, storeRefusal("the job's items can't be read now", err)
	}
	found, ok := findItem(items, item)
	if !ok {
		return nil, agatestage.Refuse(agatestage.CodeNotFound, "job %s has no item %s", id, item)
	}
	return found.Body, nil
}

// jobItems returns the items of a job, from the store if they are neither owned
// nor cached here.
func (manager *Manager) jobItems(ctx context.Context, head versionedHead) ([]Item, error) {
	manager.mutex.Lock()
	job := manager.jobs[head.ID]
	items := manager.snapshots.get(head.ID).items
	manager.mutex.Unlock()
	if job != nil {
		return job.items, nil
	}
	if items != nil {
		return items, nil
	}
	return manager.reads.input(ctx, head.ID, func(ctx context.Context) ([]Item, error) {
		return manager.readInput(ctx, head)
	})
}

// End cancels a job: no further items are started. It also returns nil if the
// job has already ended.
func (manager *Manager) End(ctx context.Context, organisation, id string) error {
	head, err := manager.findHead(ctx, organisation, id)
	if err != nil {
		return err
	}
	for {
		if !head.Open() {
			return nil
		}
		ended := head.Head
		ended.State = StateEnded
		var written versionedHead
		if written, err = manager.jobStore.writeHead(ctx, head, ended); err == nil {
			manager.ended(written)
			return nil
		}
		if agatestage.NothingDone(err) {
			return storeRefusal("the job can't be ended now", err)
		}
		if !errors.Is(err, errHeadChanged) {
			return unknownRefusal("the store did not say whether the job has ended")
		}
		if head, err = manager.jobStore.head(ctx, id); err != nil {
			return storeRefusal("the job can't be looked up now", err)
		}
	}
}

// ended stops the local work on a job whose end has just been written, or
// notifies the gateway that owns it.
func (manager *Manager) ended(written versionedHead) {
	klog.InfoS("job ended", "job", written.ID, "results", written.Results, "items", written.Items, "version", written.version)
	manager.mutex.Lock()
	job := manager.cacheHeadLocked(written)
	manager.mutex.Unlock()
	switch {
	case job == nil && written.Owner != manager.name:
		manager.notifyOwner(written, Handover{})
	case job != nil && !job.updateHead(written):
		job.stop()
	}
}

// notifyOwner sends the owner of a job, if it has one, the head that has been
// written.
func (manager *Manager) notifyOwner(written versionedHead, handover Handover) {
	if written.Owner == "" {
		return
	}
	var err error
	handover = manager.sendable(written.Head, handover)
	if handover.Record, err = written.record(); err != nil {
		klog.ErrorS(err, "changed head not encoded for the owner of the job", "job", written.ID)
		return
	}
	manager.peers.HeadChanged(written.Owner, handover)
}
