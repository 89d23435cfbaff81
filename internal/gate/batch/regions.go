package batch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

// A job may be limited to regions by its routes and its organisation. Only gateways there may
// own it or cache what belongs to it. The gateway that accepted it may keep it while none of them
// is alive.

const (
	// leavePeriod is the period of the check whether jobs run here that may not any more.
	leavePeriod = 300 * time.Millisecond
	// minForeignTime is how long a job stays with an owner that may not have it, so that
	// gateways with different configurations don't pass it to and fro without pause.
	minForeignTime = time.Second
	// maxLeaving is how many jobs are handed over at a time, as their inputs share the line
	// between the regions.
	maxLeaving = 4
	// waitingLogPeriod is the minimum time between two lines about jobs that wait for a gateway.
	waitingLogPeriod = 10 * time.Second
)

// regionState is what a Manager keeps for jobs that are limited to regions.
type regionState struct {
	// checkedVersion is the version of the configuration by which the caches were last checked.
	checkedVersion uint64
	// waitingLoggedAt is when jobs that wait for a gateway were last logged.
	waitingLoggedAt time.Time
}

// countJob counts a decision about the owner or the input of a job.
func countJob(decision string) {
	metrics.GetOrCreateCounter(`agatestage_region_jobs_total{decision="` + decision + `"}`).Inc()
}

// regions returns the regions in which a job may be run and kept by the configuration in
// force. If that is older than the job, or lacks its organisation, those of its submission hold.
func (manager *Manager) regions(head Head) agatestage.Regions {
	snapshot := manager.rules.Current()
	if snapshot == nil || snapshot.Version() < head.ConfigVersion {
		return head.Regions
	}
	return regionsIn(snapshot, head, append([]string{head.Route}, head.ItemRoutes...)...)
}

// regionsIn returns the regions that a configuration allows to a job on the given routes.
func regionsIn(snapshot *rules.Snapshot, head Head, routes ...string) agatestage.Regions {
	regions := snapshot.Regions(head.Organisation, routes...)
	if _, known := snapshot.Organisation(head.Organisation); !known && head.Organisation != "" {
		regions = regions.Intersect(head.Regions)
	}
	return regions
}

// itemRegions returns the function that looks up in which regions an item may be served, whose
// route was the given one when it was placed.
func (job *job) itemRegions(item *Item, placed *rules.Route) func() agatestage.Regions {
	path, _, _ := strings.Cut(item.Path, "?")
	return func() agatestage.Regions {
		snapshot, route := job.manager.rules.Current(), placed
		if current, ok := snapshot.MatchBatch(job.head.Host, path); ok {
			route = current
		}
		return regionsIn(snapshot, job.head, job.head.Route).Intersect(agatestage.RegionsOf(route.Regions))
	}
}

// limit records in a new submission which routes its items have and which regions it may use,
// for gateways whose configuration is older.
func (manager *Manager) limit(spec *Spec) {
	snapshot := manager.rules.Current()
	if snapshot == nil {
		return
	}
	for i := range spec.Items {
		path, _, _ := strings.Cut(spec.Items[i].Path, "?")
		if route, ok := snapshot.MatchBatch(spec.Host, path); ok && route.Name != spec.Route.Name && !slices.Contains(spec.ItemRoutes, route.Name) {
			spec.ItemRoutes = append(spec.ItemRoutes, route.Name)
		}
	}
	// The route may have left the configuration since the caller was authorised.
	spec.Regions = manager.regions(spec.head()).Intersect(agatestage.RegionsOf(spec.Route.Regions))
}

// head returns the part of the job's head that limits its regions.
func (spec Spec) head() Head {
	return Head{
		ID: spec.ID, Organisation: spec.Organisation, Route: spec.Route.Name, ConfigVersion: spec.ConfigVersion, Host: spec.Host,
		Regions: spec.Regions, ItemRoutes: spec.ItemRoutes,
	}
}

// allowedIn returns those of the gateways that are in allowed regions.
func allowedIn(regions agatestage.Regions, gateways []Gateway) []Gateway {
	if !regions.Restricted {
		return gateways
	}
	return slices.DeleteFunc(slices.Clone(gateways), func(gateway Gateway) bool { return !regions.Allows(gateway.Region) })
}

// mayCache reports whether this gateway may keep the input and results of a job that it
// doesn't run.
func (manager *Manager) mayCache(head Head) bool {
	return manager.regions(head).Allows(manager.region)
}

// mayOwn reports whether this gateway may own a job: its region is allowed, or it has
// accepted the job and no gateway of an allowed region is alive.
func (manager *Manager) mayOwn(head Head) bool {
	regions := manager.regions(head)
	if regions.Allows(manager.region) {
		return true
	}
	return head.AcceptedBy == manager.instance && len(allowedIn(regions, manager.fleet.Alive())) == 0
}

