// Package keep maintains the limit table in the platform's store: it writes this
// entry's share, and takes over and hands over partitions.
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
	// key is the store key of the limit table.
	key = "limits/table"
	// stepPeriod is how often the table is compared with the roster.
	stepPeriod = 300 * time.Millisecond
	// stableTime is how long the roster must be unchanged before a partition is
	// handed over.
	stableTime = 3 * time.Second
	// maxRosterAge is how old the roster may be to conclude from it that an
	// owner's lease has expired.
	maxRosterAge = 6 * time.Second
	// absentTime is how long an entry must be missing from the host list before
	// its share is reclaimed.
	absentTime = 30 * time.Second
	// maxHandovers bounds the partitions handed over in one step.
	maxHandovers = 16
	// minShareChange is the change of a share below which the table isn't written.
	minShareChange = 1e-9
)

// Transport sends the state of partitions to their next owner. It returns nil
// only if that owner has received the state within a time that the margins of the
// limits allow for.
type Transport interface {
	Handover(ctx context.Context, to member.Member, handovers []grant.Handover) error
}

// Reconciler watches the table and writes it for one entry.
type Reconciler struct {
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
	// membersChanged is when the roster's members last changed.
	membersChanged time.Time
	// absent holds since when entries with a share have been missing from the host
	// list.
	absent map[string]time.Time
	// outcomeUnknown says that a write failed and may still take effect.
	outcomeUnknown bool
}

// version is a record of the table and its version in the store, which is 0 if
// the record came from another entry.
type version struct {
	record  *table.Record
	version uint64
}

// New returns a reconciler that has no table yet.
func New(store agatestage.Store, clock agatestage.Clock, roster *member.Roster, owner *grant.Owner, client *grant.Client, transport Transport, hosts func() []agatestage.Host) *Reconciler {
	reconciler := &Reconciler{
		store: store, clock: clock, roster: roster, owner: owner, client: client, transport: transport, hosts: hosts,
		alive: make(map[string]bool), absent: make(map[string]time.Time),
	}
	reconciler.current.Store(&version{record: &table.Record{Shares: map[string]float64{}}})
	return reconciler
}

// Record returns the newest known table.
func (reconciler *Reconciler) Record() *table.Record {
	return reconciler.current.Load().record
}

// Follower returns the service that watches the table in the store.
func (reconciler *Reconciler) Follower() *Follower {
	return &Follower{reconciler: reconciler}
}

// Follower watches the table in the store.
type Follower struct {
	reconciler *Reconciler
}

// String names the service in logs.
func (follower *Follower) String() string {
	return "limit table feed"
}

// Serve watches the table until ctx ends.
func (follower *Follower) Serve(ctx context.Context) error {
	reconciler := follower.reconciler
	return watch.Follow(ctx, reconciler.store, reconciler.clock, key, func(_ context.Context, records []agatestage.Record, _ bool) error {
		for _, record := range records {
			reconciler.applyStored(record)
		}
		return nil
	})
}

// applyStored applies a record from the store if it is newer.
func (reconciler *Reconciler) applyStored(record agatestage.Record) {
	if record.Key != key || record.Deleted {
		return
	}
	decoded, err := table.Decode(record.Value)
	if err != nil {
		klog.ErrorS(err, "limit table in the store cannot be decoded")
		return
	}
	reconciler.mutex.Lock()
	defer reconciler.mutex.Unlock()
	current := reconciler.current.Load()
	switch {
	case decoded.Epoch > current.record.Epoch:
		reconciler.apply(decoded, record.Version)
	case decoded.Epoch == current.record.Epoch && record.Version > current.version:
		// The record came from another entry, which doesn't send the store's version.
		reconciler.current.Store(&version{record: current.record, version: record.Version})
	}
}

// Offer applies a table from another entry if it is newer.
func (reconciler *Reconciler) Offer(record *table.Record) {
	reconciler.mutex.Lock()
	defer reconciler.mutex.Unlock()
	if record.Epoch > reconciler.Record().Epoch {
		reconciler.apply(record, 0)
	}
}

// apply makes a record the current one. The caller holds the mutex.
func (reconciler *Reconciler) apply(record *table.Record, storeVersion uint64) {
	reconciler.current.Store(&version{record: record, version: storeVersion})
	reconciler.owner.SetTable(record)
	reconciler.startOwned(record)
	reconciler.client.SetTable(record)
}

