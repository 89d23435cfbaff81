// Package link carries typed messages between the processes of the system.
//
// Each process has one Node on one UDP socket, which both accepts and dials QUIC
// connections with mutual TLS. An exchange is one stream: its first message names
// its kind; the other messages are CBOR documents whose fields have the names of the
// Go fields. Exchanges are independent of one another.
//
// A dead connection can't be told from a slow one without a probe. So a connection
// that has received nothing for a second is probed before it carries a call, and one
// with calls in flight is closed if nothing arrives for a few seconds. The next call
// then dials a new connection.
package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/trust/certs"
)

const (
	idleTimeout       = 30 * time.Second
	keepAlive         = 10 * time.Second
	handshakeTimeout  = 3 * time.Second
	maxStreams        = 10_000
	streamWindowBytes = 1 << 20
	connWindowBytes   = 16 << 20
)

// Handler serves an exchange that a peer started. The stream is closed when the
// handler returns, and aborted if it returns an error.
type Handler func(ctx context.Context, peer certs.Identity, stream *Stream) error

// Open is the first message of each exchange.
type Open struct {
	Kind string
}

// Traffic holds a node's counters of messages sent and received.
type Traffic struct {
	MessagesSent     int64
	BytesSent        int64
	MessagesReceived int64
	BytesReceived    int64
}

// Node is a process's endpoint for exchanges with its peers.
//
// A node reuses a connection only if data from its peer arrived within the last
// second or the peer answers a probe. At most one dial per address runs at a time.
type Node struct {
	bundle      *certs.Bundle
	clock       agatestage.Clock
	dialAddress func(netip.AddrPort) netip.AddrPort
	socket      *net.UDPConn
	transport   *quic.Transport
	mutex       sync.Mutex
	handlers    map[string]Handler
	conns       map[netip.AddrPort]*pooledConn
	exchanges   sync.WaitGroup
	sent        atomic.Int64
	sentBytes   atomic.Int64
	received    atomic.Int64
	recvBytes   atomic.Int64
	handshakes  handshakes
	// packetKey, sealer and packetHandler are nil for a node without packets.
	packetKey     []byte
	sealer        *sealer
	packetHandler func(payload []byte)
}

// pooledConn holds the connection to one address and serialises its dials.
type pooledConn struct {
	mutex sync.Mutex
	conn  *conn
	// fresh means that the next connection needs a socket of its own, because a
	// device on the path (such as a NAT) may have lost track of the former one.
	fresh bool
}

// Option configures a node.
type Option func(*Node)

// WithClock sets the clock.
func WithClock(clock agatestage.Clock) Option {
	return func(node *Node) { node.clock = clock }
}

// WithAddressMapping sets a function that maps a peer's address to the address to
// dial. Trials use it to put a relay between two regions.
func WithAddressMapping(dialAddress func(netip.AddrPort) netip.AddrPort) Option {
	return func(node *Node) { node.dialAddress = dialAddress }
}

// New binds a node to a UDP address; port 0 selects a free port.
func New(address netip.AddrPort, bundle *certs.Bundle, options ...Option) (*Node, error) {
	node := &Node{
		bundle:      bundle,
		clock:       agatestage.SystemClock(),
		dialAddress: func(address netip.AddrPort) netip.AddrPort { return address },
		handlers:    make(map[string]Handler),
		conns:       make(map[netip.AddrPort]*pooledConn),
	}
	for _, option := range options {
		option(node)
	}
	var err error
	if node.packetKey != nil {
		if node.sealer, err = newSealer(node.packetKey); err != nil {
			return nil, err
		}
	}
	if node.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, errors.Wrap(err, "bind peer address")
	}
	node.transport = &quic.Transport{Conn: node.socket}
	node.handshakes.limit(node.transport)
	return node, nil
}

