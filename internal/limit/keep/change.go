package keep

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/limit/grant"
	"github.com/agatestage/agatestage/internal/limit/table"
)

// change is a new version of the table in preparation.
type change struct {
	record *table.Record
	base   *version
	// changed says that record differs from base and has to be written.
	changed bool
	// taken and exports are the partitions taken over and handed over.
	taken   []int
	exports []int
}

func (reconciler *Reconciler) newChange() *change {
	base := reconciler.current.Load()
	return &change{record: base.record.Next(), base: base}
}

// setShare moves this entry's share towards an equal share.
func (reconciler *Reconciler) setShare(change *change, alive []string) {
	self := reconciler.roster.Self().Name
	count := 0
	counted := make(map[string]bool)
	for _, name := range append(alive, self) {
		if !counted[name] {
			counted[name] = true
			count++
		}
	}
	for name := range change.record.Shares {
		if !counted[name] {
			count++
		}
	}
	current, known := change.record.Shares[self]
	wanted := min(1/float64(count), 1-change.record.SumOthers(self))
	if known && wanted-current < minShareChange && current-wanted < minShareChange {
		return
	}
	if wanted < current {
		reconciler.client.LowerShare(wanted)
	}
	change.record.Shares[self] = max(0, wanted)
	change.changed = true
}

// setLease enters this entry's lease in the table.
func (reconciler *Reconciler) setLease(change *change) {
	self, lease := reconciler.roster.Self().Name, reconciler.roster.Lease()
	if change.record.Leases[self] != lease {
		change.record.Leases[self] = lease
		change.changed = true
	}
}

// removeAbsent removes the shares of entries that can't be running any more: they
// have no lease and have been missing from the host list for absentTime.
func (reconciler *Reconciler) removeAbsent(change *change, now time.Time) {
	listed := make(map[string]bool)
	for _, host := range reconciler.hosts() {
		listed[host.Name] = true
	}
	for name := range change.record.Shares {
		if listed[name] || reconciler.alive[name] || len(listed) == 0 {
			delete(reconciler.absent, name)
			continue
		}
		since, noted := reconciler.absent[name]
		if !noted {
			reconciler.absent[name] = now
		} else if now.Sub(since) > absentTime {
			delete(change.record.Shares, name)
			delete(change.record.Leases, name)
			change.changed = true
		}
	}
}

// takeOver takes the partitions that have no live owner and whose preferred owner
// is this entry.
func (reconciler *Reconciler) takeOver(ctx context.Context, change *change, alive []string, now time.Time) error {
	self := reconciler.roster.Self().Name
	expired := make(map[string]bool)
	for partition := range change.record.Owners {
		former := change.record.Owners[partition].Owner
		if table.PreferredOwner(partition, alive) != self || !reconciler.vacant(former, now) {
			continue
		}
		if _, checked := expired[former]; !checked && former != "" {
			holds, err := reconciler.roster.HoldsLease(ctx, former, change.record.Leases[former])
			if err != nil {
				return err
			}
			expired[former] = !holds
		}
		if former != "" && !expired[former] {
			continue
		}
		change.record.Owners[partition] = table.Ownership{Owner: self, Since: change.record.Epoch, First: former == ""}
		change.taken = append(change.taken, partition)
		change.changed = true
	}
	return nil
}

// vacant reports whether this entry's confirmations can no longer let a former owner
// grant.
func (reconciler *Reconciler) vacant(former string, now time.Time) bool {
	switch {
	case former == "":
		return true
	case reconciler.alive[former], former == reconciler.roster.Self().Name:
		return false
	}
	return !now.Before(reconciler.client.LastReply(former).Add(grant.Settle))
}

// handOver hands partitions over to their preferred owners.
func (reconciler *Reconciler) handOver(ctx context.Context, change *change, alive []string) {
	self := reconciler.roster.Self().Name
	byOwner := make(map[string][]grant.Handover)
	count := 0
	for partition := range change.record.Owners {
		next := table.PreferredOwner(partition, alive)
		if change.record.Owners[partition].Owner != self || next == self || next == "" || count >= maxHandovers {
			continue
		}
		handover, ok := reconciler.owner.Export(partition)
		if !ok {
			continue
		}
		count++
		change.exports = append(change.exports, partition)
		byOwner[next] = append(byOwner[next], handover)
	}
	for next, handovers := range byOwner {
		reconciler.send(ctx, change, next, handovers)
	}
}

// send transfers the state of partitions and enters their next owner in the table.
func (reconciler *Reconciler) send(ctx context.Context, change *change, next string, handovers []grant.Handover) {
	if err := reconciler.transport.Handover(ctx, reconciler.roster.Members()[next], handovers); err != nil {
		klog.V(1).InfoS("limit partitions not transferred to their next owner", "to", next, "error", err.Error())
		return
	}
	for _, handover := range handovers {
		change.record.Owners[handover.Partition] = table.Ownership{Owner: next, Since: change.record.Epoch, Released: true}
		change.changed = true
	}
}

// commit writes the change and applies it here.
func (reconciler *Reconciler) commit(ctx context.Context, change *change) error {
	if !change.changed {
		reconciler.resumeAll()
		return nil
	}
	change.record.Writer = uuid.NewString()
	data, err := json.Marshal(change.record)
	if err != nil {
		return errors.Wrap(err, "encode limit table")
	}
	var written uint64
	if written, err = reconciler.write(ctx, change, data); err != nil {
		// After any error but a conflict the write may still take effect. The
		// exported partitions stay frozen until a later write of this entry has
		// superseded it.
		reconciler.outcomeUnknown = reconciler.outcomeUnknown || !errors.Is(err, agatestage.ErrConflict)
		if !reconciler.outcomeUnknown {
			reconciler.resumeAll()
		}
		return err
	}
	reconciler.outcomeUnknown = false
	for _, partition := range change.taken {
		reconciler.owner.Start(partition, change.record.Epoch, false, change.record.Owners[partition].First)
	}
	reconciler.apply(change.record, written)
	reconciler.resumeAll()
	if len(change.taken)+len(change.exports) > 0 {
		klog.V(1).InfoS("limit partitions changed", "epoch", change.record.Epoch, "taken", len(change.taken), "given", len(change.exports))
	}
	return nil
}

// write writes the record by compare-and-swap. On an error it reads the record
// back, because the reply to a successful write may have been lost.
func (reconciler *Reconciler) write(ctx context.Context, change *change, data []byte) (uint64, error) {
	written, err := reconciler.store.Swap(ctx, key, change.base.version, data, "")
	if err == nil {
		return written, nil
	}
	current, readErr := reconciler.store.Get(ctx, key)
	if readErr != nil {
		return 0, err
	}
	var record *table.Record
	if record, readErr = table.Decode(current.Value); readErr != nil || record.Writer != change.record.Writer {
		return 0, err
	}
	return current.Version, nil
}

// resumeAll resumes the partitions that were exported but not handed over.
func (reconciler *Reconciler) resumeAll() {
	for _, partition := range reconciler.Record().Owned(reconciler.roster.Self().Name) {
		reconciler.owner.Resume(partition)
	}
}
