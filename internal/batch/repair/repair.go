// Package repair restores missing and truncated copies of job segments and
// removes jobs whose retention has expired.
//
// A copy counts as lost when its host has been neither a live member nor on the
// host list for some time. Its sealed segments are then copied to another host,
// which replaces the lost one in the head. A copy that is shorter than its
// segment, for example after a torn write, is completed from another copy.
package repair

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/ledger"
	"github.com/agatestage/agatestage/internal/batch/sites"
	"github.com/agatestage/agatestage/internal/state/member"
)

const (
	// passPeriod is the time between two passes over all heads.
	passPeriod = 5 * time.Second
	// lostAfter is how long a host must be missing before its copies are replaced.
	lostAfter = 30 * time.Second
	// uploadRetention is the retention of an input for which no job is created.
	uploadRetention = 24 * time.Hour
	// orphanRetention is how long the local data of a job without a head is
	// retained.
	orphanRetention = time.Hour
	// maxRegistryAge is the maximum age of the registry for a pass; with an older
	// one a missing head would not prove that the job has been removed.
	maxRegistryAge = 10 * time.Second
	copyChunkBytes = 4 << 20
)

var segmentsRepaired = metrics.NewCounter("agatestage_ledger_segments_repaired_total")

// Repairer repairs the segments of which one entry has copies.
type Repairer struct {
	sites    *sites.Sites
	registry *heads.Registry
	roster   *member.Roster
	local    *ledger.Ledger
	hosts    func() []agatestage.Host
	clock    agatestage.Clock
	retain   time.Duration
	// missing holds the time since which each missing host has been absent.
	missing map[string]time.Time
	// verified holds the segments whose local copy has been found complete.
	verified map[agatestage.Segment]bool
	// orphanedSince holds the time since which each local job has been without a
	// head.
	orphanedSince map[string]time.Time
}

// New returns a repairer that removes jobs once the time retain has passed since
// their end.
func New(sites *sites.Sites, registry *heads.Registry, roster *member.Roster, local *ledger.Ledger, hosts func() []agatestage.Host, retain time.Duration, clock agatestage.Clock) *Repairer {
	return &Repairer{
		sites: sites, registry: registry, roster: roster, local: local, hosts: hosts, clock: clock, retain: retain,
		missing: make(map[string]time.Time), verified: make(map[agatestage.Segment]bool), orphanedSince: make(map[string]time.Time),
	}
}

// Serve makes a pass every passPeriod until ctx ends.
func (repairer *Repairer) Serve(ctx context.Context) error {
	return ticks.Every(ctx, repairer.clock, passPeriod, repairer.RunPass)
}

// String names the service in logs.
func (repairer *Repairer) String() string {
	return "ledger repair"
}

// RunPass makes one pass: it repairs and removes jobs, and deletes local data of
// jobs that no longer have a head.
func (repairer *Repairer) RunPass(ctx context.Context) {
	ready, lastAnswer := repairer.registry.Ready()
	if !ready || repairer.clock.Since(lastAnswer) > maxRegistryAge {
		return
	}
	repairer.updateMissing()
	for _, entry := range repairer.registry.All() {
		if ctx.Err() != nil {
			return
		}
		if repairer.expired(entry.Head) {
			repairer.remove(ctx, entry)
			continue
		}
		if !entry.Head.HasCopy(repairer.sites.Self()) {
			continue
		}
		if err := repairer.repairJob(ctx, entry); err != nil && ctx.Err() == nil {
			klog.InfoS("failed to repair job; retrying", "job", entry.Head.ID, "error", err.Error())
		}
	}
	repairer.sweep(ctx)
}

// updateMissing records since when each host with copies has been neither a live
// member nor on the host list.
func (repairer *Repairer) updateMissing() {
	now := repairer.clock.Now()
	present := make(map[string]bool)
	for _, host := range repairer.hosts() {
		present[host.Name] = true
	}
	for name := range repairer.roster.Members() {
		present[name] = true
	}
	for _, entry := range repairer.registry.All() {
		for _, segments := range [][]heads.Segment{entry.Head.Input, entry.Head.Results} {
			for _, segment := range segments {
				for _, host := range segment.Copies {
					if present[host] {
						delete(repairer.missing, host)
					} else if _, noted := repairer.missing[host]; !noted {
						repairer.missing[host] = now
					}
				}
			}
		}
	}
}

// isLost reports whether a host has been missing long enough for its copies to
// be replaced.
func (repairer *Repairer) isLost(host string) bool {
	since, missing := repairer.missing[host]
	return missing && repairer.clock.Since(since) > lostAfter
}

// isResponsible reports whether this entry is the one that replaces a segment's
// lost copies: the first by name among the hosts that are not lost.
func (repairer *Repairer) isResponsible(segment heads.Segment) bool {
	var live []string
	for _, host := range segment.Copies {
		if !repairer.isLost(host) {
			live = append(live, host)
		}
	}
	sort.Strings(live)
	return len(live) > 0 && live[0] == repairer.sites.Self()
}

// repairJob completes this entry's copies of a job's sealed segments and replaces
// lost ones.
func (repairer *Repairer) repairJob(ctx context.Context, entry heads.Entry) error {
	head := entry.Head.Clone()
	changed := false
	for _, segments := range [][]heads.Segment{head.Input, head.Results} {
		for i := range segments {
			if !segments[i].Sealed {
				continue
			}
			if err := repairer.completeLocal(ctx, head, segments[i]); err != nil {
				return err
			}
			replaced, err := repairer.replaceLost(ctx, head, &segments[i])
			if err != nil {
				return err
			}
			changed = changed || replaced
		}
	}
	if !changed {
		return nil
	}
	_, err := repairer.registry.Swap(ctx, head, entry.Version)
	return err
}

