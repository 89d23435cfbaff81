package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/agatestage/agatestage/internal/trust/certs"
)

const (
	// probePeriod is the interval of the liveness check of a connection with calls
	// in flight.
	probePeriod = 400 * time.Millisecond
	// probeAfter is the time without traffic after which the liveness check probes
	// the peer.
	probeAfter = 800 * time.Millisecond
	// closeAfter is the time without traffic after which the liveness check closes
	// the connection.
	closeAfter = 2500 * time.Millisecond
	// freshTime is how long after the last traffic from the peer a connection is
	// used for a new exchange without a probe.
	freshTime = time.Second
	// probeTimeout limits the probe before a new exchange. Three probes are sent
	// within it, so that the loss of one packet doesn't cost the connection.
	probeTimeout = 450 * time.Millisecond
	probeTries   = 3
)

// The payloads of the probe datagrams.
var (
	ping = []byte{1}
	pong = []byte{2}
)

// conn is a QUIC connection with liveness detection.
type conn struct {
	node     *Node
	quic     *quic.Conn
	peer     certs.Identity
	inflight atomic.Int64
	// lastReceived is when data from the peer last arrived, in Unix nanoseconds.
	lastReceived atomic.Int64
	// timedOut means that the liveness check closed the connection.
	timedOut atomic.Bool
	// retired means that another connection has replaced it.
	retired atomic.Bool
	mutex   sync.Mutex
	// changed is closed and replaced when data from the peer arrives.
	changed chan struct{}
}

func newConn(node *Node, quicConn *quic.Conn) (*conn, error) {
	peer, err := certs.PeerIdentity(quicConn.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	conn := &conn{node: node, quic: quicConn, peer: peer, changed: make(chan struct{})}
	conn.received()
	go conn.serveDatagrams()
	return conn, nil
}

// received records that data from the peer has arrived.
func (conn *conn) received() {
	now := conn.node.clock.Now().UnixNano()
	if now-conn.lastReceived.Swap(now) < int64(time.Millisecond) {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	close(conn.changed)
	conn.changed = make(chan struct{})
}

// sinceReceived returns the time since data from the peer last arrived.
func (conn *conn) sinceReceived() time.Duration {
	return time.Duration(conn.node.clock.Now().UnixNano() - conn.lastReceived.Load())
}

// serveDatagrams receives and answers probes until the connection ends.
func (conn *conn) serveDatagrams() {
	for {
		data, err := conn.quic.ReceiveDatagram(conn.quic.Context())
		if err != nil {
			return
		}
		conn.received()
		if len(data) == 1 && data[0] == ping[0] {
			_ = conn.quic.SendDatagram(pong)
		}
	}
}

// checkLiveness closes the connection if nothing arrives from the peer while calls
// are in flight.
func (conn *conn) checkLiveness() {
	ticker := conn.node.clock.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-conn.quic.Context().Done():
			return
		case <-ticker.C():
		}
		if conn.inflight.Load() == 0 {
			continue
		}
		switch sinceReceived := conn.sinceReceived(); {
		case sinceReceived > closeAfter:
			conn.timedOut.Store(true)
			conn.close(connTimedOut, "no sign of life")
			return
		case sinceReceived > probeAfter:
			_ = conn.quic.SendDatagram(ping)
		}
	}
}

// probe returns nil if data from the peer arrived within maxSilence or the peer
// answers a probe.
func (conn *conn) probe(ctx context.Context, maxSilence time.Duration) error {
	if conn.quic.Context().Err() != nil {
		return errors.New("connection closed")
	}
	if conn.sinceReceived() < maxSilence {
		return nil
	}
	conn.mutex.Lock()
	changed := conn.changed
	conn.mutex.Unlock()
	for range probeTries {
		if err := conn.quic.SendDatagram(ping); err != nil {
			return errors.Wrap(err, "probe")
		}
		timer := conn.node.clock.NewTimer(probeTimeout / probeTries)
		select {
		case <-changed:
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C():
		}
	}
	return errors.New("peer did not answer probes")
}

// retire closes the connection once the calls in flight have ended. Until then they
// depend on the liveness check alone.
func (conn *conn) retire() {
	conn.retired.Store(true)
	conn.closeRetired()
}

func (conn *conn) closeRetired() {
	if conn.retired.Load() && conn.inflight.Load() == 0 {
		conn.close(connTimedOut, "replaced")
	}
}

func (conn *conn) close(code quic.ApplicationErrorCode, reason string) {
	_ = conn.quic.CloseWithError(code, reason)
}
