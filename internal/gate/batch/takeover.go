package batch

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// assignPeriod is the minimum time between two take-over requests for one job.
	assignPeriod = time.Second
	// auditAfter is how long the head of an open job must be unchanged before its owner
	// is sent a take-over request, because the message that assigned the job may be lost.
	// The owner of a running job writes its progress every few seconds.
	auditAfter = 4 * time.Second
	// unreadablePause is the pause before a job whose records can't be read is read again.
	unreadablePause = 10 * time.Second
)

// headAge is the version of a head and since when it is known.
type headAge struct {
	version uint64
	since   time.Time
}

// assignment is a job that another gateway is to take over.
type assignment struct {
	head versionedHead
	to   string
}

// takeOverOrphans takes over the jobs that no gateway runs, or tells the gateways that
// are to do so.
func (manager *Manager) takeOverOrphans(ctx context.Context) {
	if manager.fleet.StoreOutage() > 0 {
		return
	}
	manager.confirmOwned(ctx)
	alive, watching, now := manager.fleet.Alive(), manager.fleet.Watching(), manager.clock.Now()
	manager.mutex.Lock()
	var orphans []versionedHead
	var assignments []assignment
	waiting, example := 0, versionedHead{}
	for id, head := range manager.heads {
		if job := manager.jobs[id]; job != nil && job.hasTerminated() {
			manager.cacheFinishedLocked(id, job)
		}
		if !head.Open() || manager.jobs[id] != nil || manager.claimed[id] || manager.draining || manager.isUnreadable(id) {
			continue
		}
		successor, orphaned := manager.successor(head, alive)
		if successor == manager.name {
			manager.claimed[id] = true
			manager.takeOvers.Add(1)
			orphans = append(orphans, head)
			continue
		}
		if orphaned && successor == "" && manager.regions(head.Head).Restricted {
			waiting, example = waiting+1, head
		}
		if watching && !orphaned && manager.unchangedFor(head, now) >= auditAfter {
			successor = head.Owner
		}
		if watching && successor != "" && now.Sub(manager.assigned[id]) >= assignPeriod {
			manager.assigned[id] = now
			assignments = append(assignments, assignment{head: head, to: successor})
		}
	}
	manager.recordWaiting(waiting, example, now)
	manager.mutex.Unlock()
	for _, orphan := range orphans {
		go manager.takeOver(ctx, orphan)
	}
	for _, assignment := range assignments {
		manager.assign(assignment.to, assignment.head)
	}
}

// unchangedFor returns for how long a head is known not to have changed. It begins anew
// with each audit. The mutex must be held.
func (manager *Manager) unchangedFor(head versionedHead, now time.Time) time.Duration {
	age, known := manager.unchanged[head.ID]
	elapsed := now.Sub(age.since)
	if !known || age.version != head.version || elapsed >= auditAfter {
		manager.unchanged[head.ID] = headAge{version: head.version, since: now}
	}
	if !known || age.version != head.version {
		return 0
	}
	return elapsed
}

// noteUnreadable records that this gateway can't run a job for now, whose records are missing
// or undecodable, or whose head the store rejects.
func (manager *Manager) noteUnreadable(id string) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.unreadable[id] = manager.clock.Now()
}

// isUnreadable reports whether noteUnreadable has just been called for a job; the mutex must
// be held.
func (manager *Manager) isUnreadable(id string) bool {
	at, known := manager.unreadable[id]
	return known && manager.clock.Since(at) < unreadablePause
}

// forgetAssignments forgets what is known of jobs that have ended; the mutex must be
// held.
func (manager *Manager) forgetAssignments(now time.Time) {
	for id, at := range manager.assigned {
		if now.Sub(at) > cleanupPeriod {
			delete(manager.assigned, id)
		}
	}
	for name, at := range manager.returned {
		if now.Sub(at) > cleanupPeriod {
			delete(manager.returned, name)
		}
	}
	for id := range manager.unfenced {
		if head, known := manager.heads[id]; !known || !head.Open() {
			delete(manager.unfenced, id)
		}
	}
	for id := range manager.unreadable {
		if head, known := manager.heads[id]; !known || !head.Open() {
			delete(manager.unreadable, id)
		}
	}
	manager.jobStore.partial.retain(func(id string) bool {
		return manager.ownedByProcess(manager.heads[id].Head) && manager.heads[id].Open()
	})
	for id := range manager.unchanged {
		if head, known := manager.heads[id]; !known || !head.Open() {
			delete(manager.unchanged, id)
		}
	}
}

