// Package logs writes a process's log without blocking the process.
//
// Lines pass through a bounded queue to a single writing goroutine. Lines are
// dropped and counted if the queue is full, or if they exceed the rate limit of all
// lines or that of lines with the same message. The counts are logged with the next
// line written, so that a reader knows that lines are missing.
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
	// queueLines is the length of the queue: two seconds at the rate limit.
	queueLines = 4000
	// closeTimeout limits how long Close waits for the queue to drain.
	closeTimeout = 500 * time.Millisecond
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

// Install redirects klog to target through a new writer.
func Install(target io.Writer, clock agatestage.Clock) *Writer {
	writer := New(target, clock)
	klog.LogToStderr(false)
	klog.SetOutput(writer)
	return writer
}

// Write implements io.Writer. Each call must write one line.
func (writer *Writer) Write(line []byte) (int, error) {
	message := messageOf(line)
	writer.mutex.Lock()
	ok := writer.budget.take(message, writer.clock.Now())
	writer.mutex.Unlock()
	if !ok {
		writer.drop(message)
		return len(line), nil
	}
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.drop(message)
	}
	return len(line), nil
}

// drop counts a dropped line.
func (writer *Writer) drop(message string) {
	writer.mutex.Lock()
	writer.budget.dropped[message]++
	writer.mutex.Unlock()
	metrics.GetOrCreateCounter("agatestage_log_lines_dropped_total").Inc()
}

// takeDropped returns log lines that report the dropped ones, and resets their
// counts.
func (writer *Writer) takeDropped() (lines []byte) {
	writer.mutex.Lock()
	dropped := writer.budget.takeDropped()
	writer.mutex.Unlock()
	for _, message := range slices.Sorted(maps.Keys(dropped)) {
		lines = fmt.Appendf(lines, "W log lines dropped message=%q lines=%d\n", message, dropped[message])
	}
	return lines
}

// run writes the lines until the writer is closed.
func (writer *Writer) run(target io.Writer) {
	defer close(writer.done)
	for line := range writer.lines {
		if _, err := target.Write(append(writer.takeDropped(), line...)); err != nil {
			// The failure can't be logged; it is visible in the metric.
			writer.drop(messageOf(line))
		}
	}
}

// Close waits for the queued lines to be written, up to a time limit. Write must not
// be called afterwards.
func (writer *Writer) Close() {
	writer.once.Do(func() {
		klog.Flush()
		klog.LogToStderr(true)
		close(writer.lines)
	})
	timer := writer.clock.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-writer.done:
	case <-timer.C():
	}
}
