package intake

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// trimPeriod is how often the pool checks whether a crowd has gone, and trimPause the least
	// time between two returns of memory to the system, each of which is a whole collection.
	trimPeriod = time.Second
	trimPause  = 10 * time.Second
)

// count counts a client that was dropped or refused.
func (pool *Pool) count(why string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("agatestage_intake_dropped_total{why=%q}", why)).Inc()
}

// CountHead counts a head that was refused as it was over the limit.
func (pool *Pool) CountHead() { pool.count("header") }

// RegisterMetrics registers the gauges of the pool. It is called once in a process.
func (pool *Pool) RegisterMetrics() {
	for name, value := range map[string]func() int64{
		"agatestage_intake_bytes":        func() int64 { return pool.used },
		"agatestage_intake_connections":  func() int64 { return int64(len(pool.holds)) },
		"agatestage_intake_socket_bytes": func() int64 { return pool.sockets },
	} {
		metrics.GetOrCreateGauge(name, func() float64 {
			pool.mutex.Lock()
			defer pool.mutex.Unlock()
			return float64(value())
		})
	}
}

// Trim returns memory to the system after a crowd has gone, until ctx ends. The runtime alone
// would do so over minutes.
func (pool *Pool) Trim(ctx context.Context) error {
	return ticks.Every(ctx, pool.clock, trimPeriod, func(context.Context) {
		if pool.crowdGone() {
			debug.FreeOSMemory()
		}
	})
}

// crowdGone reports whether at least half of the pool was in use since memory was returned last,
// and at most an eighth is now.
func (pool *Pool) crowdGone() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.clock.Now()
	if pool.peak < pool.sizes.Pool/2 || pool.used > pool.sizes.Pool/8 || now.Sub(pool.returnedAt) < trimPause {
		return false
	}
	pool.peak, pool.returnedAt = pool.used, now
	return true
}
