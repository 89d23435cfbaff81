package gossip

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/route/blame"
)

// strikeAttempts is how often a strike is sent to a gateway that doesn't answer.
const strikeAttempts = 3

// BroadcastStrike sends a strike to all other gateways in the background.
func (mesh *Mesh) BroadcastStrike(strike blame.Strike) {
	for _, other := range mesh.peerMembers() {
		go func() {
			for range strikeAttempts {
				ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
				var taken bool
				err := mesh.node.Ask(ctx, other.Address, KindStrike, strike, &taken)
				cancel()
				if err == nil {
					return
				}
				klog.V(1).InfoS("strike not delivered", "gateway", other.Name, "error", err.Error())
			}
		}()
	}
}

// SendGuestCalls sends this gateway's calls at a target to the target's home, in the
// background. If that fails, the gateway's next state has them too.
func (mesh *Mesh) SendGuestCalls(home string, calls GuestCalls) {
	address, ok := mesh.Address(home)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		var taken bool
		if err := mesh.node.Ask(ctx, address, KindGuest, calls, &taken); err != nil {
			klog.V(1).InfoS("guest calls not delivered to the target's home", "gateway", home, "target", calls.Target, "error", err.Error())
		}
	}()
}
