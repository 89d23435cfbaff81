// Package claim fetches batch items from entries and runs them in the slots that
// online calls leave free.
//
// Each engine has a Puller. It grants credit to the entries that have announced
// work, to those of its own region first and then by earliest due time. The credit
// covers the idle slots and a few more items, so that one is ready when a slot
// becomes free. Items that are preempted by online calls, or that wait too long
// for a slot, are returned to their entry.
package claim

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/budget"
	"github.com/agatestage/agatestage/internal/base/ticks"
	"github.com/agatestage/agatestage/internal/side/exec"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// emptyPause is the pause before credit is offered again to an entry that had too
	// few items.
	emptyPause = 200 * time.Millisecond
	// maxSlotWait is how long an item waits for a slot before it is returned.
	maxSlotWait = 2 * time.Second
	// prefetchDivisor determines how many items are prefetched: one for every
	// prefetchDivisor slots, and at least one.
	prefetchDivisor = 8
	// retryPause is the pause after an exchange with an entry has failed.
	retryPause = 500 * time.Millisecond
	// pollPeriod is the longest time between two checks for idle slots.
	pollPeriod = 100 * time.Millisecond
)

// Puller claims and runs batch items for one target.
type Puller struct {
	target  *state.Target
	region  string
	node    *link.Node
	clock   agatestage.Clock
	memory  *budget.Budget
	mutex   sync.Mutex
	sources map[string]*source
	// held is the number of items received and not finished, offered the credit
	// that has not been answered.
	held     int
	offered  int
	stopping bool
	wake     chan struct{}
	items    sync.WaitGroup
	streams  sync.WaitGroup
}

// source is an entry that may have items.
type source struct {
	policy calls.Policy
	stream *link.Stream
	finish func()
	// send guards stream and finish and serialises messages on the stream.
	send sync.Mutex
	// notBefore is the time after which credit may be offered to the entry again.
	notBefore time.Time
	// offered is the part of the puller's unanswered credit that is offered to this
	// entry.
	offered int
	// items holds the items received and not finished.
	items map[calls.ItemRef]context.CancelFunc
}

// New returns a puller for a target in a region.
func New(target *state.Target, region string, node *link.Node, clock agatestage.Clock, memory *budget.Budget) *Puller {
	return &Puller{target: target, region: region, node: node, clock: clock, memory: memory, sources: make(map[string]*source), wake: make(chan struct{}, 1)}
}

// String names the service in logs.
func (puller *Puller) String() string {
	return "batch claims of " + puller.target.Name
}

// Wake makes the puller check for idle slots now.
func (puller *Puller) Wake() {
	select {
	case puller.wake <- struct{}{}:
	default:
	}
}

// ApplyPolicy stores an entry's policy, which includes the work that it has.
func (puller *Puller) ApplyPolicy(policy calls.Policy) {
	puller.mutex.Lock()
	entry := puller.sources[policy.Entry]
	if entry == nil {
		entry = &source{items: make(map[calls.ItemRef]context.CancelFunc)}
		puller.sources[policy.Entry] = entry
	}
	entry.policy, entry.notBefore = policy, time.Time{}
	puller.mutex.Unlock()
	puller.Wake()
}

// Serve claims and runs items until ctx ends.
func (puller *Puller) Serve(ctx context.Context) error {
	ticker := puller.clock.NewTicker(pollPeriod)
	defer ticker.Stop()
	defer puller.streams.Wait()
	defer puller.items.Wait()
	for {
		puller.claim(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-puller.wake:
		case <-ticker.C():
		}
	}
}

// Drain stops claiming items and waits for those that have been received.
func (puller *Puller) Drain() {
	puller.mutex.Lock()
	puller.stopping = true
	puller.mutex.Unlock()
	puller.items.Wait()
}

