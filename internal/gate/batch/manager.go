package batch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/state/watch"
)

const (
	// headsPollWait and headsPollInterval set the polling of the heads, so that a burst
	// of changes costs one call. What must be known sooner is requested from the job's
	// owner or sent to it.
	headsPollWait     = 4 * time.Second
	headsPollInterval = 1800 * time.Millisecond
	// takeOverPeriod is the period of the scan for jobs without an owner.
	takeOverPeriod = 300 * time.Millisecond
	// maxEndNotices bounds the owners that are told at a time that their jobs have ended. A
	// whole list has the jobs of the last minutes.
	maxEndNotices = 200
	// retention is how long a job's records are kept after its submission. Results
	// must stay readable for two minutes.
	retention = 5 * time.Minute
	// cleanupPeriod is the period of the scan for expired jobs.
	cleanupPeriod = 10 * time.Second
)

// Gateway is a gateway that may own jobs.
type Gateway struct {
	Name     string
	Instance string
	Region   string
	// Hears is true if the store answers the gateway.
	Hears bool
	// Backlog is the number of items that run or wait there; Slots is the number of
	// slots of its own targets that online calls leave to them.
	Backlog int
	Slots   int
}

// Fleet provides the membership of the fleet and the state of the store.
type Fleet interface {
	// Alive returns the gateways that accept work, this one included.
	Alive() []Gateway
	// Gone reports whether a process of a gateway has certainly ended or lost its
	// lease.
	Gone(name, instance string) bool
	// Replaced reports whether another process of a gateway has been heard after the given
	// one.
	Replaced(name, instance string) bool
	// StoreOutage returns how long the store has been failing, or zero.
	StoreOutage() time.Duration
	// Hold returns this gateway's lease, "" if it has none, the store's revision at which
	// it was acquired, and until when the gateway may rely on it. No other gateway takes
	// over its jobs before.
	Hold() (lease agatestage.Lease, acquired uint64, until time.Time)
	// Watching reports whether this gateway follows the heads of all jobs in the store.
	// Gateways that don't are sent the heads of the jobs that they are to take over.
	Watching() bool
}

// Manager accepts jobs and runs those that this gateway owns.
type Manager struct {
	name        string
	instance    string
	region      string
	clock       agatestage.Clock
	jobStore    *jobStore
	runner      relay.Runner
	rules       *rules.Holder
	fleet       Fleet
	storeHealth *feeds.StoreHealth
	duty        *feeds.Duty

	fingerprint func(*agatestage.Call) uint64
	ctx         context.Context
	stop        context.CancelFunc
	// reading ends when this gateway begins to drain, as do the reads of jobs that it has
	// taken over.
	reading     context.Context
	stopReading context.CancelFunc
	// takeOvers counts those that go on. None begins once this gateway drains.
	takeOvers sync.WaitGroup
	mutex     sync.Mutex
	heads     map[string]versionedHead
	jobs      map[string]*job
	// claimed holds the jobs that are being submitted, taken over or moved here.
	claimed map[string]bool
	// unfenced holds the jobs with a write of this process that the store may yet execute.
	unfenced  map[string]bool
	snapshots *snapshotCache
	inputs    openInputs
	reads     inputReads
	// resultsWait limits the wait for a result; zero means the default.
	resultsWait time.Duration
	draining    bool
	// changed is closed when any head changes.
	changed chan struct{}
	// headsConfirmedAt is when the store last confirmed the heads.
	headsConfirmedAt time.Time
	startedAt        time.Time
	peers            Peers
	// placements holds the items that were recently placed at each gateway and that
	// its reported backlog may not include yet.
	placements map[string]placement
	// unreadable holds when a job that is to run here was last found to have records that are
	// missing or undecodable, or a head that the store rejects.
	unreadable map[string]time.Time
	// returned holds when the store last showed that a gateway which seemed to be gone is
	// a member.
	returned map[string]time.Time
	// assigned holds the time of the last take-over request that was sent for each job.
	assigned map[string]time.Time
	// unchanged holds the version of each open head of another gateway, and since when
	// it has been the same.
	unchanged map[string]headAge
	// owners holds the owners of jobs that other gateways have announced, ownNotes what
	// this one has to announce.
	owners   map[string]announcedOwner
	ownNotes []ownNote
	// shortPageAt is when a short page was last logged.
	shortPageAt time.Time
	// meanItemTime and meanItemEvents are exponential moving averages of the time for
	// which an item needs a slot and of the number of its events.
	meanItemTime   time.Duration
	meanItemEvents float64
	regionState    regionState
}

