package conns

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/agatestage/agatestage"
)

const (
	// dialTimeout bounds the setup of a connection. A round trip between regions
	// takes 60 ms; a lost SYN is retransmitted only after a second, which is too
	// long to wait for.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout applies to idle connections of targets that do not state
	// their keep-alive timeout.
	defaultIdleTimeout = time.Second
	// idleFraction is the fraction of the target's keep-alive timeout during which
	// an idle connection is reused. nonIdempotentFraction is the fraction for
	// requests that must not run twice; within it a close by the target can hardly
	// cross with the request.
	idleFraction          = 0.7
	nonIdempotentFraction = 0.4
	// maxIdle bounds the idle connections to one target.
	maxIdle = 32
	// userTimeout is the time after which the kernel closes a connection whose peer
	// does not acknowledge sent data.
	userTimeout = 4 * time.Second
)

// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// Pool holds the idle connections to all targets.
type Pool struct {
	clock agatestage.Clock
	mutex sync.Mutex
	idle  map[netip.AddrPort][]*conn
	// generations counts the calls of CloseIdle for each address.
	generations map[netip.AddrPort]int
}

// New returns a pool without connections.
func New(clock agatestage.Clock) *Pool {
	return &Pool{clock: clock, idle: make(map[netip.AddrPort][]*conn), generations: make(map[netip.AddrPort]int)}
}

// CloseIdle closes the idle connections to a target that gets no more calls. Those in
// use are closed at the end of their exchange.
func (pool *Pool) CloseIdle(address netip.AddrPort) {
	pool.mutex.Lock()
	pool.generations[address]++
	conns := pool.idle[address]
	delete(pool.idle, address)
	pool.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (pool *Pool) CloseExpired() {
	pool.mutex.Lock()
	var expired []*conn
	for address, conns := range pool.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if pool.usable(conn, idleFraction) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		if pool.idle[address] = kept; len(kept) == 0 {
			delete(pool.idle, address)
		}
	}
	pool.mutex.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

func (pool *Pool) usable(conn *conn, fraction float64) bool {
	return pool.clock.Since(conn.idleSince) < time.Duration(float64(conn.idleTimeout)*fraction)
}

// takeIdle returns the most recently used idle connection that the request may be sent
// on, or nil if there is none.
func (pool *Pool) takeIdle(address netip.AddrPort, request *Request) *conn {
	for {
		conn := pool.removeIdle(address, request)
		if conn == nil || conn.quiet() {
			return conn
		}
		_ = conn.Close()
	}
}

func (pool *Pool) removeIdle(address netip.AddrPort, request *Request) *conn {
	fraction := idleFraction
	if request.NonIdempotent {
		fraction = nonIdempotentFraction
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conns := pool.idle[address]
	for i, conn := range slices.Backward(conns) {
		if !pool.usable(conn, fraction) {
			// The others have been idle for longer.
			return nil
		}
		if request.Fresh && conn.used {
			continue
		}
		if request.AnswerIDs == nil || conn.history.accepts(request.ID) {
			pool.idle[address] = slices.Delete(conns, i, i+1)
			return conn
		}
	}
	return nil
}

// closeOlder closes the idle connections that have been idle for at least as long as one
// that its target has dropped: it has probably dropped them, too.
func (pool *Pool) closeOlder(dropped *conn) {
	pool.mutex.Lock()
	var older, kept []*conn
	for _, conn := range pool.idle[dropped.address] {
		if conn.idleSince.After(dropped.idleSince) {
			kept = append(kept, conn)
		} else {
			older = append(older, conn)
		}
	}
	if pool.idle[dropped.address] = kept; len(kept) == 0 {
		delete(pool.idle, dropped.address)
	}
	pool.mutex.Unlock()
	metrics.GetOrCreateCounter("agatestage_target_dropped_connections_total").Add(1 + len(older))
	for _, conn := range older {
		_ = conn.Close()
	}
}

// Dial opens a connection and adds it to the pool, which shows that the target's
// host accepts connections.
func (pool *Pool) Dial(ctx context.Context, address netip.AddrPort) error {
	conn, err := pool.dial(ctx, address)
	if err != nil {
		return err
	}
	pool.putIdle(conn)
	return nil
}

func (pool *Pool) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	pool.mutex.Lock()
	generation := pool.generations[address]
	pool.mutex.Unlock()
	raw, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	metrics.GetOrCreateCounter("agatestage_target_connections_total").Inc()
	source := &headLimiter{raw: raw}
	return &conn{Conn: raw, address: address, source: source, reader: bufio.NewReaderSize(source, bufferSize), idleTimeout: defaultIdleTimeout, idleSince: pool.clock.Now(), generation: generation}, nil
}

// putIdle adds a connection to the pool, or closes it if CloseIdle has been called since
// it was made.
func (pool *Pool) putIdle(conn *conn) {
	conn.idleSince = pool.clock.Now()
	pool.mutex.Lock()
	if conn.generation == pool.generations[conn.address] && len(pool.idle[conn.address]) < maxIdle {
		pool.idle[conn.address] = append(pool.idle[conn.address], conn)
		conn = nil
	}
	pool.mutex.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}