// claim offers credit for idle slots to entries with work. An entry in another
// region is offered credit for no more than the prefetched items.
func (puller *Puller) claim(ctx context.Context) {
	policy, known := puller.target.Policy()
	if !known || !policy.Batch || !puller.target.Ready() {
		return
	}
	models := puller.models(policy.Models)
	if len(models) == 0 {
		return
	}
	prefetch := max(1, puller.target.Pool.Load().Slots/prefetchDivisor)
	for {
		puller.mutex.Lock()
		credit := puller.target.Pool.Available() + prefetch - puller.waitingItems() - puller.offered
		entry := puller.chooseSource(models)
		if entry != nil && entry.policy.Region != puller.region {
			credit = min(credit, prefetch)
		}
		if credit <= 0 || entry == nil || puller.stopping {
			puller.mutex.Unlock()
			return
		}
		entry.offered += credit
		puller.offered += credit
		puller.mutex.Unlock()
		if err := puller.offer(ctx, entry, models, credit); err != nil {
			puller.closeSource(entry, err)
		}
	}
}

// models returns the models that are both configured and held.
func (puller *Puller) models(configured []string) (models []string) {
	for _, holding := range puller.target.Holdings() {
		if slices.Contains(configured, holding.Model) {
			models = append(models, holding.Model)
		}
	}
	return models
}

// waitingItems returns the number of items that wait for a slot; the mutex is held.
func (puller *Puller) waitingItems() int {
	return max(0, puller.held-puller.target.Pool.Load().Batch)
}

