package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/state/member"
)

// outageNoticeTime is how long it may take until a gateway notices that the store is out:
// two renewals of its lease, of which the first may take up to its time-out.
const outageNoticeTime = 2 * time.Second

// writeDoubtAfter is how long after the begin of a write of a job's head an owner that has
// no reply still answers with what it had before. Callers may rely on a result that
// another gateway has read from the store a second ago.
const writeDoubtAfter = 500 * time.Millisecond

// currentLease returns this gateway's lease, or "" if it has none or may not rely on it.
func (manager *Manager) currentLease() agatestage.Lease {
	lease, _, until := manager.fleet.Hold()
	if !manager.clock.Now().Before(until) {
		return ""
	}
	return lease
}

// leaseOf returns this gateway's lease if another gateway's write of a head was executed
// under it, else "": a message that hands a job over may arrive after its recipient has
// lost the lease and the job.
func (manager *Manager) leaseOf(head versionedHead) agatestage.Lease {
	lease, acquired, until := manager.fleet.Hold()
	if head.version <= acquired || !manager.clock.Now().Before(until) {
		return ""
	}
	return lease
}

// writeTakenOver writes the head by which this gateway takes a job over, on the condition
// that the job's owner is no member: otherwise an owner that is back would answer for the
// job until it learns of the take-over.
func (manager *Manager) writeTakenOver(ctx context.Context, orphan versionedHead) (versionedHead, error) {
	next := orphan.Head
	next.Owner, next.Instance, next.Epoch = manager.name, manager.instance, next.Epoch+1
	if orphan.Owner == "" || orphan.Owner == manager.name || manager.fleet.Replaced(orphan.Owner, orphan.Instance) {
		return manager.jobStore.writeHead(ctx, orphan, next)
	}
	membership := agatestage.Condition{Key: member.Key(orphan.Owner)}
	taken, err := manager.jobStore.writeHeadIf(ctx, []agatestage.Condition{membership}, orphan, next)
	if !errors.Is(err, errConditionFailed) {
		return taken, err
	}
	record, readErr := manager.jobStore.store.Get(ctx, membership.Key)
	if readErr != nil {
		return orphan, errors.Wrap(readErr, "read membership record")
	}
	if owner, ok := member.Decode(record); ok && (owner.Instance == "" || owner.Instance == orphan.Instance) {
		manager.mutex.Lock()
		manager.returned[orphan.Owner] = manager.clock.Now()
		manager.mutex.Unlock()
		return orphan, errors.Errorf("its owner %s is back", orphan.Owner)
	}
	// The record is one of another process of the owner or of another writer.
	membership.Version = record.Version
	return manager.jobStore.writeHeadIf(ctx, []agatestage.Condition{membership}, orphan, next)
}

// hasReturned reports whether a gateway is to keep its jobs for now, because the store has
// just shown that it is a member; the mutex must be held.
func (manager *Manager) hasReturned(name string) bool {
	at, known := manager.returned[name]
	return known && manager.clock.Since(at) < assignPeriod
}

// cannotBeTakenOver reports whether no gateway can have taken over a job whose head the
// store confirmed under a lease: because that lease holds, or because it held when the
// store went out for all gateways.
func (manager *Manager) cannotBeTakenOver(confirmed agatestage.Lease) bool {
	lease, _, until := manager.fleet.Hold()
	if confirmed == "" || lease != confirmed {
		return false
	}
	now := manager.clock.Now()
	if now.Before(until) {
		return true
	}
	outage := manager.fleet.StoreOutage()
	return outage > 0 && !now.Add(-outage).After(until.Add(outageNoticeTime)) && manager.noneHearsStore()
}

// noneHearsStore reports whether other gateways are alive of which none reaches the store.
func (manager *Manager) noneHearsStore() bool {
	others := 0
	for _, gateway := range manager.fleet.Alive() {
		if gateway.Name == manager.name {
			continue
		}
		if gateway.Hears {
			return false
		}
		others++
	}
	return others > 0
}

// isOwned reports whether what this gateway knows of the job is certainly all that there
// is: the job has ended, or no other gateway can have taken it over. Known is the newest head
// that this gateway has seen.
func (job *job) isOwned(known versionedHead) bool {
	job.mutex.Lock()
	observed, unknownSince := job.versionedHead, job.unknownSince
	job.mutex.Unlock()
	if !observed.Open() {
		return true
	}
	written := unknownSince.IsZero() || job.manager.clock.Since(unknownSince) < writeDoubtAfter
	return written && known.Results <= observed.Results && known.Epoch <= observed.Epoch && job.isHeld()
}

// isHeld reports whether the job runs here and can't have been taken over.
func (job *job) isHeld() bool {
	job.mutex.Lock()
	confirmed, stopped := job.lease, job.stopped
	job.mutex.Unlock()
	return !stopped && job.manager.cannotBeTakenOver(confirmed)
}

// doubt makes the job one that another gateway may have taken over, until the store has
// confirmed its head again.
func (job *job) doubt() {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.lease = ""
}

// confirmOwned has the store confirm the heads of the jobs that may have been taken over
// while this gateway had no lease.
func (manager *Manager) confirmOwned(ctx context.Context) {
	if manager.currentLease() == "" {
		return
	}
	manager.mutex.Lock()
	var doubtful []*job
	for _, owned := range manager.jobs {
		if !owned.hasTerminated() && !owned.isHeld() {
			doubtful = append(doubtful, owned)
		}
	}
	manager.mutex.Unlock()
	for _, owned := range doubtful {
		if owned.confirming.CompareAndSwap(false, true) {
			go owned.confirm(ctx)
		}
	}
}

// confirm reads the job's head and stops the job if another gateway has taken it over.
func (job *job) confirm(ctx context.Context) {
	defer job.confirming.Store(false)
	lease := job.manager.currentLease()
	observed, err := job.manager.jobStore.head(ctx, job.head.ID)
	if err != nil {
		klog.InfoS("ownership of a job not confirmed", "job", job.head.ID, "error", err.Error())
		if errors.Is(err, agatestage.ErrNotFound) {
			job.stop()
		}
		return
	}
	job.manager.cacheHead(observed)
	if !job.updateHead(observed) {
		klog.InfoS("job is no longer run here", "job", job.head.ID, "epoch", observed.Epoch, "owner", observed.Owner)
		job.stop()
		return
	}
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if observed.version == job.versionedHead.version {
		job.lease = lease
	}
}

// ownListing returns what is known of a job that runs here while another gateway may have
// taken it over and the store can't be asked.
func (job *job) ownListing(offset int) (listing, error) {
	observed, results, _ := job.snapshot()
	if len(results) <= offset && observed.Open() {
		return listing{}, storeRefusal("the job's results can't be looked up now", errors.New("another gateway may run the job"))
	}
	return listing{versionedHead: observed, results: results, source: sourceOwn}, nil
}