// Option configures a Manager.
type Option func(*Manager)

// WithStoreHealth shares the health of the store with the other users of the store
// in this process.
func WithStoreHealth(storeHealth *feeds.StoreHealth) Option {
	return func(manager *Manager) { manager.storeHealth = storeHealth }
}

// WithDuty sets the duty that tells when to follow the heads. Without it, they are always
// followed.
func WithDuty(duty *feeds.Duty) Option {
	return func(manager *Manager) { manager.duty = duty }
}

// WithPeers sets the client that exchanges jobs with other gateways. Without it,
// no other gateway can be reached.
func WithPeers(peers Peers) Option {
	return func(manager *Manager) { manager.peers = peers }
}

// New returns the Manager of one process of a gateway.
func New(self Gateway, store agatestage.Transactor, clock agatestage.Clock, runner relay.Runner, holder *rules.Holder, fleet Fleet, fingerprint func(*agatestage.Call) uint64, options ...Option) *Manager {
	manager := &Manager{
		name: self.Name, instance: self.Instance, region: self.Region, clock: clock, jobStore: newJobStore(store, clock),
		runner: runner, rules: holder, fleet: fleet, storeHealth: feeds.NewStoreHealth(clock), duty: feeds.NewDuty(), fingerprint: fingerprint,
		heads: make(map[string]versionedHead), jobs: make(map[string]*job), claimed: make(map[string]bool), unfenced: make(map[string]bool), snapshots: newSnapshotCache(),
		changed: make(chan struct{}), peers: noPeers{}, placements: make(map[string]placement), assigned: make(map[string]time.Time), returned: make(map[string]time.Time), unreadable: make(map[string]time.Time), unchanged: make(map[string]headAge), owners: make(map[string]announcedOwner), startedAt: clock.Now(),
	}
	manager.ctx, manager.stop = context.WithCancel(context.Background())
	manager.reading, manager.stopReading = context.WithCancel(manager.ctx)
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
		// ticks.Every returns an error only when ctx ends.
		_ = ticks.Every(ctx, manager.clock, takeOverPeriod, manager.takeOverOrphans)
	}()
	go func() { _ = ticks.Every(ctx, manager.clock, cleanupPeriod, manager.removeExpired) }()
	go func() { _ = ticks.Every(ctx, manager.clock, rebalancePeriod, manager.rebalance) }()
	go func() { _ = ticks.Every(ctx, manager.clock, leavePeriod, manager.leaveRegions) }()
	var revision uint64
	return watch.Follow(ctx, manager.jobStore.store, manager.clock, headPrefix, func(_ context.Context, records []agatestage.Record, whole bool) error {
		manager.storeHealth.RecordAnswer()
		manager.applyHeads(records, whole, revision)
		return nil
	}, watch.WithListHandler(func(listedRevision uint64) { revision = listedRevision }), watch.WithGate(manager.duty.Await), watch.WithWait(headsPollWait), watch.WithMinInterval(headsPollInterval), watch.WithErrorHandler(manager.storeHealth.RecordFailure), watch.WithRetryWait(manager.storeHealth.AwaitRetry))
}