// Address returns the bound address.
func (node *Node) Address() netip.AddrPort {
	return node.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Traffic returns the counters of messages sent and received so far.
func (node *Node) Traffic() Traffic {
	return Traffic{node.sent.Load(), node.sentBytes.Load(), node.received.Load(), node.recvBytes.Load()}
}

func (node *Node) count(sent, received int) {
	if sent > 0 {
		node.sent.Add(1)
		node.sentBytes.Add(int64(sent))
	}
	if received > 0 {
		node.received.Add(1)
		node.recvBytes.Add(int64(received))
	}
}

// Handle registers the handler of a kind of exchange.
func (node *Node) Handle(kind string, handler Handler) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.handlers[kind] = handler
}

func config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
		EnableDatagrams:                true,
	}
}

// Serve accepts connections until ctx ends.
func (node *Node) Serve(ctx context.Context) error {
	listener, err := node.transport.Listen(node.bundle.ServerConfig(), config())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	defer listener.Close()
	go node.servePackets(ctx)
	for {
		var quicConn *quic.Conn
		if quicConn, err = listener.Accept(ctx); err != nil {
			return err
		}
		node.handshakes.complete(quicConn)
		go node.accept(quicConn)
	}
}

// String names the service in logs.
func (node *Node) String() string {
	return "links"
}

// Close closes all connections and the socket.
func (node *Node) Close() error {
	err := node.transport.Close()
	_ = node.socket.Close()
	return err
}

// accept serves the exchanges that a peer starts on its connection.
func (node *Node) accept(quicConn *quic.Conn) {
	conn, err := newConn(node, quicConn)
	if err != nil {
		_ = quicConn.CloseWithError(connClosed, "not verified")
		return
	}
	for {
		var stream *quic.Stream
		if stream, err = quicConn.AcceptStream(quicConn.Context()); err != nil {
			return
		}
		node.exchanges.Add(1)
		go node.serve(conn, newStream(stream, conn))
	}
}

// serve runs the handler of one exchange.
func (node *Node) serve(conn *conn, stream *Stream) {
	defer node.exchanges.Done()
	var open Open
	if err := stream.Receive(&open); err != nil {
		stream.Abort()
		return
	}
	node.mutex.Lock()
	handler := node.handlers[open.Kind]
	node.mutex.Unlock()
	if handler == nil {
		klog.InfoS("unknown kind of exchange requested by peer", "peer", conn.peer.Host, "kind", open.Kind)
		stream.Abort()
		return
	}
	if err := handler(stream.Context(), conn.peer, stream); err != nil {
		klog.V(1).InfoS("exchange failed", "peer", conn.peer.Host, "kind", open.Kind, "error", err.Error())
		stream.Abort()
		return
	}
	_ = stream.CloseSend()
	stream.stream.CancelRead(streamAborted)
}

// Begin starts an exchange with the peer at an address. The exchange is aborted
// when ctx ends. The caller must call the returned function at the end of the
// exchange. An error means that no message has been sent.
func (node *Node) Begin(ctx context.Context, address netip.AddrPort, kind string) (*Stream, func(), error) {
	return node.begin(ctx, address, kind, 1, freshTime)
}

// BeginVerified is like Begin, but always probes the peer first, even if data from
// it has just arrived. It is for exchanges that must not be lost.
func (node *Node) BeginVerified(ctx context.Context, address netip.AddrPort, kind string) (*Stream, func(), error) {
	return node.begin(ctx, address, kind, 1, 0)
}

// BeginIdle starts an exchange that stays open without traffic. It doesn't count as
// a call in flight, so its connection isn't probed for it and many such exchanges
// cost little. The transport's idle time-out ends it if the peer is gone.
func (node *Node) BeginIdle(ctx context.Context, address netip.AddrPort, kind string) (*Stream, func(), error) {
	return node.begin(ctx, address, kind, 0, freshTime)
}