// chooseSource returns the entry to claim from next: the nearest one, then the
// one with the earliest due time. It returns nil if there is none; the mutex is
// held.
func (puller *Puller) chooseSource(models []string) *source {
	now := puller.clock.Now()
	var ready []*source
	for _, entry := range puller.sources {
		if entry.offered == 0 && now.After(entry.notBefore) && entry.due(models) > 0 {
			ready = append(ready, entry)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return slices.MinFunc(ready, func(a, b *source) int {
		return cmp.Or(
			cmp.Compare(puller.distance(a), puller.distance(b)),
			cmp.Compare(a.due(models), b.due(models)),
			cmp.Compare(a.policy.Entry, b.policy.Entry),
		)
	})
}

// distance returns 0 for an entry in this region and 1 for others. Items of other
// regions use the links between regions and are claimed only if this region has
// none.
func (puller *Puller) distance(source *source) int {
	if source.policy.Region == puller.region {
		return 0
	}
	return 1
}

// due returns the earliest due time of the entry's work, or 0 if it has none.
func (source *source) due(models []string) (due int64) {
	for _, work := range source.policy.Work {
		if slices.Contains(models, work.Model) && (due == 0 || work.Due < due) {
			due = max(1, work.Due)
		}
	}
	return due
}

// offer sends credit to an entry and opens the exchange if needed.
func (puller *Puller) offer(ctx context.Context, entry *source, models []string, credit int) error {
	entry.send.Lock()
	defer entry.send.Unlock()
	if entry.stream == nil {
		stream, finish, err := puller.node.Begin(ctx, entry.policy.Address, calls.KindClaim)
		if err != nil {
			return err
		}
		entry.stream, entry.finish = stream, finish
		puller.streams.Go(func() { puller.receive(ctx, entry, stream) })
	}
	return entry.stream.Send(calls.ClaimUp{Models: models, Credit: credit})
}

// receive starts and revokes items as the entry demands, until the exchange ends.
func (puller *Puller) receive(ctx context.Context, entry *source, stream *link.Stream) {
	for {
		var down calls.ClaimDown
		if err := stream.Receive(&down); err != nil {
			puller.closeSource(entry, err)
			return
		}
		puller.mutex.Lock()
		answered := min(entry.offered, len(down.Items)+down.Unused)
		entry.offered -= answered
		puller.offered -= answered
		if down.Unused > 0 {
			entry.notBefore = puller.clock.Now().Add(emptyPause)
		}
		puller.mutex.Unlock()
		for _, item := range down.Items {
			puller.start(ctx, entry, item)
		}
		for _, ref := range down.Revoked {
			puller.revoke(entry, ref)
		}
		puller.Wake()
	}
}

// closeSource ends the exchange with an entry and cancels the items received from
// it.
func (puller *Puller) closeSource(entry *source, cause error) {
	klog.V(1).InfoS("exchange for batch claims ended", "target", puller.target.Name, "entry", entry.policy.Entry, "cause", cause.Error())
	entry.send.Lock()
	if entry.finish != nil {
		entry.finish()
	}
	entry.stream, entry.finish = nil, nil
	entry.send.Unlock()
	puller.mutex.Lock()
	defer puller.mutex.Unlock()
	puller.offered -= entry.offered
	entry.offered = 0
	entry.notBefore = puller.clock.Now().Add(retryPause)
	for _, cancel := range entry.items {
		cancel()
	}
}

func (puller *Puller) revoke(entry *source, ref calls.ItemRef) {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()
	if cancel := entry.items[ref]; cancel != nil {
		cancel()
	}
}

// start runs an item in the background and reports its result.
func (puller *Puller) start(ctx context.Context, entry *source, item calls.BatchItem) {
	ctx, cancel := context.WithCancel(ctx)
	puller.mutex.Lock()
	puller.held++
	entry.items[item.Ref] = cancel
	puller.mutex.Unlock()
	puller.items.Go(func() {
		defer cancel()
		answer := &collector{hold: puller.memory.Hold()}
		defer answer.hold.Release()
		result := puller.run(ctx, item, answer)
		puller.mutex.Lock()
		puller.held--
		delete(entry.items, item.Ref)
		puller.mutex.Unlock()
		puller.report(entry, result)
		puller.Wake()
	})
}

// report sends a result to the entry. If the exchange has ended, the entry has
// already requeued the item.
func (puller *Puller) report(entry *source, result calls.ItemResult) {
	entry.send.Lock()
	defer entry.send.Unlock()
	if entry.stream == nil {
		return
	}
	if err := entry.stream.Send(calls.ClaimUp{Results: []calls.ItemResult{result}}); err != nil {
		klog.V(1).InfoS("failed to send batch result", "target", puller.target.Name, "error", err.Error())
	}
}

// run runs an item, retrying for up to maxSlotWait while no slot is free.
func (puller *Puller) run(ctx context.Context, item calls.BatchItem, answer *collector) calls.ItemResult {
	result := calls.ItemResult{Ref: item.Ref, Target: puller.target.Name}
	began := puller.clock.Now()
	for {
		end := exec.Run(ctx, puller.target, &item.Call, answer)
		if foundNoSlot(end) && puller.clock.Since(began) < maxSlotWait && ctx.Err() == nil && !puller.isStopping() {
			ticks.Wait(ctx, puller.clock, slotRetryPause)
			continue
		}
		result.Took = puller.clock.Since(began)
		result.Refusal, result.TargetLost = end.Refusal, end.TargetLost
		if end.Refusal == nil {
			result.Status, result.Body = answer.status, answer.body
		} else {
			answer.drop()
		}
		result.Returned = ctx.Err() != nil || mustReturn(end)
		return result
	}
}

func (puller *Puller) isStopping() bool {
	puller.mutex.Lock()
	defer puller.mutex.Unlock()
	return puller.stopping
}

// slotRetryPause is the pause between two attempts of an item to get a slot.
const slotRetryPause = 5 * time.Millisecond

// foundNoSlot reports whether an attempt was refused because no slot was free.
func foundNoSlot(end calls.End) bool {
	return end.Refusal != nil && end.Refusal.Code == agatestage.CodeBusy && end.Refusal.Ran == agatestage.RanNo
}

// mustReturn reports whether an attempt must not count against the item: it was
// preempted, or did not run and no target was lost.
func mustReturn(end calls.End) bool {
	return end.Refusal != nil && (end.Refusal.Code == agatestage.CodeYielded || end.Refusal.Ran == agatestage.RanNo && !end.TargetLost)
}