// placeForeign chooses the owner of a job that may not run here among the gateways that
// may own it: one of those with slots if there are any. It is this gateway if there is none and
// it has accepted the job, and none otherwise.
func (manager *Manager) placeForeign(self Gateway, allowed []Gateway, head Head, items int) Gateway {
	if len(allowed) == 0 && head.AcceptedBy == manager.instance && !manager.isDraining() {
		countJob("kept")
		klog.InfoS("job kept by the gateway that accepted it, as none of its regions is alive", "job", head.ID, "allowed", manager.regions(head))
		return self
	}
	if len(allowed) == 0 {
		return Gateway{}
	}
	if idle := slices.DeleteFunc(slices.Clone(allowed), func(gateway Gateway) bool { return gateway.Slots == 0 }); len(idle) > 0 {
		return manager.chooseOwner(Gateway{}, idle, head.ID, items, unlimitedLoad)
	}
	return byRendezvous(allowed, head.ID)
}

// sendable returns what may be sent to the owner of a job: without the job's content if the
// owner isn't known to be in an allowed region. The owner then reads it from the store if it may.
func (manager *Manager) sendable(head Head, handover Handover) Handover {
	if !handover.Whole || head.Owner == manager.name {
		return handover
	}
	regions := manager.regions(head)
	if !regions.Restricted || slices.ContainsFunc(allowedIn(regions, manager.fleet.Alive()), func(gateway Gateway) bool { return gateway.Name == head.Owner }) {
		return handover
	}
	countJob("withheld")
	klog.InfoS("content of a job not sent to its owner, as its region is not allowed", "job", head.ID, "owner", head.Owner, "allowed", regions)
	return Handover{Record: handover.Record}
}

// disown clears the owner of a job that names this process and may not run here.
func (manager *Manager) disown(ctx context.Context, id string) {
	observed, err := manager.jobStore.head(ctx, id)
	if err != nil {
		klog.InfoS("job head not read", "job", id, "error", err.Error())
		return
	}
	manager.cacheHead(observed)
	if !manager.ownedByProcess(observed.Head) || !observed.Open() {
		return
	}
	countJob("released")
	klog.InfoS("job released, as this gateway's region is not allowed", "job", id, "allowed", manager.regions(observed.Head))
	manager.handOver(ctx, observed, Gateway{}, Handover{})
}

// departure is a job that is being handed over, and to whom.
type departure struct {
	*job
	to []Gateway
}

// leaveRegions hands over the jobs that run here and may not any more, because the
// configuration has been narrowed or a gateway of an allowed region has come back.
func (manager *Manager) leaveRegions(ctx context.Context) {
	manager.dropForbidden()
	if snapshot := manager.rules.Current(); snapshot == nil || !snapshot.RestrictsRegions() || manager.fleet.StoreOutage() > 0 {
		return
	}
	self, others := manager.gatewayLoads()
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	var moves sync.WaitGroup
	for _, departing := range manager.departing(others) {
		moves.Go(func() {
			head := departing.head
			defer manager.taken(head.ID)
			to := manager.placeForeign(self, departing.to, head, departing.remaining())
			countJob("moved")
			klog.InfoS("job leaves a region that is not allowed", "job", head.ID, "to", to.Name, "allowed", manager.regions(head), "left", departing.remaining())
			departing.release(ctx, to)
		})
	}
	moves.Wait()
}

// departing returns jobs that run here, may not, and need not be kept, and claims them.
func (manager *Manager) departing(others []Gateway) (departing []departure) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for id, job := range manager.jobs {
		regions := manager.regions(job.head)
		if regions.Allows(manager.region) || job.remaining() == 0 || manager.claimed[id] || manager.draining || manager.clock.Since(job.startedAt) < minForeignTime {
			continue
		}
		to := allowedIn(regions, others)
		if len(to) == 0 && job.head.AcceptedBy == manager.instance {
			continue
		}
		delete(manager.jobs, id)
		manager.claimed[id] = true
		if departing = append(departing, departure{job: job, to: to}); len(departing) == maxLeaving {
			break
		}
	}
	return departing
}

// dropForbidden drops what is cached of jobs that may not be kept here since the configuration
// has changed.
func (manager *Manager) dropForbidden() {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	snapshot := manager.rules.Current()
	if snapshot == nil || snapshot.Version() == manager.regionState.checkedVersion {
		return
	}
	manager.regionState.checkedVersion = snapshot.Version()
	if !snapshot.RestrictsRegions() {
		return
	}
	mayKeep := func(id string) bool {
		head, known := manager.heads[id]
		return known && manager.mayCache(head.Head)
	}
	manager.snapshots.retain(mayKeep)
	manager.jobStore.partial.retain(mayKeep)
}

// retain drops the snapshots of all jobs but those that are wanted.
func (snapshotCache *snapshotCache) retain(wanted func(id string) bool) {
	for id, element := range snapshotCache.jobs {
		if !wanted(id) {
			snapshotCache.remove(element)
		}
	}
}

// recordWaiting logs and shows how many jobs wait for a gateway of their regions; the mutex
// must be held.
func (manager *Manager) recordWaiting(waiting int, example versionedHead, now time.Time) {
	metrics.GetOrCreateGauge("agatestage_region_jobs_waiting", nil).Set(float64(waiting))
	if waiting == 0 || now.Sub(manager.regionState.waitingLoggedAt) < waitingLogPeriod {
		return
	}
	manager.regionState.waitingLoggedAt = now
	klog.InfoS("jobs wait for a gateway of their regions", "jobs", waiting, "job", example.ID, "allowed", manager.regions(example.Head))
}
