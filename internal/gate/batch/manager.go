package batch

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/state/watch"
)

const (
	// headsWait and headsPace set how the heads are followed: a burst of changes
	// costs one call. What must be known sooner is asked of the job's owner, or
	// told it.
	headsWait = 4 * time.Second
	headsPace = 1800 * time.Millisecond
	// lookPeriod is how often jobs without an owner are looked for.
	lookPeriod = 300 * time.Millisecond
	// retainFor is how long a job's records are kept after its submission, which
	// is more than the two minutes that results must stay readable.
	retainFor = 5 * time.Minute
	// sweepPeriod is how often old records are looked for.
	sweepPeriod = 10 * time.Second
)

// Gateway is a gateway that may own jobs.
type Gateway struct {
	Name     string
	Instance string
	Region   string
	// Hears says that the store answers the gateway.
	Hears bool
	// Backlog counts the items that run or wait there; Slots are the slots of its
	// own targets that online calls leave them.
	Backlog int
	Slots   int
}

// Fleet tells which gateways there are.
type Fleet interface {
	// Alive returns the gateways that take work, this one included.
	Alive() []Gateway
	// Gone reports whether a process of a gateway has certainly ended or lost
	// its lease.
	Gone(name, instance string) bool
	// Silent returns for how long the store has failed.
	Silent() time.Duration
}

// Manager accepts jobs and runs those that this gateway owns.
type Manager struct {
	name     string
	instance string
	region   string
	clock    agatestage.Clock
	vault    *vault
	runner   relay.Runner
	rules    *rules.Holder
	fleet    Fleet
	contact  *feeds.Contact

	fingerprint func(*agatestage.Call) uint64
	ctx         context.Context
	stop        context.CancelFunc
	mutex       sync.Mutex
	heads       map[string]entry
	jobs        map[string]*job
	taking      map[string]bool
	views       map[string]*view
	draining    bool
	// changed is closed when any head changes.
	changed chan struct{}
	// heardAt is when the heads were last confirmed by the store.
	heardAt time.Time
	began   time.Time
	others  Others
	// placed counts the items that were placed at each gateway, and when, which it
	// may not have told yet.
	placed map[string]placement
	// itemTime is the smoothed time for which an item needs a slot, itemEvents the
	// smoothed number of its events.
	itemTime   time.Duration
	itemEvents float64
}

// Option changes how a manager is built.
type Option func(*Manager)

// WithContact shares what is known of the contact with the store.
func WithContact(contact *feeds.Contact) Option {
	return func(manager *Manager) { manager.contact = contact }
}

// WithOthers sets how other gateways are asked and told of the jobs that they
// own.
func WithOthers(others Others) Option {
	return func(manager *Manager) { manager.others = others }
}

// New returns the manager of one process of a gateway.
func New(self Gateway, store agatestage.Transactor, clock agatestage.Clock, runner relay.Runner, holder *rules.Holder, fleet Fleet, fingerprint func(*agatestage.Call) uint64, options ...Option) *Manager {
	manager := &Manager{
		name: self.Name, instance: self.Instance, region: self.Region, clock: clock, vault: &vault{store: store, clock: clock},
		runner: runner, rules: holder, fleet: fleet, contact: feeds.NewContact(clock), fingerprint: fingerprint,
		heads: make(map[string]entry), jobs: make(map[string]*job), taking: make(map[string]bool), views: make(map[string]*view),
		changed: make(chan struct{}), others: alone{}, placed: make(map[string]placement), began: clock.Now(), itemTime: firstItemTime, itemEvents: firstItemEvents,
	}
	manager.ctx, manager.stop = context.WithCancel(context.Background())
	for _, option := range options {
		option(manager)
	}
	return manager
}

// String names the service in logs.
func (manager *Manager) String() string {
	return "batch jobs"
}

