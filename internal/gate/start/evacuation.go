package start

import (
	"sync"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/gate/gossip"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/gate/sched"
)

// entryAge is how old a target's entry may be when it is read. A gateway that is isolated and
// has had no answer of the store for longer may lack the news that a target is cold.
const entryAge = 2 * time.Second

// evacuationView is the part of the clusterView that concerns evacuated zones and cold targets.
type evacuationView struct {
	evacuations *feeds.Evacuations

	// gate serialises lists of targets with the first news of evacuations. Until that comes,
	// applied is false, and the latest list is in waiting if hasWaiting.
	gate       sync.Mutex
	applied    bool
	waiting    []agatestage.Endpoint
	hasWaiting bool

	// coldMutex guards the fields below: the gateways that may be running, the services with limits,
	// and the targets whose cold home this gateway is, which is determined once for each.
	coldMutex    sync.Mutex
	fleet        gossip.Quorum
	coldServices map[string]bool
	coldHomes    map[coldKey]bool
}

// coldKey is what the cold home of a target depends on.
type coldKey struct{ id, zone, region string }

// hold keeps a list of targets back while the evacuations aren't known, and reports whether it
// did.
func (view *evacuationView) hold(endpoints []agatestage.Endpoint) (held bool) {
	view.gate.Lock()
	defer view.gate.Unlock()
	if !view.applied {
		view.waiting, view.hasWaiting = endpoints, true
	}
	return !view.applied
}

// holdCold records in the list that is kept back that a target is cold, and reports whether there
// may be such a list.
func (view *evacuationView) holdCold(endpoint agatestage.Endpoint) (held bool) {
	view.gate.Lock()
	defer view.gate.Unlock()
	if view.applied {
		return false
	}
	for i := range view.waiting {
		if known := &view.waiting[i]; known.ID == endpoint.ID {
			known.ColdFor = max(known.ColdFor, endpoint.ColdFor)
		}
	}
	return true
}

// applyEvacuations applies evacuated zones, and the list of targets that waited for them.
func (clusterView *clusterView) applyEvacuations(zones []string, announce bool) {
	clusterView.SetEvacuated(zones)
	clusterView.gate.Lock()
	waiting, hasWaiting := clusterView.waiting, clusterView.hasWaiting
	if hasWaiting {
		// A newer list must come after this one.
		clusterView.Scheduler.Apply(waiting)
	}
	clusterView.applied, clusterView.waiting, clusterView.hasWaiting = true, nil, false
	clusterView.gate.Unlock()
	if clusterView.mesh != nil && (announce || hasWaiting && clusterView.mesh.Watching()) {
		clusterView.mesh.Announce()
	}
	if hasWaiting {
		clusterView.updateColdHomes()
	}
	clusterView.GatewaysChanged()
}

// MarkCold records that a target's entry says that it is cold, also if its list has yet to be
// applied.
func (clusterView *clusterView) MarkCold(endpoint agatestage.Endpoint) {
	if !clusterView.holdCold(endpoint) {
		clusterView.Scheduler.MarkCold(endpoint)
	}
}

// Evacuations implements gossip.Source.
func (clusterView *clusterView) Evacuations() (zones []string, revision uint64) {
	return clusterView.evacuations.State()
}

// OfferEvacuations implements gossip.Source.
func (clusterView *clusterView) OfferEvacuations(zones []string, revision uint64, gateway string) {
	clusterView.evacuations.Offer(zones, revision, gateway)
}

// applyServices applies the limits of cold targets in a configuration.
func (clusterView *clusterView) applyServices(snapshot *rules.Snapshot) {
	limits, services := make(map[string]sched.ColdLimit), make(map[string]bool)
	for _, service := range snapshot.ColdServices() {
		limits[service.Name] = sched.ColdLimit{Start: service.ColdStart, Rate: service.ColdRate}
		services[service.Name] = true
	}
	clusterView.coldMutex.Lock()
	clusterView.coldServices = services
	clusterView.coldMutex.Unlock()
	clusterView.SetColdLimits(limits)
	clusterView.updateColdHomes()
}

// QuorumChecked implements gossip.Source.
func (clusterView *clusterView) QuorumChecked(quorum gossip.Quorum) {
	clusterView.coldMutex.Lock()
	changed := clusterView.fleet.Fleet != quorum.Fleet
	if changed {
		clusterView.fleet, clusterView.coldHomes = quorum, nil
	}
	clusterView.coldMutex.Unlock()
	if changed {
		clusterView.updateColdHomes()
	}
	clusterView.PermitCold(sched.ColdPermit{
		From: quorum.From, Until: quorum.Until, Doubtful: !quorum.Large, Isolated: quorum.Isolated,
		Blind: quorum.Isolated && clusterView.storeHealth.Silence() > entryAge,
	})
}

// updateColdHomes determines the targets whose cold home this gateway is.
func (clusterView *clusterView) updateColdHomes() {
	clusterView.coldMutex.Lock()
	defer clusterView.coldMutex.Unlock()
	// The last list to be applied must be that of the last call.
	endpoints := clusterView.Endpoints()
	known, own := clusterView.coldHomes, make(map[string]bool)
	clusterView.coldHomes = make(map[coldKey]bool)
	for _, endpoint := range endpoints {
		if !clusterView.coldServices[endpoint.Service] || clusterView.fleet.Fleet == 0 {
			continue
		}
		key := coldKey{id: endpoint.ID, zone: endpoint.Zone, region: endpoint.Region}
		home, ok := known[key]
		if !ok {
			home = gossip.ColdHome(clusterView.fleet.Members, endpoint) == clusterView.self
		}
		if clusterView.coldHomes[key] = home; home {
			own[endpoint.ID] = true
		}
	}
	clusterView.SetColdHomes(own)
}
