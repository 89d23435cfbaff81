package batch

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// collector gathers the data of an item's events over all its runs. It may be read
// while an item runs.
type collector struct {
	mutex sync.Mutex
	text  [][]byte
	// number is that of the last event whose data is in text.
	number int64
	status int
}

// last returns the number of the last event that was gathered.
func (collector *collector) last() int64 {
	number, _ := collector.snapshot()
	return number
}

// snapshot returns the number of the last event that was gathered, and the data of
// all up to it, which doesn't change any more.
func (collector *collector) snapshot() (number int64, text [][]byte) {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	return collector.number, collector.text[:len(collector.text):len(collector.text)]
}

// Head implements relay.Sink.
func (collector *collector) Head(status int, _ http.Header, _ int) error {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	collector.status = status
	return nil
}

// Data implements relay.Sink. It is given whole events.
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
			collector.text = append(collector.text, bytes.Clone(value))
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

// output returns the data of all events, one a line.
func (collector *collector) output() []byte {
	_, text := collector.snapshot()
	return bytes.Join(text, []byte("\n"))
}
