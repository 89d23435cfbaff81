package blame

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// quarantineLosses is the number of targets lost while running a request from which on
	// the request is in quarantine.
	quarantineLosses = 2
	// barringOccasions is the number of unexplained occasions that bar a request.
	barringOccasions = 2
	// Losses within commonWindow may have one cause. The losses of explainingTargets
	// others within it explain that of a target.
	commonWindow      = 2 * time.Second
	explainingTargets = 2
	// firstPause is the pause after the first unexplained occasion, or after two explained
	// ones, as long as a target takes to start again. Each further occasion multiplies it by
	// pauseFactor.
	firstPause  = 5 * time.Second
	pauseFactor = 8
	// barredTime is how long a request is refused at most.
	barredTime = strikeLife
	// trialTime is how long a trial lasts at most of which nothing is heard.
	trialTime = 10 * time.Second
	// trialRetryAfter is when a request may return for which another one is on trial.
	trialRetryAfter = time.Second
)

// Inquiry asks for permission to run a request, or one with a part, on trial.
type Inquiry struct {
	// Fingerprint is that of the request or part.
	Fingerprint uint64
	// Call is the ID of the call that is to run.
	Call string
	// Strikes holds the evidence that the inquirer has.
	Strikes []Strike
}

// Withdrawn returns what is to be reported to the others if the call won't run.
func (inquiry Inquiry) Withdrawn() Strike {
	// Requests and parts have different fingerprints.
	return Strike{Released: inquiry.Fingerprint, Call: inquiry.Call}
}

// Permit reports whether the request may run on trial now. Of all processes that ask, one
// at a time gets the permission.
type Permit func(ctx context.Context, inquiry Inquiry) bool

// SetPermit sets whom to ask for permission to run a request on trial.
func (list *List) SetPermit(permit Permit) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.permit = permit
}

// Suspect reports whether the request has a strike that the losses of other targets
// don't explain.
func (list *List) Suspect(fingerprint uint64) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.suspect(fingerprint)
}

func (list *List) suspect(fingerprint uint64) bool {
	record := list.records[fingerprint]
	if record == nil {
		return false
	}
	_, unexplained := list.occasions(record, list.counted(fingerprint, record))
	return unexplained > 0
}

// Refuse returns a refusal if the request must not be sent now, as it is barred or in a
// pause, and nil otherwise.
func (list *List) Refuse(fingerprint uint64) error {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	_, err := list.check(fingerprint)
	return err
}

// Check returns a refusal if the call must not wait for a slot, as it could not be sent.
func (list *List) Check(call *agatestage.Call) error {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	_, err := list.checkCall(call)
	return err
}

// Admit returns a refusal if the call must not be sent now. It updates whether the call is
// a suspect or on trial, for which it may ask for permission.
func (list *List) Admit(ctx context.Context, call *agatestage.Call) error {
	list.mutex.Lock()
	call.Suspect = list.suspect(blamed(call)) || slices.ContainsFunc(call.Parts, func(part agatestage.Part) bool { return list.suspect(part.Fingerprint) })
	onTrial, err := list.checkCall(call)
	if err != nil || len(onTrial) == 0 || call.Trial {
		list.mutex.Unlock()
		return err
	}
	permit := list.permit
	var inquiries []Inquiry
	for _, fingerprint := range onTrial {
		inquiries = append(inquiries, list.inquiry(fingerprint, call))
	}
	list.mutex.Unlock()
	for i, inquiry := range inquiries {
		if call.Trial = permit(ctx, inquiry); call.Trial {
			continue
		}
		// At another process that has permitted one of them, that trial ends after trialTime.
		for _, permitted := range inquiries[:i] {
			list.Add(permitted.Withdrawn())
		}
		refusal := agatestage.Refuse(agatestage.CodeHarmful, "targets went down while they ran this request, which is on trial elsewhere")
		refusal.RetryAfter = trialRetryAfter
		return refusal
	}
	return nil
}

// checkCall returns what of a call, itself or parts of its prompt, may run on trial only, or a
// refusal if the call may not run now. The mutex must be held.
func (list *List) checkCall(call *agatestage.Call) (onTrial []uint64, err error) {
	trial, err := list.check(blamed(call))
	if err != nil {
		return nil, err
	}
	if trial {
		onTrial = append(onTrial, blamed(call))
	}
	for _, part := range call.Parts {
		if trial, err = list.check(part.Fingerprint); err != nil {
			return nil, list.refusePart(part, err)
		}
		if trial {
			onTrial = append(onTrial, part.Fingerprint)
		}
	}
	return onTrial, nil
}

// refusePart returns the refusal of a call with a part in quarantine, and logs the first.
func (list *List) refusePart(part agatestage.Part, err error) error {
	record := list.records[part.Fingerprint]
	losses := list.counted(part.Fingerprint, record)
	occasions, unexplained := list.occasions(record, losses)
	var refusal *agatestage.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	refusal.Message = fmt.Sprintf("%d targets went down as they ran prompts with the part %s", len(losses), part.Name)
	if !record.logged {
		record.logged = true
		klog.InfoS("part of prompts in quarantine", "part", part.Name, "fingerprint", Name(part.Fingerprint), "lost", len(losses), "first", losses[0].at,
			"last", losses[len(losses)-1].at, "occasions", occasions, "counted", unexplained, "completed", record.completedAt, "retryAfter", refusal.RetryAfter)
	}
	return refusal
}

