package gossip

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// States say by version and revision what is new; this file fetches it, and serves it to
// others. A gateway that follows the store itself fetches only what the store fails to
// send.

// configFetchDelay is how long another gateway must have had a newer configuration before
// it is fetched from there while the store answers, which usually sends it within that
// time.
const configFetchDelay = 250 * time.Millisecond

// fetchUpdates requests what another gateway has and the store hasn't sent: a newer
// configuration, changes of the list of targets and membership records.
func (mesh *Mesh) fetchUpdates(from State) {
	outage := mesh.source.StoreOutage()
	config := mesh.shouldFetchConfig(from, outage)
	after, targets := mesh.shouldFetchTargets(from, outage)
	members := mesh.shouldFetchMembers(from)
	if !config && !targets && !members {
		return
	}
	go func() {
		if config {
			mesh.fetchConfig(from)
		}
		if targets {
			mesh.fetchTargets(from, after)
		}
		if members {
			mesh.fetchMembers(from)
		}
	}()
}

// ask makes one exchange with another gateway.
func (mesh *Mesh) ask(from State, kind string, request, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	return mesh.transport.Ask(ctx, from.Address, kind, request, reply)
}

// shouldFetchConfig reports whether to fetch the configuration of another gateway now.
func (mesh *Mesh) shouldFetchConfig(from State, outage time.Duration) bool {
	version := mesh.source.Version()
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	switch {
	case from.Version <= version:
		if mesh.outdatedAt <= version {
			mesh.outdatedSince = time.Time{}
		}
		return false
	case mesh.outdatedSince.IsZero() || mesh.outdatedAt <= version:
		mesh.outdatedSince = now
	}
	mesh.outdatedAt = max(mesh.outdatedAt, from.Version)
	if mesh.fetching || (outage == 0 && mesh.watching && now.Sub(mesh.outdatedSince) < configFetchDelay) {
		return false
	}
	mesh.fetching = true
	return true
}

func (mesh *Mesh) fetchConfig(from State) {
	defer func() {
		mesh.mutex.Lock()
		defer mesh.mutex.Unlock()
		mesh.fetching = false
	}()
	var data []byte
	if err := mesh.ask(from, KindConfig, mesh.source.Version(), &data); err != nil {
		klog.InfoS("newer configuration not received", "gateway", from.Name, "version", from.Version, "error", err.Error())
	} else if len(data) > 0 {
		mesh.source.OfferConfig(data)
	}
}

// shouldFetchTargets reports whether to fetch the changes of another gateway's list of
// targets now, and after which revision of the store. If the lists differ although
// neither is newer, a removal has been missed, and the list is read from the store.
func (mesh *Mesh) shouldFetchTargets(from State, outage time.Duration) (after uint64, fetch bool) {
	mesh.mutex.Lock()
	watching := mesh.watching
	mesh.mutex.Unlock()
	if !from.Watches || (watching && outage < storeOutageThreshold) {
		return 0, false
	}
	after = mesh.source.LastChange()
	differs := from.LastChange == after && from.Digest != mesh.source.TargetsDigest()
	switch {
	case from.LastChange > after:
		return after, mesh.mayRequestList()
	case differs && outage >= storeOutageThreshold:
		return 0, mesh.mayRequestList()
	}
	if mesh.shouldRelist(differs) {
		go mesh.source.RelistTargets()
	}
	return 0, false
}

// shouldRelist reports whether to read the list of targets from the store, because it has
// differed from those of the gateways that follow the store for relistAfter.
func (mesh *Mesh) shouldRelist(differs bool) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	switch {
	case !differs:
		mesh.differsSince = time.Time{}
	case mesh.differsSince.IsZero():
		mesh.differsSince = now
	case now.Sub(mesh.differsSince) >= relistAfter && now.Sub(mesh.lastRelist) >= relistPeriod:
		mesh.lastRelist = now
		return true
	}
	return false
}

func (mesh *Mesh) fetchTargets(from State, after uint64) {
	var list TargetList
	if err := mesh.ask(from, KindList, TargetRequest{After: after}, &list); err != nil {
		klog.V(1).InfoS("list of targets not received", "gateway", from.Name, "error", err.Error())
		return
	}
	mesh.source.OfferTargets(list.Records, after == 0)
}

// shouldFetchMembers reports whether to fetch the membership records of another gateway
// now, and records the request.
func (mesh *Mesh) shouldFetchMembers(from State) bool {
	if !from.Watches || from.Members <= mesh.roster.Revision() {
		return false
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	if mesh.watching || now.Sub(mesh.lastMembersRequest) < memberListPeriod {
		return false
	}
	mesh.lastMembersRequest = now
	return true
}

func (mesh *Mesh) fetchMembers(from State) {
	var list MemberList
	if err := mesh.ask(from, KindRoster, struct{}{}, &list); err != nil {
		klog.V(1).InfoS("membership records not received", "gateway", from.Name, "error", err.Error())
		return
	}
	mesh.roster.Offer(list.Members, list.Revision)
}

// mayRequestList reports whether the list of targets may be requested now, and
// records the request.
func (mesh *Mesh) mayRequestList() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	if now.Sub(mesh.lastListRequest) < targetListPeriod {
		return false
	}
	mesh.lastListRequest = now
	return true
}

func (mesh *Mesh) serveConfig(_ context.Context, _ certs.Identity, stream *link.Stream) error {
	var version uint64
	if err := stream.Receive(&version); err != nil {
		return err
	}
	return stream.Send(mesh.source.Config())
}

func (mesh *Mesh) serveTargets(_ context.Context, _ certs.Identity, stream *link.Stream) error {
	var request TargetRequest
	if err := stream.Receive(&request); err != nil {
		return err
	}
	var list TargetList
	list.Records = mesh.source.TargetChanges(request.After)
	return stream.Send(list)
}

func (mesh *Mesh) serveMembers(_ context.Context, _ certs.Identity, stream *link.Stream) error {
	var request struct{}
	if err := stream.Receive(&request); err != nil {
		return err
	}
	var list MemberList
	list.Members, list.Revision = mesh.roster.Snapshot()
	return stream.Send(list)
}
