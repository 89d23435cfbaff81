// Package nodes creates link nodes on the loopback interface for tests and
// benchmarks.
package nodes

import (
	"context"
	"net/netip"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// New issues a certificate of the authority into folder and returns a node that uses
// it. The node serves until ctx ends; the caller closes it.
func New(ctx context.Context, authority *certs.Authority, folder, name string, role agatestage.Role) (*link.Node, error) {
	if err := authority.Issue(folder, name, role); err != nil {
		return nil, err
	}
	bundle, err := certs.Open(folder, agatestage.SystemClock())
	if err != nil {
		return nil, err
	}
	var packetKey []byte
	if packetKey, err = authority.PacketKey(); err != nil {
		return nil, err
	}
	var node *link.Node
	if node, err = link.New(netip.MustParseAddrPort("127.0.0.1:0"), bundle, link.WithPacketKey(packetKey)); err != nil {
		return nil, err
	}
	go func() { _ = node.Serve(ctx) }()
	return node, nil
}
