// Package blame detects poison-pill requests, which take down the targets that run
// them.
//
// A request that was in flight on a target when the target went down gets a strike
// and is a suspect from then on. Sides run at most one suspect on a target at a
// time, so a second loss identifies the harmful request. After two strikes, with
// different targets, a request is refused for a time. When several targets go down
// together, a common cause such as a rack is assumed and the strikes don't count.
//
// Batch calls are items that callers have handed in for later, which never take down
// targets by themselves: those that crash get no strike and are never refused, so that
// an item that was unlucky several times is still run. Their losses count only towards
// a common cause.
package blame

import (
	"strconv"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

const (
	// strikesToRefuse is the number of targets lost while running a request after
	// which the request is refused.
	strikesToRefuse = 2
	// A common cause is assumed if commonTargets targets are lost within
	// commonWindow before or after a loss.
	commonWindow  = 2 * time.Second
	commonTargets = 3
	// strikeLife is how long a strike counts.
	strikeLife = 10 * time.Minute
	// refuseTime is how long a harmful request is refused.
	refuseTime = 10 * time.Minute
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
}

// Name returns the fingerprint as logs show it.
func Name(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// record holds the strikes of one request.
type record struct {
	// targets holds when each target was lost while running the request.
	targets map[string]time.Time
}

// loss is the loss of a target.
type loss struct {
	target string
	at     time.Time
}

// List holds the strikes known to an entry or gateway.
type List struct {
	clock   agatestage.Clock
	mutex   sync.Mutex
	records map[uint64]*record
	losses  []loss
}

// New returns an empty list.
func New(clock agatestage.Clock) *List {
	return &List{clock: clock, records: make(map[uint64]*record)}
}

// blamed returns the fingerprint by which losses are attributed to the call.
func blamed(call *agatestage.Call) uint64 {
	if call.Batch {
		return blameless
	}
	return call.Fingerprint
}

// Admit returns a refusal if the call is harmful. It updates whether the call is a
// suspect.
func (list *List) Admit(call *agatestage.Call) error {
	fingerprint := blamed(call)
	err := list.Refuse(fingerprint)
	call.Suspect = list.Suspect(fingerprint)
	return err
}

// Charge records that a target was lost while it ran the call. It returns the strike
// that is to be reported to the others.
func (list *List) Charge(call *agatestage.Call, target string) Strike {
	strike := Strike{Fingerprint: blamed(call), Target: target}
	list.Add(strike)
	return strike
}

// Add records a strike.
func (list *List) Add(strike Strike) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	now := list.clock.Now()
	list.expire(now)
	at := now.Add(-strike.Age)
	list.recordLoss(strike.Target, at)
	if strike.Fingerprint == blameless {
		return
	}
	found := list.records[strike.Fingerprint]
	if found == nil {
		if len(list.records) >= maxRecords {
			return
		}
		found = &record{targets: make(map[string]time.Time)}
		list.records[strike.Fingerprint] = found
	}
	found.targets[strike.Target] = at
}

// recordLoss records the loss of a target, unless it has been recorded before.
func (list *List) recordLoss(target string, at time.Time) {
	for _, loss := range list.losses {
		if loss.target == target && at.Sub(loss.at).Abs() < commonWindow {
			return
		}
	}
	list.losses = append(list.losses, loss{target: target, at: at})
}

// commonCause reports whether so many targets were lost around a time that a common
// cause is assumed.
func (list *List) commonCause(at time.Time) bool {
	count := 0
	for _, loss := range list.losses {
		if loss.at.Sub(at).Abs() < commonWindow {
			count++
		}
	}
	return count >= commonTargets
}

// strikes returns the number of targets that were lost while running the request,
// without losses by a common cause.
func (list *List) strikes(fingerprint uint64) (count int) {
	record := list.records[fingerprint]
	if record == nil {
		return 0
	}
	for _, at := range record.targets {
		if !list.commonCause(at) {
			count++
		}
	}
	return count
}

// Counts returns the number of targets that were lost while running the request, and how
// many of them count, as no common cause is assumed for them.
func (list *List) Counts(fingerprint uint64) (lost, counted int) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if record := list.records[fingerprint]; record != nil {
		lost = len(record.targets)
	}
	return lost, list.strikes(fingerprint)
}

// Suspect reports whether the request has a strike.
func (list *List) Suspect(fingerprint uint64) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.strikes(fingerprint) > 0
}

// Refuse returns a refusal if the request has strikesToRefuse strikes, and nil
// otherwise.
func (list *List) Refuse(fingerprint uint64) error {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.expire(list.clock.Now())
	if list.strikes(fingerprint) < strikesToRefuse {
		return nil
	}
	refusal := agatestage.Refuse(agatestage.CodeHarmful, "targets went down each time they ran this request")
	refusal.RetryAfter = refuseTime
	return refusal
}

// expire removes the losses and strikes that no longer count.
func (list *List) expire(now time.Time) {
	kept := list.losses[:0]
	for _, loss := range list.losses {
		if now.Sub(loss.at) < strikeLife {
			kept = append(kept, loss)
		}
	}
	list.losses = kept
	for fingerprint, record := range list.records {
		for target, at := range record.targets {
			if now.Sub(at) >= max(strikeLife, refuseTime) {
				delete(record.targets, target)
			}
		}
		if len(record.targets) == 0 {
			delete(list.records, fingerprint)
		}
	}
}