// completeLocal completes a truncated local copy of a segment from another copy.
func (repairer *Repairer) completeLocal(ctx context.Context, head heads.Head, segment heads.Segment) error {
	name := agatestage.Segment{Job: head.ID, Name: segment.Name}
	if !contains(segment.Copies, repairer.sites.Self()) || repairer.verified[name] {
		return nil
	}
	lengths, err := repairer.local.Fence(ctx, head.ID, head.Epoch)
	if err != nil {
		return err
	}
	var localBytes int64
	for _, length := range lengths {
		if length.Segment.Name == segment.Name {
			localBytes = length.Bytes
		}
	}
	if localBytes < segment.Bytes {
		klog.InfoS("local copy is truncated; completing it from another copy", "job", head.ID, "segment", segment.Name, "has", localBytes, "of", segment.Bytes)
		if err = repairer.copyTo(ctx, head, segment, repairer.local, localBytes, repairer.sites.Self()); err != nil {
			return err
		}
		segmentsRepaired.Inc()
	}
	repairer.verified[name] = true
	return nil
}

func contains(hosts []string, host string) bool {
	for _, name := range hosts {
		if name == host {
			return true
		}
	}
	return false
}

// replaceLost copies a segment to another host, which takes the place of a lost
// one.
func (repairer *Repairer) replaceLost(ctx context.Context, head heads.Head, segment *heads.Segment) (bool, error) {
	if !repairer.isResponsible(*segment) {
		return false, nil
	}
	avoid := make(map[string]bool)
	lost := -1
	for i, host := range segment.Copies {
		avoid[host] = true
		if repairer.isLost(host) {
			lost = i
		}
	}
	if lost < 0 {
		return false, nil
	}
	hosts, err := repairer.sites.Choose(head.ID, avoid)
	if err != nil {
		return false, err
	}
	replacement := hosts[0]
	if avoid[replacement] {
		replacement = hosts[1]
	}
	if avoid[replacement] {
		return false, errors.New("no other host with a ledger is available")
	}
	var ledger agatestage.Ledger
	if ledger, err = repairer.sites.Ledger(replacement); err != nil {
		return false, err
	}
	if err = repairer.copyTo(ctx, head, *segment, ledger, 0, segment.Copies[lost]); err != nil {
		return false, err
	}
	klog.InfoS("lost copy replaced", "job", head.ID, "segment", segment.Name, "lost", segment.Copies[lost], "now", replacement)
	segment.Copies[lost] = replacement
	segmentsRepaired.Inc()
	return true, nil
}

// copyTo appends to destination what its copy lacks from offset from on, read
// from the segment's hosts other than exclude.
func (repairer *Repairer) copyTo(ctx context.Context, head heads.Head, segment heads.Segment, destination agatestage.Ledger, from int64, exclude string) error {
	name := agatestage.Segment{Job: head.ID, Name: segment.Name}
	var others []string
	for _, host := range segment.Copies {
		if host != exclude {
			others = append(others, host)
		}
	}
	for from < segment.Bytes {
		frames, err := repairer.sites.Read(ctx, name, from, copyChunkBytes, others)
		if err != nil {
			return err
		}
		frames = frames[:min(int64(len(frames)), segment.Bytes-from)]
		end, err := destination.Append(ctx, name, head.Epoch, from, frames)
		if errors.Is(err, agatestage.ErrOffset) && end > from {
			// An earlier attempt has already written more.
			from = end
			continue
		}
		if err != nil {
			return err
		}
		from = end
	}
	return nil
}

// expired reports whether the retention of a job or an unused input has passed.
func (repairer *Repairer) expired(head heads.Head) bool {
	now := repairer.clock.Now()
	if head.State == heads.StateUploaded {
		return now.Sub(head.Created) > uploadRetention
	}
	return head.State.Ended() && now.Sub(head.Ended) > repairer.retain
}

// remove deletes a head. Each entry deletes its local copies in a later pass,
// when it finds that the head no longer exists.
func (repairer *Repairer) remove(ctx context.Context, entry heads.Entry) {
	if err := repairer.registry.Delete(ctx, entry); err != nil {
		return
	}
	if entry.Head.Key != "" {
		_ = repairer.registry.UnbindKey(ctx, entry.Head.Key)
	}
	klog.InfoS("job removed after its retention period", "job", entry.Head.ID)
}

// sweep deletes the local data of jobs that have had no head for orphanRetention.
func (repairer *Repairer) sweep(ctx context.Context) {
	names, err := repairer.local.Jobs()
	if err != nil {
		return
	}
	now := repairer.clock.Now()
	for _, name := range names {
		if _, known := repairer.registry.Get(name); known {
			delete(repairer.orphanedSince, name)
			continue
		}
		since, noted := repairer.orphanedSince[strings.Clone(name)]
		if !noted {
			repairer.orphanedSince[name] = now
			continue
		}
		if now.Sub(since) > orphanRetention && repairer.local.Remove(ctx, name) == nil {
			delete(repairer.orphanedSince, name)
		}
	}
}
