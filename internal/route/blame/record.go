package blame

import (
	"slices"
	"time"
)

const (
	// maxLosses bounds the losses that are kept of one request or part, and maxAllLosses
	// those of all targets.
	maxLosses    = 64
	maxAllLosses = 10_000
	// maxLossParts bounds the parts that are kept of one loss, and maxLossRequests the
	// requests with a part: a target runs about as many at a time.
	maxLossParts    = 512
	maxLossRequests = 16
)

// loss is the loss of a target.
type loss struct {
	target string
	at     time.Time
	// trial is true if the request that the target was running was on trial.
	trial bool
	// parts holds the parts that may have caused it, in the list of all losses, and requests
	// the requests with a part, in the part's record. They are only appended to.
	parts    []uint64
	requests []uint64
}

// same reports whether two losses are one, of which several reports have come.
func (loss loss) same(other loss) bool {
	return loss.target == other.target && loss.at.Sub(other.at).Abs() < commonWindow
}

// record holds the strikes of one request, or of one part of prompts.
type record struct {
	part bool
	// depth is the largest index that the part had among the suspected ones of a prompt.
	depth int
	// losses holds the targets that were lost while running the request, by time.
	losses []loss
	// completedAt is when a target has last completed the request in quarantine, or one with
	// the part.
	completedAt time.Time
	// knownWeight is the weight of a part if weighed is true.
	weighed     bool
	knownWeight int
	// trialUntil is when the last trial that this process has permitted ends at the latest,
	// trialCall the ID of its call.
	trialUntil time.Time
	trialCall  string
	// own is true if this process has found out part of it.
	own bool
	// held is true once the store is to have the record, logged if this process has logged
	// that a part is in quarantine.
	held   bool
	logged bool
}

// last returns when the last target was lost.
func (record *record) last() time.Time { return record.losses[len(record.losses)-1].at }

// completed reports whether a target has completed the request since the last was lost.
func (record *record) completed() bool { return record.completedAt.After(record.last()) }

// pardoned reports whether a target has completed the request after it was refused for
// the longest pause.
func (record *record) pardoned() bool {
	return record.completedAt.Sub(record.last()) >= barredTime
}

// insert adds a loss to those that are sorted by time, and reports whether it is new. If it
// isn't, its parts and requests are added; extended is true if there are new ones.
func insert(losses []loss, inserted loss) (result []loss, added, extended bool) {
	near := around(losses, inserted.at)
	if i := slices.IndexFunc(near, inserted.same); i >= 0 {
		known := &near[i]
		before := len(known.parts) + len(known.requests)
		known.parts = union(known.parts, inserted.parts, maxLossParts)
		known.requests = union(known.requests, inserted.requests, maxLossRequests)
		return losses, false, len(known.parts)+len(known.requests) > before
	}
	i, _ := slices.BinarySearchFunc(losses, inserted.at, func(loss loss, at time.Time) int { return loss.at.Compare(at) })
	return slices.Insert(losses, i, inserted), true, false
}

// union adds fingerprints to a list that others may share, up to a number.
func union(list, added []uint64, most int) []uint64 {
	for _, fingerprint := range added {
		if len(list) < most && !slices.Contains(list, fingerprint) {
			list = append(slices.Clip(list), fingerprint)
		}
	}
	return list
}

// around returns the losses within commonWindow of a time, of those that are sorted by
// time.
func around(losses []loss, at time.Time) []loss {
	compare := func(loss loss, at time.Time) int { return loss.at.Compare(at) }
	first, _ := slices.BinarySearchFunc(losses, at.Add(-commonWindow+1), compare)
	after, _ := slices.BinarySearchFunc(losses, at.Add(commonWindow), compare)
	return losses[first:after]
}

func expireLosses(losses []loss, now time.Time, life time.Duration) []loss {
	return slices.DeleteFunc(losses, func(loss loss) bool { return now.Sub(loss.at) >= life })
}
