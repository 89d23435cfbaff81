package front

import (
	"net/http"
	"time"

	"github.com/agatestage/agatestage"
)

// sink writes an answer to a caller and flushes each part.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	clock      agatestage.Clock
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
	sink.writer.WriteHeader(status)
	return nil
}

// Data implements relay.Sink.
func (sink *sink) Data(data []byte) error {
	if sink.firstByteAt.IsZero() {
		sink.firstByteAt = sink.clock.Now()
	}
	if _, err := sink.writer.Write(data); err != nil {
		return err
	}
	return sink.controller.Flush()
}

// abort closes the connection before the answer is complete, so that the caller doesn't
// take it for complete. Nothing may be added to it: a stream may have been broken off
// within an event.
func (*sink) abort() {
	panic(http.ErrAbortHandler)
}
