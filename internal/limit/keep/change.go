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

// change is a write of the table in preparation.
type change struct {
	record  *table.Record
	base    *version
	changed bool
	taken   []int
	exports []int
}

func (keeper *Keeper) newChange() *change {
	base := keeper.current.Load()
	return &change{record: base.record.Next(), base: base}
}

// setShare moves this entry's share towards an equal one.
func (keeper *Keeper) setShare(change *change, alive []string) {
	self := keeper.roster.Self().Name
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
	if known && wanted-current < shareSlack && current-wanted < shareSlack {
		return
	}
	if wanted < current {
		keeper.client.Lower(wanted)
	}
	change.record.Shares[self] = max(0, wanted)
	change.changed = true
}

// setLease enters this entry's lease.
func (keeper *Keeper) setLease(change *change) {
	self, lease := keeper.roster.Self().Name, keeper.roster.Lease()
	if change.record.Leases[self] != lease {
		change.record.Leases[self] = lease
		change.changed = true
	}
}

// dropGone takes back the shares of entries that can't be running any more:
// they have no lease and have been off the host list for some time.
func (keeper *Keeper) dropGone(change *change, now time.Time) {
	listed := make(map[string]bool)
	for _, host := range keeper.hosts() {
		listed[host.Name] = true
	}
	for name := range change.record.Shares {
		if listed[name] || keeper.alive[name] || len(listed) == 0 {
			delete(keeper.absent, name)
			continue
		}
		since, noted := keeper.absent[name]
		if !noted {
			keeper.absent[name] = now
		} else if now.Sub(since) > goneTime {
			delete(change.record.Shares, name)
			delete(change.record.Leases, name)
			change.changed = true
		}
	}
}

// takeOver takes the partitions that have no live owner and prefer this entry.
func (keeper *Keeper) takeOver(ctx context.Context, change *change, alive []string, now time.Time) error {
	self := keeper.roster.Self().Name
	lapsed := make(map[string]bool)
	for partition := range change.record.Owners {
		former := change.record.Owners[partition].Owner
		if table.Prefer(partition, alive) != self || !keeper.vacant(former, now) {
			continue
		}
		if _, checked := lapsed[former]; !checked && former != "" {
			holds, err := keeper.roster.HoldsLease(ctx, former, change.record.Leases[former])
			if err != nil {
				return err
			}
			lapsed[former] = !holds
		}
		if former != "" && !lapsed[former] {
			continue
		}
		change.record.Owners[partition] = table.Ownership{Owner: self, Since: change.record.Epoch, First: former == ""}
		change.taken = append(change.taken, partition)
		change.changed = true
	}
	return nil
}

// vacant reports whether a former owner can't be granting any more, as far as
// this entry's own words may have kept it going.
func (keeper *Keeper) vacant(former string, now time.Time) bool {
	switch {
	case former == "":
		return true
	case keeper.alive[former], former == keeper.roster.Self().Name:
		return false
	}
	return !now.Before(keeper.client.Replied(former).Add(grant.Settle))
}

// handOver gives partitions to the entries that they prefer.
func (keeper *Keeper) handOver(ctx context.Context, change *change, alive []string) {
	self := keeper.roster.Self().Name
	byOwner := make(map[string][]grant.Handover)
	count := 0
	for partition := range change.record.Owners {
		next := table.Prefer(partition, alive)
		if change.record.Owners[partition].Owner != self || next == self || next == "" || count >= maxHandovers {
			continue
		}
		handover, ok := keeper.owner.Export(partition)
		if !ok {
			continue
		}
		count++
		change.exports = append(change.exports, partition)
		byOwner[next] = append(byOwner[next], handover)
	}
	for next, handovers := range byOwner {
		keeper.send(ctx, change, next, handovers)
	}
}

// send transfers the state of partitions and enters the next owner.
func (keeper *Keeper) send(ctx context.Context, change *change, next string, handovers []grant.Handover) {
	if err := keeper.transport.Handover(ctx, keeper.roster.Members()[next], handovers); err != nil {
		klog.V(1).InfoS("partitions not handed over", "to", next, "error", err.Error())
		return
	}
	for _, handover := range handovers {
		change.record.Owners[handover.Partition] = table.Ownership{Owner: next, Since: change.record.Epoch, Released: true}
		change.changed = true
	}
}

// commit writes the change and puts it in force here.
func (keeper *Keeper) commit(ctx context.Context, change *change) error {
	if !change.changed {
		keeper.resumeAll()
		return nil
	}
	change.record.Writer = uuid.NewString()
	data, err := json.Marshal(change.record)
	if err != nil {
		return errors.Wrap(err, "encode limit table")
	}
	var written uint64
	if written, err = keeper.write(ctx, change, data); err != nil {
		// A write whose fate isn't known may still take effect. Until another
		// write of this entry has overtaken it, what was exported stays frozen.
		keeper.unsure = keeper.unsure || !errors.Is(err, agatestage.ErrConflict)
		if !keeper.unsure {
			keeper.resumeAll()
		}
		return err
	}
	keeper.unsure = false
	for _, partition := range change.taken {
		keeper.owner.Start(partition, change.record.Epoch, false, change.record.Owners[partition].First)
	}
	keeper.set(change.record, written)
	keeper.resumeAll()
	if len(change.taken)+len(change.exports) > 0 {
		klog.V(1).InfoS("limit partitions changed", "epoch", change.record.Epoch, "taken", len(change.taken), "given", len(change.exports))
	}
	return nil
}

// write swaps the record; if the reply is lost, it reads back.
func (keeper *Keeper) write(ctx context.Context, change *change, data []byte) (uint64, error) {
	written, err := keeper.store.Swap(ctx, key, change.base.version, data, "")
	if err == nil {
		return written, nil
	}
	current, readErr := keeper.store.Get(ctx, key)
	if readErr != nil {
		return 0, err
	}
	var record *table.Record
	if record, readErr = table.Decode(current.Value); readErr != nil || record.Writer != change.record.Writer {
		return 0, err
	}
	return current.Version, nil
}

// resumeAll goes on with partitions that were not given away after all.
func (keeper *Keeper) resumeAll() {
	for _, partition := range keeper.Record().Owned(keeper.roster.Self().Name) {
		keeper.owner.Resume(partition)
	}
}
