package bench

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/frame"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/ledger"
	"github.com/agatestage/agatestage/internal/batch/owner"
	"github.com/agatestage/agatestage/internal/batch/remote"
	"github.com/agatestage/agatestage/internal/batch/sites"
	"github.com/agatestage/agatestage/internal/fake/nodes"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

const (
	// takeoverBound limits the takeover of the largest job in the two-year plan, whose
	// target says only "seconds".
	takeoverBound = 10 * time.Second
	// planItemsPerSecond is the rate of the two-year plan over all owners.
	planItemsPerSecond = 3240.0
	itemsPerBlock      = 64
	answerBytes        = 400
)

// ledgerEntry is the part of an entry that stores ledgers.
type ledgerEntry struct {
	roster *member.Roster
	sites  *sites.Sites
}

func newLedgerEntry(b *testing.B, ctx context.Context, authority *certs.Authority, platformStore agatestage.Store, name string) *ledgerEntry {
	clock := agatestage.SystemClock()
	folder := b.TempDir()
	node, err := nodes.New(ctx, authority, folder, name, agatestage.RoleEntry)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = node.Close() })
	local, err := ledger.New(folder, 1<<40)
	if err != nil {
		b.Fatal(err)
	}
	remote.Serve(node, local)
	self := member.Member{Name: name, Region: "east", Zone: name, Address: node.Address(), Ledger: true}
	ledgerEntry := &ledgerEntry{roster: member.New(platformStore, clock, self)}
	ledgerEntry.sites = sites.New(ledgerEntry.roster, node, local)
	go func() { _ = ledgerEntry.roster.Renewer().Serve(ctx) }()
	go func() { _ = ledgerEntry.roster.Serve(ctx) }()
	return ledgerEntry
}

// waitUntil polls until done returns true, for up to a minute.
func waitUntil(b *testing.B, event string, done func() bool) {
	for deadline := time.Now().Add(time.Minute); !done(); {
		if time.Now().After(deadline) {
			b.Fatalf("timed out waiting for %s", event)
		}
		runtime.Gosched()
	}
}

// writeJob writes the input and the head of a job and returns its ID.
func writeJob(b *testing.B, ctx context.Context, ledgerEntry *ledgerEntry, registry *heads.Registry, items int) string {
	id := fmt.Sprintf("job%d", items)
	hosts, err := ledgerEntry.sites.Choose(id, nil)
	if err != nil {
		b.Fatal(err)
	}
	segment := agatestage.Segment{Job: id, Name: "input-0"}
	var offset int64
	var frames []byte
	for first := 0; first < items; first += itemsPerBlock {
		var block agatestage.Block
		for i := first; i < min(items, first+itemsPerBlock); i++ {
			line := fmt.Sprintf(`{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"write label %d"}}`, i, i)
			block.Lines = append(block.Lines, agatestage.Line{Item: i, Body: []byte(line)})
		}
		if frames, err = frame.Append(frames, block); err != nil {
			b.Fatal(err)
		}
		if len(frames) > 1<<20 || first+itemsPerBlock >= items {
			if offset, err = ledgerEntry.sites.Append(ctx, segment, 0, offset, frames, hosts); err != nil {
				b.Fatal(err)
			}
			frames = frames[:0]
		}
	}
	head := heads.Head{
		ID: id, Organisation: "lothian", State: heads.StateRunning, Owner: ledgerEntry.sites.Self(), Endpoint: "/v1/completions", Model: "m", Items: items,
		Input: []heads.Segment{{Name: "input-0", Copies: hosts, Bytes: offset, Sealed: true}},
	}
	if _, err = registry.Swap(ctx, head, 0); err != nil {
		b.Fatal(err)
	}
	return id
}

// finishItems claims and completes items until the job has count results or has
// ended.
func finishItems(manager *owner.Manager, id string, count int) {
	answer := make([]byte, 0, answerBytes)
	answer = append(answer, `{"text":"`...)
	for len(answer) < answerBytes-2 {
		answer = append(answer, 'x')
	}
	answer = append(answer, `"}`...)
	for {
		job, ok := manager.Get(id)
		if !ok {
			return
		}
		if progress := job.Progress(); progress.Completed >= count {
			return
		}
		for _, item := range job.Take(itemsPerBlock) {
			job.Finish(calls.ItemResult{Ref: item.Ref, Status: 200, Body: answer})
		}
		runtime.Gosched()
	}
}

// BenchmarkOwner measures how fast an owner processes items and takes over a job,
// with two ledgers on the local disk and one link between them.
func BenchmarkOwner(b *testing.B) {
	for range b.N {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "\nitems\titems/s\titems/s a core\ttakeover\tbytes an item\tstore calls")
		for _, items := range []int{1000, 10_000, 100_000, 460_000} {
			measureOwner(b, out, items)
		}
		_ = out.Flush()
	}
}

func measureOwner(b *testing.B, out *tabwriter.Writer, items int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := agatestage.SystemClock()
	platformStore := store.New(clock)
	authority, err := certs.NewAuthority(clock)
	if err != nil {
		b.Fatal(err)
	}
	first, second := newLedgerEntry(b, ctx, authority, platformStore, "entry-a"), newLedgerEntry(b, ctx, authority, platformStore, "entry-b")
	waitUntil(b, "both entries", func() bool { return len(first.roster.Members()) == 2 && len(second.roster.Members()) == 2 })
	registry := heads.New(platformStore, clock)
	id := writeJob(b, ctx, first, registry, items)
	before := platformStore.Counts()
	manager, stop := startManager(ctx, first, registry)
	waitUntil(b, "the job", func() bool { _, ok := manager.Get(id); return ok })
	cpuBefore, began := processorTime(), time.Now()
	finishItems(manager, id, items/2)
	elapsed, cpuSeconds := time.Since(began).Seconds(), (processorTime() - cpuBefore).Seconds()
	stop()
	var memoryBefore, memoryAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memoryBefore)
	began = time.Now()
	manager, stop = startManager(ctx, first, registry)
	waitUntil(b, "the takeover", func() bool { _, ok := manager.Get(id); return ok })
	takeover := time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&memoryAfter)
	after := platformStore.Counts()
	stop()
	fmt.Fprintf(out, "%d\t%.0f\t%.0f\t%v\t%.1f\t%d\n", items, float64(items/2)/elapsed, float64(items/2)/cpuSeconds, takeover.Round(time.Millisecond),
		float64(int64(memoryAfter.HeapAlloc)-int64(memoryBefore.HeapAlloc))/float64(items), after.Writes-before.Writes)
	if takeover > takeoverBound {
		b.Errorf("taking over %d items took %v, the bound is %v", items, takeover, takeoverBound)
	}
	if rate := float64(items/2) / elapsed; items >= 100_000 && rate < planItemsPerSecond/8 {
		b.Errorf("an owner processes %.0f items/s; each of eight owners needs %.0f", rate, planItemsPerSecond/8)
	}
}

// startManager starts an entry's manager. The returned function stops it as if the
// process was lost.
func startManager(ctx context.Context, ledgerEntry *ledgerEntry, registry *heads.Registry) (*owner.Manager, func()) {
	ctx, cancel := context.WithCancel(ctx)
	manager := owner.New(ledgerEntry.sites, registry, ledgerEntry.roster, agatestage.SystemClock())
	done := make(chan struct{})
	go func() {
		_ = manager.Serve(ctx)
		close(done)
	}()
	return manager, func() { cancel(); <-done }
}