// assign tells a gateway to run a job that no gateway may be running.
func (manager *Manager) assign(successor string, orphan versionedHead) {
	record, err := orphan.record()
	if err != nil {
		klog.ErrorS(err, "job head not encoded for its next owner", "job", orphan.ID)
		return
	}
	klog.V(1).InfoS("job assigned", "job", orphan.ID, "from", orphan.Owner, "to", successor)
	manager.peers.HeadChanged(successor, Handover{Record: record, TakeOver: true})
}

// cacheFinishedLocked moves a job whose work here has ended to the cache; the mutex
// must be held.
func (manager *Manager) cacheFinishedLocked(id string, owned *job) {
	delete(manager.jobs, id)
	last, results, _ := owned.snapshot()
	if !manager.mayCache(owned.head) {
		return
	}
	manager.snapshots.setItems(id, owned.items)
	manager.snapshots.confirm(id, results, last.Chunks, time.Time{})
}

// hasTerminated reports whether the job's work here has ended.
func (job *job) hasTerminated() bool {
	select {
	case <-job.terminated:
		return true
	default:
		return false
	}
}

// startupGrace is how long after its start a gateway takes over no jobs of other
// gateways. Before it knows which gateways are alive, it would take over all jobs.
const startupGrace = 1500 * time.Millisecond

// successor returns the gateway that is to run a job that doesn't run here, or "": its
// owner, or the successor by rendezvous hashing if there is no owner or it is lost.
// Orphaned reports the latter. An open job waits for a gateway in its regions.
func (manager *Manager) successor(head versionedHead, alive []Gateway) (name string, orphaned bool) {
	if head.Owner == manager.name && head.Instance == manager.instance {
		return manager.name, false
	}
	if head.Owner != "" && (!manager.fleet.Gone(head.Owner, head.Instance) || manager.hasReturned(head.Owner)) {
		return "", false
	}
	var regions agatestage.Regions
	if head.Open() {
		regions = manager.regions(head.Head)
	}
	if head.Owner == manager.name && regions.Allows(manager.region) {
		return manager.name, false
	}
	alive = allowedIn(regions, alive)
	if manager.clock.Since(manager.startedAt) < startupGrace {
		return "", true
	}
	candidates := slices.DeleteFunc(slices.Clone(alive), func(gateway Gateway) bool { return gateway.Region != head.Region })
	if len(candidates) == 0 {
		candidates = alive
	}
	if len(candidates) == 0 {
		return "", true
	}
	return byRendezvous(candidates, head.ID).Name, true
}

// ownedByProcess reports whether a head names this process as the job's owner.
func (manager *Manager) ownedByProcess(head Head) bool {
	return head.Owner == manager.name && head.Instance == manager.instance
}

// takeOver makes this gateway the owner of a job, unless it already is, and continues
// the job.
func (manager *Manager) takeOver(ctx context.Context, orphan versionedHead) {
	defer manager.takeOvers.Done()
	defer manager.taken(orphan.ID)
	if !manager.mayOwn(orphan.Head) {
		if manager.ownedByProcess(orphan.Head) {
			manager.disown(ctx, orphan.ID)
		}
		return
	}
	lease := manager.currentLease()
	var taken versionedHead
	var err error
	if manager.ownedByProcess(orphan.Head) {
		// The store may have executed a write of this process that was given up.
		if taken, err = manager.jobStore.head(ctx, orphan.ID); err == nil && (!manager.ownedByProcess(taken.Head) || !taken.Open()) {
			manager.cacheHead(taken)
			return
		}
		if err == nil && manager.isUnfenced(orphan.ID) {
			next := taken.Head
			next.Epoch++
			taken, err = manager.jobStore.writeHead(ctx, taken, next)
		}
	} else {
		taken, err = manager.writeTakenOver(ctx, orphan)
	}
	if errors.Is(err, errHeadChanged) {
		manager.reloadHead(ctx, orphan.ID)
		return
	}
	if err != nil {
		klog.InfoS("job not taken over", "job", orphan.ID, "error", err.Error())
		if errors.Is(err, agatestage.ErrRejected) {
			manager.noteUnreadable(orphan.ID)
		}
		return
	}
	manager.fence(orphan.ID)
	head := taken.Head
	items, stored, progress, err := manager.readTaken(ctx, head)
	if manager.isDraining() || !manager.mayOwn(head) {
		// Any other gateway may have it at once.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), moveTimeout)
		defer cancel()
		manager.handOver(ctx, taken, Gateway{}, Handover{})
		return
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.cacheHeadLocked(taken)
	if err != nil {
		// The head names this process, so the next takeOverOrphans retries.
		klog.InfoS("job taken over but not read", "job", head.ID, "error", err.Error())
		if errors.Is(err, errUnreadable) {
			manager.unreadable[head.ID] = manager.clock.Now()
		}
		return
	}
	delete(manager.unreadable, head.ID)
	if newest := manager.heads[head.ID]; newest.version > taken.version {
		// The job may have ended or moved while it was read.
		klog.InfoS("job not started, as its head has changed", "job", head.ID, "epoch", head.Epoch, "newest", newest.Epoch, "state", newest.State)
		return
	}
	manager.noteOwner(head)
	klog.InfoS("job taken over", "job", head.ID, "from", orphan.Owner, "epoch", head.Epoch, "results", head.Results, "items", head.Items, "begun", len(progress))
	manager.startJobLocked(taken, lease, items, stored, progress)
}

// readTaken reads the records of a job that this gateway has taken over, until it drains.
func (manager *Manager) readTaken(ctx context.Context, head Head) (items []Item, stored []Result, progress []Progress, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(manager.reading, cancel)()
	if items, err = manager.jobStore.items(ctx, head, head.Due); err == nil {
		stored, err = manager.jobStore.results(ctx, head, 0, head.Due)
	}
	if head.Progress && err == nil {
		var progressErr error
		if progress, progressErr = manager.jobStore.progress(ctx, head); progressErr != nil {
			klog.InfoS("progress not read; unfinished items restart from the beginning", "job", head.ID, "error", progressErr.Error())
		}
	}
	return items, stored, progress, err
}

// isDraining reports whether this gateway takes over no more jobs.
func (manager *Manager) isDraining() bool {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	return manager.draining
}

// noteWrite records that a write of a job's head has failed, and may be executed later
// unless the error says that it won't be.
func (manager *Manager) noteWrite(id string, err error) {
	if agatestage.NothingDone(err) || errors.Is(err, errHeadChanged) {
		return
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.unfenced[id] = true
}

// isUnfenced reports whether the store may yet execute a write of this process for a job,
// unless the job's head changes before.
func (manager *Manager) isUnfenced(id string) bool {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	return manager.unfenced[id]
}

// fence records that the head has changed, so that earlier writes won't be executed.
func (manager *Manager) fence(id string) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	delete(manager.unfenced, id)
}

// taken ends the claim on a job, so that it may be taken over or moved again.
func (manager *Manager) taken(id string) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	delete(manager.claimed, id)
}

