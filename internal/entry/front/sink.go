package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/entry/reply"
)

// writeTimeout bounds the write of one part of an answer to the caller.
const writeTimeout = 30 * time.Second

// sink writes an answer to a caller and flushes each part.
type sink struct {
	writer      http.ResponseWriter
	controller  *http.ResponseController
	clock       agatestage.Clock
	eventStream bool
	// firstByteAt is the time of the first write of the answer's body.
	firstByteAt time.Time
}

func newSink(writer http.ResponseWriter, clock agatestage.Clock) *sink {
	return &sink{writer: writer, controller: http.NewResponseController(writer), clock: clock}
}

// Head implements relay.Sink.
func (sink *sink) Head(status int, header http.Header) error {
	responseHeader := sink.writer.Header()
	for name, values := range header {
		responseHeader[name] = values
	}
	for _, name := range hopByHopHeaders {
		if name != "Content-Length" {
			responseHeader.Del(name)
		}
	}
	responseHeader.Del("Set-Cookie")
	sink.eventStream = strings.HasPrefix(responseHeader.Get("Content-Type"), "text/event-stream")
	sink.writer.WriteHeader(status)
	return nil
}

// Data implements relay.Sink.
func (sink *sink) Data(data []byte) error {
	if sink.firstByteAt.IsZero() {
		sink.firstByteAt = sink.clock.Now()
	}
	// Writers in tests may not support deadlines; writes then have none.
	_ = sink.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := sink.writer.Write(data); err != nil {
		return err
	}
	return sink.controller.Flush()
}

// abort ends an answer that can't be completed in a way that the caller can
// detect: an event stream gets an error event and no end marker, and the connection
// is closed before the answer is complete.
func (sink *sink) abort(err error) {
	if sink.eventStream {
		// Encoding a Problem can't fail.
		data, _ := json.Marshal(reply.NewProblem(reply.AsRefusal(err)))
		_, _ = fmt.Fprintf(sink.writer, "data: %s\n\n", data)
		_ = sink.controller.Flush()
	}
	panic(http.ErrAbortHandler)
}
