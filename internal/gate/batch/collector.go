package batch

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// collector accumulates the event data of an item over all its runs. It may be
// read while the item runs.
type collector struct {
	mutex     sync.Mutex
	eventData [][]byte
	// number is the ID of the last event whose data has been added.
	number int64
	status int
}

// lastEvent returns the number of the last event that was collected.
func (collector *collector) lastEvent() int64 {
	number, _ := collector.snapshot()
	return number
}

// snapshot returns the number of the last event that was collected and the data of
// all events up to it. Later events don't modify the returned slice.
func (collector *collector) snapshot() (number int64, eventData [][]byte) {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	return collector.number, collector.eventData[:len(collector.eventData):len(collector.eventData)]
}

// size returns the size of the data of all events in bytes.
func (collector *collector) size() (size int) {
	_, eventData := collector.snapshot()
	for _, data := range eventData {
		size += len(data) + 1
	}
	return size
}

// reset removes all events, so that the item runs from its beginning.
func (collector *collector) reset() {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	collector.eventData, collector.number = nil, 0
}

// Head implements relay.Sink.
func (collector *collector) Head(status int, _ http.Header, _ int) error {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	collector.status = status
	return nil
}

// Data implements relay.Sink. It expects whole events.
func (collector *collector) Data(data []byte) error {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	if collector.status != http.StatusOK {
		return nil
	}
	for line := range bytes.Lines(data) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			collector.eventData = append(collector.eventData, bytes.Clone(value))
		case "id":
			number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return errors.Wrap(err, "an event's number")
			}
			collector.number = number
		}
	}
	return nil
}

// output returns the data of all events, one per line.
func (collector *collector) output() []byte {
	_, eventData := collector.snapshot()
	return bytes.Join(eventData, []byte("\n"))
}
