package fault

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

const chunkBytes = 16 << 10

// TCP relays TCP connections to one address.
type TCP struct {
	relay

	listener net.Listener
	target   netip.AddrPort
	open     map[net.Conn]bool
}

// NewTCP returns a relay to target on a free loopback port.
func NewTCP(target netip.AddrPort, seed uint64) (*TCP, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "bind relay")
	}
	return &TCP{relay: newRelay(seed), listener: listener, target: target, open: make(map[net.Conn]bool)}, nil
}

// Address returns the address on which the relay listens.
func (tcp *TCP) Address() netip.AddrPort {
	return tcp.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve relays until ctx ends.
func (tcp *TCP) Serve(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = tcp.listener.Close() })
	for {
		client, err := tcp.listener.Accept()
		if err != nil {
			return ctx.Err()
		}
		go tcp.connect(ctx, client)
	}
}

// connect opens a connection to the target and copies data in both directions.
func (tcp *TCP) connect(ctx context.Context, client net.Conn) {
	upstream, err := net.Dial("tcp", tcp.target.String())
	if err != nil {
		_ = client.Close()
		return
	}
	_, generation := tcp.snapshot()
	tcp.track(client, true)
	defer tcp.track(client, false)
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = upstream.Close()
	})
	go func() {
		defer stop()
		tcp.copy(ctx, upstream, client, 0, generation)
	}()
	tcp.copy(ctx, client, upstream, 1, generation)
}

// track adds or removes an open connection.
func (tcp *TCP) track(client net.Conn, open bool) {
	tcp.mutex.Lock()
	defer tcp.mutex.Unlock()
	if open {
		tcp.open[client] = true
	} else {
		delete(tcp.open, client)
	}
}

// Reset closes all open connections with a TCP reset.
func (tcp *TCP) Reset() {
	tcp.mutex.Lock()
	defer tcp.mutex.Unlock()
	for client := range tcp.open {
		// With SO_LINGER set to 0, Close sends a reset.
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
	}
}

// copy copies data until either end closes. While the connection is cut, silent or
// blackholed, it forwards neither data nor the close.
func (tcp *TCP) copy(ctx context.Context, to, from net.Conn, direction, generation int) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		tcp.awaitEndOfSilence(ctx)
		faults, current := tcp.snapshot()
		if faults.Cut || (faults.CutReplies && direction == 1) || current > generation {
			<-ctx.Done()
			return
		}
		tcp.applyDelay(faults, direction, n)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// applyDelay blocks for as long as the faults delay a chunk of data.
func (tcp *TCP) applyDelay(faults Faults, direction, size int) {
	delay := faults.Delay
	if faults.BytesPerSecond > 0 {
		delay += time.Duration(size) * time.Second / time.Duration(faults.BytesPerSecond)
	}
	if faults.Pipe != nil {
		delay += faults.Pipe.transmit(direction, size)
	}
	if delay > 0 {
		<-time.After(delay)
	}
}
