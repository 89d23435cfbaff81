package intake

import (
	"context"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// sendFactor is the size of a connection's send buffer as a multiple of its receive buffer:
	// responses are larger than requests, and their writes would block more often.
	sendFactor = 4
	// wideFactor is the same for the receive buffer of a connection that uploads a large body.
	wideFactor = 8
	// kernelFactor is how much the kernel keeps at most, as a multiple of the size that a buffer
	// is given (socket(7)).
	kernelFactor = 2
	// socketPeriod is how often connections are measured, as long as any are to be.
	socketPeriod = 250 * time.Millisecond
	// limitSteps is the least change of the collector's limit, as a part of the memory.
	limitSteps = 64
)

// ReceiveBuffer and SendBuffer return the sizes of the buffers that the kernel is given for each
// connection, and WideReceiveBuffer that while a large body is uploaded.
func (sizes Sizes) ReceiveBuffer() int     { return sizes.Socket }
func (sizes Sizes) SendBuffer() int        { return sizes.Socket * sendFactor }
func (sizes Sizes) WideReceiveBuffer() int { return sizes.Socket * wideFactor }

// MostSent returns how much of a response the kernel may keep.
func (sizes Sizes) MostSent() int64 { return int64(kernelFactor * sizes.SendBuffer()) }

// mostInSockets returns how much the kernel may keep for a connection.
func (sizes Sizes) mostInSockets(wide bool) int64 {
	receive := sizes.ReceiveBuffer()
	if wide {
		receive = sizes.WideReceiveBuffer()
	}
	return int64(kernelFactor * (receive + sizes.SendBuffer()))
}

// SetSockets sets the function that measures what the kernel keeps for the connection. It is
// called without the pool's mutex.
func (hold *Hold) SetSockets(measure func() int64) {
	hold.pool.mutex.Lock()
	defer hold.pool.mutex.Unlock()
	hold.measure = measure
}

// NextWithSockets does as Next, and counts what the kernel still keeps of the response.
func (hold *Hold) NextWithSockets() {
	bytes := hold.measure()
	pool := hold.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	hold.next()
	pool.addSockets(hold, bytes-hold.sockets)
	pool.wakeWatch()
}

// Widen reports whether the connection may have the wide receive buffer, until Next. All wide ones
// together, if they are full, fit into the half of the pool that is free.
func (hold *Hold) Widen() bool {
	pool := hold.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if hold.wide || hold.ended || pool.sizes.Socket <= 0 {
		return false
	}
	if wide := int64(pool.wide+1) * pool.sizes.mostInSockets(true); pool.used+wide > pool.sizes.Pool/2 {
		return false
	}
	hold.wide = true
	pool.wide++
	pool.wakeWatch()
	return true
}

// narrow notes that the connection has the usual receive buffer again; the mutex must be held.
func (pool *Pool) narrow(hold *Hold) {
	if hold.wide {
		hold.wide = false
		pool.wide--
	}
}

// wakeWatch wakes Watch if it is to measure connections; the mutex must be held.
func (pool *Pool) wakeWatch() {
	if pool.crowded() || pool.sockets > 0 {
		select {
		case pool.watched <- struct{}{}:
		default:
		}
	}
}

// crowded reports whether the kernel could keep as much for the connections as the pool has; the mutex must be held.
func (pool *Pool) crowded() bool {
	usual, wide := pool.sizes.mostInSockets(false), pool.sizes.mostInSockets(true)
	return pool.sizes.Pool > 0 && int64(len(pool.holds))*usual+int64(pool.wide)*(wide-usual) > pool.sizes.Pool
}

// Watch counts what the kernel keeps for the connections in the pool, until ctx ends: for all while
// there are so many that this may matter, else for those for which something is counted. It drops connections
// if the pool is exceeded by it.
func (pool *Pool) Watch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pool.watched:
		}
		for again := true; again && ctx.Err() == nil; {
			again = pool.measure()
			ticks.Wait(ctx, pool.clock, socketPeriod)
		}
	}
}

// measure counts what the kernel keeps for connections. It returns whether it is to be called again.
func (pool *Pool) measure() (again bool) {
	pool.mutex.Lock()
	crowded := pool.crowded()
	var holds []*Hold
	for hold := range pool.holds {
		if hold.measure != nil && (crowded || hold.sockets > 0) {
			holds = append(holds, hold)
		}
	}
	pool.mutex.Unlock()
	measured := make([]int64, len(holds))
	for i, hold := range holds {
		measured[i] = hold.measure()
	}
	pool.mutex.Lock()
	for i, hold := range holds {
		pool.addSockets(hold, measured[i]-hold.sockets)
	}
	victims := pool.excess()
	sockets := pool.sockets
	pool.mutex.Unlock()
	pool.dropAll(victims, "sockets")
	pool.limitCollector(sockets)
	return crowded || sockets > 0
}

// addSockets changes what the kernel keeps for a connection; the mutex must be held.
func (pool *Pool) addSockets(hold *Hold, bytes int64) {
	if hold.ended || bytes == 0 {
		return
	}
	hold.sockets += bytes
	pool.sockets += bytes
	pool.used += bytes
	pool.addUsage(hold.address, usage{bytes: bytes})
	if hold.dropped {
		pool.leaving += bytes
	}
	pool.peak = max(pool.peak, pool.used)
	if bytes < 0 {
		pool.wake()
	}
}

// excess marks unfinished requests as dropped until the pool isn't exceeded once they have ended,
// in the order of costliest, and returns them. The mutex must be held.
func (pool *Pool) excess() (victims []*Hold) {
	for pool.sizes.Pool > 0 && pool.used-pool.leaving > pool.sizes.Pool {
		heavy, much := pool.heaviest()
		candidates := pool.byCost(heavy, much)
		if len(candidates) == 0 {
			return victims
		}
		heavyBytes := int64(0)
		for _, hold := range candidates {
			heavyBytes += hold.size()
		}
		for _, hold := range candidates {
			if pool.used-pool.leaving <= pool.sizes.Pool || much && heavyBytes <= pool.sizes.Pool*heavyQuarters/4 {
				break
			}
			heavyBytes -= hold.size()
			victims = append(victims, pool.markDropped(hold))
		}
	}
	return victims
}

// byCost returns the unfinished holds, of one address if that has much, the costliest first. The
// mutex must be held.
func (pool *Pool) byCost(heavy netip.Addr, much bool) (holds []*Hold) {
	now := pool.clock.Now()
	costs := make(map[*Hold]float64)
	for hold := range pool.holds {
		if hold.droppable(now) && (!much || hold.address == heavy) {
			holds = append(holds, hold)
			costs[hold] = hold.cost(now)
		}
	}
	slices.SortFunc(holds, func(a, b *Hold) int {
		switch {
		case costs[a] != costs[b] && costs[a] > costs[b]:
			return -1
		case costs[a] != costs[b]:
			return 1
		}
		return a.since.Compare(b.since)
	})
	return holds
}

// limitCollector leaves the memory that the kernel keeps out of the collector's limit. An
// environment that sets GOMEMLIMIT has decided otherwise.
func (pool *Pool) limitCollector(sockets int64) {
	memory := pool.sizes.Memory
	if memory <= 0 || os.Getenv("GOMEMLIMIT") != "" || max(sockets-pool.limited, pool.limited-sockets) < memory/limitSteps {
		return
	}
	pool.limited = sockets
	debug.SetMemoryLimit(memory/4*softQuarters - sockets)
}
