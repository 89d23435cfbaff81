// Package keeper runs on the hosts with disks. Job data is kept in the platform's
// store, so the disks hold nothing: when operators want to retire such a host, a
// keeper reports that it is empty.
package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/state/watch"
)

const (
	// pollWait is how long one poll waits for an order. Operators allow several
	// seconds for emptying a host.
	pollWait = 3 * time.Second
	// pollPause is the delay after a failed poll.
	pollPause = 500 * time.Millisecond
)

// Orders defines the records by which operators order hosts to be emptied.
type Orders interface {
	// Prefix returns the key prefix of the orders; each order is stored under the
	// prefix and the name of its host.
	Prefix() string
	// EmptyRecord returns the record that reports a host as empty.
	EmptyRecord(host string) (key string, value []byte)
}

// Keeper answers operators' orders to empty hosts.
type Keeper struct {
	store  agatestage.Store
	clock  agatestage.Clock
	orders Orders
}

// New returns a keeper.
func New(store agatestage.Store, clock agatestage.Clock, orders Orders) *Keeper {
	return &Keeper{store: store, clock: clock, orders: orders}
}

// Serve answers orders until ctx ends. Every keeper answers the orders for all
// hosts, because the keeper of the ordered host may be down. Only the first answer
// is stored.
func (keeper *Keeper) Serve(ctx context.Context) error {
	prefix := keeper.orders.Prefix()
	return watch.Follow(ctx, keeper.store, keeper.clock, prefix, func(ctx context.Context, records []agatestage.Record, _ bool) error {
		for _, record := range records {
			if record.Deleted {
				continue
			}
			if err := keeper.reportEmpty(ctx, record.Key[len(prefix):]); err != nil {
				return err
			}
		}
		return nil
	}, watch.WithWait(pollWait), watch.WithRetryDelay(pollPause), watch.WithErrorHandler(func(err error) {
		klog.InfoS("reading orders failed", "error", err.Error())
	}))
}

// String returns the name of the service in logs.
func (keeper *Keeper) String() string {
	return "keeper"
}

// reportEmpty reports a host as empty.
func (keeper *Keeper) reportEmpty(ctx context.Context, host string) error {
	key, value := keeper.orders.EmptyRecord(host)
	_, err := keeper.store.Swap(ctx, key, 0, value, "")
	if errors.Is(err, agatestage.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	klog.InfoS("host reported empty", "host", host)
	return nil
}
