// Package blame detects harmful requests, also called poison pills: those that take down
// the targets that run them.
//
// A request that was in flight on a target when the target went down gets a strike
// and is a suspect from then on. Sides run at most one suspect on a target at a
// time, so a second loss identifies the harmful request. One loss shows nothing, and
// several at about the same time may have a common cause, such as a rack, or be the work
// of a request that is sent again at once. So a request with several strikes is in
// quarantine: it is refused for a pause, and then runs on trial, once at a time in the whole
// fleet. A trial that a target completes ends the quarantine; each one under which
// another target goes down lengthens it. Losses on two occasions that the losses of
// other targets don't explain bar the request for the longest pause.
//
// Batch calls are items that callers have handed in for later, which never take down
// targets by themselves: those that crash get no strike and are never refused, so that
// an item that was unlucky several times is still run. Their losses count only towards
// a common cause.
package blame

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

const (
	// strikeLife is how long a strike counts, and repeatedLife how long those of a request
	// do under which targets went down on several occasions: it runs on trial again before
	// they are forgotten.
	strikeLife   = 10 * time.Minute
	repeatedLife = time.Hour
	// expirePeriod is the time between two searches for strikes that no longer count.
	expirePeriod = time.Second
	// blameless is the fingerprint of a call that gets no strikes.
	blameless = 0
	// maxRecords bounds the requests with strikes that are kept.
	maxRecords = 100_000
)

// Strike reports that a target went down with a request in flight. If the fingerprint
// is 0, the loss is not the request's fault.
type Strike struct {
	Fingerprint uint64
	Target      string
	// Age is the time since the loss when the strike is forwarded.
	Age time.Duration
	// Trial is true if the request was on trial.
	Trial bool `cbor:",omitempty"`
	// Completed, if it isn't 0, is the fingerprint of a request in quarantine that a target
	// has completed. The other fields but Age are empty then.
	Completed uint64 `cbor:",omitempty"`
	// Released, if it isn't 0, is the fingerprint of a request whose trial, the call with the
	// ID Call, ended without a result, and which no target may still run. The other fields
	// but Age are empty then.
	Released uint64 `cbor:",omitempty"`
	Call     string `cbor:",omitempty"`
}

// Name returns the fingerprint as logs show it.
func Name(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// maxNamedParts bounds the parts of a prompt that one line of the log names.
const maxNamedParts = 8

// PartNames returns the names of the parts of a call's prompt, for logs.
func PartNames(call *agatestage.Call) (names []string) {
	for _, part := range call.Parts[:min(len(call.Parts), maxNamedParts)] {
		names = append(names, part.Name)
	}
	return names
}

// fingerprintOf returns the fingerprint that logs show as the name.
func fingerprintOf(name string) (fingerprint uint64, ok bool) {
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	return fingerprint, err == nil && fingerprint != blameless
}

// loss is the loss of a target.
type loss struct {
	target string
	at     time.Time
	// trial is true if the request that the target was running was on trial.
	trial bool
}

// same reports whether two losses are one, of which several reports have come.
func (loss loss) same(other loss) bool {
	return loss.target == other.target && loss.at.Sub(other.at).Abs() < commonWindow
}

// record holds the strikes of one request.
type record struct {
	// losses holds the targets that were lost while running the request, by time.
	losses []loss
	// completedAt is when a target has last completed the request in quarantine.
	completedAt time.Time
	// trialUntil is when the last trial that this process has permitted ends at the latest,
	// trialCall the ID of its call.
	trialUntil time.Time
	trialCall  string
	// own is true if this process has found out part of it.
	own bool
}

// List holds the strikes known to an entry or gateway.
type List struct {
	clock   agatestage.Clock
	mutex   sync.Mutex
	permit  Permit
	records map[uint64]*record
	// losses holds the losses of all targets.
	losses  []loss
	expired time.Time
	// changed is called with the mutex held when what is known of a request in quarantine
	// has changed; own is that of its record.
	changed func(own bool)
}

// New returns an empty list. Trials are permitted by the list itself until SetPermit is
// called.
func New(clock agatestage.Clock) *List {
	list := &List{clock: clock, records: make(map[uint64]*record), changed: func(bool) {}}
	list.permit = func(_ context.Context, inquiry Inquiry) bool { return list.PermitTrial(inquiry) }
	return list
}

// blamed returns the fingerprint by which losses are attributed to the call.
func blamed(call *agatestage.Call) uint64 {
	if call.Batch {
		return blameless
	}
	return call.Fingerprint
}

// Charge records that a target was lost while it ran the call. It returns the strike
// that is to be reported to the others.
func (list *List) Charge(call *agatestage.Call, target string) Strike {
	strike := Strike{Fingerprint: blamed(call), Target: target, Trial: call.Trial}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.add(strike, true)
	return strike
}

// Complete records that a target has completed the call. If the request is in quarantine,
// it returns what is to be reported to the others.
func (list *List) Complete(call *agatestage.Call) (completion Strike, ok bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	found := list.records[blamed(call)]
	if found == nil || len(found.losses) < quarantineLosses {
		return Strike{}, false
	}
	found.own = true
	list.complete(found, list.clock.Now())
	return Strike{Completed: blamed(call)}, true
}

// Release records that the trial of the call ended without a result, and that no target
// may still run it. If the call was on trial, it returns what is to be reported to the
// others.
func (list *List) Release(call *agatestage.Call) (released Strike, ok bool) {
	if !call.Trial {
		return Strike{}, false
	}
	released = Strike{Released: blamed(call), Call: call.ID}
	list.Add(released)
	return released, true
}

// complete records that a target has completed a request in quarantine. The mutex must be
// held.
func (list *List) complete(record *record, at time.Time) {
	record.trialUntil = time.Time{}
	if !at.After(record.completedAt) {
		return
	}
	completed, pardoned := record.completed(), record.pardoned()
	if record.completedAt = at; completed != record.completed() || pardoned != record.pardoned() {
		list.changed(record.own)
	}
}

// Add records a strike. It reports whether it is new.
func (list *List) Add(strike Strike) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.add(strike, false)
}

