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
// What takes a target down may also be a part of the prompt, which requests have in common
// that are otherwise different. So the parts of a prompt get strikes like the request
// itself. A part counts as suspect only once targets have gone down under several
// requests with it, and none has completed a request with it since or just before, or has
// written an answer to one for SurvivalTime: that happens to sound parts all the time, also
// while a harmful one is about. Of the parts that
// were on the same targets the one with the most losses explains those of the others and
// of the requests.
//
// Batch calls are items that callers have handed in for later, which never take down
// targets by themselves: those that crash get no strike and are never refused, so that
// an item that was unlucky several times is still run. Their losses count only towards
// a common cause. The parts of their prompts are judged like all others, so that an item
// waits while one of them is in quarantine.
package blame

import (
	"context"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

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
	// maxRecords bounds the requests with strikes that are kept, and maxParts the parts of
	// prompts.
	maxRecords = 100_000
	maxParts   = 20_000
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
	// Parts holds the fingerprints of the parts of the request's prompt that may have caused
	// the loss, in their order, and Requests those of the request, or of some that were lost
	// there with a part, also where they get no strikes themselves.
	Parts    []uint64 `cbor:",omitempty"`
	Requests []uint64 `cbor:",omitempty"`
	// Completed, if it isn't 0, is the fingerprint of a request in quarantine that a target
	// has completed, and CompletedParts holds those of parts with strikes. The other fields
	// but Age are empty then.
	Completed      uint64   `cbor:",omitempty"`
	CompletedParts []uint64 `cbor:",omitempty"`
	// Released, if it isn't 0, is the fingerprint of a request whose trial, the call with the
	// ID Call, ended without a result, and which no target may still run; ReleasedParts
	// holds those of parts on trial. The other fields but Age are empty then.
	Released      uint64   `cbor:",omitempty"`
	ReleasedParts []uint64 `cbor:",omitempty"`
	Call          string   `cbor:",omitempty"`
}

// Name returns the fingerprint as logs show it.
func Name(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// Names returns several fingerprints as logs show them.
func Names(fingerprints []uint64) (names []string) {
	for _, fingerprint := range fingerprints {
		names = append(names, Name(fingerprint))
	}
	return names
}

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

// List holds the strikes known to an entry or gateway.
type List struct {
	clock   agatestage.Clock
	mutex   sync.Mutex
	permit  Permit
	records map[uint64]*record
	// parts is the number of records of parts.
	parts int
	// losses holds the losses of all targets.
	losses  []loss
	expired time.Time
	// completions holds the parts that this process has seen completed lately.
	completions completions
	// changed is called with the mutex held when what is known of a request in quarantine
	// has changed; own is that of its record.
	changed func(own bool)
	// report is called with the mutex held to report to the others that a part has been
	// completed here.
	report func(Strike)
}

// New returns an empty list. Trials are permitted by the list itself until SetPermit is
// called.
func New(clock agatestage.Clock) *List {
	list := &List{clock: clock, records: make(map[uint64]*record), changed: func(bool) {}, report: func(Strike) {}}
	list.permit = func(_ context.Context, inquiry Inquiry) bool { return list.PermitTrial(inquiry) }
	return list
}

// SetReport sets the function that reports to the others that a part for which a strike
// was received has been completed here. It must not block or call the list.
func (list *List) SetReport(report func(Strike)) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.report = report
}

// blamed returns the fingerprint by which losses are attributed to the call itself.
func blamed(call *agatestage.Call) uint64 {
	if call.Batch {
		return blameless
	}
	return call.Fingerprint
}

// Charge records that a target was lost while it ran the call. It returns the strike
// that is to be reported to the others.
func (list *List) Charge(call *agatestage.Call, target string) Strike {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	strike := Strike{Fingerprint: blamed(call), Target: target, Trial: call.Trial}
	if strike.Parts = list.chargeable(call); len(strike.Parts) > 0 {
		strike.Requests = []uint64{call.Fingerprint}
	}
	list.add(strike, true)
	return strike
}

// Complete records that a target has answered the call with success. If the request is in
// quarantine, or a part of its prompt has strikes, it returns what is to be reported to the
// others.
func (list *List) Complete(call *agatestage.Call) (completion Strike, ok bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	completion.CompletedParts = list.completeParts(call)
	if record := list.records[blamed(call)]; record != nil && len(record.losses) >= quarantineLosses {
		record.own = true
		list.complete(blamed(call), record, list.clock.Now())
		completion.Completed = blamed(call)
	}
	return completion, completion.completes()
}

// Survive records that a target has written an answer to the call for SurvivalTime, which shows
// the parts of its prompt to be sound like a completion. If one has strikes, it returns what is
// to be reported to the others.
func (list *List) Survive(call *agatestage.Call) (survival Strike, ok bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	survival.CompletedParts = list.completeParts(call)
	return survival, survival.completes()
}

// completeParts records that the parts of a call's prompt are sound, and returns those with
// strikes. The mutex must be held.
func (list *List) completeParts(call *agatestage.Call) (suspects []uint64) {
	now := list.clock.Now()
	for _, part := range call.Parts {
		list.completions.add(part.Fingerprint, now)
		if record := list.records[part.Fingerprint]; record != nil && len(record.unexcused()) > 0 {
			record.own = true
			list.complete(part.Fingerprint, record, now)
			suspects = append(suspects, part.Fingerprint)
		}
	}
	return suspects
}

