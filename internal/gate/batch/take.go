package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// look takes over the jobs that nobody runs.
func (manager *Manager) look(ctx context.Context) {
	if manager.fleet.Silent() > 0 {
		return
	}
	alive := manager.fleet.Alive()
	manager.mutex.Lock()
	var orphans []entry
	for id, head := range manager.heads {
		if owned := manager.jobs[id]; owned != nil && owned.over() {
			manager.retire(id, owned)
		}
		if head.Open() && manager.jobs[id] == nil && !manager.taking[id] && !manager.draining && manager.mine(head, alive) {
			manager.taking[id] = true
			orphans = append(orphans, head)
		}
	}
	manager.mutex.Unlock()
	for _, orphan := range orphans {
		go manager.take(ctx, orphan)
	}
}

// retire forgets a job that is over here and remembers its results; the mutex is
// held.
func (manager *Manager) retire(id string, owned *job) {
	delete(manager.jobs, id)
	last, results, _ := owned.view()
	cached := manager.view(id)
	cached.items = owned.items
	if len(cached.results) < len(results) {
		cached.results, cached.chunks = results, last.Chunks
	}
}

// over reports whether nothing is left to do on the job here.
func (job *job) over() bool {
	select {
	case <-job.idle:
		return true
	default:
		return false
	}
}

// settleTime is how long after its start a gateway leaves other gateways' jobs
// alone: until it has heard which gateways there are, it would take them all.
const settleTime = 1500 * time.Millisecond

// mine reports whether this gateway is the one to take the job over.
func (manager *Manager) mine(head entry, alive []Gateway) bool {
	if head.Owner == manager.name && head.Instance == manager.instance {
		return true
	}
	if head.Owner != "" && !manager.fleet.Gone(head.Owner, head.Instance) {
		return false
	}
	if head.Owner == manager.name {
		return true
	}
	if manager.clock.Since(manager.began) < settleTime {
		return false
	}
	near := slices.DeleteFunc(slices.Clone(alive), func(gateway Gateway) bool { return gateway.Region != head.Region })
	if len(near) == 0 {
		near = alive
	}
	if len(near) == 0 {
		return false
	}
	heir := slices.MaxFunc(near, func(a, b Gateway) int {
		return cmp.Compare(rank(a.Name, head.ID), rank(b.Name, head.ID))
	})
	return heir.Name == manager.name
}

// names reports whether a head names this process as the job's owner.
func (manager *Manager) names(head Head) bool {
	return head.Owner == manager.name && head.Instance == manager.instance
}

// take makes this gateway the owner of a job, unless it is already, and goes on with
// it.
func (manager *Manager) take(ctx context.Context, orphan entry) {
	defer manager.taken(orphan.ID)
	var taken entry
	var err error
	if manager.names(orphan.Head) {
		// A write of this process may have been executed though nobody waited for it.
		if taken, err = manager.vault.head(ctx, orphan.ID); err == nil && (!manager.names(taken.Head) || !taken.Open()) {
			manager.note(taken)
			return
		}
	} else {
		next := orphan.Head
		next.Owner, next.Instance, next.Epoch = manager.name, manager.instance, next.Epoch+1
		taken, err = manager.vault.write(ctx, orphan, next)
	}
	if errors.Is(err, errMoved) {
		manager.refetch(ctx, orphan.ID)
		return
	}
	if err != nil {
		klog.InfoS("job not taken over", "job", orphan.ID, "error", err.Error())
		return
	}
	head := taken.Head
	var items []Item
	var listed []Result
	if items, err = manager.vault.items(ctx, head); err == nil {
		listed, err = manager.vault.results(ctx, head, 0)
	}
	var progress []Progress
	if head.Progress {
		var progressErr error
		if progress, progressErr = manager.vault.progress(ctx, head.ID); progressErr != nil {
			klog.InfoS("unfinished items begin anew", "job", head.ID, "error", progressErr.Error())
		}
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.keep(taken)
	if err != nil {
		// The head names this process, so the next look tries again.
		klog.InfoS("job taken over but not read", "job", head.ID, "error", err.Error())
		return
	}
	klog.InfoS("job taken over", "job", head.ID, "from", orphan.Owner, "epoch", head.Epoch, "results", head.Results, "items", head.Items, "begun", len(progress))
	manager.begin(taken, items, listed, progress)
}

// taken lets others look after a job again.
func (manager *Manager) taken(id string) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	delete(manager.taking, id)
}

// refetch reads a head that has been changed elsewhere.
func (manager *Manager) refetch(ctx context.Context, id string) {
	seen, err := manager.vault.head(ctx, id)
	if err != nil {
		klog.InfoS("job head not read", "job", id, "error", err.Error())
		return
	}
	manager.mutex.Lock()
	owned := manager.keep(seen)
	manager.mutex.Unlock()
	if owned != nil && !owned.adopt(seen) {
		klog.InfoS("job is no longer run here", "job", id, "epoch", seen.Epoch, "state", seen.State)
		owned.stop()
	}
}

// Changed takes what another gateway has written to the head of a job of this one.
func (manager *Manager) Changed(handover Handover) {
	seen, err := decodeEntry(handover.Record)
	if err != nil {
		klog.ErrorS(err, "job head told by another gateway is not readable", "key", handover.Record.Key)
		return
	}
	manager.mutex.Lock()
	owned := manager.keep(seen)
	newest := manager.heads[seen.ID].version == seen.version
	if handover.Whole && newest && seen.Open() && manager.names(seen.Head) && owned == nil && !manager.taking[seen.ID] && !manager.draining {
		klog.InfoS("job handed over to this gateway", "job", seen.ID, "epoch", seen.Epoch, "results", seen.Results, "items", seen.Items, "begun", len(handover.Progress))
		manager.begin(seen, handover.Items, handover.Results, handover.Progress)
	}
	manager.mutex.Unlock()
	if owned != nil && !owned.adopt(seen) {
		klog.InfoS("job is no longer run here", "job", seen.ID, "epoch", seen.Epoch, "state", seen.State)
		owned.stop()
	}
}

// begin runs a job that this gateway owns; the mutex is held.
func (manager *Manager) begin(owned entry, items []Item, listed []Result, progress []Progress) {
	job := newJob(manager, owned, items, listed)
	job.resume(progress)
	manager.jobs[owned.ID] = job
	job.start()
}
