package bench

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/fake/engine"
	"github.com/agatestage/agatestage/internal/tool/client"
	"github.com/agatestage/agatestage/internal/tool/world"
)

// BenchmarkControl measures the cost of an idle fleet at several sizes: messages
// and their bytes per entry, processor time and heap of the process that runs the
// whole fleet, and store calls per entry.
func BenchmarkControl(b *testing.B) {
	const duration = 6 * time.Second
	for range b.N {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "\nentries\tsides\tmessages/s an entry\tbytes/s an entry\tcpu of all\theap of all\tstore calls/s an entry")
		for _, size := range []struct{ entries, sides int }{{2, 8}, {4, 8}, {8, 8}, {4, 16}, {4, 32}} {
			measureControl(b, out, size.entries, size.sides, duration)
		}
		_ = out.Flush()
	}
}

func measureControl(b *testing.B, out *tabwriter.Writer, entries, sides int, duration time.Duration) {
	place := world.Place{Region: "east", Zone: "east-1"}
	spec := world.Spec{Home: "east"}
	for i := range entries {
		spec.Entries = append(spec.Entries, world.Entry{Place: place, Name: fmt.Sprintf("entry-%02d", i)})
	}
	for i := range sides {
		spec.Engines = append(spec.Engines, world.Engine{Place: place, Name: fmt.Sprintf("engine-%02d", i), Model: modelName, Slots: 16, Timing: engine.DefaultTiming()})
	}
	fleet, err := world.New(b.TempDir(), spec)
	defer func() { _ = fleet.Stop() }()
	if err != nil {
		b.Fatal(err)
	}
	intent := model.Intent{Organisations: []model.Organisation{{Name: "lothian", Rate: 1, Burst: 1}}}
	operator := client.New(fleet.AdminURL("entry-00"), fleet.Operator.Secret)
	plan, err := operator.Plan(context.Background(), intent)
	if err == nil {
		_, err = operator.Confirm(context.Background(), plan.Digest)
	}
	if err != nil {
		b.Fatal(err)
	}
	<-time.After(duration)
	messagesBefore, bytesBefore, callsBefore, cpuBefore := messageCount(fleet), byteCount(fleet), storeCallCount(fleet), processorTime()
	<-time.After(duration)
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	entrySeconds := float64(entries) * duration.Seconds()
	fmt.Fprintf(out, "%d\t%d\t%.1f\t%.0f\t%.2f%%\t%.1f MB\t%.1f\n", entries, sides, float64(messageCount(fleet)-messagesBefore)/entrySeconds,
		float64(byteCount(fleet)-bytesBefore)/entrySeconds, 100*(processorTime()-cpuBefore).Seconds()/duration.Seconds(),
		float64(memory.HeapAlloc)/(1<<20), float64(storeCallCount(fleet)-callsBefore)/entrySeconds)
}

func messageCount(fleet *world.World) (sum int64) {
	for _, entry := range fleet.Entries {
		count := entry.Node.Traffic()
		sum += count.MessagesSent + count.MessagesReceived
	}
	return sum
}

func byteCount(fleet *world.World) (sum int64) {
	for _, entry := range fleet.Entries {
		count := entry.Node.Traffic()
		sum += count.BytesSent + count.BytesReceived
	}
	return sum
}

func storeCallCount(fleet *world.World) int64 {
	counts := fleet.Store.Counts()
	return counts.Reads + counts.Writes + counts.Watches + counts.Leases
}

// BenchmarkConfiguration measures the heap and encoded size of the configuration
// and the time of one change, by the number of organisations with one key each.
func BenchmarkConfiguration(b *testing.B) {
	for range b.N {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "\norganisations\theap\tbytes an organisation\tone change\tencoded")
		for _, organisations := range []int{3000, 10_000, 30_000} {
			measureConfiguration(b, out, organisations)
		}
		_ = out.Flush()
	}
}

func measureConfiguration(b *testing.B, out *tabwriter.Writer, organisations int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var intent model.Intent
	for i := range organisations {
		name := fmt.Sprintf("organisation-%05d", i)
		intent.Organisations = append(intent.Organisations, model.Organisation{Name: name, Rate: 1, Burst: 5})
		intent.Keys = append(intent.Keys, model.Key{Name: fmt.Sprintf("%012x", i), Organisation: name, Digest: fmt.Sprintf("%064x", i)})
	}
	changes, _ := intent.Changes(model.Empty())
	document, err := model.Empty().Apply(changes)
	if err != nil {
		b.Fatal(err)
	}
	intent, changes = model.Intent{}, nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	heap := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	change := model.Intent{Organisations: []model.Organisation{{Name: "organisation-00001", Rate: 2, Burst: 5}}}
	began := time.Now()
	changes, _ = change.Changes(document)
	if _, err = document.Apply(changes); err != nil {
		b.Fatal(err)
	}
	took := time.Since(began)
	data, err := document.Encode()
	if err != nil {
		b.Fatal(err)
	}
	fmt.Fprintf(out, "%d\t%.1f MB\t%.0f\t%v\t%.1f MB\n", organisations, heap/(1<<20), heap/float64(organisations), took.Round(time.Microsecond), float64(len(data))/(1<<20))
	runtime.KeepAlive(document)
}
