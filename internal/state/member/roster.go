// Package member keeps the list of entries that are alive.
//
// Each entry holds one lease in the platform's store and one record under it.
// An entry counts as alive while its record is there. By its own clock, the
// holder stops relying on the lease before the store can let it lapse, however
// long it was paused: the time counts from when the renewal was sent.
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
	// LeaseTime is the life of a lease after its last renewal.
	LeaseTime = 3500 * time.Millisecond
	// holdTime is how long the holder relies on it, which leaves room for the
	// rate error of two clocks.
	holdTime = LeaseTime - 200*time.Millisecond
	// renewPeriod is the time between renewals.
	renewPeriod = 800 * time.Millisecond
	prefix      = "member/"
)

// Member is one entry that is alive.
type Member struct {
	Name    string
	Region  string
	Zone    string
	Address netip.AddrPort
	// Ledger says that the entry keeps batch ledgers.
	Ledger bool
	// Lease is the lease that the record hangs on.
	Lease agatestage.Lease
}

// Roster is an entry's own lease and its view of the others.
type Roster struct {
	store   agatestage.Store
	clock   agatestage.Clock
	self    Member
	mutex   sync.Mutex
	lease   agatestage.Lease
	until   time.Time
	members map[string]Member
	// known holds the last address of every entry ever seen alive.
	known map[string]netip.AddrPort
	// heard is when the view was last confirmed by the store.
	heard   time.Time
	changed chan struct{}
	left    bool
	polls   []watch.Option
}

// Option changes how a roster is built.
type Option func(*Roster)

// WithPolls sets how the members are followed.
func WithPolls(polls ...watch.Option) Option {
	return func(roster *Roster) { roster.polls = polls }
}

// New returns a roster that knows only its own member.
func New(store agatestage.Store, clock agatestage.Clock, self Member, options ...Option) *Roster {
	roster := &Roster{
		store:   store,
		clock:   clock,
		self:    self,
		members: map[string]Member{},
		known:   map[string]netip.AddrPort{},
		changed: make(chan struct{}),
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

// Until returns the time up to which this entry holds its lease.
func (roster *Roster) Until() time.Time {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.until
}

// Lease returns the lease under which this entry writes records of its own.
func (roster *Roster) Lease() agatestage.Lease {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.lease
}

// Members returns the entries that were alive when the store was last heard.
func (roster *Roster) Members() map[string]Member {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.members
}

// Holds asks the store whether an entry's record hangs on the lease.
func (roster *Roster) Holds(ctx context.Context, name string, lease agatestage.Lease) (bool, error) {
	record, err := roster.store.Get(ctx, prefix+name)
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

// Address returns where an entry was last known to listen. An entry whose lease
// has lapsed because the store is out can still be reached there.
func (roster *Roster) Address(name string) (netip.AddrPort, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	address, ok := roster.known[name]
	return address, ok
}

// Heard returns when the store last confirmed the view.
func (roster *Roster) Heard() time.Time {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.heard
}

// Changed returns a channel that is closed when the members change.
func (roster *Roster) Changed() <-chan struct{} {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.changed
}

// Renewer returns the service that keeps the lease.
func (roster *Roster) Renewer() *Renewer {
	return &Renewer{roster: roster}
}

// Renewer keeps an entry's lease alive.
type Renewer struct {
	roster *Roster
}

// Serve renews the lease until ctx ends.
func (renewer *Renewer) Serve(ctx context.Context) error {
	roster := renewer.roster
	ticker := roster.clock.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		if err := roster.Renew(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("lease not renewed", "error", err.Error())
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

// Renew extends the lease or takes a new one.
func (roster *Roster) Renew(ctx context.Context) error {
	sent := roster.clock.Now()
	lease := roster.Lease()
	if lease != "" {
		err := roster.store.Renew(ctx, lease)
		if err == nil {
			roster.hold(lease, sent)
			return nil
		}
		if !errors.Is(err, agatestage.ErrNoLease) {
			return err
		}
	}
	return roster.join(ctx)
}

// join takes a lease and writes this entry's record under it.
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
	key := prefix + roster.self.Name
	var version uint64
	if record, getErr := roster.store.Get(ctx, key); getErr == nil {
		// A former run of this entry left a record that has not lapsed yet.
		version = record.Version
	}
	if _, err = roster.store.Swap(ctx, key, version, data, lease); err != nil {
		return err
	}
	roster.hold(lease, sent)
	return nil
}

func (roster *Roster) hold(lease agatestage.Lease, sent time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.left {
		return
	}
	roster.lease, roster.until = lease, sent.Add(holdTime)
}

// Serve follows the members until ctx ends.
func (roster *Roster) Serve(ctx context.Context) error {
	return watch.Follow(ctx, roster.store, roster.clock, prefix, func(_ context.Context, records []agatestage.Record, whole bool) error {
		roster.apply(records, whole)
		return nil
	}, roster.polls...)
}

// String names the service in logs.
func (roster *Roster) String() string {
	return "roster"
}

// Refresh reads the whole list of members once.
func (roster *Roster) Refresh(ctx context.Context) error {
	records, _, err := roster.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	roster.apply(records, true)
	return nil
}

// apply takes the records that have changed, or all of them.
func (roster *Roster) apply(records []agatestage.Record, whole bool) {
	members := make(map[string]Member)
	if !whole {
		for name, member := range roster.Members() {
			members[name] = member
		}
	}
	for _, record := range records {
		name := record.Key[len(prefix):]
		delete(members, name)
		var member Member
		if record.Deleted || json.Unmarshal(record.Value, &member) != nil {
			continue
		}
		members[name] = member
	}
	roster.set(members, whole || len(records) > 0)
}

func (roster *Roster) set(members map[string]Member, changed bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.heard = roster.clock.Now()
	if !changed {
		return
	}
	roster.members = members
	for name, member := range members {
		roster.known[name] = member.Address
	}
	close(roster.changed)
	roster.changed = make(chan struct{})
}

// Leave gives the lease back, so that others need not wait for its end.
func (roster *Roster) Leave(ctx context.Context) {
	roster.mutex.Lock()
	lease := roster.lease
	roster.lease, roster.until, roster.left = "", time.Time{}, true
	roster.mutex.Unlock()
	if lease == "" {
		return
	}
	if err := roster.store.Revoke(ctx, lease); err != nil {
		klog.V(1).InfoS("lease not given back; it lapses by itself", "error", err.Error())
	}
}
