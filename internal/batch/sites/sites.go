// Package sites provides access to the ledgers of a fleet, local and remote, chooses
// the hosts of new segments, and reads and writes the copies of a segment.
package sites

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/remote"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// copiesPerSegment is the number of hosts that store each segment.
const copiesPerSegment = 2

// Sites provides access to ledgers by the name of their host.
type Sites struct {
	roster *member.Roster
	node   *link.Node
	local  agatestage.Ledger
}

// New returns the sites as seen by one entry; local is nil if the entry has no
// ledger.
func New(roster *member.Roster, node *link.Node, local agatestage.Ledger) *Sites {
	return &Sites{roster: roster, node: node, local: local}
}

// Self returns this entry's name.
func (sites *Sites) Self() string {
	return sites.roster.Self().Name
}

// Ledger returns the ledger of a host.
func (sites *Sites) Ledger(host string) (agatestage.Ledger, error) {
	if host == sites.Self() {
		if sites.local == nil {
			return nil, errors.Errorf("entry %s keeps no ledger", host)
		}
		return sites.local, nil
	}
	address, ok := sites.roster.Address(host)
	if !ok {
		return nil, errors.Errorf("the address of entry %s is not known", host)
	}
	return remote.New(sites.node, address), nil
}

// Choose returns the hosts for a new segment of a job: two in different zones of
// this region, or any two of them if the region has only one zone. This entry is
// preferred; hosts of other regions and, after them, those in avoid rank last.
func (sites *Sites) Choose(job string, avoid map[string]bool) ([]string, error) {
	self := sites.roster.Self()
	var candidates []member.Member
	for _, candidate := range sites.roster.Members() {
		if candidate.Ledger {
			candidates = append(candidates, candidate)
		}
	}
	rank := func(candidate member.Member) (int, uint64) {
		class := 0
		if candidate.Region != self.Region {
			class += 2
		}
		if avoid[candidate.Name] {
			class += 4
		}
		if candidate.Name != self.Name {
			class++
		}
		return class, xxhash.Sum64String(job + "\x00" + candidate.Name)
	}
	slices.SortFunc(candidates, func(a, b member.Member) int {
		classA, hashA := rank(a)
		classB, hashB := rank(b)
		return cmp.Or(cmp.Compare(classA, classB), cmp.Compare(hashA, hashB))
	})
	return choosePair(candidates)
}

// choosePair returns the first host and the next one in another zone of the same
// region, or the first two if there is none.
func choosePair(candidates []member.Member) ([]string, error) {
	if len(candidates) < copiesPerSegment {
		return nil, agatestage.Refuse(agatestage.CodeLedger, "%d of the %d hosts that keep ledgers are there; a job needs %d", len(candidates), len(candidates), copiesPerSegment)
	}
	first := candidates[0]
	for _, second := range candidates[1:] {
		if second.Region == first.Region && second.Zone != first.Zone {
			return []string{first.Name, second.Name}, nil
		}
	}
	return []string{first.Name, candidates[1].Name}, nil
}

// Create creates an empty segment on all given hosts.
func (sites *Sites) Create(ctx context.Context, segment agatestage.Segment, epoch uint64, hosts []string) error {
	_, err := sites.Append(ctx, segment, epoch, 0, nil, hosts)
	return err
}

// Append writes frames to all copies in parallel. It returns the new end of the
// segment, or an error if any copy did not acknowledge the write.
func (sites *Sites) Append(ctx context.Context, segment agatestage.Segment, epoch uint64, offset int64, frames []byte, hosts []string) (int64, error) {
	ends := make([]int64, len(hosts))
	errs := make([]error, len(hosts))
	var writes sync.WaitGroup
	for i, host := range hosts {
		writes.Go(func() {
			var ledger agatestage.Ledger
			if ledger, errs[i] = sites.Ledger(host); errs[i] == nil {
				ends[i], errs[i] = ledger.Append(ctx, segment, epoch, offset, frames)
			}
		})
	}
	writes.Wait()
	for i, err := range errs {
		if err != nil {
			return 0, errors.Wrapf(err, "copy on %s", hosts[i])
		}
	}
	return offset + int64(len(frames)), nil
}

// localFirst returns the hosts with this entry first, because local reads are
// cheaper.
func (sites *Sites) localFirst(hosts []string) []string {
	localFirst := slices.Clone(hosts)
	slices.SortStableFunc(localFirst, func(a, b string) int {
		return cmp.Compare(boolToInt(a != sites.Self()), boolToInt(b != sites.Self()))
	})
	return localFirst
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Read returns complete frames from the first copy that has data at the offset.
func (sites *Sites) Read(ctx context.Context, segment agatestage.Segment, offset int64, limit int, hosts []string) (frames []byte, err error) {
	for _, host := range sites.localFirst(hosts) {
		var ledger agatestage.Ledger
		if ledger, err = sites.Ledger(host); err != nil {
			continue
		}
		if frames, err = ledger.Read(ctx, segment, offset, limit); err == nil && len(frames) > 0 {
			return frames, nil
		}
	}
	return nil, readError(segment, offset, err)
}

// Scan returns block summaries from the first copy that has data at the offset.
func (sites *Sites) Scan(ctx context.Context, segment agatestage.Segment, offset int64, limit int, hosts []string) (summaries []agatestage.Summary, err error) {
	for _, host := range sites.localFirst(hosts) {
		var ledger agatestage.Ledger
		if ledger, err = sites.Ledger(host); err != nil {
			continue
		}
		if summaries, err = ledger.Scan(ctx, segment, offset, limit); err == nil && len(summaries) > 0 {
			return summaries, nil
		}
	}
	return nil, readError(segment, offset, err)
}

func readError(segment agatestage.Segment, offset int64, err error) error {
	if err == nil {
		return errors.Errorf("no copy of %s/%s reaches offset %d", segment.Job, segment.Name, offset)
	}
	return errors.Wrapf(err, "read %s/%s at %d", segment.Job, segment.Name, offset)
}
