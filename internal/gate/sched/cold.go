package sched

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

// A target that has just started, or whose caches were lost, is cold: it tolerates few requests
// a second from all gateways together and ends under more. The load that this file handles is
// that of a whole fleet whose demand exceeds what cold targets tolerate, at any moment and with
// any view of the other gateways. Only the target's cold home sends to it, while it is
// permitted to (see gossip.Quorum), one call each 1/Rate.

const (
	// coldNewsAge is how old the news that a target is cold may be: its entry is written up to
	// 1.2 s after that and read 0.8 s later.
	coldNewsAge = 2 * time.Second
	// coldMemory is how long a target that isn't listed is remembered, so that an entry which
	// was missing for a while isn't taken for that of a new incarnation.
	coldMemory = 2 * time.Minute
	// doubtfulShare and doubtfulCalls bound the rate of a permission that a larger difference of
	// views could give to two gateways, and that of a gateway that keeps the target (keep.go):
	// with one call that each may have saved, all three stay within one and a half times the
	// limit and 5 requests.
	doubtfulShare = 0.5
	doubtfulCalls = 2.0 / 3
	// maxColdInterval bounds the time between two calls, which a rate near zero would let overflow.
	maxColdInterval = 24 * time.Hour
)

// ColdLimit is what the targets of a service tolerate while they are cold.
type ColdLimit struct {
	// Start is how long they are cold after their start.
	Start time.Duration
	// Rate is how many requests a second a target tolerates while it is cold; zero means that
	// nothing is limited.
	Rate float64
}

// ColdPermit says when this gateway may send calls to the cold targets whose home it is.
type ColdPermit struct {
	// It may from From until Until.
	From, Until time.Time
	// Doubtful means that another gateway might have a permission, too.
	Doubtful bool
	// Isolated means that this gateway hears too few others to use targets that it knows to be cold.
	Isolated bool
	// Blind means that this gateway may not hear that a target has become cold.
	Blind bool
}

// coldState is what is known of cold targets and evacuated zones.
type coldState struct {
	limits  map[string]ColdLimit
	homes   map[string]bool
	targets map[string]*coldTarget
	// listed is true once a list of targets has been applied.
	listed bool
	permit ColdPermit
	// permitAt is when permit was set, blindUntil until when targets count as cold since this
	// gateway may have missed that they are.
	permitAt   time.Time
	blindUntil time.Time
	// evacuated holds the evacuated zones, evacuationEnds when it became known that others no
	// longer are.
	evacuated      map[string]bool
	evacuationEnds map[string]time.Time
	// now is the time of the current decision. blind says that all targets count as cold then,
	// mayUse that this gateway may send calls to cold targets whose home it is. They are
	// determined once for a decision, as it looks at many targets several times.
	now           time.Time
	blind, mayUse bool
	// loggedMayUse and loggedBlind are as last logged.
	loggedMayUse, loggedBlind bool
}

func newColdState() *coldState {
	return &coldState{targets: make(map[string]*coldTarget), evacuated: make(map[string]bool), evacuationEnds: make(map[string]time.Time)}
}

// coldTarget is what is known of one incarnation's being cold.
type coldTarget struct {
	agatestage.Endpoint
	state *coldState
	// listedAt is when the incarnation was first listed, and initial says that it was in the
	// first list of this process, so that it may be older.
	listedAt   time.Time
	initial    bool
	lastListed time.Time
	// statedUntil is until when it is cold by its entry, warmAt by all that is known.
	statedUntil time.Time
	warmAt      time.Time
	limit       ColdLimit
	home        bool
	tenure      tenure
	// emptied is when the token bucket was last empty; cold is whether the target was cold when
	// that was last checked.
	emptied time.Time
	cold    bool
	// logged says that it was logged to be cold.
	logged bool
}

// SetColdLimits sets the limits of services whose targets are limited while they are cold.
func (scheduler *Scheduler) SetColdLimits(limits map[string]ColdLimit) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.cold.limits = limits
	scheduler.cold.update()
	scheduler.checkCold(scheduler.clock.Now())
}

// SetColdHomes sets the targets to which only this gateway may send calls while they are cold.
func (scheduler *Scheduler) SetColdHomes(homes map[string]bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	scheduler.cold.homes = homes
	for id, cold := range scheduler.cold.targets {
		cold.setHome(homes[id], now)
	}
}

