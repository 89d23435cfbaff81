package exec

import (
	"net/http"
	"strings"
)

// streamEnd finds out whether a stream of server-sent events ends within an event, which shows
// that it was broken off however its bytes are framed. Other answers never do.
type streamEnd struct {
	events bool
	// line is true if the current line has begun, event if the current event has.
	line, event bool
}

// newStreamEnd returns the state before the first byte of an answer with the head.
func newStreamEnd(status int, header http.Header) *streamEnd {
	return &streamEnd{events: status == http.StatusOK && strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")}
}

// add adds bytes of the answer. An empty line ends an event.
func (streamEnd *streamEnd) add(data []byte) {
	if !streamEnd.events {
		return
	}
	for _, char := range data {
		switch char {
		case '\n':
			streamEnd.event = streamEnd.event && streamEnd.line
			streamEnd.line = false
		case '\r', ' ', '\t':
		default:
			streamEnd.line, streamEnd.event = true, true
		}
	}
}

// partial reports whether the answer ends within an event if it ends here.
func (streamEnd *streamEnd) partial() bool { return streamEnd.event }