// Serve calls Step periodically until ctx ends.
func (reconciler *Reconciler) Serve(ctx context.Context) error {
	ticker := reconciler.clock.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		if err := reconciler.Step(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("limit table not reconciled", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
	}
}

// String names the service in logs.
func (reconciler *Reconciler) String() string {
	return "limit table"
}

// Step compares the table with the roster and writes the changes that this entry
// has to make. It does nothing without a current roster and a valid lease.
func (reconciler *Reconciler) Step(ctx context.Context) error {
	reconciler.mutex.Lock()
	defer reconciler.mutex.Unlock()
	now := reconciler.clock.Now()
	if reconciler.leaving || now.Sub(reconciler.roster.ConfirmedAt()) > maxRosterAge || !now.Before(reconciler.roster.Until()) {
		return nil
	}
	alive := reconciler.updateAlive(now)
	if reconciler.outcomeUnknown {
		if err := reconciler.refresh(ctx); err != nil {
			return err
		}
	}
	change := reconciler.newChange()
	change.changed = reconciler.outcomeUnknown
	reconciler.setShare(change, alive)
	reconciler.removeAbsent(change, now)
	reconciler.setLease(change)
	if err := reconciler.takeOver(ctx, change, alive, now); err != nil {
		return err
	}
	if !reconciler.outcomeUnknown && now.Sub(reconciler.membersChanged) >= stableTime {
		reconciler.handOver(ctx, change, alive)
	}
	return reconciler.commit(ctx, change)
}

// Refresh reads the table from the store once.
func (reconciler *Reconciler) Refresh(ctx context.Context) error {
	reconciler.mutex.Lock()
	defer reconciler.mutex.Unlock()
	return reconciler.refresh(ctx)
}

// refresh reads the table from the store.
func (reconciler *Reconciler) refresh(ctx context.Context) error {
	record, err := reconciler.store.Get(ctx, key)
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
	if decoded.Epoch > reconciler.Record().Epoch {
		reconciler.apply(decoded, record.Version)
	}
	return nil
}

// RosterStale reports whether the store has not confirmed the members for longer
// than maxRosterAge.
func (reconciler *Reconciler) RosterStale() bool {
	return reconciler.clock.Since(reconciler.roster.ConfirmedAt()) > maxRosterAge
}

// updateAlive notes changes of the roster and returns the names of its members.
func (reconciler *Reconciler) updateAlive(now time.Time) (names []string) {
	members := reconciler.roster.Members()
	same := len(members) == len(reconciler.alive)
	for name := range members {
		names = append(names, name)
		same = same && reconciler.alive[name]
	}
	if same {
		return names
	}
	reconciler.membersChanged = now
	reconciler.alive = make(map[string]bool, len(members))
	for name := range members {
		reconciler.alive[name] = true
	}
	return names
}

// Until returns when this entry's lease ends, up to which it may grant. It returns
// the zero time unless the table names the lease that the entry holds.
func (reconciler *Reconciler) Until() time.Time {
	if reconciler.Record().Leases[reconciler.roster.Self().Name] != reconciler.roster.Lease() {
		return time.Time{}
	}
	return reconciler.roster.Until()
}

// startOwned starts the partitions that the table assigns to this entry and that
// this process doesn't own yet: those released by another owner, and those owned
// by a previous process of the entry.
func (reconciler *Reconciler) startOwned(record *table.Record) {
	self := reconciler.roster.Self().Name
	for _, partition := range record.Owned(self) {
		if !reconciler.owner.Owns(partition) {
			reconciler.owner.Start(partition, record.Owners[partition].Since, true, false)
		}
	}
}

// Leave hands over all partitions and removes this entry's share from the table.
func (reconciler *Reconciler) Leave(ctx context.Context) error {
	reconciler.mutex.Lock()
	defer reconciler.mutex.Unlock()
	self := reconciler.roster.Self().Name
	reconciler.leaving = true
	var others []string
	for name := range reconciler.roster.Members() {
		if name != self {
			others = append(others, name)
		}
	}
	reconciler.client.LowerShare(0)
	change := reconciler.newChange()
	if _, ok := change.record.Shares[self]; ok {
		delete(change.record.Shares, self)
		delete(change.record.Leases, self)
		change.changed = true
	}
	for range table.Partitions / maxHandovers {
		reconciler.handOver(ctx, change, others)
	}
	return reconciler.commit(ctx, change)
}
