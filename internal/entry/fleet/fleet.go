// Package fleet tracks the targets that an entry may send calls to.
//
// An entry watches a deterministic subset of the sides, so that control traffic
// grows more slowly than the fleet. Each watch is one open exchange: the side
// reports its state when it changes significantly, and the entry sends the part of
// the configuration that applies to the side's targets.
package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// hostListPeriod is the time between reads of the host list.
	hostListPeriod = 2 * time.Second
	// defaultSubsetSize is how many sides an entry watches in its own region.
	defaultSubsetSize = 128
	// unreachableTime is how long a target gets no calls after its side was not
	// reachable, unless the side reports again.
	unreachableTime = 2 * time.Second
	// minWatchDelay and maxWatchDelay bound the back-off between attempts to
	// watch a side.
	minWatchDelay = 200 * time.Millisecond
	maxWatchDelay = 5 * time.Second
)

// Fleet holds the state of the targets that an entry watches.
type Fleet struct {
	name       string
	region     string
	node       *link.Node
	hostList   agatestage.HostList
	feed       *feed.Feed
	clock      agatestage.Clock
	subsetSize int
	mutex      sync.RWMutex
	hosts      []agatestage.Host
	watches    map[string]*watch
	targets    map[string]*Target
	work       func() []calls.Work
	changed    chan struct{}
}

// Target is the state of one target as known to the entry.
type Target struct {
	Name             string
	Host             agatestage.Host
	Kind             agatestage.Kind
	load             agatestage.Load
	holdings         []agatestage.Holding
	leaving          bool
	unreachableUntil time.Time
	// pending counts this entry's calls in flight. pendingAtReport is its value at
	// the last report, from which candidate derives the calls sent since then.
	pending         int
	pendingAtReport int
}

// watch is the open exchange with one side.
type watch struct {
	host   agatestage.Host
	cancel context.CancelFunc
	wake   chan struct{}
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithSubsetSize sets how many sides are watched in the entry's own region.
func WithSubsetSize(subsetSize int) Option {
	return func(fleet *Fleet) { fleet.subsetSize = subsetSize }
}

// New returns a fleet without targets.
func New(name, region string, node *link.Node, hostList agatestage.HostList, feed *feed.Feed, clock agatestage.Clock, options ...Option) *Fleet {
	fleet := &Fleet{
		name:       name,
		region:     region,
		node:       node,
		hostList:   hostList,
		feed:       feed,
		clock:      clock,
		subsetSize: defaultSubsetSize,
		watches:    make(map[string]*watch),
		targets:    make(map[string]*Target),
		changed:    make(chan struct{}),
		work:       func() []calls.Work { return nil },
	}
	for _, option := range options {
		option(fleet)
	}
	return fleet
}

// Work sets the function that returns the batch work to announce to sides.
func (fleet *Fleet) Work(work func() []calls.Work) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.work = work
}

// Serve keeps the watches and policies in step with the host list and the
// configuration until ctx ends.
func (fleet *Fleet) Serve(ctx context.Context) error {
	ticker := fleet.clock.NewTicker(hostListPeriod)
	defer ticker.Stop()
	for {
		changed := fleet.feed.Changed()
		if hosts, err := fleet.hostList.Hosts(ctx); err == nil {
			fleet.updateWatches(ctx, hosts)
		} else if ctx.Err() == nil {
			klog.V(1).InfoS("host list not read", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			fleet.ResendPolicies()
		case <-ticker.C():
		}
	}
}

// String names the service in logs.
func (fleet *Fleet) String() string {
	return "fleet"
}

// Hosts returns the host list as last read.
func (fleet *Fleet) Hosts() []agatestage.Host {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return fleet.hosts
}

// ResendPolicies sends the policy to all watched sides again.
func (fleet *Fleet) ResendPolicies() {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	for _, watch := range fleet.watches {
		select {
		case watch.wake <- struct{}{}:
		default:
		}
	}
}

// updateWatches starts and ends watches to match the host list.
func (fleet *Fleet) updateWatches(ctx context.Context, hosts []agatestage.Host) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.hosts = hosts
	wanted := make(map[string]agatestage.Host)
	for _, host := range fleet.chooseSides(hosts) {
		wanted[host.Name] = host
	}
	for name, watch := range fleet.watches {
		host, ok := wanted[name]
		if ok && host.Address == watch.host.Address {
			fleet.setLeaving(name, host.Leaving)
			continue
		}
		watch.cancel()
		delete(fleet.watches, name)
		fleet.removeTargets(name)
	}
	for name, host := range wanted {
		if fleet.watches[name] == nil {
			fleet.startWatch(ctx, host)
		}
	}
}

// chooseSides returns the sides to watch by rendezvous hashing with this entry's
// name: subsetSize sides in its own region and half as many in each other region.
func (fleet *Fleet) chooseSides(hosts []agatestage.Host) (chosen []agatestage.Host) {
	regions := make(map[string][]agatestage.Host)
	for _, host := range hosts {
		if host.Role == agatestage.RoleSide {
			regions[host.Region] = append(regions[host.Region], host)
		}
	}
	for region, sides := range regions {
		limit := fleet.subsetSize
		if region != fleet.region {
			limit = (fleet.subsetSize + 1) / 2
		}
		sort.Slice(sides, func(i, j int) bool { return fleet.rank(sides[i]) > fleet.rank(sides[j]) })
		chosen = append(chosen, sides[:min(limit, len(sides))]...)
	}
	return chosen
}

// rank returns a side's rendezvous hash with this entry's name. The sides of the
// highest rank are watched.
func (fleet *Fleet) rank(host agatestage.Host) uint64 {
	return xxhash.Sum64String(fleet.name + "\x00" + host.Name)
}

