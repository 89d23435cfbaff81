// Package logs writes a process's log lines without ever holding the process up.
//
// Lines wait in a queue of fixed length for one writer. Lines that find it full,
// and those beyond a rate, are dropped and counted; the count is written once
// there is room again, so that a reader knows that something is missing.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

const (
	// queueLines is the length of the queue: two seconds at the rate.
	queueLines = 4000
	// linesPerSecond bounds the volume: ten lines for each request at the rate that
	// one gateway is designed for.
	linesPerSecond = 2000
	// drainTime bounds how long Close waits for the queue.
	drainTime = 500 * time.Millisecond
)

// Writer is an io.Writer that never blocks.
type Writer struct {
	clock   agatestage.Clock
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64
	mutex   sync.Mutex
	second  time.Time
	written int
}

// New returns a writer whose lines go to target.
func New(target io.Writer, clock agatestage.Clock) *Writer {
	writer := &Writer{clock: clock, lines: make(chan []byte, queueLines), done: make(chan struct{})}
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
	if !writer.allow() {
		writer.drop()
		return len(line), nil
	}
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.drop()
	}
	return len(line), nil
}

// allow reports whether the rate has room for one line more.
func (writer *Writer) allow() bool {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if now := writer.clock.Now(); now.Sub(writer.second) >= time.Second || now.Before(writer.second) {
		writer.second, writer.written = now, 0
	}
	writer.written++
	return writer.written <= linesPerSecond
}

func (writer *Writer) drop() {
	writer.dropped.Add(1)
	metrics.GetOrCreateCounter("agatestage_log_lines_dropped_total").Inc()
}

// run writes the lines until the writer is closed.
func (writer *Writer) run(target io.Writer) {
	defer close(writer.done)
	for line := range writer.lines {
		if dropped := writer.dropped.Swap(0); dropped > 0 {
			line = append(fmt.Appendf(nil, "W log lines dropped lines=%d\n", dropped), line...)
		}
		if _, err := target.Write(line); err != nil {
			// There is nowhere else to tell; the count shows in the metrics.
			writer.drop()
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
