package relay

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// scanner cuts a stream of server-sent events at their ends and follows their
// numbers. Without hold, bytes are passed on before their event is whole.
type scanner struct {
	hold bool
	rest []byte
	// last is the number of the last whole event.
	last int64
}

func newScanner(hold bool, after int64) *scanner {
	return &scanner{hold: hold, last: after}
}

// add takes bytes of the stream and returns those to pass on. They are valid
// until the next call.
func (scanner *scanner) add(data []byte) ([]byte, error) {
	whole := scanner.rest
	scanner.rest = append(scanner.rest, data...)
	all := scanner.rest
	end := bytes.LastIndex(all, []byte("\n\n"))
	if end < 0 {
		if len(all) > maxEvent {
			return nil, errors.Errorf("an event is larger than %d bytes", maxEvent)
		}
		if scanner.hold {
			return nil, nil
		}
		return all[len(whole):], nil
	}
	end += len("\n\n")
	if err := scanner.follow(all[:end]); err != nil {
		return nil, err
	}
	ready := all[:end]
	if !scanner.hold {
		ready = all[len(whole):]
	}
	scanner.rest = append([]byte(nil), all[end:]...)
	return ready, nil
}

// follow checks the numbers of whole events: each is one above the last.
func (scanner *scanner) follow(events []byte) error {
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return errors.Wrap(err, "an event's number")
		}
		if scanner.hold && number != scanner.last+1 {
			return errors.Errorf("event %d follows event %d", number, scanner.last)
		}
		scanner.last = number
	}
	return nil
}

// partial reports whether an event has begun and not ended.
func (scanner *scanner) partial() bool {
	return len(bytes.TrimSpace(scanner.rest)) > 0
}
