package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// validatedHandshakes is the number of handshakes from which on an address must first prove
	// that it receives what is sent to it, and maxHandshakes that from which on connections are
	// refused. A handshake takes memory for up to handshakeTimeout before a certificate is seen;
	// after a loss of all its connections a process gets one from each of a few hundred peers.
	validatedHandshakes = 32
	maxHandshakes       = 512
	// reservedPart is the part of them, one in eight, that an address may not use which has more than
	// half: no other peer could connect while its handshakes stay.
	reservedPart = 8
)

// errHandshakes refuses a connection beyond maxHandshakes.
var errHandshakes = errors.New("too many handshakes")

// handshakes counts the incoming connections whose peer isn't known yet.
type handshakes struct {
	open  atomic.Int64
	mutex sync.Mutex
	// addresses has the number of handshakes of each address.
	addresses map[netip.Addr]int64
}

// handshakeKey is the context key of the function that notes the end of a handshake.
type handshakeKey struct{}

// limit bounds the handshakes of a transport.
func (handshakes *handshakes) limit(transport *quic.Transport) {
	transport.VerifySourceAddress = func(net.Addr) bool { return handshakes.open.Load() >= validatedHandshakes }
	transport.ConnContext = func(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
		address := addressOf(info)
		if !handshakes.begin(address) {
			metrics.GetOrCreateCounter("agatestage_link_handshakes_refused_total").Inc()
			return nil, errHandshakes
		}
		done := sync.OnceFunc(func() { handshakes.end(address) })
		context.AfterFunc(ctx, done)
		return context.WithValue(ctx, handshakeKey{}, done), nil
	}
}

// addressOf returns the address of a peer, or a zero one if it isn't known.
func addressOf(info *quic.ClientInfo) netip.Addr {
	if info != nil {
		if address, ok := info.RemoteAddr.(*net.UDPAddr); ok {
			return address.AddrPort().Addr().Unmap()
		}
	}
	return netip.Addr{}
}

// begin counts a handshake of an address, or returns false if there may be no more.
func (handshakes *handshakes) begin(address netip.Addr) bool {
	handshakes.mutex.Lock()
	defer handshakes.mutex.Unlock()
	limit := int64(maxHandshakes)
	if address.IsValid() && handshakes.addresses[address] > maxHandshakes/2 {
		limit -= maxHandshakes / reservedPart
	}
	if handshakes.open.Load() >= limit {
		return false
	}
	handshakes.open.Add(1)
	if handshakes.addresses == nil {
		handshakes.addresses = make(map[netip.Addr]int64)
	}
	handshakes.addresses[address]++
	return true
}

// end counts off a handshake of an address.
func (handshakes *handshakes) end(address netip.Addr) {
	handshakes.mutex.Lock()
	defer handshakes.mutex.Unlock()
	handshakes.open.Add(-1)
	if handshakes.addresses[address]--; handshakes.addresses[address] == 0 {
		delete(handshakes.addresses, address)
	}
}

// complete notes that the handshake of an accepted connection has ended.
func (*handshakes) complete(conn *quic.Conn) {
	if done, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		done()
	}
}
