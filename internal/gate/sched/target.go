package sched

import (
	"slices"
	"time"

	"github.com/agatestage/agatestage"
)

const (
	// firstBackoff and lastBackoff bound how long a target that could not be
	// reached is left alone between two looks at it. An engine that crashed is
	// back after seconds.
	firstBackoff = 300 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// stalledAfter is how long a target may give no sign to any of the calls that run
	// there: eight of the pauses between the events of one stream.
	stalledAfter = 250 * time.Millisecond
	// stalledCalls is how many calls must run there for their silence to tell
	// something about the target.
	stalledCalls = 2
	// heardFor is how long what another gateway has told about its calls holds: as
	// long as it counts as alive without being heard. Two messages may be lost.
	heardFor = 2500 * time.Millisecond
	// failureWeight is the weight of one call in a target's failure rate: the
	// rate remembers about the last ten calls.
	failureWeight = 0.1
	// poorRate is the failure rate from which a target gets calls only when
	// no better one is free; failureLife is how long it stays remembered.
	poorRate    = 0.25
	failureLife = 5 * time.Second
)

// target is one endpoint and what this gateway knows of it.
type target struct {
	agatestage.Endpoint
	tier   tier
	home   bool
	online int
	batch  []*Ticket
	// remote is what the other gateways have there.
	remote map[string]remote
	// down says that the target couldn't be reached; a prober looks after it. Suspect
	// says that it is being examined whether it can be.
	down    bool
	suspect bool
	// streams counts the calls of this gateway that have had a sign of the target;
	// signed is when the last of these signs came.
	streams int
	signed  time.Time
	// failures is the smoothed rate of calls that failed there, at failedAt.
	failures float64
	failedAt time.Time
}

// remote is what one other gateway has at a target.
type remote struct {
	Held
	at time.Time
}

// Held counts the calls that a gateway has at a target.
type Held struct {
	Online int
	Batch  int
}

// tier is how far a target is.
type tier int

const (
	tierZone tier = iota
	tierRegion
	tierRemote
)

// others sums what the other gateways have at the target.
func (target *target) others(now time.Time) (sum Held) {
	for _, remote := range target.remote {
		if now.Sub(remote.at) < heardFor {
			sum.Online += remote.Online
			sum.Batch += remote.Batch
		}
	}
	return sum
}

// heardAge returns the age of the oldest count of another gateway that holds.
func (target *target) heardAge(now time.Time) (age time.Duration) {
	for _, remote := range target.remote {
		if told := now.Sub(remote.at); told < heardFor {
			age = max(age, told)
		}
	}
	return age
}

// free returns the slots that nobody uses, as far as is known here.
func (target *target) free(now time.Time) int {
	others := target.others(now)
	return target.Slots - target.online - len(target.batch) - others.Online - others.Batch
}

// excess returns how many batch calls of this gateway must give way as the target
// has more calls than slots: its part of those that are too many. The home's calls
// are the last to go.
func (target *target) excess(now time.Time) int {
	own, others, over := len(target.batch), target.others(now).Batch, -target.free(now)
	if own == 0 || over <= 0 {
		return 0
	}
	if target.home {
		return min(own, max(0, over-others))
	}
	return min(own, (over*own+own+others-1)/(own+others))
}

// usable reports whether calls may go to the target at all.
func (target *target) usable() bool {
	return !target.Draining && !target.down && !target.suspect
}

// stalled reports whether no call of this gateway has a sign of the target, though
// several had.
func (target *target) stalled(now time.Time) bool {
	return target.streams >= stalledCalls && now.Sub(target.signed) > stalledAfter
}

// takes reports whether the call may go to the target at all.
func (target *target) takes(ask Ask) bool {
	return target.usable() && !slices.Contains(ask.Exclude, target.ID)
}

// poor reports whether the target fails many of its calls.
func (target *target) poor(now time.Time) bool {
	return target.failures >= poorRate && now.Sub(target.failedAt) < failureLife
}

// note takes the end of a call into the failure rate.
func (target *target) note(failed bool, now time.Time) {
	if now.Sub(target.failedAt) >= failureLife {
		target.failures = 0
	}
	value := 0.0
	if failed {
		value, target.failedAt = 1, now
	}
	target.failures += failureWeight * (value - target.failures)
}
