// Package peers implements the exchanges between entries: which revision of the
// configuration each entry has, how long the store has not answered it, and which
// requests have caused the loss of targets.
package peers

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// The kinds of exchanges between entries.
const (
	KindStatus = "Status"
	KindConfig = "Config"
	KindStrike = "Strike"
	KindTrial  = "Trial"
)

const (
	// statusPeriod is the time between two status exchanges with the same entry. A
	// new revision is sent at once.
	statusPeriod = 2 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 1500 * time.Millisecond
	// strikeTimeout bounds how long a retry waits until the other entries have
	// received a strike.
	strikeTimeout = 300 * time.Millisecond
	// maxStatusAge is how long a peer's status stays valid.
	maxStatusAge = 6 * time.Second
	// storeOutageThreshold is the time without an answer from the store after
	// which the store counts as unavailable.
	storeOutageThreshold = 6 * time.Second
	awaitPollPeriod      = 100 * time.Millisecond
)

// Status is the status that an entry sends with each exchange.
type Status struct {
	Name     string
	Revision uint64
	// StoreSilence is the time since the store last answered this entry.
	StoreSilence time.Duration
	// Strikes holds those of requests in quarantine, which the recipient may have missed.
	Strikes []blame.Strike `cbor:",omitempty"`
}

// receivedStatus is the last status received from a peer.
type receivedStatus struct {
	status     Status
	receivedAt time.Time
}

// Mesh runs an entry's exchanges with all other entries.
type Mesh struct {
	node      *link.Node
	roster    *member.Roster
	feed      *feed.Feed
	blame     *blame.List
	clock     agatestage.Clock
	hosts     func() []agatestage.Host
	startedAt time.Time
	mutex     sync.Mutex
	peers     map[string]receivedStatus
}

// New returns a mesh and registers the handlers of its exchanges with the node.
func New(node *link.Node, roster *member.Roster, feed *feed.Feed, list *blame.List, hosts func() []agatestage.Host, clock agatestage.Clock) *Mesh {
	mesh := &Mesh{
		node: node, roster: roster, feed: feed, blame: list, hosts: hosts, clock: clock,
		startedAt: clock.Now(), peers: make(map[string]receivedStatus),
	}
	node.Handle(KindStatus, mesh.serveStatus)
	node.Handle(KindConfig, mesh.serveConfig)
	node.Handle(KindStrike, mesh.serveStrike)
	node.Handle(KindTrial, mesh.serveTrial)
	return mesh
}

// Status returns this entry's own status.
func (mesh *Mesh) Status() Status {
	silence := mesh.clock.Since(mesh.startedAt)
	if at := mesh.feed.StoreAnsweredAt(); !at.IsZero() {
		silence = mesh.clock.Since(at)
	}
	return Status{Name: mesh.roster.Self().Name, Revision: mesh.feed.Current().Revision, StoreSilence: silence, Strikes: mesh.blame.Known()}
}

// RecordStatus records a peer's status.
func (mesh *Mesh) RecordStatus(status Status) {
	mesh.mutex.Lock()
	mesh.peers[status.Name] = receivedStatus{status: status, receivedAt: mesh.clock.Now()}
	mesh.mutex.Unlock()
	for _, strike := range status.Strikes {
		mesh.blame.Add(strike)
	}
}

// otherEntries returns the addresses of the other entries: those on the host
// list that are not leaving, which covers the time when the store doesn't answer,
// and the members according to the store's last answer, whose addresses take
// precedence.
func (mesh *Mesh) otherEntries() map[string]netip.AddrPort {
	addresses := make(map[string]netip.AddrPort)
	self := mesh.roster.Self().Name
	for _, host := range mesh.hosts() {
		if host.Role == agatestage.RoleEntry && !host.Leaving && host.Name != self {
			addresses[host.Name] = host.Address
		}
	}
	for name, member := range mesh.roster.Members() {
		if name != self {
			addresses[name] = member.Address
		}
	}
	return addresses
}

// Serve exchanges statuses with all other entries until ctx ends.
func (mesh *Mesh) Serve(ctx context.Context) error {
	ticker := mesh.clock.NewTicker(statusPeriod)
	defer ticker.Stop()
	for {
		changed := mesh.feed.Changed()
		for name, address := range mesh.otherEntries() {
			go mesh.exchangeStatus(ctx, name, address)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C():
		}
	}
}

// String names the service in logs.
func (mesh *Mesh) String() string {
	return "peers"
}

// exchangeStatus exchanges statuses with one entry, and fetches its configuration
// if its revision is higher.
func (mesh *Mesh) exchangeStatus(ctx context.Context, name string, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var status Status
	if err := mesh.node.Ask(ctx, address, KindStatus, mesh.Status(), &status); err != nil {
		klog.V(2).InfoS("status exchange with another entry failed", "entry", name, "error", err.Error())
		return
	}
	mesh.RecordStatus(status)
	if status.Revision > mesh.feed.Current().Revision {
		mesh.fetchConfiguration(ctx, address)
	}
}