// applyHeads updates the cached heads with those that have changed or, if whole is
// set, with all heads at a revision. It stops the jobs that this process no longer
// owns.
func (manager *Manager) applyHeads(records []agatestage.Record, whole bool, revision uint64) {
	manager.mutex.Lock()
	manager.headsConfirmedAt = manager.clock.Now()
	var disowned []*job
	var ended []versionedHead
	if whole {
		manager.dropUnlisted(records, revision)
	}
	for _, record := range records {
		if record.Deleted {
			delete(manager.heads, record.Key[len(headPrefix):])
			continue
		}
		observed, err := decodeVersionedHead(record)
		if err != nil {
			klog.ErrorS(err, "job head can't be decoded", "key", record.Key)
			continue
		}
		// A job may have been accepted and ended between two polls, or before this gateway
		// listed the heads.
		if before, known := manager.heads[observed.ID]; observed.State == StateEnded && observed.Owner != manager.name && (before.Open() || !known && observed.cutShort()) {
			ended = append(ended, observed)
		}
		if owned := manager.cacheHeadLocked(observed); owned != nil && !owned.updateHead(observed) {
			disowned = append(disowned, owned)
		}
	}
	if whole || len(records) > 0 {
		close(manager.changed)
		manager.changed = make(chan struct{})
	}
	manager.mutex.Unlock()
	if len(ended) > maxEndNotices {
		klog.InfoS("owners of ended jobs not notified", "jobs", len(ended)-maxEndNotices, "reason", "too many at once; they notice at their next write")
	}
	for _, observed := range ended[:min(len(ended), maxEndNotices)] {
		// The message from the gateway that ended the job to its owner may be lost.
		manager.notifyOwner(observed, Handover{})
	}
	for _, owned := range disowned {
		klog.InfoS("job is no longer run here", "job", owned.head.ID, "epoch", owned.head.Epoch)
		owned.stop()
	}
}

// dropUnlisted removes cached heads that were deleted while the store could not be
// followed, but not those that were written after the list was read.
func (manager *Manager) dropUnlisted(records []agatestage.Record, revision uint64) {
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key[len(headPrefix):]] = true
	}
	for id, known := range manager.heads {
		if !present[id] && known.version <= revision {
			delete(manager.heads, id)
		}
	}
}

// cacheHeadLocked caches a head unless a newer one is cached. It returns the job if
// it runs here, else nil. The mutex must be held.
func (manager *Manager) cacheHeadLocked(observed versionedHead) *job {
	if observed.version >= manager.heads[observed.ID].version {
		manager.heads[observed.ID] = observed
	}
	return manager.jobs[observed.ID]
}

// cacheHead caches a head that this process has read or written, before the poll of
// the heads returns it.
func (manager *Manager) cacheHead(written versionedHead) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.cacheHeadLocked(written)
}

// Drain stops the work on all jobs and hands them over to other gateways.
func (manager *Manager) Drain(ctx context.Context) {
	manager.mutex.Lock()
	manager.draining = true
	jobs := manager.jobs
	manager.jobs = make(map[string]*job)
	manager.mutex.Unlock()
	manager.stopReading()
	var releases sync.WaitGroup
	for _, owned := range jobs {
		releases.Go(func() { owned.release(ctx, manager.placeJob(owned.head, owned.remaining())) })
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		manager.takeOvers.Wait()
	}()
	releases.Wait()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	manager.stop()
}

// Close stops the work on all jobs and leaves their records as they are.
func (manager *Manager) Close() {
	manager.stop()
}

// removeExpired deletes the records of jobs past their retention, one job at a time.
func (manager *Manager) removeExpired(ctx context.Context) {
	if manager.fleet.StoreOutage() > 0 {
		return
	}
	now, alive, watching := manager.clock.Now(), manager.fleet.Alive(), manager.fleet.Watching()
	manager.mutex.Lock()
	var expired []versionedHead
	for id, head := range manager.heads {
		if manager.jobs[id] != nil || head.Open() || now.Sub(head.Submitted) <= retention {
			continue
		}
		// The records of a job whose owner is lost are removed by a gateway that follows
		// the heads; the first one wins.
		if successor, orphaned := manager.successor(head, alive); successor == manager.name || (orphaned && watching) {
			expired = append(expired, head)
		} else if !watching {
			delete(manager.heads, id)
		}
	}
	manager.forgetAssignments(now)
	manager.forgetOwners(now)
	manager.mutex.Unlock()
	for _, head := range expired {
		if err := manager.jobStore.removeJob(ctx, head); err != nil {
			klog.InfoS("expired job not removed", "job", head.ID, "error", err.Error())
			if errors.Is(err, agatestage.ErrRejected) {
				continue
			}
			return
		}
		klog.InfoS("expired job removed", "job", head.ID, "submitted", head.Submitted)
	}
}
