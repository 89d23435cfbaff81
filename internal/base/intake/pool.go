// Package intake bounds what the clients of a process may take of its memory and descriptors.
//
// All listeners of a process share one Pool. Each connection has a Hold of it, which grows before
// anything of a request is kept, and shrinks when the request's response has ended. When the pool
// is short, an unfinished request is dropped, which can't have begun to run: the one that
// has held most for longest, of the address that holds much, else of all. Small requests have a part of the pool that large
// ones may not use.
//
// The load that the pool handles: clients without number that send heads, bodies and connections
// without end, beside ordinary callers, who may come from the same address.
package intake

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// ConnBytes is the memory that a connection takes by itself: two buffers of 4 KB and the
	// stacks of two goroutines.
	ConnBytes = 24 << 10
	// smallBytes is what a request may hold and still use the whole pool: a connection with
	// a head of usual size and a short body.
	smallBytes = 64 << 10
	// largeEighths is the part of the pool, in eighths, that larger requests may use together.
	largeEighths = 6
	// heavyQuarters is the part of the pool, in quarters, above which an address holds much.
	heavyQuarters = 1
	// endingPart is the part of the connections that dropped ones may have beside the others until
	// they are closed. It comes from the descriptors that are left to targets and the store.
	endingPart = 8
	// patience is how long a request waits for memory that others give back.
	patience = time.Second
	// logPeriod is the least time between two lines on dropped or refused clients.
	logPeriod = time.Second
)

// ErrShort means that the memory for a request is lacking, or that it was dropped in favour of
// others.
var ErrShort = errors.New("the memory for requests is in use")

// Pool is the memory and the connections that all clients of a process share.
type Pool struct {
	clock agatestage.Clock
	sizes Sizes
	mutex sync.Mutex
	// used is the sum of all holds, large that of those above smallBytes, and leaving that of
	// those that were dropped and haven't ended yet.
	used, large, leaving int64
	holds                map[*Hold]struct{}
	addresses            map[netip.Addr]usage
	// changed is closed when bytes are given back or a request is dropped.
	changed  chan struct{}
	work     *work
	loggedAt time.Time
	unlogged int
	// sockets is what the kernel keeps of used, and wide the number of connections with the wide
	// receive buffer.
	sockets int64
	wide    int
	// ending is the number of dropped connections that aren't closed yet and no longer count in holds.
	ending int
	// watched has an element when Watch is to measure connections.
	watched chan struct{}
	// limited is what the collector's limit leaves to the kernel. Only Watch uses it.
	limited int64
	// peak is the largest use since memory was last returned to the system.
	peak       int64
	returnedAt time.Time
}

// New returns an empty pool.
func New(sizes Sizes, clock agatestage.Clock) *Pool {
	return &Pool{clock: clock, sizes: sizes, holds: make(map[*Hold]struct{}), addresses: make(map[netip.Addr]usage), changed: make(chan struct{}), watched: make(chan struct{}, 1), work: newWork(sizes.Work)}
}

// Sizes returns the sizes that the pool was created with.
func (pool *Pool) Sizes() Sizes { return pool.sizes }

// Used returns how many bytes of the pool are in use.
func (pool *Pool) Used() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.used
}

// Hold is the part of a pool that a connection and its current request have.
type Hold struct {
	pool    *Pool
	address netip.Addr
	// drop ends the connection; it must not block.
	drop  func()
	bytes int64
	// sockets is what the kernel keeps for the connection, as it was last measured.
	sockets int64
	measure func() int64
	wide    bool
	// since is when the request, or the wait for one, began.
	since time.Time
	// finished is true while a request that has arrived whole may run, and answering once it has
	// run and only its response is written.
	finished, answering bool
	dropped             bool
	// ending is true if another connection has its place already.
	ending bool
	ended  bool
}

