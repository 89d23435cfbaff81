package gossip

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage/internal/route/blame"
)

// strikeTries is how often a strike is told to a gateway that doesn't answer.
const strikeTries = 3

// Tell tells all gateways of a strike.
func (mesh *Mesh) Tell(strike blame.Strike) {
	for _, other := range mesh.others() {
		go func() {
			for range strikeTries {
				ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
				var taken bool
				err := mesh.node.Ask(ctx, other.Address, KindStrike, strike, &taken)
				cancel()
				if err == nil {
					return
				}
				klog.V(1).InfoS("strike not told", "gateway", other.Name, "error", err.Error())
			}
		}()
	}
}

// TellGuest tells a target's home of this gateway's calls there. It doesn't wait;
// what isn't heard is told again with the gateway's state.
func (mesh *Mesh) TellGuest(home string, guest Guest) {
	address, ok := mesh.Address(home)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var taken bool
		if err := mesh.node.Ask(ctx, address, KindGuest, guest, &taken); err != nil {
			klog.V(1).InfoS("home not told of a guest", "gateway", home, "target", guest.Target, "error", err.Error())
		}
	}()
}
