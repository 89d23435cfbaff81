package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/agatestage/agatestage"
)

// A model engine keeps the prompt and the output of each of its calls in its memory. When they
// no longer fit it preempts the newest call, which it reads again from the start, and some
// engines crash if all calls that they have been sent exceed it. So large calls take more than a
// slot: each is counted with its prompt and the longest output that it allows.
//
// What targets keep of earlier prompts isn't counted, since it yields to calls. A part of a
// prompt that several calls have in common is counted for each of them, although the target
// keeps it once: callers state parts, but only the target knows which it keeps.

// memoryWaits counts the calls that no target had the memory for when they arrived.
var memoryWaits = metrics.GetOrCreateCounter("agatestage_gateway_memory_waits_total")

// SetMemory sets how many tokens the targets of each service hold. A service without a number
// has no limit.
func (scheduler *Scheduler) SetMemory(tokens map[string]int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.memory = tokens
	for name, service := range scheduler.services {
		service.memory = tokens[name]
		for _, target := range service.targets {
			target.memory = service.memory
		}
	}
	scheduler.dispatchAll()
}

// fits reports whether the target has the memory for a call beside those that it is known to
// have. A call that is larger than the whole memory is left to the target, which rejects it.
func (service *serviceState) fits(target *target, request Request, now time.Time) bool {
	return service.fitsWithout(target, request, nil, now)
}

// fitsWithout reports whether a call fits once a batch call of this gateway has ended there.
func (service *serviceState) fitsWithout(target *target, request Request, ended *Reservation, now time.Time) bool {
	if service.memory == 0 || request.Tokens == 0 || request.Tokens > service.memory {
		return true
	}
	if target == service.aside {
		return false
	}
	held := target.tokens + target.remoteCalls(now).Tokens
	if ended != nil {
		held -= ended.request.Tokens
	}
	return held+request.Tokens <= service.memory
}

// preemptSeveral ends batch calls of this gateway at the nearest target that holds the call without
// some of them, where no single one makes the room, and returns that target. It handles the
// load in which small items fill the memory: the call would wait behind them otherwise.
func (service *serviceState) preemptSeveral(request Request, now time.Time) (chosen *target) {
	if service.memory == 0 || request.Tokens == 0 || request.Tokens > service.memory {
		return nil
	}
	var victims []*Reservation
	for _, target := range service.targets {
		if !target.accepts(request) || target == service.aside || chosen != nil && target.tier > chosen.tier {
			continue
		}
		candidates := target.victims(target.tokens+target.remoteCalls(now).Tokens+request.Tokens-service.memory, now)
		if len(candidates) > 0 && (chosen == nil || target.tier < chosen.tier || len(candidates) < len(victims)) {
			chosen, victims = target, candidates
		}
	}
	for _, victim := range victims {
		chosen.preempt(victim)
	}
	return chosen
}

// victims returns the batch calls of this gateway to preempt for some tokens, those with the most
// slack first; none if all of them together don't hold as many.
func (target *target) victims(tokens int, now time.Time) []*Reservation {
	calls := slices.DeleteFunc(slices.Clone(target.batch), func(call *Reservation) bool { return call.request.Tokens == 0 })
	slices.SortStableFunc(calls, func(a, b *Reservation) int { return cmp.Compare(b.preemptionSlack(now), a.preemptionSlack(now)) })
	for i, call := range calls {
		if tokens -= call.request.Tokens; tokens <= 0 {
			return calls[:i+1]
		}
	}
	return nil
}

// overfilled reports whether batch calls of this gateway and online calls take more memory together
// than the target has. The engine would preempt the newest call, which may be an online one.
func (target *target) overfilled(now time.Time) bool {
	remoteCalls := target.remoteCalls(now)
	return target.memory > 0 && len(target.batch) > 0 && target.online+remoteCalls.Online > 0 && target.tokens+remoteCalls.Tokens > target.memory
}

// fitsClaimed reports whether a call fits once other gateways have preempted batch calls there, as
// they do when they are told of it.
func (service *serviceState) fitsClaimed(target *target, request Request, now time.Time) bool {
	remoteCalls := target.remoteCalls(now)
	return service.fits(target, request, now) || target != service.aside && target.tokens+remoteCalls.Tokens-remoteCalls.BatchTokens+request.Tokens <= service.memory
}

// tooLarge returns a refusal for an online call that no target of the service can hold.
func (service *serviceState) tooLarge(request Request) *agatestage.Refusal {
	if request.Batch || service.memory == 0 || request.Tokens <= service.memory {
		return nil
	}
	return agatestage.Refuse(agatestage.CodeNoTarget, "the call may take %d tokens, and targets of service %s hold %d", request.Tokens, request.Service, service.memory)
}

// lacksMemory reports whether a target has a free slot for the call, but none has the memory.
func (service *serviceState) lacksMemory(request Request, now time.Time) bool {
	if service.memory == 0 || request.Tokens == 0 {
		return false
	}
	lacking := false
	for _, target := range service.targets {
		if !target.accepts(request) || target.free(now) < 1 {
			continue
		}
		if service.fits(target, request, now) {
			return false
		}
		lacking = true
	}
	return lacking
}

// waitsForMemory returns the first of the waiting calls that go before a new one, if all of them
// that may use a target have a free slot there and lack only memory; else nil. The new call
// may fit where they don't.
func (service *serviceState) waitsForMemory(call *waiter, now time.Time) (first *waiter) {
	queue, goesBefore := service.online, func(other *waiter) bool { return compareOnline(other, call) <= 0 }
	if call.request.Batch {
		queue, goesBefore = service.batch, func(other *waiter) bool { return !call.precedes(other) }
	}
	for _, other := range queue {
		if !goesBefore(other) {
			break
		}
		if !service.hasUsable(other.request) {
			continue
		}
		if !service.lacksMemory(other.request, now) {
			return nil
		}
		if first == nil {
			first = other
		}
	}
	return first
}

// setAside keeps the memory of one target for a call that waits for memory alone, so that it isn't
// overtaken for ever by smaller calls, which use the other targets meanwhile. It takes the
// target with the most room, at home if possible, of those where the call fits once the calls of this
// gateway have ended: what others have there need not end.
func (service *serviceState) setAside(waiting *waiter, now time.Time) {
	request, most := waiting.request, 0
	for _, target := range service.targets {
		remoteTokens := target.remoteCalls(now).Tokens
		if !target.accepts(request) || request.Batch && !target.home || remoteTokens+request.Tokens > service.memory {
			continue
		}
		room := service.memory - remoteTokens - target.tokens
		if service.aside == nil || target.home && !service.aside.home || target.home == service.aside.home && room > most {
			service.aside, most = target, room
		}
	}
}

// releaseMemory records that a call has ended at the target.
func (target *target) releaseMemory(request Request) {
	target.tokens = max(0, target.tokens-request.Tokens)
}

// held returns the calls that this gateway has at the target.
func (target *target) held() Held {
	held := Held{Online: target.online, Batch: len(target.batch), Tokens: target.tokens}
	for _, call := range target.batch {
		held.BatchTokens += call.request.Tokens
	}
	return held
}
