// Package keep maintains the limit table in the platform's store: this entry's
// share, and the partitions it takes over or hands over.
package keep

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/limit/grant"
	"github.com/agatestage/agatestage/internal/limit/table"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/state/watch"
)

const (
	key = "limits/table"
	// stepPeriod is how often the table is compared with the roster.
	stepPeriod = 300 * time.Millisecond
	// stableTime is how long the roster must not have changed before a
	// partition is handed over.
	stableTime = 3 * time.Second
	// rosterTime is how old the roster may be to conclude that an owner's
	// lease has lapsed.
	rosterTime = 6 * time.Second
	// goneTime is how long an entry must have been off the host list before
	// its share is taken back.
	goneTime = 30 * time.Second
	// maxHandovers bounds the partitions handed over in one step.
	maxHandovers = 16
	// shareSlack is the difference of shares that isn't worth a write.
	shareSlack = 1e-9
)

// Transport sends a partition's state to its next owner. It returns nil only
// if the owner has it, within a time that the limits' margins allow.
type Transport interface {
	Handover(ctx context.Context, to member.Member, handovers []grant.Handover) error
}

// Keeper follows and writes the table for one entry.
type Keeper struct {
	store     agatestage.Store
	clock     agatestage.Clock
	roster    *member.Roster
	owner     *grant.Owner
	client    *grant.Client
	transport Transport
	hosts     func() []agatestage.Host
	current   atomic.Pointer[version]
	mutex     sync.Mutex
	leaving   bool
	alive     map[string]bool
	stable    time.Time
	absent    map[string]time.Time
	// unsure says that a write's fate isn't known.
	unsure bool
}

// version is a record of the table and its version in the store.
type version struct {
	record  *table.Record
	version uint64
}

// New returns a keeper.
func New(store agatestage.Store, clock agatestage.Clock, roster *member.Roster, owner *grant.Owner, client *grant.Client, transport Transport, hosts func() []agatestage.Host) *Keeper {
	keeper := &Keeper{
		store: store, clock: clock, roster: roster, owner: owner, client: client, transport: transport, hosts: hosts,
		alive: make(map[string]bool), absent: make(map[string]time.Time),
	}
	keeper.current.Store(&version{record: &table.Record{Shares: map[string]float64{}}})
	return keeper
}

// Record returns the newest table that is known here.
func (keeper *Keeper) Record() *table.Record {
	return keeper.current.Load().record
}

// Follower returns the service that follows the table.
func (keeper *Keeper) Follower() *Follower {
	return &Follower{keeper: keeper}
}

// Follower watches the table in the store.
type Follower struct {
	keeper *Keeper
}

// String names the service in logs.
func (follower *Follower) String() string {
	return "limit table feed"
}

// Serve follows the table until ctx ends.
func (follower *Follower) Serve(ctx context.Context) error {
	keeper := follower.keeper
	return watch.Follow(ctx, keeper.store, keeper.clock, key, func(_ context.Context, records []agatestage.Record, _ bool) error {
		for _, record := range records {
			keeper.adopt(record)
		}
		return nil
	})
}

// adopt takes a record of the store if it is newer.
func (keeper *Keeper) adopt(record agatestage.Record) {
	if record.Key != key || record.Deleted {
		return
	}
	decoded, err := table.Decode(record.Value)
	if err != nil {
		klog.ErrorS(err, "limit table is not readable")
		return
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	current := keeper.current.Load()
	switch {
	case decoded.Epoch > current.record.Epoch:
		keeper.set(decoded, record.Version)
	case decoded.Epoch == current.record.Epoch && record.Version > current.version:
		// It came from a peer before, which doesn't know the store's version.
		keeper.current.Store(&version{record: current.record, version: record.Version})
	}
}

// Offer takes a table that a peer knows, if it is newer.
func (keeper *Keeper) Offer(record *table.Record) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if record.Epoch > keeper.Record().Epoch {
		keeper.set(record, 0)
	}
}

