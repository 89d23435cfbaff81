// Package member maintains the membership list of live entries.
//
// Each entry holds a lease in the platform's store and one record attached to it.
// An entry is alive while its record exists. The holder stops relying on its lease
// before the store can let it expire, even if the process was paused, since it
// measures the lease time by its own clock from the moment it sent the renewal.
package member

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/state/watch"
)

const (
	// LeaseTime is the TTL of a lease after its last renewal.
	LeaseTime = 3500 * time.Millisecond
	// holdTime is how long the holder relies on its lease. The margin covers the
	// drift between the clocks of the holder and the store.
	holdTime = LeaseTime - 200*time.Millisecond
	// renewPeriod is the interval between renewals.
	renewPeriod = 800 * time.Millisecond
	// joinWait bounds how long the first list of the members waits until the own record is
	// written.
	joinWait = time.Second
	prefix   = "member/"
)

// Member is a live entry.
type Member struct {
	Name    string
	Region  string
	Zone    string
	Address netip.AddrPort
	// Ledger means that the entry stores batch ledgers.
	Ledger bool
	// Lease is the lease that the record is attached to.
	Lease agatestage.Lease
	// Instance identifies the entry's process, if it isn't empty.
	Instance string `json:",omitempty"`
}

// Key returns the key of an entry's record.
func Key(name string) string { return prefix + name }

// Decode decodes the record of an entry. Ok is false if it is one of another writer, which
// may lack the name or have that of another entry.
func Decode(record agatestage.Record) (member Member, ok bool) {
	err := json.Unmarshal(record.Value, &member)
	return member, err == nil && member.Name != "" && record.Key == Key(member.Name)
}

// Roster holds an entry's own lease and its view of the membership list.
type Roster struct {
	store         agatestage.Store
	clock         agatestage.Clock
	self          Member
	mutex         sync.Mutex
	lease         agatestage.Lease
	leaseDeadline time.Time
	// joined is the store's revision at which the record was attached to the lease.
	joined  uint64
	members map[string]Member
	// revision is the store's revision of the newest change of members that is known.
	revision uint64
	// addresses holds the last known address of every entry that was ever a member.
	addresses map[string]netip.AddrPort
	// confirmed is when the store last confirmed the view.
	confirmed time.Time
	changed   chan struct{}
	// attempted is closed, by attempt, when the first attempt to join has ended.
	attempted    chan struct{}
	attempt      sync.Once
	left         bool
	watchOptions []watch.Option
	// onRenewal is called with the outcome of each renewal.
	onRenewal func(error)
}

// Option configures a roster.
type Option func(*Roster)

// WithWatchOptions sets the options of the watch on the members' records.
func WithWatchOptions(watchOptions ...watch.Option) Option {
	return func(roster *Roster) { roster.watchOptions = watchOptions }
}

// WithRenewalHandler sets a function that is called with the outcome of each renewal.
func WithRenewalHandler(onRenewal func(error)) Option {
	return func(roster *Roster) { roster.onRenewal = onRenewal }
}

// New returns a roster without a lease and with no members.
func New(store agatestage.Store, clock agatestage.Clock, self Member, options ...Option) *Roster {
	roster := &Roster{
		store:     store,
		clock:     clock,
		self:      self,
		members:   map[string]Member{},
		addresses: map[string]netip.AddrPort{},
		changed:   make(chan struct{}),
		attempted: make(chan struct{}),
		onRenewal: func(error) {},
	}
	for _, option := range options {
		option(roster)
	}
	return roster
}

// Self returns this entry's member.
func (roster *Roster) Self() Member {
	return roster.self
}

// Hold returns this entry's lease, the store's revision at which its record was attached
// to the lease, and until when this entry may rely on it.
func (roster *Roster) Hold() (lease agatestage.Lease, joined uint64, until time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.lease, roster.joined, roster.leaseDeadline
}

// Until returns the time until which this entry may rely on its lease.
func (roster *Roster) Until() time.Time {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.leaseDeadline
}

// Lease returns the lease that this entry attaches its own records to.
func (roster *Roster) Lease() agatestage.Lease {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.lease
}

// Members returns the entries that were alive when the store last confirmed the
// view.
func (roster *Roster) Members() map[string]Member {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.members
}

// Snapshot returns the members and the store's revision of the newest change of them that
// is known.
func (roster *Roster) Snapshot() (members []Member, revision uint64) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	for _, member := range roster.members {
		members = append(members, member)
	}
	return members, roster.revision
}

// Revision returns the store's revision of the newest change of members that is known.
func (roster *Roster) Revision() uint64 {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.revision
}

// Offer replaces the view by the snapshot of another process, unless this one knows a
// newer change.
func (roster *Roster) Offer(members []Member, revision uint64) {
	if revision <= roster.Revision() {
		return
	}
	view := make(map[string]Member, len(members))
	for _, member := range members {
		view[member.Name] = member
	}
	roster.setMembers(view, revision, true)
}