// fetchConfiguration adopts a newer configuration from a peer.
func (mesh *Mesh) fetchConfiguration(ctx context.Context, address netip.AddrPort) {
	var data []byte
	if err := mesh.node.Ask(ctx, address, KindConfig, mesh.Status(), &data); err != nil {
		return
	}
	document, err := model.Decode(data)
	if err != nil {
		klog.ErrorS(err, "a peer's configuration can't be decoded")
		return
	}
	mesh.feed.Adopt(document)
}

// requireEntry returns an error if the peer is not an entry.
func requireEntry(peer certs.Identity) error {
	if peer.Role != agatestage.RoleEntry {
		return errors.Errorf("%s is not an entry", peer.Host)
	}
	return nil
}

// serveStatus records a peer's status and replies with this entry's.
func (mesh *Mesh) serveStatus(_ context.Context, peer certs.Identity, stream *link.Stream) error {
	if err := requireEntry(peer); err != nil {
		return err
	}
	var status Status
	if err := stream.Receive(&status); err != nil {
		return err
	}
	mesh.RecordStatus(status)
	return stream.Send(mesh.Status())
}

// serveConfig sends the current configuration to a peer.
func (mesh *Mesh) serveConfig(_ context.Context, peer certs.Identity, stream *link.Stream) error {
	if err := requireEntry(peer); err != nil {
		return err
	}
	data, err := mesh.feed.Current().Encode()
	if err != nil {
		return err
	}
	return stream.Send(data)
}

// serveStrike records a strike that a peer reports.
func (mesh *Mesh) serveStrike(_ context.Context, peer certs.Identity, stream *link.Stream) error {
	if err := requireEntry(peer); err != nil {
		return err
	}
	var strike blame.Strike
	if err := stream.Receive(&strike); err != nil {
		return err
	}
	mesh.blame.Add(strike)
	return stream.Send(mesh.Status())
}

// Strike sends a strike to all other entries and waits up to strikeTimeout for
// them, so that a retry through another entry already takes it into account. Entries
// that are silent for longer get it when they go on, within exchangeTimeout.
func (mesh *Mesh) Strike(ctx context.Context, strike blame.Strike) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
	var waitGroup sync.WaitGroup
	for _, address := range mesh.otherEntries() {
		waitGroup.Go(func() {
			var status Status
			_ = mesh.node.Ask(ctx, address, KindStrike, strike, &status)
		})
	}
	received := make(chan struct{})
	go func() {
		waitGroup.Wait()
		cancel()
		close(received)
	}()
	timer := mesh.clock.NewTimer(strikeTimeout)
	defer timer.Stop()
	select {
	case <-received:
	case <-timer.C():
	}
}

// StoreOutageConfirmed implements guard.OutageConfirmer.
func (mesh *Mesh) StoreOutageConfirmed() bool {
	otherEntries := mesh.otherEntries()
	now := mesh.clock.Now()
	revision := mesh.feed.Current().Revision
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for name := range otherEntries {
		peer, ok := mesh.peers[name]
		if !ok || now.Sub(peer.receivedAt) > maxStatusAge || peer.status.StoreSilence < storeOutageThreshold || peer.status.Revision > revision {
			return false
		}
	}
	return true
}

// Await implements admin.Propagation.
func (mesh *Mesh) Await(ctx context.Context, revision uint64) []admin.Node {
	ticker := mesh.clock.NewTicker(awaitPollPeriod)
	defer ticker.Stop()
	for {
		nodes, done := mesh.nodes(revision)
		if done {
			return nodes
		}
		select {
		case <-ctx.Done():
			return nodes
		case <-ticker.C():
		}
	}
}

// nodes returns the state of each entry and whether all have the revision in
// force.
func (mesh *Mesh) nodes(revision uint64) ([]admin.Node, bool) {
	ownRevision := mesh.feed.Current().Revision
	nodes := []admin.Node{{Name: mesh.roster.Self().Name, Revision: ownRevision, InForce: ownRevision >= revision}}
	otherEntries := mesh.otherEntries()
	now := mesh.clock.Now()
	mesh.mutex.Lock()
	for name := range otherEntries {
		peer := mesh.peers[name]
		node := admin.Node{Name: name, Revision: peer.status.Revision, InForce: peer.status.Revision >= revision}
		// An entry that has been out of contact for so long refuses requests with
		// keys, unless the store answers it, in which case it has the revision
		// from the store.
		node.Fenced = !node.InForce && now.Sub(peer.receivedAt) > fencedThreshold
		nodes = append(nodes, node)
	}
	mesh.mutex.Unlock()
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	for _, node := range nodes {
		if !node.InForce {
			return nodes, false
		}
	}
	return nodes, true
}

// fencedThreshold is the time without contact after which an entry is sure to
// refuse requests with keys if the store doesn't answer it either. It must exceed
// the guard package's maxStoreSilence.
const fencedThreshold = 12 * time.Second
