package start

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/conns"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/gate/gossip"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/limit/tally"
	"github.com/agatestage/agatestage/internal/route/blame"
)

// view joins what a gateway knows for the parts that ask for it. It implements
// gossip.Source, serve.Freshness and batch.Fleet.
type view struct {
	*sched.Scheduler
	holder  *rules.Holder
	contact *feeds.Contact
	config  *feeds.Config
	targets *feeds.Targets
	blame   *blame.List
	mesh    *gossip.Mesh
	limits  *tally.Tally
	self    string

	mutex     sync.Mutex
	endpoints []agatestage.Endpoint
	// homes is the home of each target.
	homes map[string]string
}

// Apply takes a new list of targets.
func (view *view) Apply(endpoints []agatestage.Endpoint) {
	view.mutex.Lock()
	view.endpoints = endpoints
	view.mutex.Unlock()
	view.Scheduler.Apply(endpoints)
	view.Changed()
}

// Changed deals the targets anew among the gateways that are alive.
func (view *view) Changed() {
	if view.mesh == nil {
		return
	}
	view.mutex.Lock()
	endpoints := view.endpoints
	view.mutex.Unlock()
	alive := view.mesh.Alive()
	homes := gossip.Homes(alive, endpoints)
	own := make(map[string]bool)
	for target, home := range homes {
		if home == view.self {
			own[target] = true
		}
	}
	klog.InfoS("targets dealt", "gateways", len(alive), "targets", len(endpoints), "homes", len(own))
	view.mutex.Lock()
	view.homes = homes
	view.mutex.Unlock()
	view.SetHomes(own)
}

// guest tells the home of a target of this gateway's calls there.
func (view *view) guest(target string, held sched.Held) {
	view.mutex.Lock()
	home := view.homes[target]
	view.mutex.Unlock()
	if home != "" && home != view.self {
		view.mesh.TellGuest(home, gossip.Guest{Target: target, Held: held})
	}
}

// Version implements gossip.Source.
func (view *view) Version() uint64 { return view.holder.Version() }

// Silent implements gossip.Source and batch.Fleet.
func (view *view) Silent() time.Duration { return view.contact.Silent() }

// StoreReturned implements gossip.Source.
func (view *view) StoreReturned() { view.contact.Hint() }

// Config implements gossip.Source.
func (view *view) Config() []byte { return view.config.Raw() }

// OfferConfig implements gossip.Source.
func (view *view) OfferConfig(data []byte) { view.config.Offer(data, "gateway") }

// Targets implements gossip.Source.
func (view *view) Targets() []agatestage.Record { return view.targets.Records() }

// TargetsDigest implements gossip.Source.
func (view *view) TargetsDigest() uint64 { return view.targets.Digest() }

// OfferTargets implements gossip.Source.
func (view *view) OfferTargets(records []agatestage.Record) { view.targets.Offer(records, true) }

// Strike implements gossip.Source.
func (view *view) Strike(strike blame.Strike) { view.blame.Add(strike) }

// Counts implements gossip.Source.
func (view *view) Counts(all bool) map[string]tally.Count { return view.limits.Counts(all) }

// HearCounts implements gossip.Source.
func (view *view) HearCounts(gateway, instance string, counts map[string]tally.Count) {
	view.limits.Hear(gateway, instance, counts)
}

// Age implements serve.Freshness.
func (view *view) Age() time.Duration { return view.contact.Age() }

// ConfirmedByPeer implements serve.Freshness.
func (view *view) ConfirmedByPeer() bool { return view.mesh.Fresh() }

// Alive implements batch.Fleet.
func (view *view) Alive() (gateways []batch.Gateway) {
	for _, state := range view.mesh.Alive() {
		if !state.Leaving {
			gateways = append(gateways, batch.Gateway{
				Name: state.Name, Instance: state.Instance, Region: state.Region, Hears: state.Hears, Backlog: state.Backlog, Slots: state.Slots,
			})
		}
	}
	return gateways
}

// Gone implements batch.Fleet.
func (view *view) Gone(name, instance string) bool { return view.mesh.Gone(name, instance) }

// prober looks after targets that couldn't be reached until they can be, or
// have left.
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
			if !prober.sched.HasTarget(endpoint.ID) {
				return
			}
			if err := prober.pool.Dial(prober.ctx, endpoint.Address); err == nil {
				klog.InfoS("target can be reached again", "target", endpoint.ID, "after", prober.clock.Since(began))
				prober.sched.MarkUp(endpoint.ID)
				return
			}
		}
	}()
}