// begin starts an exchange that counts as weight calls in flight, on a connection
// that received data within maxSilence or whose peer answers a probe.
func (node *Node) begin(ctx context.Context, address netip.AddrPort, kind string, weight int64, maxSilence time.Duration) (*Stream, func(), error) {
	var err error
	var conn *conn
	if conn, err = node.connect(ctx, address, maxSilence); err != nil {
		return nil, nil, err
	}
	var quicStream *quic.Stream
	if quicStream, err = conn.quic.OpenStreamSync(ctx); err != nil {
		return nil, nil, errors.Wrap(err, "open stream")
	}
	stream := newStream(quicStream, conn)
	conn.inflight.Add(weight)
	stream.stop = context.AfterFunc(ctx, stream.Abort)
	finish := sync.OnceFunc(func() {
		stream.finish()
		conn.inflight.Add(-weight)
		stream.Abort()
		conn.closeRetired()
	})
	if err = stream.Send(Open{Kind: kind}); err != nil {
		finish()
		return nil, nil, err
	}
	return stream, finish, nil
}

// Ask starts an exchange, sends one request and receives one reply.
func (node *Node) Ask(ctx context.Context, address netip.AddrPort, kind string, request, reply any) error {
	stream, finish, err := node.Begin(ctx, address, kind)
	if err != nil {
		return err
	}
	defer finish()
	if err = stream.Send(request); err != nil {
		return err
	}
	// Closing fails if the peer has already replied and stopped reading. That is
	// not an error.
	_ = stream.CloseSend()
	return stream.Receive(reply)
}

// connect returns a live connection to the address, dialling if necessary.
func (node *Node) connect(ctx context.Context, address netip.AddrPort, fresh time.Duration) (*conn, error) {
	address = node.dialAddress(address)
	pooledConn := node.pooledConn(address)
	pooledConn.mutex.Lock()
	defer pooledConn.mutex.Unlock()
	if pooledConn.conn != nil {
		err := pooledConn.conn.probe(ctx, fresh)
		if err == nil {
			return pooledConn.conn, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		pooledConn.fresh = pooledConn.fresh || pooledConn.conn.timedOut.Load() || pooledConn.conn.quic.Context().Err() == nil
		pooledConn.conn.retire()
		pooledConn.conn = nil
	}
	conn, err := node.dial(ctx, address, pooledConn.fresh)
	if err != nil {
		return nil, err
	}
	pooledConn.conn, pooledConn.fresh = conn, false
	return conn, nil
}

func (node *Node) pooledConn(address netip.AddrPort) *pooledConn {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	pooled := node.conns[address]
	if pooled == nil {
		pooled = &pooledConn{}
		node.conns[address] = pooled
	}
	return pooled
}

// dial connects to an address, from the node's socket or from a new one that is
// closed with the connection.
func (node *Node) dial(ctx context.Context, address netip.AddrPort, newSocket bool) (*conn, error) {
	transport := node.transport
	if newSocket {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(node.Address().Addr(), 0)))
		if err != nil {
			return nil, errors.Wrap(err, "bind a fresh socket")
		}
		transport = &quic.Transport{Conn: socket}
	}
	conn, err := node.handshake(ctx, transport, address)
	if !newSocket {
		return conn, err
	}
	if err != nil {
		closeTransport(transport)
		return nil, err
	}
	context.AfterFunc(conn.quic.Context(), func() { closeTransport(transport) })
	return conn, nil
}

func closeTransport(transport *quic.Transport) {
	_ = transport.Close()
	_ = transport.Conn.Close()
}

func (node *Node) handshake(ctx context.Context, transport *quic.Transport, address netip.AddrPort) (*conn, error) {
	quicConn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(address), node.bundle.ClientConfig(), config())
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	var conn *conn
	if conn, err = newConn(node, quicConn); err != nil {
		_ = quicConn.CloseWithError(connClosed, "not verified")
		return nil, err
	}
	go conn.checkLiveness()
	return conn, nil
}
