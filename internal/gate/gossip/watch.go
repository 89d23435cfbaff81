package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
)

// In a large fleet, some gateways of each region follow the store: the configuration, the
// list of targets, the membership records and the heads of jobs. The others receive
// changes from them, so that calls to the store don't grow with the fleet. Each gateway
// decides by itself, from the states of the others: it stops following once enough of
// its region that come before it follow the store, and starts again as soon as they
// don't, are no longer heard or don't reach the store. So too many may follow for a
// moment, but not too few for longer than a gateway counts as alive.

// watchersPerRegion is how many gateways of a region follow the store, so that the loss
// of one leaves another.
const watchersPerRegion = 2

// updateWatching decides whether this gateway follows the store, and reports whether that
// has changed. The mutex must be held.
func (mesh *Mesh) updateWatching(now time.Time) (changed bool) {
	watching := len(mesh.peers) < directFleet || mesh.watchersBefore(now) < watchersPerRegion
	if changed = watching != mesh.watching; changed {
		mesh.watching = watching
		klog.InfoS("following the store", "on", watching, "gateways", len(mesh.peers)+1)
	}
	return changed
}

// watchersBefore returns the number of other gateways of the region that follow the store
// and come before this one. The mutex must be held.
func (mesh *Mesh) watchersBefore(now time.Time) (count int) {
	self := mesh.roster.Self()
	rank := xxhash.Sum64String(self.Name)
	for name, peer := range mesh.peers {
		if peer.member.Region == self.Region && peer.alive(now) && peer.state.Watches && xxhash.Sum64String(name) < rank {
			count++
		}
	}
	return count
}

// Watching reports whether this gateway follows the store itself.
func (mesh *Mesh) Watching() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.watching
}