// reloadHead reads a head that another gateway has changed.
func (manager *Manager) reloadHead(ctx context.Context, id string) {
	observed, err := manager.jobStore.head(ctx, id)
	if err != nil {
		klog.InfoS("job head not read", "job", id, "error", err.Error())
		return
	}
	manager.mutex.Lock()
	job := manager.cacheHeadLocked(observed)
	manager.mutex.Unlock()
	if job != nil && !job.updateHead(observed) {
		klog.InfoS("job is no longer run here", "job", id, "epoch", observed.Epoch, "state", observed.State)
		job.stop()
	}
}

// HeadChanged applies a head that another gateway has written for a job that this
// gateway owns, and starts the job if it is handed over. It takes over a job whose owner
// is lost.
func (manager *Manager) HeadChanged(handover Handover) {
	observed, err := decodeVersionedHead(handover.Record)
	if err != nil {
		klog.ErrorS(err, "job head from another gateway can't be decoded", "key", handover.Record.Key)
		return
	}
	lease, mayOwn := manager.leaseOf(observed), manager.mayOwn(observed.Head)
	manager.mutex.Lock()
	job := manager.cacheHeadLocked(observed)
	newest := manager.heads[observed.ID].version == observed.version
	if handover.Whole && mayOwn && newest && observed.Open() && manager.ownedByProcess(observed.Head) && job == nil && !manager.claimed[observed.ID] && !manager.draining {
		klog.InfoS("job handed over to this gateway", "job", observed.ID, "epoch", observed.Epoch, "results", observed.Results, "items", observed.Items, "begun", len(handover.Progress))
		manager.startJobLocked(observed, lease, handover.Items, handover.Results, handover.Progress)
	}
	takeOver := handover.TakeOver && newest && observed.Open() && job == nil && !manager.claimed[observed.ID] && !manager.draining && !manager.isUnreadable(observed.ID)
	if takeOver {
		manager.claimed[observed.ID] = true
		manager.takeOvers.Add(1)
	}
	manager.mutex.Unlock()
	if takeOver {
		go manager.takeOver(manager.ctx, observed)
	}
	if job != nil && !job.updateHead(observed) {
		klog.InfoS("job is no longer run here", "job", observed.ID, "epoch", observed.Epoch, "state", observed.State)
		job.stop()
	}
}

// startJobLocked runs a job that this gateway owns by a head that was read or written under
// a lease; the mutex must be held.
func (manager *Manager) startJobLocked(owned versionedHead, lease agatestage.Lease, items []Item, stored []Result, progress []Progress) {
	job := newJob(manager, owned, lease, items, stored)
	job.restoreProgress(progress)
	manager.jobs[owned.ID] = job
	job.start()
}
