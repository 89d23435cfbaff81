// Package permit authorizes sides to change which models a target holds.
//
// Two invariants hold across the whole fleet. Loads from the weight store stay
// within one rate: they are admitted like requests of an organisation of that name.
// And the last ready target of a model must not drop it: a drop is permitted only
// while another target is ready, and only one drop of a model at a time. A record
// in the platform's store ensures this; its lease lasts longer than entries take to
// learn of a drop.
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
	// WeightStore is the organisation whose rate bounds loads. If the
	// configuration doesn't have it, loads are not bounded.
	WeightStore = "weight-store"
	dropPrefix  = "order/drop/"
	// dropLease is how long after a permitted drop no other target may drop the
	// same model.
	dropLease = 30 * time.Second
	// loadRateTimeout bounds the wait for the weight store's rate.
	loadRateTimeout = 5 * time.Second
)

// Authorizer answers the sides' requests for permits.
type Authorizer struct {
	store   agatestage.Store
	feed    *feed.Feed
	fleet   *fleet.Fleet
	limiter agatestage.Limiter
}

// New returns an authorizer and registers the handler of its exchange with the
// node.
func New(node *link.Node, store agatestage.Store, feed *feed.Feed, fleet *fleet.Fleet, limiter agatestage.Limiter) *Authorizer {
	authorizer := &Authorizer{store: store, feed: feed, fleet: fleet, limiter: limiter}
	node.Handle(calls.KindPermit, authorizer.serve)
	return authorizer
}

// serve replies to a side's request for a permit.
func (authorizer *Authorizer) serve(ctx context.Context, peer certs.Identity, stream *link.Stream) error {
	var permitRequest calls.PermitRequest
	if err := stream.Receive(&permitRequest); err != nil {
		return err
	}
	if peer.Role != agatestage.RoleSide {
		return errors.Errorf("%s is not a side", peer.Host)
	}
	permit := calls.Permit{Granted: true}
	if err := authorizer.authorize(ctx, permitRequest); err != nil {
		permit = calls.Permit{Reason: err.Error()}
	}
	return stream.Send(permit)
}

// authorize returns nil if the change is permitted now.
func (authorizer *Authorizer) authorize(ctx context.Context, permitRequest calls.PermitRequest) error {
	if current := authorizer.feed.Current().Revision; permitRequest.Revision < current {
		return errors.Errorf("revision %d is older than %d", permitRequest.Revision, current)
	}
	for _, model := range permitRequest.Drops {
		if err := authorizer.permitDrop(ctx, model, permitRequest.Target); err != nil {
			return err
		}
	}
	if _, bounded := authorizer.feed.Rate(WeightStore); !bounded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadRateTimeout)
	defer cancel()
	for range permitRequest.Loads {
		if err := authorizer.limiter.Admit(ctx, WeightStore); err != nil {
			return err
		}
	}
	return nil
}

// permitDrop permits a target to drop a model if another ready target holds it.
// Any target may drop a model that is no longer configured for a target.
func (authorizer *Authorizer) permitDrop(ctx context.Context, model, target string) error {
	if !authorizer.isConfigured(model) {
		return nil
	}
	if authorizer.fleet.CountOtherHolders(model, target) == 0 {
		return errors.Errorf("no other target holds %s ready", model)
	}
	lease, err := authorizer.store.Grant(ctx, dropLease)
	if err != nil {
		return err
	}
	if _, err = authorizer.store.Swap(ctx, dropPrefix+model, 0, []byte(target), lease); err == nil {
		return nil
	}
	if record, readErr := authorizer.store.Get(ctx, dropPrefix+model); readErr == nil && string(record.Value) == target {
		// The record is from an earlier request of the same target, which repeats
		// it after a restart or a lost answer.
		return nil
	}
	return errors.Errorf("another target is dropping %s", model)
}

// isConfigured reports whether any target is configured to hold the model.
func (authorizer *Authorizer) isConfigured(model string) bool {
	for _, target := range authorizer.feed.Current().Targets {
		for _, name := range target.Models {
			if name == model {
				return true
			}
		}
	}
	return false
}
