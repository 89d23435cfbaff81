package blame

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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

// Inquiry asks for permission to run a request on trial.
type Inquiry struct {
	Fingerprint uint64
	// Call is the ID of the call that is to run.
	Call string
	// Strikes holds the evidence that the inquirer has.
	Strikes []Strike
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
	record := list.records[fingerprint]
	if record == nil {
		return false
	}
	_, unexplained := list.occasions(record)
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
func (list *List) Check(call *agatestage.Call) error { return list.Refuse(blamed(call)) }

// Admit returns a refusal if the call must not be sent now. It updates whether the call is
// a suspect or on trial, for which it may ask for permission.
func (list *List) Admit(ctx context.Context, call *agatestage.Call) error {
	fingerprint := blamed(call)
	call.Suspect = list.Suspect(fingerprint)
	list.mutex.Lock()
	onTrial, err := list.check(fingerprint)
	if err != nil || !onTrial || call.Trial {
		list.mutex.Unlock()
		return err
	}
	permit, inquiry := list.permit, list.inquiry(call)
	list.mutex.Unlock()
	if call.Trial = permit(ctx, inquiry); call.Trial {
		return nil
	}
	refusal := agatestage.Refuse(agatestage.CodeHarmful, "targets went down while they ran this request, which is on trial elsewhere")
	refusal.RetryAfter = trialRetryAfter
	return refusal
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

// inquiry returns the inquiry for a call. The mutex must be held.
func (list *List) inquiry(call *agatestage.Call) Inquiry {
	inquiry := Inquiry{Fingerprint: blamed(call), Call: call.ID}
	if record := list.records[inquiry.Fingerprint]; record != nil {
		inquiry.Strikes = list.evidence(inquiry.Fingerprint, record)
	}
	return inquiry
}

// check reports whether the request may run on trial only, or returns a refusal if it may
// not run now. The mutex must be held.
func (list *List) check(fingerprint uint64) (onTrial bool, err error) {
	now := list.clock.Now()
	list.expire(now)
	record := list.records[fingerprint]
	if record == nil || len(record.losses) < quarantineLosses {
		return false, nil
	}
	occasions, unexplained := list.occasions(record)
	if record.pardoned() || unexplained < barringOccasions && record.completed() {
		return false, nil
	}
	wait := record.last().Add(pause(occasions, unexplained)).Sub(now)
	if wait <= 0 {
		return true, nil
	}
	refusal := agatestage.Refuse(agatestage.CodeHarmful, "targets went down each time they ran this request")
	refusal.RetryAfter = wait
	return false, refusal
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

// occasions returns on how many occasions targets were lost while running the request,
// and how many of them the losses of other targets don't explain. Losses within
// commonWindow are one occasion. A trial is one by itself, as it is run after the losses
// before are known. The mutex must be held.
func (list *List) occasions(record *record) (all, unexplained int) {
	var began time.Time
	for i, loss := range record.losses {
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
		if !slices.ContainsFunc(own, other.same) && !slices.ContainsFunc(others, sameTarget) {
			if others = append(others, other); len(others) == explainingTargets {
				break
			}
		}
	}
	return others
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
			explaining, _ = insert(explaining, other)
		}
	}
	return explaining
}
