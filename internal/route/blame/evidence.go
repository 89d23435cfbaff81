package blame

import (
	"math/rand/v2"
)

const (
	// maxKnown bounds what Known returns at a time, and so the bytes that are sent of it.
	maxKnown = 16
	// maxPartLosses bounds the losses of a part that others are sent, and maxPartRequests the
	// requests of each: two show that not one request has caused them.
	maxPartLosses, maxPartRequests = 8, 4
)

// evidence returns what another process needs to judge the request or part with the
// fingerprint as this one does: the losses of others that explain those of the request, its
// strikes, and its completion. The mutex must be held.
func (list *List) evidence(fingerprint uint64, record *record) (strikes []Strike) {
	now := list.clock.Now()
	for _, loss := range list.explaining(record) {
		strikes = append(strikes, Strike{Target: loss.target, Age: now.Sub(loss.at)})
	}
	if record.part {
		return append(strikes, list.partEvidence(fingerprint, record)...)
	}
	for _, loss := range record.losses {
		strikes = append(strikes, Strike{Fingerprint: fingerprint, Target: loss.target, Age: now.Sub(loss.at), Trial: loss.trial})
	}
	if !record.completedAt.IsZero() {
		strikes = append(strikes, Strike{Completed: fingerprint, Age: now.Sub(record.completedAt)})
	}
	return strikes
}

// partEvidence returns the strikes of a part and its completion.
func (list *List) partEvidence(part uint64, record *record) (strikes []Strike) {
	now := list.clock.Now()
	for _, loss := range record.losses[max(0, len(record.losses)-maxPartLosses):] {
		strikes = append(strikes, Strike{
			Parts: []uint64{part}, Requests: loss.requests[:min(len(loss.requests), maxPartRequests)],
			Target: loss.target, Age: now.Sub(loss.at), Trial: loss.trial,
		})
	}
	if !record.completedAt.IsZero() {
		strikes = append(strikes, Strike{CompletedParts: []uint64{part}, Age: now.Sub(record.completedAt)})
	}
	return strikes
}

// Known returns the evidence of the requests and parts that are or were in quarantine, for
// others that may have missed it; of many, some that are drawn anew each time.
func (list *List) Known() (known []Strike) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.expire(list.clock.Now())
	var fingerprints []uint64
	for fingerprint, record := range list.records {
		if len(record.losses) >= quarantineLosses && len(list.counted(fingerprint, record)) >= quarantineLosses {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	rand.Shuffle(len(fingerprints), func(i, j int) { fingerprints[i], fingerprints[j] = fingerprints[j], fingerprints[i] })
	for _, fingerprint := range fingerprints {
		// A request of which only a part were sent would be judged by that part.
		evidence := list.evidence(fingerprint, list.records[fingerprint])
		if len(known) > 0 && len(known)+len(evidence) > maxKnown {
			break
		}
		known = append(known, evidence[max(0, len(evidence)-maxKnown):]...)
	}
	return known
}

// explaining returns the losses of others that explain those of the request, as few as
// suffice for each. The mutex must be held.
func (list *List) explaining(record *record) (explaining []loss) {
	for _, loss := range record.losses {
		others := list.others(record, loss.at)
		if len(others) < explainingTargets {
			continue
		}
		for _, other := range others {
			explaining, _, _ = insert(explaining, other)
		}
	}
	return explaining
}
