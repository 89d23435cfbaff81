package blame

import (
	"slices"
	"time"

	"github.com/agatestage/agatestage"
)

const (
	// excuseTime is how long a completed request shows that its parts are sound: a part that
	// takes targets down does so each time, and sound ones that requests have in common are
	// completed every few seconds.
	excuseTime = 10 * time.Second
	// SurvivalTime is how long a target has to write an answer until that shows the parts of
	// its prompt to be sound: one that takes targets down does so as they begin to write.
	SurvivalTime = 2 * time.Second
	// reportPeriod is the time between two reports that the same part was completed here.
	reportPeriod = 3 * time.Second
	// maxCompletions bounds the parts of which it is known when they were completed.
	maxCompletions = 32_000
	// maxStruckParts bounds the parts in a strike, so that it fits into a packet.
	maxStruckParts = 64
	// certainLosses is the number of losses from which on a part is harmful without doubt if
	// one of them came on trial, so that they are no sign of another common cause, or if
	// nothing else explains them. They speak against it also if one item was in flight at all.
	certainLosses = 4
)

// completion is the last known completion of a part, and when it was last reported, by this or
// another process.
type completion struct {
	at, reported time.Time
}

// completions holds the parts that were completed lately. The older half is forgotten when
// the newer is full or excuseTime old.
type completions struct {
	newer, older map[uint64]*completion
	began        time.Time
}

// add records that a part was completed, and returns what is known of that.
func (completions *completions) add(part uint64, at time.Time) *completion {
	if completions.newer == nil || len(completions.newer) >= maxCompletions/2 || at.Sub(completions.began) >= excuseTime {
		completions.older, completions.newer, completions.began = completions.newer, make(map[uint64]*completion), at
	}
	known := completions.get(part)
	if known == nil {
		known = &completion{}
	}
	completions.newer[part] = known
	if at.After(known.at) {
		known.at = at
	}
	return known
}

// get returns the last completion of a part, or nil if none is known.
func (completions *completions) get(part uint64) *completion {
	if known := completions.newer[part]; known != nil {
		return known
	}
	return completions.older[part]
}