// HoldsLease reads from the store whether an entry's record is attached to the
// lease.
func (roster *Roster) HoldsLease(ctx context.Context, name string, lease agatestage.Lease) (bool, error) {
	record, err := roster.store.Get(ctx, Key(name))
	if errors.Is(err, agatestage.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	var member Member
	if err = json.Unmarshal(record.Value, &member); err != nil {
		return false, errors.Wrap(err, "decode member")
	}
	return member.Lease == lease, nil
}

// Address returns the last known address of an entry. An entry whose lease expired
// during a store outage can still be reached there.
func (roster *Roster) Address(name string) (netip.AddrPort, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	address, ok := roster.addresses[name]
	return address, ok
}

// ConfirmedAt returns when the store last confirmed the view.
func (roster *Roster) ConfirmedAt() time.Time {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.confirmed
}

// Changed returns a channel that is closed when the members change.
func (roster *Roster) Changed() <-chan struct{} {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.changed
}

// Renewer returns the service that renews the lease.
func (roster *Roster) Renewer() *Renewer {
	return &Renewer{roster: roster}
}

// Renewer renews an entry's lease.
type Renewer struct {
	roster *Roster
}

// Serve renews the lease until ctx ends.
func (renewer *Renewer) Serve(ctx context.Context) error {
	roster := renewer.roster
	ticker := roster.clock.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		err := roster.Renew(ctx)
		roster.attempt.Do(func() { close(roster.attempted) })
		if err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("failed to renew lease", "error", err.Error())
		}
		if ctx.Err() == nil {
			roster.onRenewal(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
	}
}

// String names the service in logs.
func (renewer *Renewer) String() string {
	return "lease"
}

// Renew renews the lease, or acquires a new one if it has expired.
func (roster *Roster) Renew(ctx context.Context) error {
	sent := roster.clock.Now()
	lease := roster.Lease()
	if lease != "" {
		err := roster.store.Renew(ctx, lease)
		if err == nil {
			roster.setLease(lease, 0, sent)
			return nil
		}
		if !errors.Is(err, agatestage.ErrNoLease) {
			return err
		}
	}
	return roster.join(ctx)
}

// join acquires a lease and writes this entry's record attached to it.
func (roster *Roster) join(ctx context.Context) error {
	sent := roster.clock.Now()
	lease, err := roster.store.Grant(ctx, LeaseTime)
	if err != nil {
		return err
	}
	self := roster.self
	self.Lease = lease
	var data []byte
	if data, err = json.Marshal(self); err != nil {
		return errors.Wrap(err, "encode member")
	}
	key := Key(roster.self.Name)
	var version uint64
	if record, getErr := roster.store.Get(ctx, key); getErr == nil {
		// A previous run of this entry left a record whose lease hasn't expired yet.
		version = record.Version
	}
	if version, err = roster.store.Swap(ctx, key, version, data, lease); err != nil {
		return err
	}
	roster.setLease(lease, version, sent)
	return nil
}

// setLease records a lease that was renewed or, at the revision joined, acquired.
func (roster *Roster) setLease(lease agatestage.Lease, joined uint64, sent time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.left {
		return
	}
	roster.lease, roster.leaseDeadline, roster.joined = lease, sent.Add(holdTime), max(roster.joined, joined)
}

// Serve watches the members' records until ctx ends. It lists them after this process has
// joined, so that of two that start at the same time one at least knows the other.
func (roster *Roster) Serve(ctx context.Context) error {
	roster.awaitJoin(ctx)
	return watch.Follow(ctx, roster.store, roster.clock, prefix, func(_ context.Context, records []agatestage.Record, complete bool) error {
		roster.apply(records, complete)
		return nil
	}, roster.watchOptions...)
}

// awaitJoin waits until the first attempt to join has ended, at most for joinWait.
func (roster *Roster) awaitJoin(ctx context.Context) {
	timer := roster.clock.NewTimer(joinWait)
	defer timer.Stop()
	select {
	case <-roster.attempted:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// String names the service in logs.
func (roster *Roster) String() string {
	return "roster"
}

// Refresh reads the full list of members once.
func (roster *Roster) Refresh(ctx context.Context) error {
	records, _, err := roster.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	roster.apply(records, true)
	return nil
}

// apply updates the view by the changed records, or replaces it if the records are
// a complete list.
func (roster *Roster) apply(records []agatestage.Record, complete bool) {
	members := make(map[string]Member)
	if !complete {
		for name, member := range roster.Members() {
			members[name] = member
		}
	}
	revision := roster.Revision()
	for _, record := range records {
		revision = max(revision, record.Version)
		name := record.Key[len(prefix):]
		delete(members, name)
		if member, ok := Decode(record); ok && !record.Deleted {
			members[name] = member
		}
	}
	roster.setMembers(members, revision, complete || len(records) > 0)
}

func (roster *Roster) setMembers(members map[string]Member, revision uint64, changed bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.confirmed = roster.clock.Now()
	if !changed {
		return
	}
	roster.members, roster.revision = members, revision
	for name, member := range members {
		roster.addresses[name] = member.Address
	}
	close(roster.changed)
	roster.changed = make(chan struct{})
}

// Leave revokes the lease, so that others need not wait for it to expire.
func (roster *Roster) Leave(ctx context.Context) {
	roster.mutex.Lock()
	lease := roster.lease
	roster.lease, roster.leaseDeadline, roster.left = "", time.Time{}, true
	roster.mutex.Unlock()
	if lease == "" {
		return
	}
	if err := roster.store.Revoke(ctx, lease); err != nil {
		klog.V(1).InfoS("failed to revoke lease; it will expire", "error", err.Error())
	}
}