// setLeaving marks a host's targets as leaving if the host list says so. The
// caller must hold the mutex.
func (fleet *Fleet) setLeaving(host string, leaving bool) {
	for _, target := range fleet.targets {
		if target.Host.Name == host && leaving {
			target.leaving = true
		}
	}
}

// removeTargets removes the targets of a host. The caller must hold the mutex.
func (fleet *Fleet) removeTargets(host string) {
	for name, target := range fleet.targets {
		if target.Host.Name == host {
			delete(fleet.targets, name)
		}
	}
}

// watch keeps an exchange with one side open, with exponential back-off between
// attempts that bring no report.
func (fleet *Fleet) watch(ctx context.Context, watch *watch) {
	delay := minWatchDelay
	for ctx.Err() == nil {
		reported, err := fleet.runExchange(ctx, watch)
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("side not watched", "host", watch.host.Name, "error", errorText(err))
		fleet.markNotReady(watch.host.Name)
		if reported {
			delay = minWatchDelay
		}
		ticks.Wait(ctx, fleet.clock, delay)
		delay = min(2*delay, maxWatchDelay)
	}
}

// setLoad records a reported load and the number of calls in flight at that time.
func (target *Target) setLoad(load agatestage.Load) {
	target.load, target.pendingAtReport = load, target.pending
}

// notifyWaiters wakes up the goroutines that wait for a target. The caller must
// hold the mutex.
func (fleet *Fleet) notifyWaiters() {
	close(fleet.changed)
	fleet.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next report.
func (fleet *Fleet) Changed() <-chan struct{} {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return fleet.changed
}

// markNotReady marks the targets of a host as not ready until it reports again.
func (fleet *Fleet) markNotReady(host string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, target := range fleet.targets {
		if target.Host.Name == host {
			target.load.Ready = false
		}
	}
}

// Candidates returns the targets that can take the call now, except those in
// except, sorted by name.
func (fleet *Fleet) Candidates(call *agatestage.Call, except map[string]bool) (candidates []agatestage.Candidate) {
	document := fleet.feed.Current()
	now := fleet.clock.Now()
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	for name, target := range fleet.targets {
		configured, ok := document.Targets[name]
		if !ok || except[name] || !target.usable(call, now) || !takesClass(configured.Online, configured.Batch, call) {
			continue
		}
		if call.Model != "" && !slices.Contains(configured.Models, call.Model) || call.Service != "" && !slices.Contains(configured.Services, call.Service) {
			continue
		}
		candidates = append(candidates, target.candidate())
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Target < candidates[j].Target })
	return candidates
}

// takesClass reports whether a target that is configured for online calls, batch
// calls or both takes the call.
func takesClass(online, batch bool, call *agatestage.Call) bool {
	if call.Batch {
		return batch
	}
	return online
}

// usable reports whether the target is ready and holds the call's model.
func (target *Target) usable(call *agatestage.Call, now time.Time) bool {
	if !target.load.Ready || target.leaving || now.Before(target.unreachableUntil) {
		return false
	}
	return call.Model == "" || slices.ContainsFunc(target.holdings, func(holding agatestage.Holding) bool {
		return holding.Model == call.Model
	})
}

// candidate returns the target as a candidate whose load includes the calls that
// this entry has sent since the last report.
func (target *Target) candidate() agatestage.Candidate {
	load := target.load
	load.Online = max(0, load.Online+target.pending-target.pendingAtReport)
	return agatestage.Candidate{
		Target: target.Name, Host: target.Host.Name, Side: target.Host.Address,
		Region: target.Host.Region, Zone: target.Host.Zone, Load: load, Pending: target.pending,
	}
}

// RecordSent records a call that is being sent to a target.
func (fleet *Fleet) RecordSent(name string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if target := fleet.targets[name]; target != nil {
		target.pending++
	}
}

// RecordDone records the end of a call, with the load from its answer, if any.
func (fleet *Fleet) RecordDone(name string, load *agatestage.Load) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	target := fleet.targets[name]
	if target == nil {
		return
	}
	target.pending = max(0, target.pending-1)
	target.pendingAtReport = min(target.pendingAtReport, target.pending)
	if load != nil && load.Slots > 0 {
		target.setLoad(*load)
	}
}

// MarkUnreachable excludes a target from the candidates for unreachableTime, after
// its side was not reachable.
func (fleet *Fleet) MarkUnreachable(name string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if target := fleet.targets[name]; target != nil {
		target.unreachableUntil = fleet.clock.Now().Add(unreachableTime)
	}
}

// CountOtherHolders counts the targets other than except that are ready, hold the
// model and are configured to serve it.
func (fleet *Fleet) CountOtherHolders(model, except string) (count int) {
	document := fleet.feed.Current()
	call := &agatestage.Call{Model: model}
	now := fleet.clock.Now()
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	for name, target := range fleet.targets {
		if name != except && target.usable(call, now) && slices.Contains(document.Targets[name].Models, model) {
			count++
		}
	}
	return count
}

// State is the state of one target in a status report.
type State struct {
	Target   string
	Host     string
	Region   string
	Zone     string
	Address  netip.AddrPort
	Leaving  bool
	Load     agatestage.Load
	Holdings []agatestage.Holding
}

// States returns the state of all targets that the entry watches, sorted by name.
func (fleet *Fleet) States() (states []State) {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	for _, target := range fleet.targets {
		states = append(states, State{
			Target: target.Name, Host: target.Host.Name, Region: target.Host.Region, Zone: target.Host.Zone,
			Address: target.Host.Address, Leaving: target.leaving, Load: target.load, Holdings: target.holdings,
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Target < states[j].Target })
	return states
}