// Open returns the hold of a new connection, or false if there is no room for it. Drop is called
// at most once, without the pool's mutex; the connection must then be closed.
func (pool *Pool) Open(address netip.Addr, drop func()) (*Hold, bool) {
	address = clientOf(address)
	hold := &Hold{pool: pool, address: address, drop: drop, since: pool.clock.Now()}
	pool.mutex.Lock()
	var victims []*Hold
	ok := true
	if pool.sizes.Conns > 0 && len(pool.holds) >= pool.connsFor(address) {
		var victim *Hold
		if pool.ending < max(1, pool.sizes.Conns/endingPart) {
			victim = pool.oldestOfMost()
		}
		if ok = victim != nil; ok {
			victims = append(victims, pool.markDropped(victim))
			// The new connection has its place, though its descriptor may only be closed once its
			// goroutine takes notice.
			pool.remove(victim)
			victim.ending = true
			pool.ending++
		}
	}
	for ok && !pool.fitsOnceLeft(hold, ConnBytes) {
		victim := pool.costliest(hold)
		if ok = victim != nil; ok {
			victims = append(victims, pool.markDropped(victim))
		}
	}
	if ok {
		pool.holds[hold] = struct{}{}
		pool.addUsage(address, usage{conns: 1})
		pool.add(hold, ConnBytes)
		pool.wakeWatch()
	}
	pool.mutex.Unlock()
	pool.dropAll(victims, "connections")
	if !ok {
		pool.count("refused")
		pool.note("no room for a connection", "refused", address)
	}
	return hold, ok
}

// Grow adds bytes to the hold. If they are lacking, it drops other requests or waits for them to
// end. After an error the request must not go on.
func (hold *Hold) Grow(ctx context.Context, bytes int64) error {
	pool := hold.pool
	var timeout <-chan time.Time
	for {
		pool.mutex.Lock()
		if hold.dropped {
			pool.mutex.Unlock()
			return ErrShort
		}
		if pool.fits(hold, bytes) {
			pool.add(hold, bytes)
			pool.mutex.Unlock()
			return nil
		}
		var victims []*Hold
		for !hold.dropped && !pool.fitsOnceLeft(hold, bytes) {
			victim := pool.costliest(hold)
			if victim == nil {
				break
			}
			victims = append(victims, pool.markDropped(victim))
		}
		changed, dropped := pool.changed, hold.dropped
		pool.mutex.Unlock()
		pool.dropAll(victims, "memory")
		if dropped {
			return ErrShort
		}
		if timeout == nil {
			timer := pool.clock.NewTimer(patience)
			defer timer.Stop()
			timeout = timer.C()
		}
		select {
		case <-changed:
		case <-timeout:
			pool.count("refused")
			pool.note("request refused for memory", "refused", hold.address)
			return ErrShort
		case <-ctx.Done():
			return ErrShort
		}
	}
}

// Shrink gives back bytes of the hold.
func (hold *Hold) Shrink(bytes int64) {
	hold.pool.mutex.Lock()
	defer hold.pool.mutex.Unlock()
	hold.pool.add(hold, -min(bytes, hold.bytes))
}

// Finish notes that the request has arrived whole. It is no longer dropped. It returns false if
// it has been dropped already.
func (hold *Hold) Finish() bool {
	hold.pool.mutex.Lock()
	defer hold.pool.mutex.Unlock()
	hold.finished = !hold.dropped
	return hold.finished
}

// Answer notes that the request has run, and that nothing is left to do but to write its response,
// which may be dropped if its reader takes long.
func (hold *Hold) Answer() {
	hold.pool.mutex.Lock()
	defer hold.pool.mutex.Unlock()
	hold.answering, hold.since = true, hold.pool.clock.Now()
}

// Dropped reports whether the pool has dropped the request.
func (hold *Hold) Dropped() bool {
	hold.pool.mutex.Lock()
	defer hold.pool.mutex.Unlock()
	return hold.dropped
}

// Next notes that the response has ended. The hold keeps what the connection takes by itself.
func (hold *Hold) Next() {
	hold.pool.mutex.Lock()
	defer hold.pool.mutex.Unlock()
	hold.next()
}

// next is Next; the mutex must be held.
func (hold *Hold) next() {
	hold.pool.add(hold, min(0, ConnBytes-hold.bytes))
	hold.pool.narrow(hold)
	hold.finished, hold.answering, hold.since = false, false, hold.pool.clock.Now()
}