// Serve follows the heads and takes over jobs until ctx ends.
func (manager *Manager) Serve(ctx context.Context) error {
	go func() {
		// All end with ctx only.
		_ = ticks.Every(ctx, manager.clock, lookPeriod, manager.look)
	}()
	go func() { _ = ticks.Every(ctx, manager.clock, sweepPeriod, manager.sweep) }()
	go func() { _ = ticks.Every(ctx, manager.clock, balancePeriod, manager.balance) }()
	var revision uint64
	return watch.Follow(ctx, manager.vault.store, manager.clock, headPrefix, func(_ context.Context, records []agatestage.Record, whole bool) error {
		manager.contact.Heard()
		manager.follow(records, whole, revision)
		return nil
	}, watch.WithListHandler(func(listed uint64) { revision = listed }), watch.WithWait(headsWait), watch.WithMinInterval(headsPace), watch.WithErrorHandler(manager.contact.Failed), watch.WithRetryWait(manager.contact.Retry))
}

// follow takes heads that have changed, or all that there were at a revision.
func (manager *Manager) follow(records []agatestage.Record, whole bool, revision uint64) {
	manager.mutex.Lock()
	manager.heardAt = manager.clock.Now()
	var lost []*job
	if whole {
		manager.dropUnlisted(records, revision)
	}
	for _, record := range records {
		if record.Deleted {
			delete(manager.heads, record.Key[len(headPrefix):])
			continue
		}
		seen, err := decodeEntry(record)
		if err != nil {
			klog.ErrorS(err, "job head is not readable", "key", record.Key)
			continue
		}
		if owned := manager.keep(seen); owned != nil && !owned.adopt(seen) {
			lost = append(lost, owned)
		}
	}
	if whole || len(records) > 0 {
		close(manager.changed)
		manager.changed = make(chan struct{})
	}
	manager.mutex.Unlock()
	for _, owned := range lost {
		klog.InfoS("job is no longer run here", "job", owned.head.ID, "epoch", owned.head.Epoch)
		owned.stop()
	}
}

// dropUnlisted forgets heads that were deleted while the store wasn't heard, but
// not those that have been written since the list was read.
func (manager *Manager) dropUnlisted(records []agatestage.Record, revision uint64) {
	there := make(map[string]bool, len(records))
	for _, record := range records {
		there[record.Key[len(headPrefix):]] = true
	}
	for id, known := range manager.heads {
		if !there[id] && known.version <= revision {
			delete(manager.heads, id)
		}
	}
}

// keep remembers a head and returns the job that runs here, if it does. The
// mutex is held.
func (manager *Manager) keep(seen entry) *job {
	if seen.version >= manager.heads[seen.ID].version {
		manager.heads[seen.ID] = seen
	}
	return manager.jobs[seen.ID]
}

// note remembers a head that was written here, before the store's feed shows it.
func (manager *Manager) note(written entry) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.keep(written)
}

// Drain stops the work on all jobs and gives them to other gateways.
func (manager *Manager) Drain(ctx context.Context) {
	manager.mutex.Lock()
	manager.draining = true
	jobs := manager.jobs
	manager.jobs = make(map[string]*job)
	manager.mutex.Unlock()
	var releases sync.WaitGroup
	for _, owned := range jobs {
		releases.Go(func() { owned.release(ctx, Gateway{}) })
	}
	releases.Wait()
	manager.stop()
}

// Close stops the work on all jobs and leaves their records as they are.
func (manager *Manager) Close() {
	manager.stop()
}

// sweep deletes the records of jobs that are no longer kept, one by one.
func (manager *Manager) sweep(ctx context.Context) {
	if manager.fleet.Silent() > 0 {
		return
	}
	now := manager.clock.Now()
	manager.mutex.Lock()
	var old []entry
	for id, head := range manager.heads {
		if manager.jobs[id] == nil && !head.Open() && now.Sub(head.Submitted) > retainFor && manager.mine(head, manager.fleet.Alive()) {
			old = append(old, head)
		}
	}
	manager.mutex.Unlock()
	for _, head := range old {
		if err := manager.vault.remove(ctx, head); err != nil {
			klog.InfoS("old job not removed", "job", head.ID, "error", err.Error())
			return
		}
		klog.InfoS("old job removed", "job", head.ID, "submitted", head.Submitted)
	}
}
