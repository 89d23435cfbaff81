package intake

import (
	"net/netip"
	"time"
)

// usualTime is the age below which requests are compared by their size alone: most arrive within it.
const usualTime = time.Second

// cost returns what a hold has taken of the pool, in bytes times seconds. By size alone, requests of
// a middle size that never end would have each larger upload dropped in their favour. The time
// of a connection on which nothing of a request is held doesn't count: callers keep them.
func (hold *Hold) cost(now time.Time) float64 {
	held := usualTime
	if hold.bytes > ConnBytes || hold.sockets > 0 {
		held = max(usualTime, now.Sub(hold.since))
	}
	return float64(hold.size()) * held.Seconds()
}

// answerTime is how long a response is written before it may be dropped: the time after which a
// reader without any progress is given up.
const answerTime = 10 * time.Second

// droppable reports whether the request may be dropped: it hasn't come whole, or its reader takes long.
func (hold *Hold) droppable(now time.Time) bool {
	return !hold.dropped && (!hold.finished || hold.answering && now.Sub(hold.since) >= answerTime)
}

// costliest returns the unfinished hold to be dropped for an asker: of the address that holds most
// if that is much, else of all, the one of the highest cost, then the oldest one. The asker is dropped
// itself if it is that one, unless it is small. It returns nil if no hold may be dropped. The mutex must be held.
func (pool *Pool) costliest(asker *Hold) (victim *Hold) {
	heavy, much := pool.heaviest()
	now := pool.clock.Now()
	var most float64
	for hold := range pool.holds {
		if !hold.droppable(now) || hold == asker && asker.bytes <= smallBytes || much && hold.address != heavy {
			continue
		}
		if cost := hold.cost(now); victim == nil || cost > most || cost == most && hold.since.Before(victim.since) {
			victim, most = hold, cost
		}
	}
	return victim
}

// heaviest returns the address whose unfinished requests hold most, and whether that is much.
// The mutex must be held.
func (pool *Pool) heaviest() (heavy netip.Addr, much bool) {
	bytes, now := make(map[netip.Addr]int64), pool.clock.Now()
	for hold := range pool.holds {
		if !hold.droppable(now) {
			continue
		}
		if bytes[hold.address] += hold.size(); bytes[hold.address] > bytes[heavy] {
			heavy = hold.address
		}
	}
	return heavy, bytes[heavy] > pool.sizes.Pool*heavyQuarters/4
}

// oldestOfMost returns the oldest unfinished hold of the address that has most of them, or nil if
// there is none. The mutex must be held.
func (pool *Pool) oldestOfMost() (victim *Hold) {
	counts, now := make(map[netip.Addr]int), pool.clock.Now()
	var most netip.Addr
	for hold := range pool.holds {
		if !hold.droppable(now) {
			continue
		}
		if counts[hold.address]++; counts[hold.address] > counts[most] {
			most = hold.address
		}
	}
	for hold := range pool.holds {
		if !hold.droppable(now) || hold.address != most {
			continue
		}
		if victim == nil || hold.since.Before(victim.since) {
			victim = hold
		}
	}
	return victim
}