// PermitCold replaces the permission to send calls to cold targets. It lapses if it isn't
// replaced for coldNewsAge.
func (scheduler *Scheduler) PermitCold(permit ColdPermit) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state, now := scheduler.cold, scheduler.clock.Now()
	if permit.Blind || state.silent(now) {
		state.blindUntil = now.Add(coldNewsAge)
	}
	state.permit, state.permitAt = permit, now
	state.observe(now)
	state.extendTenures()
}

// observe determines what holds for all targets in a decision at a time. The mutex must be held.
func (state *coldState) observe(now time.Time) {
	state.now = now
	state.blind = state.permit.Blind || now.Before(state.blindUntil) || state.silent(now)
	state.mayUse = !state.blind && !now.Before(state.permit.From) && now.Before(state.permit.Until)
}

// update applies changed limits and ends of evacuations to all targets.
func (state *coldState) update() {
	for _, cold := range state.targets {
		cold.update()
	}
}

// MarkCold records that a target's entry says that it is cold for ColdFor from now on.
func (scheduler *Scheduler) MarkCold(endpoint agatestage.Endpoint) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if target := scheduler.targets[endpoint.ID]; target != nil && target.sameAs(endpoint) {
		now := scheduler.clock.Now()
		scheduler.cold.observe(now)
		target.cold.stateCold(endpoint.ColdFor, now)
	}
}

// listCold gives a listed target its zone's evacuation and what is known of its being cold. The
// mutex must be held.
func (scheduler *Scheduler) listCold(target *target, now time.Time) {
	state := scheduler.cold
	state.observe(now)
	target.Evacuated = state.evacuated[target.Zone]
	known := state.targets[target.ID]
	if known == nil || !target.sameAs(known.Endpoint) {
		known = &coldTarget{state: state, listedAt: now, initial: !state.listed, emptied: now}
		known.setHome(state.homes[target.ID], now)
		state.targets[target.ID] = known
	}
	known.Endpoint, known.lastListed, target.cold = target.Endpoint, now, known
	known.stateCold(target.ColdFor, now)
}

// endList forgets targets that have not been listed for coldMemory. The mutex must be held.
func (state *coldState) endList(now time.Time) {
	state.listed = true
	for id, cold := range state.targets {
		if now.Sub(cold.lastListed) > coldMemory {
			delete(state.targets, id)
		}
	}
}

func (cold *coldTarget) setHome(home bool, now time.Time) {
	if home && !cold.home {
		cold.emptied, cold.tenure = now, tenure{}
	}
	cold.home = home
}

// stateCold records that the target is cold for a time by its entry, but never for less time
// than was known before.
func (cold *coldTarget) stateCold(remaining time.Duration, now time.Time) {
	if until := now.Add(remaining); remaining > 0 && until.After(cold.statedUntil) {
		cold.statedUntil = until
	}
	cold.update()
}

// update determines until when the target is cold.
func (cold *coldTarget) update() {
	cold.limit, cold.warmAt = cold.state.limits[cold.Service], cold.statedUntil
	later := func(from time.Time) {
		if end := from.Add(cold.limit.Start); !from.IsZero() && cold.limit.Start > 0 && end.After(cold.warmAt) {
			cold.warmAt = end
		}
	}
	switch {
	case !cold.initial:
		later(cold.listedAt)
	case cold.Started.Before(cold.listedAt):
		later(cold.Started)
	default:
		// The clocks differ.
		later(cold.listedAt)
	}
	later(cold.state.evacuationEnds[cold.Zone])
	cold.check()
}

// silent reports whether the permission has not been replaced for too long, as after a pause of
// this process. Before the first one, the list of targets has just been read.
func (state *coldState) silent(now time.Time) bool {
	return !state.permitAt.IsZero() && now.Sub(state.permitAt) > coldNewsAge
}