// add records a strike, which this process has found out itself if own is true. The mutex
// must be held.
func (list *List) add(strike Strike, own bool) bool {
	now := list.clock.Now()
	list.expire(now)
	at := now.Add(-strike.Age)
	if strike.Completed != blameless {
		if found := list.records[strike.Completed]; found != nil {
			list.complete(found, at)
		}
		return false
	}
	if strike.Released != blameless {
		if found := list.records[strike.Released]; found != nil && found.trialCall == strike.Call {
			found.trialUntil = time.Time{}
		}
		return false
	}
	loss := loss{target: strike.Target, at: at, trial: strike.Trial}
	var added bool
	if list.losses, added = insert(list.losses, loss); added {
		list.noticeCommon(loss)
	}
	if strike.Fingerprint == blameless || strike.Age >= repeatedLife {
		return false
	}
	found := list.records[strike.Fingerprint]
	if found == nil {
		if len(list.records) >= maxRecords {
			return false
		}
		found = &record{}
		list.records[strike.Fingerprint] = found
	}
	found.own = found.own || own
	if found.losses, added = insert(found.losses, loss); added {
		found.trialUntil = time.Time{}
		if len(found.losses) >= quarantineLosses {
			list.changed(found.own)
		}
	}
	return added
}

// noticeCommon notes that a loss may explain those of requests in quarantine. The mutex must
// be held.
func (list *List) noticeCommon(loss loss) {
	for _, record := range list.records {
		if len(record.losses) >= quarantineLosses && len(around(record.losses, loss.at)) > 0 {
			list.changed(record.own)
		}
	}
}

// insert adds a loss to those that are sorted by time, unless it is among them.
func insert(losses []loss, added loss) ([]loss, bool) {
	if slices.ContainsFunc(around(losses, added.at), added.same) {
		return losses, false
	}
	i, _ := slices.BinarySearchFunc(losses, added.at, func(loss loss, at time.Time) int { return loss.at.Compare(at) })
	return slices.Insert(losses, i, added), true
}

// around returns the losses within commonWindow of a time, of those that are sorted by
// time.
func around(losses []loss, at time.Time) []loss {
	compare := func(loss loss, at time.Time) int { return loss.at.Compare(at) }
	first, _ := slices.BinarySearchFunc(losses, at.Add(-commonWindow+1), compare)
	after, _ := slices.BinarySearchFunc(losses, at.Add(commonWindow), compare)
	return losses[first:after]
}

// evidence returns what another process needs to judge the request with the fingerprint as
// this one does: the losses of others that explain those of the request, its strikes, and
// its completion. The mutex must be held.
func (list *List) evidence(fingerprint uint64, record *record) (strikes []Strike) {
	now := list.clock.Now()
	for _, loss := range list.explaining(record) {
		strikes = append(strikes, Strike{Target: loss.target, Age: now.Sub(loss.at)})
	}
	for _, loss := range record.losses {
		strikes = append(strikes, Strike{Fingerprint: fingerprint, Target: loss.target, Age: now.Sub(loss.at), Trial: loss.trial})
	}
	if !record.completedAt.IsZero() {
		strikes = append(strikes, Strike{Completed: fingerprint, Age: now.Sub(record.completedAt)})
	}
	return strikes
}

// maxKnown bounds what Known returns at a time, and so the bytes that are sent of it.
const maxKnown = 16

// Known returns the evidence of the requests that are or were in quarantine, for others
// that may have missed it; of many requests, some that are drawn anew each time.
func (list *List) Known() (known []Strike) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.expire(list.clock.Now())
	var fingerprints []uint64
	for fingerprint, record := range list.records {
		if len(record.losses) >= quarantineLosses {
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

// Counts returns the number of targets that were lost while running the request, and on
// how many occasions that nothing else explains.
func (list *List) Counts(fingerprint uint64) (lost, unexplained int) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if record := list.records[fingerprint]; record != nil {
		_, unexplained = list.occasions(record)
		lost = len(record.losses)
	}
	return lost, unexplained
}

// expire removes the losses and strikes that no longer count.
func (list *List) expire(now time.Time) {
	if now.Sub(list.expired) < expirePeriod {
		return
	}
	list.expired = now
	for fingerprint, record := range list.records {
		life := strikeLife
		if occasions, _ := list.occasions(record); occasions > 1 && !record.completedAt.After(record.last()) {
			life = repeatedLife
		}
		if record.losses = expireLosses(record.losses, now, life); len(record.losses) == 0 {
			delete(list.records, fingerprint)
		}
	}
	list.losses = expireLosses(list.losses, now, repeatedLife)
}

func expireLosses(losses []loss, now time.Time, life time.Duration) []loss {
	return slices.DeleteFunc(losses, func(loss loss) bool { return now.Sub(loss.at) >= life })
}
