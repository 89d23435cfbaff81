// Package table defines the limit table, the record of which entry owns which
// organisations.
//
// Organisations are assigned to partitions by hash. The record in the platform's
// store names the owner of each partition and the static share of each entry. It
// changes only by compare-and-swap, so that it is the single authority on
// ownership and shares, and its epoch orders all changes.
//
// The sum of the shares in use never exceeds 1. Only the entry itself changes its
// share while it runs: it stops using the difference before it writes a lower
// share, and uses a higher share only after the write. The write fails if the table
// has changed since the share was computed, so it never raises the sum above 1.
package table

import (
	"encoding/json"
	"maps"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// Partitions is the number of partitions. It can't change during the life of a
// fleet.
const Partitions = 64

// maxOwners bounds the number of entries that own partitions, because each entry
// exchanges messages with each owner about once a second.
const maxOwners = 8

// Ownership states which entry owns one partition.
type Ownership struct {
	Owner string
	// Since is the epoch in which the owner took the partition.
	Since uint64
	// Released says that the former owner handed the partition over.
	Released bool
	// First says that the partition had no owner before.
	First bool
}

// Record is one version of the table. It must not be modified.
type Record struct {
	Epoch uint64
	// Writer is unique to each write, so that an entry recognises its own record
	// after the reply to the write was lost.
	Writer string
	// Shares holds the static share of each entry.
	Shares map[string]float64
	// Leases holds the lease under which each entry may own partitions. An entry
	// that takes a new lease writes it here before it grants again, so that no other
	// entry can take its partitions over in between.
	Leases map[string]agatestage.Lease
	Owners [Partitions]Ownership
}

// Partition returns the partition of an organisation.
func Partition(organisation string) int {
	return int(xxhash.Sum64String(organisation) % Partitions)
}

// Decode decodes a record from JSON.
func Decode(data []byte) (*Record, error) {
	record := &Record{}
	if err := json.Unmarshal(data, record); err != nil {
		return nil, errors.Wrap(err, "decode limit table")
	}
	if record.Shares == nil {
		record.Shares = map[string]float64{}
	}
	return record, nil
}

// Next returns a copy of the record with the next epoch, which may be modified.
func (record *Record) Next() *Record {
	copied := *record
	copied.Epoch++
	copied.Shares = maps.Clone(record.Shares)
	if copied.Shares == nil {
		copied.Shares = map[string]float64{}
	}
	copied.Leases = maps.Clone(record.Leases)
	if copied.Leases == nil {
		copied.Leases = map[string]agatestage.Lease{}
	}
	return &copied
}

// Owned returns the partitions that an entry owns.
func (record *Record) Owned(owner string) (partitions []int) {
	for partition := range record.Owners {
		if record.Owners[partition].Owner == owner {
			partitions = append(partitions, partition)
		}
	}
	return partitions
}

// OwnerNames returns the distinct owners in alphabetical order.
func (record *Record) OwnerNames() (names []string) {
	seen := make(map[string]bool)
	for partition := range record.Owners {
		if name := record.Owners[partition].Owner; name != "" && !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// SumOthers returns the sum of the shares of all other entries.
func (record *Record) SumOthers(self string) (sum float64) {
	for name, share := range record.Shares {
		if name != self {
			sum += share
		}
	}
	return sum
}

// PreferredOwner returns which of the live entries should own a partition, by
// rendezvous hashing among the eligible entries.
func PreferredOwner(partition int, alive []string) string {
	best, bestRank := "", uint64(0)
	for _, name := range eligible(alive) {
		if rank := weight(name, partition); best == "" || rank > bestRank {
			best, bestRank = name, rank
		}
	}
	return best
}

// eligible returns the entries that may own partitions, at most maxOwners.
func eligible(alive []string) []string {
	if len(alive) <= maxOwners {
		return alive
	}
	ordered := append([]string(nil), alive...)
	sort.Slice(ordered, func(i, j int) bool {
		return weight(ordered[i], Partitions) > weight(ordered[j], Partitions)
	})
	return ordered[:maxOwners]
}

// weight returns the rendezvous weight of an entry for a partition.
func weight(name string, partition int) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{byte(partition)})
	return digest.Sum64()
}