// Close gives back all bytes of the hold. It is called once the connection is closed.
func (hold *Hold) Close() {
	pool := hold.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if hold.ended {
		return
	}
	pool.addSockets(hold, -hold.sockets)
	pool.narrow(hold)
	hold.ended = true
	if hold.ending {
		pool.ending--
	}
	pool.add(hold, -hold.bytes)
	pool.remove(hold)
}

// size returns what the hold has with what the kernel keeps for it; the mutex must be held.
func (hold *Hold) size() int64 { return hold.bytes + hold.sockets }

// add changes the bytes of a hold; the mutex must be held.
func (pool *Pool) add(hold *Hold, bytes int64) {
	if hold.ended && bytes > 0 {
		return
	}
	before := hold.bytes
	hold.bytes += bytes
	if before <= ConnBytes && hold.bytes > ConnBytes {
		// A request begins on a connection that may have been idle.
		hold.since = pool.clock.Now()
	}
	pool.used += bytes
	pool.addUsage(hold.address, usage{bytes: bytes})
	pool.large += largeBytes(hold.bytes) - largeBytes(before)
	if hold.dropped {
		pool.leaving += bytes
	}
	pool.peak = max(pool.peak, pool.used)
	if bytes < 0 {
		pool.wake()
	}
}

// wake has those that wait for memory try again; the mutex must be held.
func (pool *Pool) wake() {
	close(pool.changed)
	pool.changed = make(chan struct{})
}

// largeBytes returns the size of a hold if it counts as large, else 0.
func largeBytes(bytes int64) int64 {
	if bytes <= smallBytes {
		return 0
	}
	return bytes
}

// fits reports whether a hold may grow now; the mutex must be held. A large one that is alone
// may exceed its part, so that any single request inside the configured limits is served.
func (pool *Pool) fits(hold *Hold, bytes int64) bool {
	return pool.room(hold, bytes, 0)
}

// fitsOnceLeft reports whether a hold may grow once those that were dropped have ended; the
// mutex must be held.
func (pool *Pool) fitsOnceLeft(hold *Hold, bytes int64) bool {
	return pool.room(hold, bytes, pool.leaving)
}

func (pool *Pool) room(hold *Hold, bytes, leaving int64) bool {
	limit := pool.sizes.Pool
	if limit <= 0 {
		return true
	}
	if hold.bytes+bytes <= smallBytes {
		// What a single large request exceeds its part by isn't taken from small ones.
		exceeds := max(0, pool.large-limit*largeEighths/8)
		return pool.used-leaving-exceeds+bytes <= pool.bytesFor(hold.address)
	}
	others := pool.large - largeBytes(hold.bytes) - leaving
	return others <= 0 && pool.used-leaving-hold.bytes <= limit || pool.used-leaving+bytes <= limit*largeEighths/8
}

// markDropped marks a hold as dropped; the mutex must be held.
func (pool *Pool) markDropped(hold *Hold) *Hold {
	hold.dropped = true
	pool.leaving += hold.size()
	// It may wait for memory itself, and keeps its own until it has taken notice.
	pool.wake()
	return hold
}

// dropAll ends the connections of holds that were marked as dropped.
func (pool *Pool) dropAll(holds []*Hold, why string) {
	for _, hold := range holds {
		hold.drop()
		pool.count(why)
		pool.note("client dropped", why, hold.address)
	}
}

// note logs a line unless another one was logged just before.
func (pool *Pool) note(message, why string, address netip.Addr) {
	now := pool.clock.Now()
	pool.mutex.Lock()
	due := now.Sub(pool.loggedAt) >= logPeriod
	pool.unlogged++
	count, used, conns := pool.unlogged, pool.used, len(pool.holds)
	if due {
		pool.loggedAt, pool.unlogged = now, 0
	}
	pool.mutex.Unlock()
	if due {
		klog.InfoS(message, "why", why, "address", address, "count", count, "bytes", used, "limit", pool.sizes.Pool, "connections", conns, "most", pool.sizes.Conns)
	}
}