// check updates whether the target counts as cold, and returns it. Its bucket is empty when it
// becomes cold. A target without a limit never counts as cold.
func (cold *coldTarget) check() bool {
	if cold == nil {
		return false
	}
	state := cold.state
	isCold := cold.limit.Rate > 0 && (state.blind || state.now.Before(cold.warmAt))
	if isCold == cold.cold {
		return isCold
	}
	if cold.cold = isCold; isCold {
		cold.emptied = state.now
	}
	// What holds for all targets of an isolated gateway is logged once.
	if isCold && state.now.Before(cold.warmAt) {
		cold.logged = true
		metrics.GetOrCreateCounter("agatestage_targets_cold_total").Inc()
		klog.InfoS("target counts as cold", "target", cold.ID, "service", cold.Service, "zone", cold.Zone, "for", cold.warmAt.Sub(state.now),
			"byEntry", max(0, cold.statedUntil.Sub(state.now)), "isolated", state.blind, "home", cold.home, "permitted", state.mayUse)
	} else if !isCold && cold.logged {
		cold.logged = false
		klog.InfoS("target counts as warm", "target", cold.ID, "service", cold.Service, "zone", cold.Zone)
	}
	return isCold
}

// barred reports whether this gateway may send nothing to the target, which is cold.
func (cold *coldTarget) barred() bool {
	return cold.check() && !cold.mayUse()
}

// ready reports whether a call may go to the target now, as far as its being cold is concerned.
func (cold *coldTarget) ready() bool {
	return !cold.check() || cold.mayUse() && !cold.state.now.Before(cold.nextCall())
}

// nextCall returns when the bucket, which is filled from the start of the permission on, holds a
// call.
func (cold *coldTarget) nextCall() time.Time {
	from := cold.emptied
	if cold.state.mayUse && cold.state.permit.From.After(from) {
		from = cold.state.permit.From
	}
	return from.Add(time.Duration(min(float64(maxColdInterval), float64(time.Second)/cold.rate())))
}

// rate returns how many calls a second this gateway sends to the target while it is cold.
func (cold *coldTarget) rate() float64 {
	if cold.state.permit.Doubtful || !cold.state.mayUse {
		return min(cold.limit.Rate, doubtfulShare*cold.limit.Rate+doubtfulCalls)
	}
	return cold.limit.Rate
}

// take counts a call that is sent to the target.
func (cold *coldTarget) take() {
	if cold.check() {
		cold.emptied = cold.state.now
		metrics.GetOrCreateCounter("agatestage_cold_calls_total").Inc()
	}
}

// slots returns how many of the target's slots calls may use that hold them for a time: while it
// is cold, as many as are taken at its rate.
func (target *target) slots(hold time.Duration) float64 {
	all := float64(target.Slots)
	if !target.cold.check() {
		return all
	}
	if hold <= 0 {
		return min(1, all)
	}
	return min(all, target.cold.rate()*hold.Seconds())
}

// warmsAfter returns how long it takes until the first target that a call may use is warm, or
// zero if none is cold. The mutex must be held.
func (service *serviceState) warmsAfter(request Request) (wait time.Duration) {
	for _, target := range service.targets {
		if target.ends() || !target.suits(request) || !target.cold.barred() {
			continue
		}
		left := target.cold.warmAt.Sub(target.cold.state.now)
		if left <= 0 {
			// This gateway is isolated.
			left = coldNewsAge
		}
		if left = max(noTargetRetryAfter, left); wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// checkCold updates which targets are cold, and assigns what their buckets hold to waiting
// calls. The mutex must be held.
func (scheduler *Scheduler) checkCold(now time.Time) {
	state := scheduler.cold
	state.observe(now)
	if len(state.limits) == 0 {
		return
	}
	if state.mayUse != state.loggedMayUse {
		state.loggedMayUse = state.mayUse
		klog.InfoS("requests to cold targets", "permitted", state.mayUse, "doubtful", state.permit.Doubtful, "until", max(0, state.permit.Until.Sub(now)))
	}
	if state.blind != state.loggedBlind {
		state.loggedBlind = state.blind
		klog.InfoS("targets with a limit while they are cold", "allCountAsCold", state.blind, "isolated", state.permit.Blind, "permissionAge", now.Sub(state.permitAt), "kept", state.kept())
	}
	for _, service := range scheduler.services {
		changed := false
		for _, target := range service.targets {
			before := target.cold.cold
			changed = target.cold.check() != before || before && target.cold.ready() || changed
		}
		if changed && len(service.online)+len(service.batch)+len(service.moves) > 0 {
			scheduler.dispatch(service, now)
		}
	}
}