// chargeable returns the parts of a call's prompt that may have caused the loss of a target
// just now: those with strikes first, if there are many. The mutex must be held.
func (list *List) chargeable(call *agatestage.Call) (parts []uint64) {
	now := list.clock.Now()
	for _, part := range call.Parts {
		if !list.excused(part.Fingerprint, now) {
			parts = append(parts, part.Fingerprint)
		}
	}
	if len(parts) > maxStruckParts {
		unknown := func(part uint64) int {
			if list.records[part] != nil {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(parts, func(a, b uint64) int { return unknown(a) - unknown(b) })
		parts = parts[:maxStruckParts]
	}
	return parts
}

// excused reports whether a completion shows that a part has not caused a loss.
func (list *List) excused(part uint64, lostAt time.Time) bool {
	if record := list.records[part]; record != nil && record.excuses(lostAt) {
		return true
	}
	known := list.completions.get(part)
	return known != nil && lostAt.Sub(known.at) < excuseTime
}

// unexcusedParts returns the parts in a strike that may have caused the loss. It reports to
// the others which of them have been completed here. The mutex must be held.
func (list *List) unexcusedParts(strike Strike, lostAt time.Time) (parts []uint64) {
	now := list.clock.Now()
	var completed []uint64
	var oldest time.Time
	for _, part := range strike.Parts {
		if known := list.completions.get(part); known != nil && lostAt.Sub(known.at) < excuseTime && now.Sub(known.reported) >= reportPeriod {
			known.reported = now
			completed = append(completed, part)
			if oldest.IsZero() || known.at.Before(oldest) {
				oldest = known.at
			}
		}
		if !list.excused(part, lostAt) {
			parts = append(parts, part)
		}
	}
	if len(completed) > 0 {
		list.report(Strike{CompletedParts: completed, Age: now.Sub(oldest)})
	}
	return parts
}

// excuses reports whether a completion shows that a loss has another cause than the part.
func (record *record) excuses(lostAt time.Time) bool {
	return record.part && !record.completedAt.IsZero() && lostAt.Sub(record.completedAt) < excuseTime
}

// unexcused returns the losses of a part that no completion excuses.
func (record *record) unexcused() []loss {
	first := slices.IndexFunc(record.losses, func(loss loss) bool { return !record.excuses(loss.at) })
	if first < 0 {
		return nil
	}
	return record.losses[first:]
}

// weight returns the number of losses that speak against a part, or zero if one request that
// is blamed itself was in flight at all of them. An item isn't blamed, so that many losses
// under one speak against the parts of its prompt. The mutex must be held.
func (list *List) weight(record *record) int {
	if !record.weighed {
		record.weighed, record.knownWeight = true, list.weigh(record.unexcused())
	}
	return record.knownWeight
}

func (list *List) weigh(losses []loss) int {
	if len(losses) < quarantineLosses {
		return 0
	}
	counts := make(map[uint64]int)
	for _, loss := range losses {
		for _, request := range loss.requests {
			counts[request]++
		}
	}
	for request, count := range counts {
		if count == len(losses) && (list.records[request] != nil || len(losses) < certainLosses) {
			return 0
		}
	}
	return len(losses)
}

// counted returns the losses that speak against a request or a part: those that no completion
// excuses and no other part explains. The mutex must be held.
func (list *List) counted(fingerprint uint64, record *record) []loss {
	losses, weight := record.losses, len(record.losses)
	if record.part {
		if weight = list.weight(record); weight == 0 {
			return nil
		}
		losses = record.unexcused()
	}
	return list.withoutExplained(fingerprint, record, losses, weight)
}

// withoutExplained returns the losses of a request or part with a weight that no other part
// explains. The mutex must be held.
func (list *List) withoutExplained(fingerprint uint64, record *record, losses []loss, weight int) []loss {
	if list.parts == 0 {
		return losses
	}
	return slices.DeleteFunc(slices.Clone(losses), func(loss loss) bool {
		return slices.ContainsFunc(list.partsAt(loss), func(part uint64) bool {
			other := list.records[part]
			return part != fingerprint && other != nil && list.outweighs(other, part, record, fingerprint, weight)
		})
	})
}

// kept reports whether the store is to have what is known of a request or part: of a request
// in quarantine, and of a part also if only one target was lost with it, or one request was in
// flight each time, once there was time for others to complete it. The mutex must be held.
func (list *List) kept(fingerprint uint64, record *record) bool {
	switch {
	case record.held:
	case !record.part:
		// A request that was lost beside a harmful part needs no record.
		record.held = len(list.counted(fingerprint, record)) >= quarantineLosses
	default:
		losses := record.unexcused()
		record.held = len(losses) > 0 && (list.weight(record) > 0 || list.clock.Since(losses[0].at) >= checkDelay) &&
			len(list.withoutExplained(fingerprint, record, losses, len(losses))) > 0
	}
	return record.held
}

// outweighs reports whether a part explains losses that it has in common with a request or
// another part. Of two parts with as many losses the one explains them that comes later in
// prompts, as fewer requests have it in common.
func (list *List) outweighs(part *record, partFingerprint uint64, other *record, fingerprint uint64, otherWeight int) bool {
	weight := list.weight(part)
	switch {
	case weight == 0 || weight < otherWeight:
		return false
	case weight > otherWeight || !other.part:
		return true
	case part.depth != other.depth:
		return part.depth > other.depth
	}
	return partFingerprint > fingerprint
}

// partsAt returns the parts that may have caused the loss of a target. The mutex must be held.
func (list *List) partsAt(lost loss) []uint64 {
	known := around(list.losses, lost.at)
	if i := slices.IndexFunc(known, lost.same); i >= 0 {
		return known[i].parts
	}
	return nil
}

// hasCertainCause reports whether another part than that of the record has certainly caused a
// loss. The mutex must be held.
func (list *List) hasCertainCause(lost loss, except *record) bool {
	return slices.ContainsFunc(lost.parts, func(part uint64) bool {
		record := list.records[part]
		return record != nil && record != except && record.part && list.weight(record) >= certainLosses && lostTrials(record.unexcused()) > 0
	})
}

// makeRoom reports whether a record may be added. Of parts, as callers may make up any
// number, those with a single loss are dropped first.
func (list *List) makeRoom(part bool) bool {
	if !part {
		return len(list.records)-list.parts < maxRecords
	}
	if list.parts >= maxParts {
		for fingerprint, record := range list.records {
			if record.part && len(record.losses) < quarantineLosses && list.parts > maxParts*3/4 {
				list.remove(fingerprint, record)
			}
		}
	}
	if list.parts >= maxParts {
		return false
	}
	list.parts++
	return true
}