// Quarantined returns the number of parts of prompts in quarantine, and since when the first
// of them is.
func (list *List) Quarantined() (parts int, since time.Time) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	for fingerprint, record := range list.records {
		if !record.part {
			continue
		}
		if losses := list.counted(fingerprint, record); len(losses) >= quarantineLosses {
			parts++
			if since.IsZero() || losses[0].at.Before(since) {
				since = losses[0].at
			}
		}
	}
	return parts, since
}

// PermitTrial decides on the inquiry of any process.
func (list *List) PermitTrial(inquiry Inquiry) bool {
	for _, strike := range inquiry.Strikes {
		list.Add(strike)
	}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	onTrial, err := list.check(inquiry.Fingerprint)
	if err != nil || !onTrial {
		return err == nil
	}
	record, now := list.records[inquiry.Fingerprint], list.clock.Now()
	if now.Before(record.trialUntil) {
		return false
	}
	record.trialUntil, record.trialCall = now.Add(trialTime), inquiry.Call
	return true
}

// Owner returns which of the named processes permits the trials of a request, by
// rendezvous hashing.
func Owner(fingerprint uint64, names []string) string {
	weight := func(name string) uint64 { return xxhash.Sum64String(Name(fingerprint) + "/" + name) }
	return slices.MaxFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
}

// inquiry returns the inquiry for a call, of which a request or part may run on trial only. The
// mutex must be held.
func (list *List) inquiry(fingerprint uint64, call *agatestage.Call) Inquiry {
	inquiry := Inquiry{Fingerprint: fingerprint, Call: call.ID}
	if record := list.records[fingerprint]; record != nil {
		inquiry.Strikes = list.evidence(fingerprint, record)
	}
	return inquiry
}

// check reports whether the request or part may run on trial only, or returns a refusal if it
// may not run now. The mutex must be held.
func (list *List) check(fingerprint uint64) (onTrial bool, err error) {
	now := list.clock.Now()
	list.expire(now)
	record := list.records[fingerprint]
	if record == nil || len(record.losses) < quarantineLosses {
		return false, nil
	}
	losses := list.counted(fingerprint, record)
	if len(losses) < quarantineLosses {
		return false, nil
	}
	occasions, unexplained := list.occasions(record, losses)
	if record.pardoned() || unexplained < barringOccasions && record.completed() {
		return false, nil
	}
	pause := pause(occasions, unexplained)
	if record.part {
		pause = partPause(occasions, unexplained, losses)
	}
	wait := losses[len(losses)-1].at.Add(pause).Sub(now)
	if wait <= 0 {
		return true, nil
	}
	refusal := agatestage.Refuse(agatestage.CodeHarmful, "targets went down each time they ran this request")
	refusal.RetryAfter = wait
	return false, refusal
}

// pause returns how long after its last strike a request is refused.
func pause(occasions, unexplained int) time.Duration {
	switch {
	case unexplained >= barringOccasions:
		return barredTime
	case occasions == 1 && unexplained == 0:
		return 0
	case occasions == 2 && unexplained == 0:
		// The request may have been on trial on one of the targets of a rack.
		return firstPause
	}
	pause := firstPause
	for ; occasions > 1 && pause < barredTime; occasions-- {
		pause *= pauseFactor
	}
	return min(pause, barredTime)
}

// partPause returns how long after its last strike a part is refused. Many requests have it in
// common, so that it is among those in flight whenever several targets go down: only trials under
// which a target went down lengthen the pause.
func partPause(occasions, unexplained int, losses []loss) time.Duration {
	trials := lostTrials(losses)
	switch {
	case unexplained >= barringOccasions && (trials > 0 || len(losses) >= certainLosses):
		return barredTime
	case unexplained == 0 && occasions == 1 && trials == 0:
		return 0
	}
	pause := firstPause
	for ; trials > 0 && pause < barredTime; trials-- {
		pause *= pauseFactor
	}
	return min(pause, barredTime)
}

// lostTrials returns how many of the losses came on trial.
func lostTrials(losses []loss) (trials int) {
	for _, loss := range losses {
		if loss.trial {
			trials++
		}
	}
	return trials
}

// occasions returns on how many occasions targets were lost while running the request or a
// part, of the given losses, and how many of them the losses of other targets don't explain.
// Losses within commonWindow are one occasion. A trial is one by itself, as it is run after
// the losses before are known. The mutex must be held.
func (list *List) occasions(record *record, losses []loss) (all, unexplained int) {
	var began time.Time
	for i, loss := range losses {
		if i > 0 && !loss.trial && loss.at.Sub(began) < commonWindow {
			continue
		}
		began = loss.at
		all++
		if !list.explained(record, loss.at) {
			unexplained++
		}
	}
	return all, unexplained
}

// explained reports whether enough targets that were not running the request were lost
// at about the given time.
func (list *List) explained(record *record, at time.Time) bool {
	return len(list.others(record, at)) >= explainingTargets
}

// others returns losses at about the given time of targets that were not running the
// request, of each target one, up to as many as explain its own.
func (list *List) others(record *record, at time.Time) (others []loss) {
	own := around(record.losses, at)
	for _, other := range around(list.losses, at) {
		sameTarget := func(loss loss) bool { return loss.target == other.target }
		if !slices.ContainsFunc(own, other.same) && !slices.ContainsFunc(others, sameTarget) && !list.hasCertainCause(other, record) {
			if others = append(others, other); len(others) == explainingTargets {
				break
			}
		}
	}
	return others
}
