package fault

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const maxDatagramBytes = 64 << 10

// UDP relays datagrams to one address. Each sender's address counts as a connection.
type UDP struct {
	relay

	socket *net.UDPConn
	target *net.UDPAddr
	flows  sync.Map
}

// flow is the connection of one sender.
type flow struct {
	socket     *net.UDPConn
	generation int
	busyUntil  [2]time.Time
}

// NewUDP returns a relay to target on a free loopback port.
func NewUDP(target netip.AddrPort, seed uint64) (*UDP, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "bind relay")
	}
	return &UDP{relay: newRelay(seed), socket: socket, target: net.UDPAddrFromAddrPort(target)}, nil
}

// Address returns the address on which the relay listens.
func (udp *UDP) Address() netip.AddrPort {
	return udp.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Serve relays until ctx ends.
func (udp *UDP) Serve(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = udp.socket.Close() })
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := udp.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return ctx.Err()
		}
		connection, err := udp.flow(ctx, sender)
		if err != nil {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		udp.transmit(connection, 0, len(data), func() { _, _ = connection.socket.Write(data) })
	}
}

// flow returns the connection of a sender and creates it if there is none.
func (udp *UDP) flow(ctx context.Context, sender netip.AddrPort) (*flow, error) {
	if existing, ok := udp.flows.Load(sender); ok {
		return existing.(*flow), nil
	}
	socket, err := net.DialUDP("udp", nil, udp.target)
	if err != nil {
		return nil, errors.Wrap(err, "dial through relay")
	}
	_, generation := udp.snapshot()
	created := &flow{socket: socket, generation: generation}
	udp.flows.Store(sender, created)
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go udp.relayReplies(created, sender)
	return created, nil
}

// relayReplies forwards the target's datagrams to the sender.
func (udp *UDP) relayReplies(connection *flow, sender netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := connection.socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The target refused one datagram (ICMP port unreachable); later
			// datagrams may get through.
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		udp.transmit(connection, 1, len(data), func() { _, _ = udp.socket.WriteToUDPAddrPort(data, sender) })
	}
}

// transmit sends a datagram at once or after a delay, or drops it.
func (udp *UDP) transmit(connection *flow, direction, size int, send func()) {
	if udp.drops(connection.generation) {
		return
	}
	faults, _ := udp.snapshot()
	delay := faults.Delay
	if faults.BytesPerSecond > 0 {
		start := time.Now()
		if connection.busyUntil[direction].After(start) {
			start = connection.busyUntil[direction]
		}
		connection.busyUntil[direction] = start.Add(time.Duration(size) * time.Second / time.Duration(faults.BytesPerSecond))
		delay += time.Until(connection.busyUntil[direction])
	}
	if faults.Pipe != nil {
		delay += faults.Pipe.transmit(direction, size)
	}
	if delay <= 0 {
		send()
		return
	}
	time.AfterFunc(delay, send)
}
