package fault

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

const chunk = 16 << 10

// TCP relays connections to one address.
type TCP struct {
	state

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
	return &TCP{state: newState(seed), listener: listener, target: target, open: make(map[net.Conn]bool)}, nil
}

// Address returns where the relay listens.
func (relay *TCP) Address() netip.AddrPort {
	return relay.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve relays until ctx ends.
func (relay *TCP) Serve(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = relay.listener.Close() })
	for {
		inner, err := relay.listener.Accept()
		if err != nil {
			return ctx.Err()
		}
		go relay.connect(ctx, inner)
	}
}

// connect joins a connection with one to the target.
func (relay *TCP) connect(ctx context.Context, inner net.Conn) {
	outer, err := net.Dial("tcp", relay.target.String())
	if err != nil {
		_ = inner.Close()
		return
	}
	_, generation := relay.now()
	relay.track(inner, true)
	defer relay.track(inner, false)
	stop := context.AfterFunc(ctx, func() {
		_ = inner.Close()
		_ = outer.Close()
	})
	go func() {
		defer stop()
		relay.copy(ctx, outer, inner, 0, generation)
	}()
	relay.copy(ctx, inner, outer, 1, generation)
}

// track remembers the open connections.
func (relay *TCP) track(inner net.Conn, open bool) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if open {
		relay.open[inner] = true
	} else {
		delete(relay.open, inner)
	}
}

// Reset resets all open connections.
func (relay *TCP) Reset() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for inner := range relay.open {
		// Without lingering, closing sends a reset.
		_ = inner.(*net.TCPConn).SetLinger(0)
		_ = inner.Close()
	}
}

// copy passes bytes on until either end closes. Once silent, it passes neither
// bytes nor the end.
func (relay *TCP) copy(ctx context.Context, to, from net.Conn, direction, generation int) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		faults, current := relay.now()
		if faults.Cut || (faults.CutBack && direction == 1) || current > generation {
			<-ctx.Done()
			return
		}
		relay.wait(faults, direction, n)
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

// wait delays a chunk.
func (relay *TCP) wait(faults Faults, direction, size int) {
	delay := faults.Delay
	if faults.BytesPerSecond > 0 {
		delay += time.Duration(size) * time.Second / time.Duration(faults.BytesPerSecond)
	}
	if faults.Pipe != nil {
		delay += faults.Pipe.pass(direction, size)
	}
	if delay > 0 {
		<-time.After(delay)
	}
}