func (strike Strike) completes() bool {
	return strike.Completed != blameless || len(strike.CompletedParts) > 0
}

func (strike Strike) releases() bool {
	return strike.Released != blameless || len(strike.ReleasedParts) > 0
}

// Release records that the trial of the call ended without a result, and that no target
// may still run it. If the call was on trial, it returns what is to be reported to the
// others.
func (list *List) Release(call *agatestage.Call) (released Strike, ok bool) {
	if !call.Trial {
		return Strike{}, false
	}
	released = Strike{Released: blamed(call), Call: call.ID}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	for _, part := range call.Parts {
		if record := list.records[part.Fingerprint]; record != nil && len(record.losses) >= quarantineLosses {
			released.ReleasedParts = append(released.ReleasedParts, part.Fingerprint)
		}
	}
	list.add(released, false)
	return released, released.releases()
}

// complete records that a target has completed a request in quarantine, or one with a part.
// The mutex must be held.
func (list *List) complete(fingerprint uint64, record *record, at time.Time) {
	record.trialUntil = time.Time{}
	if !at.After(record.completedAt) {
		return
	}
	record.weighed = false
	completed, pardoned := record.completed(), record.pardoned()
	if record.completedAt = at; completed != record.completed() || pardoned != record.pardoned() {
		list.changed(record.own)
	}
	if record.logged && len(record.unexcused()) == 0 {
		record.logged = false
		klog.InfoS("part of prompts free again", "fingerprint", Name(fingerprint), "lost", len(record.losses), "completed", at)
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
	switch {
	case strike.completes():
		list.addCompletions(strike, at)
		return false
	case strike.releases():
		list.addReleases(strike)
		return false
	}
	known := loss{target: strike.Target, at: at, trial: strike.Trial}
	struck := known
	struck.parts = list.unexcusedParts(strike, at)
	var added bool
	if list.losses, added, _ = insert(list.losses, struck); added {
		list.noticeCommon(known)
	}
	list.losses = list.losses[max(0, len(list.losses)-maxAllLosses):]
	if strike.Age >= repeatedLife {
		return false
	}
	added = strike.Fingerprint != blameless && list.addLoss(strike.Fingerprint, known, own, false)
	known.requests = strike.Requests
	for depth, part := range struck.parts {
		added = list.addLoss(part, known, own, true) || added
		if record := list.records[part]; record != nil {
			record.depth = max(record.depth, depth)
		}
	}
	return added
}

// addCompletions records that targets have completed a request or parts.
func (list *List) addCompletions(strike Strike, at time.Time) {
	now := list.clock.Now()
	if record := list.records[strike.Completed]; record != nil {
		list.complete(strike.Completed, record, at)
	}
	for _, part := range strike.CompletedParts {
		// The reporter has sent it to all others, too.
		list.completions.add(part, at).reported = now
		if record := list.records[part]; record != nil {
			list.complete(part, record, at)
		}
	}
}

// addReleases records that trials have ended without a result.
func (list *List) addReleases(strike Strike) {
	for _, fingerprint := range append([]uint64{strike.Released}, strike.ReleasedParts...) {
		if record := list.records[fingerprint]; record != nil && record.trialCall == strike.Call {
			record.trialUntil = time.Time{}
		}
	}
}

// addLoss adds the loss of a target to the record of a request or part, and reports whether
// it is new.
func (list *List) addLoss(fingerprint uint64, loss loss, own, part bool) (added bool) {
	found := list.records[fingerprint]
	if found == nil {
		if !list.makeRoom(part) {
			return false
		}
		found = &record{part: part}
		list.records[fingerprint] = found
	}
	found.own = found.own || own
	var extended bool
	if found.losses, added, extended = insert(found.losses, loss); added {
		found.trialUntil = time.Time{}
	}
	found.losses = found.losses[max(0, len(found.losses)-maxLosses):]
	found.weighed = found.weighed && !added && !extended
	switch {
	case !added && !extended:
	case len(found.losses) >= quarantineLosses:
		list.changed(found.own)
	case part:
		// It is kept if nothing excuses it by the next check.
		list.changed(false)
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

// Counts returns the number of targets that were lost while running the request, and on
// how many occasions that nothing else explains.
func (list *List) Counts(fingerprint uint64) (lost, unexplained int) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if record := list.records[fingerprint]; record != nil {
		_, unexplained = list.occasions(record, list.counted(fingerprint, record))
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
		if len(record.losses) > 1 && !record.completed() {
			if occasions, _ := list.occasions(record, record.losses); occasions > 1 {
				life = repeatedLife
			}
		}
		before := len(record.losses)
		if record.losses = expireLosses(record.losses, now, life); len(record.losses) == 0 {
			list.remove(fingerprint, record)
		}
		record.weighed = record.weighed && len(record.losses) == before
	}
	list.losses = expireLosses(list.losses, now, repeatedLife)
}

// remove removes a record. The mutex must be held.
func (list *List) remove(fingerprint uint64, record *record) {
	delete(list.records, fingerprint)
	if record.part {
		list.parts--
	}
}
