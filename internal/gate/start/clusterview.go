package start

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/conns"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/gate/gossip"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/gate/share"
	"github.com/agatestage/agatestage/internal/limit/tally"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/state/member"
)

// relistTimeout bounds the reading of the list of targets, which has several pages in
// large fleets.
const relistTimeout = 5 * time.Second

// clusterView combines the gateway's local state with what it knows of the store and
// of other gateways. It implements gossip.Source, serve.Freshness and batch.Fleet.
type clusterView struct {
	*sched.Scheduler
	holder      *rules.Holder
	storeHealth *feeds.StoreHealth
	duty        *feeds.Duty
	config      *feeds.Config
	targets     *feeds.Targets
	blame       *blame.List
	mesh        *gossip.Mesh
	roster      *member.Roster
	limits      *tally.Tally
	jobs        *batch.Manager
	// shares holds the organisations' use of slots; nil unless settings turn it on.
	shares *share.Ledger
	self   string
	evacuationView

	// assigning serialises assignments of homes.
	assigning sync.Mutex
	mutex     sync.Mutex
	// homes maps each target to the gateway that is its home.
	homes map[string]string
}

// Apply applies a new list of targets.
func (clusterView *clusterView) Apply(endpoints []agatestage.Endpoint) {
	if clusterView.hold(endpoints) {
		return
	}
	if clusterView.mesh != nil && clusterView.mesh.Watching() {
		clusterView.mesh.Announce()
	}
	clusterView.Scheduler.Apply(endpoints)
	clusterView.updateColdHomes()
	clusterView.GatewaysChanged()
}

// readinessChanged reassigns the homes of targets when one is leaving by its own
// statement, or is used again in spite of it.
func (clusterView *clusterView) readinessChanged(endpoint agatestage.Endpoint, ready bool) {
	message := "target says that it is leaving"
	if ready {
		message = "target is used again, as it said long ago that it was leaving"
	} else {
		metrics.GetOrCreateCounter("agatestage_targets_leaving_total").Inc()
	}
	klog.InfoS(message, "target", endpoint.ID, "service", endpoint.Service, "address", endpoint.Address, "zone", endpoint.Zone,
		"storeOutage", clusterView.StoreOutage())
	clusterView.GatewaysChanged()
}

// GatewaysChanged reassigns the homes of targets among the live gateways.
func (clusterView *clusterView) GatewaysChanged() {
	if clusterView.mesh == nil {
		return
	}
	// Changes of gateways and of targets come from different goroutines; the last one to
	// assign must have seen both.
	clusterView.assigning.Lock()
	defer clusterView.assigning.Unlock()
	endpoints := clusterView.Endpoints()
	alive := clusterView.mesh.Alive()
	homes := gossip.AssignHomes(alive, endpoints)
	own := make(map[string]bool)
	for target, home := range homes {
		if home == clusterView.self {
			own[target] = true
		}
	}
	klog.InfoS("targets dealt", "gateways", len(alive), "targets", len(endpoints), "homes", len(own))
	clusterView.mutex.Lock()
	clusterView.homes = homes
	clusterView.mutex.Unlock()
	clusterView.SetHomes(own)
}

// sendGuestCalls sends this gateway's calls at a target to the target's home.
func (clusterView *clusterView) sendGuestCalls(target string, held sched.Held) {
	clusterView.mutex.Lock()
	home := clusterView.homes[target]
	clusterView.mutex.Unlock()
	if home != "" && home != clusterView.self {
		clusterView.mesh.SendGuestCalls(home, gossip.GuestCalls{Target: target, Held: held})
	}
}

// Version implements gossip.Source.
func (clusterView *clusterView) Version() uint64 { return clusterView.holder.Version() }

// StoreOutage implements gossip.Source and batch.Fleet.
func (clusterView *clusterView) StoreOutage() time.Duration {
	return clusterView.storeHealth.StoreOutage()
}

// StoreRecovered implements gossip.Source.
func (clusterView *clusterView) StoreRecovered() { clusterView.storeHealth.RetryNow() }

// Config implements gossip.Source.
func (clusterView *clusterView) Config() []byte { return clusterView.config.Raw() }

// OfferConfig implements gossip.Source.
func (clusterView *clusterView) OfferConfig(data []byte) { clusterView.config.Offer(data, "gateway") }

// Notes implements gossip.Source.
func (clusterView *clusterView) Notes() []batch.Note { return clusterView.jobs.Notes() }

// ReceiveNotes implements gossip.Source.
func (clusterView *clusterView) ReceiveNotes(notes []batch.Note) {
	clusterView.jobs.ReceiveNotes(notes)
}

// ConfigOverdue implements gossip.Source.
func (clusterView *clusterView) ConfigOverdue() bool { return clusterView.config.Overdue() }

// WatchingChanged implements gossip.Source.
func (clusterView *clusterView) WatchingChanged(watching bool) { clusterView.duty.Set(watching) }

