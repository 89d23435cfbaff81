package sched

import (
	"slices"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/pace"
)

const (
	// minBackoff and maxBackoff bound the delay between two probes of an
	// unreachable target. A crashed engine is back after seconds.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// silenceTolerance is how long calls wait for a target that accepts no connections
	// but may be sound: a lost packet that opens a connection is sent again after a second,
	// and once more after two.
	silenceTolerance = 2 * time.Second
	// minStall is the least time for which a target that sends nothing on any of its calls
	// counts as stalled: a host whose processor share is a quota stands still for up to a tenth
	// of a second, and this one may, too.
	minStall = 200 * time.Millisecond
	// minStalledCalls is how many calls must run at a target before their silence
	// says something about the target.
	minStalledCalls = 2
	// remoteCountsTTL is how long the counts reported by another gateway are valid:
	// as long as a silent gateway counts as alive. This tolerates the loss of two
	// messages.
	remoteCountsTTL = 2500 * time.Millisecond
	// failureSmoothing is the weight of one call in a target's failure rate, which
	// thus covers about the last ten calls.
	failureSmoothing = 0.1
	// unreliableRate is the failure rate from which a target is used only when no
	// better one is free. failureTTL is how long after the last failure the rate is
	// kept.
	unreliableRate = 0.25
	failureTTL     = 5 * time.Second
)

// target is an endpoint and its state as known to this gateway.
type target struct {
	agatestage.Endpoint
	tier   tier
	home   bool
	online int
	batch  []*Reservation
	// tokens is how many tokens of the target's memory this gateway's calls may take.
	tokens int
	// memory is how many tokens the target holds; 0 if no limit is known.
	memory int
	// remote maps the other gateways to their calls at the target.
	remote map[string]remote
	// down is true while the target is unreachable; a prober checks it. suspect is
	// true while it is being probed for reachability.
	down    bool
	suspect bool
	// silentSince is when the target was marked as down if it may still be sound,
	// because connections to it timed out; zero otherwise.
	silentSince time.Time
	// leaving is true if the target has stated that it is leaving.
	leaving bool
	// replacedUntil is until when the target is left out since another incarnation
	// answered at its address; zero if none has.
	replacedUntil time.Time
	// weights holds what the target has lately stated of its weights, the latest last.
	weights []statedWeights
	// respondingCalls is the number of this gateway's calls on which the target has
	// sent something; progressed is when it last did on any of them.
	respondingCalls int
	progressed      time.Time
	// failures is the moving average of the rate of failed calls; failedAt is the
	// time of the last failure.
	failures float64
	failedAt time.Time
	cold     *coldTarget
	pace     targetPace
}

// remote is the number of calls that another gateway has at a target, and when it
// was reported.
type remote struct {
	Held
	at time.Time
}

// Held is the number of calls that a gateway has at a target. First and Event are the times to
// the first event and for an event that the target's home gateway has measured.
type Held struct {
	_      struct{} `cbor:",toarray"`
	Online int
	Batch  int
	// Tokens is how many tokens of the target's memory these calls may take, BatchTokens the part
	// of the batch calls.
	Tokens      int
	BatchTokens int
	First       pace.Code
	Event       pace.Code
}

// tier is the distance of a target.
type tier int

const (
	tierZone tier = iota
	tierRegion
	tierRemote
)

// sameAs reports whether an endpoint is the target's incarnation at the same address.
func (target *target) sameAs(endpoint agatestage.Endpoint) bool {
	return target.Address == endpoint.Address && target.Started.Equal(endpoint.Started) && target.Service == endpoint.Service
}

// remoteCalls returns the sum of the calls that the other gateways have at the
// target.
func (target *target) remoteCalls(now time.Time) (sum Held) {
	for _, remote := range target.remote {
		if now.Sub(remote.at) < remoteCountsTTL {
			sum.Online += remote.Online
			sum.Batch += remote.Batch
			sum.Tokens += remote.Tokens
			sum.BatchTokens += remote.BatchTokens
		}
	}
	return sum
}

// remoteCountsAge returns the age of the oldest valid count of another gateway.
func (target *target) remoteCountsAge(now time.Time) (age time.Duration) {
	for _, remote := range target.remote {
		if elapsed := now.Sub(remote.at); elapsed < remoteCountsTTL {
			age = max(age, elapsed)
		}
	}
	return age
}

// free returns the number of slots that no known call uses.
func (target *target) free(now time.Time) int {
	remoteCalls := target.remoteCalls(now)
	return target.Slots - target.online - len(target.batch) - remoteCalls.Online - remoteCalls.Batch
}

// excess returns how many batch calls of this gateway must be preempted if the
// target has more calls than slots: its share of the surplus. The batch calls of
// the home gateway are preempted last.
func (target *target) excess(now time.Time) int {
	own, remoteCalls, over := len(target.batch), target.remoteCalls(now).Batch, -target.free(now)
	if own == 0 || over <= 0 {
		return 0
	}
	if target.home {
		return min(own, max(0, over-remoteCalls))
	}
	return min(own, (over*own+own+remoteCalls-1)/(own+remoteCalls))
}

// usable reports whether the target may receive calls.
func (target *target) usable() bool {
	return !target.ends() && !target.down && !target.suspect && !target.cold.barred()
}

// ends reports whether the target is draining, leaving, replaced or evacuated, and so gets no
// more calls.
func (target *target) ends() bool {
	return target.Draining || target.leaving || target.replaced() || target.Evacuated
}

// returning reports whether the target can't be used at the moment but may be sound.
func (target *target) returning(now time.Time) bool {
	switch {
	case target.ends(), target.cold.barred():
		return false
	case target.down:
		return !target.silentSince.IsZero() && now.Sub(target.silentSince) < silenceTolerance
	}
	return target.suspect
}

// expected reports whether the target is usable or may be so in a moment.
func (target *target) expected(now time.Time) bool {
	return target.usable() || target.returning(now)
}

// stalled reports whether the target has sent nothing on any of this gateway's calls for longer
// than a limit, after having sent something on several.
func (target *target) stalled(limit time.Duration, now time.Time) bool {
	return target.respondingCalls >= minStalledCalls && now.Sub(target.progressed) > limit
}

// accepts reports whether the call may go to the target.
func (target *target) accepts(request Request) bool {
	return target.usable() && target.cold.ready() && target.suits(request)
}

// suits reports whether the call may go to the target as soon as that is usable.
func (target *target) suits(request Request) bool {
	return request.Regions.Allows(target.Region) && !slices.Contains(request.Exclude, target.ID) && !target.lacks(request.Weights)
}

// unreliable reports whether the target fails many of its calls.
func (target *target) unreliable(now time.Time) bool {
	return target.failures >= unreliableRate && now.Sub(target.failedAt) < failureTTL
}

// recordOutcome updates the failure rate at the end of a call.
func (target *target) recordOutcome(failed bool, now time.Time) {
	if now.Sub(target.failedAt) >= failureTTL {
		target.failures = 0
	}
	value := 0.0
	if failed {
		value, target.failedAt = 1, now
	}
	target.failures += failureSmoothing * (value - target.failures)
}

// removeCall removes a call from the target's counts.
func (target *target) removeCall(reservation *Reservation) {
	if !reservation.Batch {
		target.online = max(0, target.online-1)
		target.releaseMemory(reservation.request)
		return
	}
	if i := slices.Index(target.batch, reservation); i >= 0 {
		target.batch = slices.Delete(target.batch, i, i+1)
		target.releaseMemory(reservation.request)
	}
}
