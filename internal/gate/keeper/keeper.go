// Package keeper runs on the machines with disks. Job data lies in the
// platform's store, so the disks hold nothing: a keeper tells operators who want
// such a machine back that it may go, and deletes the records of old jobs.
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
	// pollWait is how long one poll waits for an order; operators allow a machine
	// several seconds to be emptied.
	pollWait = 3 * time.Second
	// pollPause is the time after a failed poll.
	pollPause = 500 * time.Millisecond
)

// Orders translates the operators' orders to empty machines.
type Orders interface {
	// Prefix is where the orders lie, each under the name of its machine.
	Prefix() string
	// Emptied returns the record that tells operators that a machine is empty.
	Emptied(machine string) (key string, value []byte)
}

// Keeper answers orders.
type Keeper struct {
	store  agatestage.Store
	clock  agatestage.Clock
	orders Orders
}

// New returns a keeper.
func New(store agatestage.Store, clock agatestage.Clock, orders Orders) *Keeper {
	return &Keeper{store: store, clock: clock, orders: orders}
}

// Serve answers orders until ctx ends. Every keeper answers for each machine, as
// the machine's own may be down; the first answer stands.
func (keeper *Keeper) Serve(ctx context.Context) error {
	prefix := keeper.orders.Prefix()
	return watch.Follow(ctx, keeper.store, keeper.clock, prefix, func(ctx context.Context, records []agatestage.Record, _ bool) error {
		for _, record := range records {
			if record.Deleted {
				continue
			}
			if err := keeper.answer(ctx, record.Key[len(prefix):]); err != nil {
				return err
			}
		}
		return nil
	}, watch.WithWait(pollWait), watch.WithRetryDelay(pollPause), watch.WithErrorHandler(func(err error) {
		klog.InfoS("orders not read", "error", err.Error())
	}))
}

// String names the service in logs.
func (keeper *Keeper) String() string {
	return "keeper"
}

// answer tells that a machine is empty.
func (keeper *Keeper) answer(ctx context.Context, machine string) error {
	key, value := keeper.orders.Emptied(machine)
	_, err := keeper.store.Swap(ctx, key, 0, value, "")
	if errors.Is(err, agatestage.ErrConflict) {
		return nil
	}
	klog.InfoS("machine reported empty", "machine", machine, "written", err == nil)
	return err
}