// set puts a record in force here; the mutex is held.
func (keeper *Keeper) set(record *table.Record, storeVersion uint64) {
	keeper.current.Store(&version{record: record, version: storeVersion})
	keeper.owner.SetTable(record)
	keeper.accept(record)
	keeper.client.SetTable(record)
}

// Serve maintains the table until ctx ends.
func (keeper *Keeper) Serve(ctx context.Context) error {
	ticker := keeper.clock.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		if err := keeper.Step(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("limit table not written", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
	}
}

// String names the service in logs.
func (keeper *Keeper) String() string {
	return "limit table"
}

// Step compares the table with the roster and writes what this entry should
// change. It does nothing without a current roster and a lease.
func (keeper *Keeper) Step(ctx context.Context) error {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	now := keeper.clock.Now()
	if keeper.leaving || now.Sub(keeper.roster.ConfirmedAt()) > rosterTime || !now.Before(keeper.roster.Until()) {
		return nil
	}
	alive := keeper.follow(now)
	if keeper.unsure {
		if err := keeper.refresh(ctx); err != nil {
			return err
		}
	}
	change := keeper.newChange()
	change.changed = keeper.unsure
	keeper.setShare(change, alive)
	keeper.dropGone(change, now)
	keeper.setLease(change)
	if err := keeper.takeOver(ctx, change, alive, now); err != nil {
		return err
	}
	if !keeper.unsure && now.Sub(keeper.stable) >= stableTime {
		keeper.handOver(ctx, change, alive)
	}
	return keeper.commit(ctx, change)
}

// Refresh reads the table from the store once.
func (keeper *Keeper) Refresh(ctx context.Context) error {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.refresh(ctx)
}

// refresh reads the table from the store.
func (keeper *Keeper) refresh(ctx context.Context) error {
	record, err := keeper.store.Get(ctx, key)
	if errors.Is(err, agatestage.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var decoded *table.Record
	if decoded, err = table.Decode(record.Value); err != nil {
		return err
	}
	if decoded.Epoch > keeper.Record().Epoch {
		keeper.set(decoded, record.Version)
	}
	return nil
}

// Silent reports whether the store has not shown the members for some time.
func (keeper *Keeper) Silent() bool {
	return keeper.clock.Since(keeper.roster.ConfirmedAt()) > rosterTime
}

// follow notes changes of the roster and returns who is alive.
func (keeper *Keeper) follow(now time.Time) (names []string) {
	members := keeper.roster.Members()
	same := len(members) == len(keeper.alive)
	for name := range members {
		names = append(names, name)
		same = same && keeper.alive[name]
	}
	if same {
		return names
	}
	keeper.stable = now
	keeper.alive = make(map[string]bool, len(members))
	for name := range members {
		keeper.alive[name] = true
	}
	return names
}

// Until returns the time up to which this entry may grant by its lease: none
// until the table names the lease that it holds.
func (keeper *Keeper) Until() time.Time {
	if keeper.Record().Leases[keeper.roster.Self().Name] != keeper.roster.Lease() {
		return time.Time{}
	}
	return keeper.roster.Until()
}

// accept starts the partitions that the table gives to this entry and that
// this run doesn't own yet: released by another owner, or left by a former run.
func (keeper *Keeper) accept(record *table.Record) {
	self := keeper.roster.Self().Name
	for _, partition := range record.Owned(self) {
		if !keeper.owner.Owns(partition) {
			keeper.owner.Start(partition, record.Owners[partition].Since, true, false)
		}
	}
}

// Leave hands all partitions over and gives this entry's share back.
func (keeper *Keeper) Leave(ctx context.Context) error {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	self := keeper.roster.Self().Name
	keeper.leaving = true
	var others []string
	for name := range keeper.roster.Members() {
		if name != self {
			others = append(others, name)
		}
	}
	keeper.client.Lower(0)
	change := keeper.newChange()
	if _, ok := change.record.Shares[self]; ok {
		delete(change.record.Shares, self)
		delete(change.record.Leases, self)
		change.changed = true
	}
	for range table.Partitions / maxHandovers {
		keeper.handOver(ctx, change, others)
	}
	return keeper.commit(ctx, change)
}
