package link

import (
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Packets are single datagrams without a connection. They share the socket of the
// connections, cost no handshake and keep no state per peer, but may be lost, arrive
// twice or out of order. They are sealed by a key that the whole fleet shares, so a
// packet proves that its sender belongs to the fleet, not which process it is.

const (
	// packetMarker is the first byte of a packet. Its two highest bits are zero, which
	// tells packets from QUIC (RFC 9443).
	packetMarker = 0
	// maxPacketBytes is the size that every path carries without fragmentation, which
	// QUIC requires as well.
	maxPacketBytes = 1200
	nonceBytes     = 12
	tagBytes       = 16
	// MaxPayload is the size of the largest payload of a packet in bytes.
	MaxPayload = maxPacketBytes - 1 - nonceBytes - tagBytes
)

// sealer encrypts and authenticates packets with AES-GCM.
type sealer struct {
	aead cipher.AEAD
	// salt begins each nonce; the rest is counted from a random number, so that no two
	// processes use a nonce twice.
	salt    [nonceBytes - 8]byte
	counter atomic.Uint64
}

func newSealer(key []byte) (*sealer, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "packet key")
	}
	sealer := &sealer{}
	if sealer.aead, err = cipher.NewGCM(block); err != nil {
		return nil, errors.Wrap(err, "packet key")
	}
	var start [8]byte
	if _, err = rand.Read(start[:]); err != nil {
		return nil, errors.Wrap(err, "draw a nonce")
	}
	if _, err = rand.Read(sealer.salt[:]); err != nil {
		return nil, errors.Wrap(err, "draw a nonce")
	}
	sealer.counter.Store(binary.BigEndian.Uint64(start[:]))
	return sealer, nil
}

// seal returns the packet with the given payload.
func (sealer *sealer) seal(payload []byte) []byte {
	packet := make([]byte, 1+nonceBytes, 1+nonceBytes+len(payload)+tagBytes)
	packet[0] = packetMarker
	nonce := packet[1 : 1+nonceBytes]
	copy(nonce, sealer.salt[:])
	binary.BigEndian.PutUint64(nonce[len(sealer.salt):], sealer.counter.Add(1))
	return sealer.aead.Seal(packet, nonce, payload, packet[:1])
}

// open returns the payload of a packet. It overwrites the packet.
func (sealer *sealer) open(packet []byte) ([]byte, error) {
	if len(packet) < 1+nonceBytes+tagBytes || packet[0] != packetMarker {
		return nil, errors.New("not a packet of the fleet")
	}
	nonce, sealed := packet[1:1+nonceBytes], packet[1+nonceBytes:]
	payload, err := sealer.aead.Open(sealed[:0], nonce, sealed, packet[:1])
	return payload, errors.Wrap(err, "open packet")
}

// WithPacketKey sets the key that the fleet's packets are sealed with, 16, 24 or 32
// bytes. Without it, a node neither sends nor receives packets.
func WithPacketKey(key []byte) Option {
	return func(node *Node) { node.packetKey = key }
}

// HandlePackets sets the handler of received payloads, which are dropped before. The
// handler must not keep the payload.
func (node *Node) HandlePackets(handler func(payload []byte)) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.packetHandler = handler
}

// SendPacket sends a payload of at most MaxPayload bytes to each address, sealed once.
// It returns the first error; a packet that was sent may still be lost.
func (node *Node) SendPacket(payload []byte, addresses ...netip.AddrPort) error {
	if node.sealer == nil {
		return errors.New("no packet key")
	}
	if len(payload) > MaxPayload {
		return errors.Errorf("payload of %d bytes; a packet holds %d", len(payload), MaxPayload)
	}
	packet := node.sealer.seal(payload)
	var first error
	for _, address := range addresses {
		if _, err := node.transport.WriteTo(packet, net.UDPAddrFromAddrPort(node.dialAddress(address))); err != nil && first == nil {
			first = errors.Wrapf(err, "send packet to %v", address)
		}
		node.count(len(packet), 0)
	}
	return first
}

// servePackets passes received packets to the handler until ctx ends.
func (node *Node) servePackets(ctx context.Context) {
	if node.sealer == nil {
		return
	}
	buffer := make([]byte, maxPacketBytes+1)
	for {
		n, from, err := node.transport.ReadNonQUICPacket(ctx, buffer)
		if err != nil {
			if ctx.Err() == nil {
				klog.V(1).InfoS("no more packets are received", "error", err.Error())
			}
			return
		}
		payload, err := node.sealer.open(buffer[:n])
		if err != nil {
			klog.V(1).InfoS("packet dropped", "from", from, "error", err.Error())
			continue
		}
		node.count(0, n)
		node.mutex.Lock()
		handler := node.packetHandler
		node.mutex.Unlock()
		if handler != nil {
			handler(payload)
		}
	}
}
