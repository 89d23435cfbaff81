// Package logs writes a process's log lines without ever holding the process up.
//
// Lines wait in a queue of fixed length for one writer. Lines that find it full,
// and those beyond the rates of all lines and of lines with one message, are
// dropped and counted; the counts are written once there is room again, so that a
// reader knows that something is missing.
package logs

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// queueLines is the length of the queue: two seconds at the rate.
	queueLines = 4000
	// drainTime bounds how long Close waits for the queue.
	drainTime = 500 * time.Millisecond
)

// Writer is an io.Writer that never blocks.
type Writer struct {
	clock  agatestage.Clock
	lines  chan []byte
	done   chan struct{}
	once   sync.Once
	mutex  sync.Mutex
	budget *budget
}

// New returns a writer whose lines go to target.
func New(target io.Writer, clock agatestage.Clock) *Writer {
	writer := &Writer{clock: clock, lines: make(chan []byte, queueLines), done: make(chan struct{}), budget: newBudget()}
	go writer.run(target)
	return writer
}

// Install makes klog write to target through a new writer.
func Install(target io.Writer, clock agatestage.Clock) *Writer {
	writer := New(target, clock)
	klog.LogToStderr(false)
	klog.SetOutput(writer)
	return writer
}

// Write implements io.Writer. It takes one line.
func (writer *Writer) Write(line []byte) (int, error) {
	kind := kindOf(line)
	writer.mutex.Lock()
	ok := writer.budget.take(kind, writer.clock.Now())
	writer.mutex.Unlock()
	if !ok {
		writer.drop(kind)
		return len(line), nil
	}
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.drop(kind)
	}
	return len(line), nil
}

// drop counts a line that isn't written.
func (writer *Writer) drop(kind string) {
	writer.mutex.Lock()
	writer.budget.dropped[kind]++
	writer.mutex.Unlock()
	metrics.GetOrCreateCounter("agatestage_log_lines_dropped_total").Inc()
}

// told returns the lines that tell of those which were dropped.
func (writer *Writer) told() (lines []byte) {
	writer.mutex.Lock()
	dropped := writer.budget.told()
	writer.mutex.Unlock()
	for _, kind := range slices.Sorted(maps.Keys(dropped)) {
		lines = fmt.Appendf(lines, "W log lines dropped message=%q lines=%d\n", kind, dropped[kind])
	}
	return lines
}

// run writes the lines until the writer is closed.
func (writer *Writer) run(target io.Writer) {
	defer close(writer.done)
	for line := range writer.lines {
		if _, err := target.Write(append(writer.told(), line...)); err != nil {
			// There is nowhere else to tell; the count shows in the metrics.
			writer.drop(kindOf(line))
		}
	}
}

// Close writes what waits, for a bounded time. Nothing may be written after it.
func (writer *Writer) Close() {
	writer.once.Do(func() {
		klog.Flush()
		klog.LogToStderr(true)
		close(writer.lines)
	})
	timer := writer.clock.NewTimer(drainTime)
	defer timer.Stop()
	select {
	case <-writer.done:
	case <-timer.C():
	}
}
