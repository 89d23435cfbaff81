package owner

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/sites"
	"github.com/agatestage/agatestage/internal/state/member"
)

const (
	// scanPeriod is the time between two searches for jobs to take.
	scanPeriod = 300 * time.Millisecond
	// maxRosterAge is the maximum age of the roster for a search; an older one
	// would not prove that an owner is gone.
	maxRosterAge = 6 * time.Second
	// orphanDelay is how long a job of which no live entry has a copy waits for one
	// of its hosts to return before any entry with a ledger may take it.
	orphanDelay = 10 * time.Second
)

// Manager takes and runs the jobs that this entry should own.
//
// A job is taken if it has no live owner or was owned by an earlier process of this
// entry.
type Manager struct {
	sites    *sites.Sites
	registry *heads.Registry
	roster   *member.Roster
	clock    agatestage.Clock
	mutex    sync.Mutex
	jobs     map[string]*Job
	// taking holds the jobs that are being taken.
	taking map[string]bool
	// orphanedSince holds the time since which each job has had no live copy.
	orphanedSince   map[string]time.Time
	draining        bool
	changeListeners []func()
	revokeListeners []func(job string)
	running         sync.WaitGroup
}

// New returns a manager without jobs.
func New(sites *sites.Sites, registry *heads.Registry, roster *member.Roster, clock agatestage.Clock) *Manager {
	return &Manager{
		sites: sites, registry: registry, roster: roster, clock: clock,
		jobs: make(map[string]*Job), taking: make(map[string]bool), orphanedSince: make(map[string]time.Time),
	}
}

// OnChange registers a function that is called when items may have become
// available, and one that is called when a job's items are no longer wanted.
func (manager *Manager) OnChange(changed func(), revoked func(job string)) {
	manager.changeListeners = append(manager.changeListeners, changed)
	manager.revokeListeners = append(manager.revokeListeners, revoked)
}

// Changed calls the functions registered for new items.
func (manager *Manager) Changed() {
	for _, changed := range manager.changeListeners {
		changed()
	}
}

// Revoke calls the functions registered for jobs whose items are no longer wanted.
func (manager *Manager) Revoke(job string) {
	for _, revoke := range manager.revokeListeners {
		revoke(job)
	}
}

// Get returns a job that this entry owns.
func (manager *Manager) Get(id string) (*Job, bool) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	job, ok := manager.jobs[id]
	return job, ok
}

// Jobs returns the jobs that this entry owns, ordered by due time.
func (manager *Manager) Jobs() []*Job {
	manager.mutex.Lock()
	jobs := make([]*Job, 0, len(manager.jobs))
	for _, job := range manager.jobs {
		jobs = append(jobs, job)
	}
	manager.mutex.Unlock()
	sort.Slice(jobs, func(i, j int) bool {
		a, b := jobs[i].entry.Head, jobs[j].entry.Head
		return a.Due.Before(b.Due) || a.Due.Equal(b.Due) && a.ID < b.ID
	})
	return jobs
}

// Serve takes jobs until ctx ends.
func (manager *Manager) Serve(ctx context.Context) error {
	ticker := manager.clock.NewTicker(scanPeriod)
	defer ticker.Stop()
	defer manager.running.Wait()
	for {
		changed := manager.registry.Changed()
		manager.takeJobs(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C():
		}
	}
}

// String names the service in logs.
func (manager *Manager) String() string {
	return "batch owner"
}

// takeJobs starts taking the jobs that this entry should own. It does nothing while
// the roster is too old or this entry's own lease has expired.
func (manager *Manager) takeJobs(ctx context.Context) {
	now := manager.clock.Now()
	fresh := now.Sub(manager.roster.ConfirmedAt()) < maxRosterAge && now.Before(manager.roster.Until())
	if !fresh {
		return
	}
	members := manager.roster.Members()
	for _, entry := range manager.registry.All() {
		if entry.Head.State != heads.StateRunning || !manager.shouldOwn(entry.Head, members, now) {
			continue
		}
		manager.start(ctx, entry)
	}
}

// shouldOwn reports whether this entry should take the job.
func (manager *Manager) shouldOwn(head heads.Head, members map[string]member.Member, now time.Time) bool {
	self := manager.sites.Self()
	if _, alive := members[head.Owner]; alive && head.Owner != self {
		delete(manager.orphanedSince, head.ID)
		return false
	}
	if head.Owner == self {
		// Take the job again if an earlier process of this entry owned it.
		_, running := manager.Get(head.ID)
		return !running
	}
	return manager.preferredOwner(head, members, now) == self
}

// preferredOwner returns the live entry that should own a job: one that has
// copies of it, or any one with a ledger if no entry with copies has been alive
// for orphanDelay. It is chosen by rendezvous hashing, and empty if the job must
// wait.
func (manager *Manager) preferredOwner(head heads.Head, members map[string]member.Member, now time.Time) string {
	best, bestRank := "", uint64(0)
	for name, entry := range members {
		if !head.HasCopy(name) {
			continue
		}
		if rank := xxhash.Sum64String(head.ID + "\x00" + entry.Name); best == "" || rank > bestRank {
			best, bestRank = name, rank
		}
	}
	if best != "" {
		delete(manager.orphanedSince, head.ID)
		return best
	}
	since, noted := manager.orphanedSince[head.ID]
	if !noted {
		manager.orphanedSince[head.ID] = now
	}
	if !noted || now.Sub(since) < orphanDelay {
		return ""
	}
	for name, entry := range members {
		if rank := xxhash.Sum64String(head.ID + "\x00" + name); entry.Ledger && (best == "" || rank > bestRank) {
			best, bestRank = name, rank
		}
	}
	return best
}

// start takes a job and runs it in the background, unless it is already being
// taken or run.
func (manager *Manager) start(ctx context.Context, entry heads.Entry) {
	id := entry.Head.ID
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.draining || manager.taking[id] || manager.jobs[id] != nil {
		return
	}
	manager.taking[id] = true
	manager.running.Go(func() {
		job, err := manager.take(ctx, entry)
		manager.mutex.Lock()
		delete(manager.taking, id)
		if err == nil {
			manager.jobs[id] = job
		}
		manager.mutex.Unlock()
		if err != nil {
			klog.V(1).InfoS("failed to take job", "job", id, "error", err.Error())
			return
		}
		job.Run(ctx)
		manager.mutex.Lock()
		defer manager.mutex.Unlock()
		delete(manager.jobs, id)
	})
}

// Drain stops dispatching items and taking jobs. Other entries take the jobs over
// once this entry has released its lease.
func (manager *Manager) Drain() {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.draining = true
	for _, job := range manager.jobs {
		job.pauseItems()
	}
}

// pauseItems discards the ready and the delayed items and stops reading more.
func (job *Job) pauseItems() {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.ready = nil
	clear(job.delayed)
	job.nextBlock = len(job.blocks)
}