// Watching implements batch.Fleet.
func (clusterView *clusterView) Watching() bool { return clusterView.mesh.Watching() }

// TargetChanges implements gossip.Source.
func (clusterView *clusterView) TargetChanges(after uint64) []agatestage.Record {
	return clusterView.targets.Changes(after)
}

// RelistTargets implements gossip.Source.
func (clusterView *clusterView) RelistTargets() {
	ctx, cancel := context.WithTimeout(context.Background(), relistTimeout)
	defer cancel()
	if err := clusterView.targets.Relist(ctx); err != nil {
		klog.InfoS("list of targets not read again", "error", err.Error())
	}
}

// LastChange implements gossip.Source.
func (clusterView *clusterView) LastChange() uint64 { return clusterView.targets.LastChange() }

// TargetsDigest implements gossip.Source.
func (clusterView *clusterView) TargetsDigest() uint64 { return clusterView.targets.Digest() }

// OfferTargets implements gossip.Source.
func (clusterView *clusterView) OfferTargets(records []agatestage.Record, whole bool) {
	clusterView.targets.Offer(records, whole)
}

// Strike implements gossip.Source.
func (clusterView *clusterView) Strike(strike blame.Strike) {
	if clusterView.blame.Add(strike) {
		lost, counted := clusterView.blame.Counts(strike.Fingerprint)
		klog.V(1).InfoS("strike received", "target", strike.Target, "body", blame.Name(strike.Fingerprint), "lost", lost, "counted", counted, "age", strike.Age)
	}
}

// KnownStrikes implements gossip.Source.
func (clusterView *clusterView) KnownStrikes() []blame.Strike { return clusterView.blame.Known() }

// PermitTrial implements gossip.Source.
func (clusterView *clusterView) PermitTrial(inquiry blame.Inquiry) bool {
	return clusterView.blame.PermitTrial(inquiry)
}

// Counts implements gossip.Source.
func (clusterView *clusterView) Counts(all bool) map[string]tally.Count {
	return clusterView.limits.Counts(all)
}

// ReceiveCounts implements gossip.Source.
func (clusterView *clusterView) ReceiveCounts(gateway, instance string, counts map[string]tally.Count) {
	clusterView.limits.Merge(gateway, instance, counts)
}

// Age implements serve.Freshness.
func (clusterView *clusterView) Age() time.Duration {
	return min(clusterView.config.Age(), clusterView.mesh.ConfirmedAge())
}

// ConfirmedByPeer implements serve.Freshness.
func (clusterView *clusterView) ConfirmedByPeer() bool { return clusterView.mesh.Fresh() }

// Alive implements batch.Fleet.
func (clusterView *clusterView) Alive() (gateways []batch.Gateway) {
	for _, state := range clusterView.mesh.Alive() {
		if !state.Leaving {
			gateways = append(gateways, batch.Gateway{
				Name: state.Name, Instance: state.Instance, Region: state.Region, Hears: state.Hears, Backlog: state.Backlog, Slots: state.Slots,
			})
		}
	}
	return gateways
}

// Hold implements batch.Fleet.
func (clusterView *clusterView) Hold() (lease agatestage.Lease, acquired uint64, until time.Time) {
	return clusterView.roster.Hold()
}

// Gone implements batch.Fleet.
func (clusterView *clusterView) Gone(name, instance string) bool {
	return clusterView.mesh.Gone(name, instance)
}

// Replaced implements batch.Fleet.
func (clusterView *clusterView) Replaced(name, instance string) bool {
	return clusterView.mesh.Replaced(name, instance)
}

// prober dials targets that couldn't be reached until a dial succeeds or the target is
// no longer listed at that address.
type prober struct {
	ctx   context.Context
	clock agatestage.Clock
	pool  *conns.Pool
	sched *sched.Scheduler
}

func (prober *prober) watch(endpoint agatestage.Endpoint) {
	klog.InfoS("target can't be reached", "target", endpoint.ID, "service", endpoint.Service, "address", endpoint.Address)
	prober.pool.CloseIdle(endpoint.Address)
	go func() {
		began := prober.clock.Now()
		for n := 0; prober.ctx.Err() == nil; n++ {
			ticks.Wait(prober.ctx, prober.clock, sched.Backoff(n))
			if !prober.sched.Lists(endpoint) {
				return
			}
			err := prober.pool.Dial(prober.ctx, endpoint.Address)
			if !prober.sched.Lists(endpoint) {
				return
			}
			if err == nil {
				klog.InfoS("target can be reached again", "target", endpoint.ID, "after", prober.clock.Since(began))
				prober.sched.MarkUp(endpoint.ID)
				return
			}
			if errors.Is(err, syscall.ECONNREFUSED) {
				prober.sched.MarkDown(endpoint.ID)
			} else {
				prober.sched.MarkSilent(endpoint.ID)
			}
		}
	}()
}
