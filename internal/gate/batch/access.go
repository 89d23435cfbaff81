package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// storeRetry is when a caller may come back whom the store couldn't be asked
	// for.
	storeRetry = time.Second
	// lostFor is how long the store must have failed before submissions go to another
	// gateway, or are refused, without asking it: longer than a single lost answer
	// takes to be tried again.
	lostFor = 400 * time.Millisecond
	// confirmedFor is how old the heads may be to say that a job has no more
	// results; callers may rely on what another gateway has shown for a second.
	confirmedFor = 300 * time.Millisecond
	// maxViews bounds the jobs of other gateways that are remembered.
	maxViews = 2000
	// defaultGiveUp is for how long items are tried if their route doesn't say.
	defaultGiveUp = time.Hour
)

// unsure is the refusal of a question that only the store can answer.
func unsure(what string, err error) *agatestage.Refusal {
	refusal := agatestage.Refuse(agatestage.CodeStore, "%s: %v", what, err)
	refusal.RetryAfter = storeRetry
	return refusal
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
		manager.tellOwner(after, Handover{})
	case owned != nil && !owned.adopt(after):
		owned.stop()
	}
}

// tellOwner tells the owner of a job, if it has one, what has been written to its
// head.
func (manager *Manager) tellOwner(written entry, handover Handover) {
	if written.Owner == "" {
		return
	}
	var err error
	if handover.Record, err = written.record(); err != nil {
		klog.ErrorS(err, "owner of a changed job not told", "job", written.ID)
		return
	}
	manager.others.Changed(written.Owner, handover)
}
