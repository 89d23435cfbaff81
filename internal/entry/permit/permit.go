// Package permit decides when a side may change what a target holds.
//
// Two things have to hold over the whole fleet. Loads from the weight store stay
// under one rate: they are admitted like requests of an organisation of that
// name. And the last ready target of a model must not drop it: drops of a model
// are taken one at a time, by a record under a lease in the platform's store that
// outlives the time in which entries learn of a drop, and only while another
// target is ready.
package permit

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/entry/fleet"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// WeightStore is the organisation whose rate bounds loads. Without it in
	// the configuration loads are not bounded.
	WeightStore = "weight-store"
	dropPrefix  = "order/drop/"
	// dropLease is how long after a drop was permitted no other target may
	// drop the same model.
	dropLease = 30 * time.Second
	// loadWait bounds the wait for the weight store's rate.
	loadWait = 5 * time.Second
)

// Office answers the sides.
type Office struct {
	store   agatestage.Store
	feed    *feed.Feed
	fleet   *fleet.Fleet
	limiter agatestage.Limiter
}

// New returns an office and registers its exchange.
func New(node *link.Node, store agatestage.Store, feed *feed.Feed, fleet *fleet.Fleet, limiter agatestage.Limiter) *Office {
	office := &Office{store: store, feed: feed, fleet: fleet, limiter: limiter}
	node.Handle(calls.KindPermit, office.serve)
	return office
}

func (office *Office) serve(ctx context.Context, peer certs.Identity, stream *link.Stream) error {
	var ask calls.PermitRequest
	if err := stream.Receive(&ask); err != nil {
		return err
	}
	if peer.Role != agatestage.RoleSide {
		return errors.Errorf("%s is not a side", peer.Host)
	}
	permit := calls.Permit{Granted: true}
	if err := office.decide(ctx, ask); err != nil {
		permit = calls.Permit{Reason: err.Error()}
	}
	return stream.Send(permit)
}

// decide returns nil if the change is permitted now.
func (office *Office) decide(ctx context.Context, ask calls.PermitRequest) error {
	if current := office.feed.Current().Revision; ask.Revision < current {
		return errors.Errorf("revision %d is older than %d", ask.Revision, current)
	}
	for _, model := range ask.Drops {
		if err := office.drop(ctx, model, ask.Target); err != nil {
			return err
		}
	}
	if _, bounded := office.feed.Rate(WeightStore); !bounded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	for range ask.Loads {
		if err := office.limiter.Admit(ctx, WeightStore); err != nil {
			return err
		}
	}
	return nil
}

// drop permits a target to drop a model that another one holds ready. A model
// that no target is configured for any more may be dropped by all.
func (office *Office) drop(ctx context.Context, model, target string) error {
	if !office.wanted(model) {
		return nil
	}
	if office.fleet.Others(model, target) == 0 {
		return errors.Errorf("no other target holds %s ready", model)
	}
	lease, err := office.store.Grant(ctx, dropLease)
	if err != nil {
		return err
	}
	if _, err = office.store.Swap(ctx, dropPrefix+model, 0, []byte(target), lease); err == nil {
		return nil
	}
	if record, readErr := office.store.Get(ctx, dropPrefix+model); readErr == nil && string(record.Value) == target {
		// This target asks again, after a restart or a lost answer.
		return nil
	}
	return errors.Errorf("another target is dropping %s", model)
}

// wanted reports whether the configuration gives the model to any target.
func (office *Office) wanted(model string) bool {
	for _, target := range office.feed.Current().Targets {
		for _, name := range target.Models {
			if name == model {
				return true
			}
		}
	}
	return false
}
