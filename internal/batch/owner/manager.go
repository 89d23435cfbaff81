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
	// lookPeriod is how often unowned jobs are looked for.
	lookPeriod = 300 * time.Millisecond
	// rosterTime is how old the roster may be to conclude that an owner is gone.
	rosterTime = 6 * time.Second
	// orphanTime is how long a job without any live copy waits for one of its
	// own hosts before any entry takes it.
	orphanTime = 10 * time.Second
)

// Manager takes and runs the jobs that this entry should own.
type Manager struct {
	sites    *sites.Sites
	registry *heads.Registry
	roster   *member.Roster
	clock    agatestage.Clock
	mutex    sync.Mutex
	jobs     map[string]*Job
	taking   map[string]bool
	orphans  map[string]time.Time
	draining bool
	changes  []func()
	revokes  []func(job string)
	running  sync.WaitGroup
}

// New returns a manager without jobs.
func New(sites *sites.Sites, registry *heads.Registry, roster *member.Roster, clock agatestage.Clock) *Manager {
	return &Manager{
		sites: sites, registry: registry, roster: roster, clock: clock,
		jobs: make(map[string]*Job), taking: make(map[string]bool), orphans: make(map[string]time.Time),
	}
}

// OnChange registers a function that is called when items may have become
// available, and one that is called when a job's items are no longer wanted.
func (manager *Manager) OnChange(changed func(), revoked func(job string)) {
	manager.changes = append(manager.changes, changed)
	manager.revokes = append(manager.revokes, revoked)
}

// Changed tells the registered functions of new items.
func (manager *Manager) Changed() {
	for _, changed := range manager.changes {
		changed()
	}
}

// Revoke tells the registered functions that a job's items aren't wanted.
func (manager *Manager) Revoke(job string) {
	for _, revoke := range manager.revokes {
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

// Jobs returns the jobs that this entry owns, the one due first at the front.
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
	ticker := manager.clock.NewTicker(lookPeriod)
	defer ticker.Stop()
	defer manager.running.Wait()
	for {
		changed := manager.registry.Changed()
		manager.look(ctx)
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

// look starts taking the jobs that this entry should own.
func (manager *Manager) look(ctx context.Context) {
	now := manager.clock.Now()
	fresh := now.Sub(manager.roster.ConfirmedAt()) < rosterTime && now.Before(manager.roster.Until())
	if !fresh {
		return
	}
	members := manager.roster.Members()
	for _, entry := range manager.registry.All() {
		if entry.Head.State != heads.StateRunning || !manager.should(entry.Head, members, now) {
			continue
		}
		manager.start(ctx, entry)
	}
}

// should reports whether this entry should take the job.
func (manager *Manager) should(head heads.Head, members map[string]member.Member, now time.Time) bool {
	self := manager.sites.Self()
	if _, alive := members[head.Owner]; alive && head.Owner != self {
		delete(manager.orphans, head.ID)
		return false
	}
	if head.Owner == self {
		// Owned by a former run of this entry, unless it is running here.
		_, running := manager.Get(head.ID)
		return !running
	}
	return manager.prefer(head, members, now) == self
}

// prefer returns which live entry should own a job: one of those that keep its
// copies, or any keeper of ledgers once none of them has been alive for a while.
func (manager *Manager) prefer(head heads.Head, members map[string]member.Member, now time.Time) string {
	best, bestRank := "", uint64(0)
	for name, entry := range members {
		if !head.Keeps(name) {
			continue
		}
		if rank := xxhash.Sum64String(head.ID + "\x00" + entry.Name); best == "" || rank > bestRank {
			best, bestRank = name, rank
		}
	}
	if best != "" {
		delete(manager.orphans, head.ID)
		return best
	}
	since, noted := manager.orphans[head.ID]
	if !noted {
		manager.orphans[head.ID] = now
	}
	if !noted || now.Sub(since) < orphanTime {
		return ""
	}
	for name, entry := range members {
		if rank := xxhash.Sum64String(head.ID + "\x00" + name); entry.Ledger && (best == "" || rank > bestRank) {
			best, bestRank = name, rank
		}
	}
	return best
}

// start takes a job and runs it, once at a time.
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
			klog.V(1).InfoS("job not taken", "job", id, "error", err.Error())
			return
		}
		job.Run(ctx)
		manager.mutex.Lock()
		defer manager.mutex.Unlock()
		delete(manager.jobs, id)
	})
}

// Drain gives out no more items and takes no more jobs; the jobs' new owners
// follow when this entry has given its lease back.
func (manager *Manager) Drain() {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.draining = true
	for _, job := range manager.jobs {
		job.pauseItems()
	}
}

// pauseItems stops giving out items.
func (job *Job) pauseItems() {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.ready = nil
	job.next = len(job.blocks)
}
