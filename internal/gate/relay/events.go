package relay

import (
	"bytes"
	"regexp"
	"strconv"

	"github.com/pkg/errors"
)

const maxEventBytes = 1 << 20

// fieldName matches the names of fields, and neither a status line nor JSON.
var fieldName = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// scanner splits a stream of server-sent events after whole events and checks them: a
// faulty target may send a second head or an error text among them. In a resumable
// stream each event's number is one above the previous. In others the numbers increase,
// or no event has one.
type scanner struct {
	resumable bool
	// pending holds what has come, beginning with the whole events that add has returned.
	pending []byte
	whole   int
	// lineStart is where the first incomplete line begins in pending.
	lineStart int
	event     event
	// last is the number of the last complete event, events the number of complete events
	// with data.
	last   int64
	events int
	// numbered and unnumbered are true if an event with or without a number has come.
	numbered, unnumbered bool
}

// event is what the lines of an event hold. One that has no fields consists of comments
// and delays before a reconnection.
type event struct {
	fields, data, numbered bool
	number                 int64
}

func newScanner(resumable bool, after int64) *scanner {
	return &scanner{resumable: resumable, last: after}
}

// add takes bytes of the stream and returns the whole events to forward, also those
// before an error. They are valid until the next call.
func (scanner *scanner) add(data []byte) (events []byte, err error) {
	scanner.drop()
	searched := len(scanner.pending)
	scanner.pending = append(scanner.pending, data...)
	for err == nil {
		end := bytes.IndexByte(scanner.pending[max(scanner.lineStart, searched):], '\n')
		if end < 0 {
			break
		}
		end += max(scanner.lineStart, searched)
		line := bytes.TrimSuffix(scanner.pending[scanner.lineStart:end], []byte("\r"))
		scanner.lineStart = end + 1
		if len(line) > 0 {
			err = scanner.event.addLine(line)
		} else if err = scanner.finishEvent(); err == nil {
			scanner.whole = scanner.lineStart
		}
	}
	if err == nil && scanner.size() > maxEventBytes {
		err = errors.Errorf("an event is larger than %d bytes", maxEventBytes)
	}
	return scanner.pending[:scanner.whole], err
}

// drop removes the whole events, and the buffer with them if it is large.
func (scanner *scanner) drop() {
	if scanner.whole == 0 {
		return
	}
	rest := scanner.pending[scanner.whole:]
	if cap(scanner.pending) > pieceBytes {
		scanner.pending = append([]byte(nil), rest...)
	} else {
		scanner.pending = scanner.pending[:copy(scanner.pending, rest)]
	}
	scanner.lineStart -= scanner.whole
	scanner.whole = 0
}

// size returns how many bytes of an event that isn't whole have come.
func (scanner *scanner) size() int { return len(scanner.pending) - scanner.whole }

// addLine adds a line, which is a comment or a field.
func (event *event) addLine(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "retry":
		return nil
	case "data":
		event.fields, event.data = true, true
		return nil
	case "id":
		if event.numbered {
			return errors.New("an event has two numbers")
		}
		event.fields, event.numbered = true, true
		var err error
		event.number, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return errors.Wrap(err, "an event's number")
	}
	event.fields = true
	if !ok || !fieldName.Match(name) {
		return errors.New("a line of the stream is no field of an event")
	}
	return nil
}

// finishEvent checks the number of a complete event.
func (scanner *scanner) finishEvent() error {
	complete := scanner.event
	scanner.event = event{}
	if !complete.fields {
		return nil
	}
	switch {
	case !complete.numbered && (scanner.resumable || scanner.numbered):
		return errors.Errorf("an event without a number follows event %d", scanner.last)
	case !complete.numbered:
		scanner.unnumbered = true
	case scanner.unnumbered, scanner.resumable && complete.number != scanner.last+1, scanner.numbered && complete.number <= scanner.last:
		return errors.Errorf("event %d follows event %d", complete.number, scanner.last)
	default:
		scanner.numbered, scanner.last = true, complete.number
	}
	if complete.data {
		scanner.events++
	}
	return nil
}

// partial reports whether the stream ends within an event.
func (scanner *scanner) partial() bool {
	return len(bytes.TrimSpace(scanner.pending[scanner.whole:])) > 0
}
