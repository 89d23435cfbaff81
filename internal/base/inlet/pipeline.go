package inlet

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// pipeline tells whether more than the current request has arrived on a connection. It
// counts the bytes that http.Server has read: how many of them are still in its buffer
// isn't known otherwise. The connection's mutex must be held.
type pipeline struct {
	// total is the number of bytes that were read, headerEnd the one behind the header of the
	// current request, or 0, and end the one behind its body, or unknownEnd.
	total, headerEnd, end int64
	// piped is true if the current request began within bytes that were read before.
	piped bool
	// begun is true within the header, and lineEmpty while nothing of its current line was
	// read.
	begun, lineEmpty bool
	// awaited is what had arrived when a stop first found a request behind another one.
	awaited int64
}

const unknownEnd = -1

// begin notes that http.Server reads the current request's first bytes next. Empty means
// that its buffer is empty, single that it holds one byte.
func (pipeline *pipeline) begin(empty, single bool) {
	single = single && !pipeline.piped && pipeline.end == pipeline.total-1
	pipeline.piped = !empty && !single
	pipeline.headerEnd, pipeline.end, pipeline.begun, pipeline.lineEmpty = 0, unknownEnd, single, false
}

// add notes that bytes were read.
func (pipeline *pipeline) add(data []byte) {
	if !pipeline.piped && pipeline.headerEnd == 0 {
		pipeline.findHeaderEnd(data)
	}
	pipeline.total += int64(len(data))
}

func (pipeline *pipeline) findHeaderEnd(data []byte) {
	for i, char := range data {
		switch char {
		case '\r':
		case '\n':
			if pipeline.begun && pipeline.lineEmpty {
				pipeline.headerEnd = pipeline.total + int64(i) + 1
				return
			}
			pipeline.lineEmpty = true
		default:
			pipeline.begun, pipeline.lineEmpty = true, false
		}
	}
}

// setLength notes the length of the current request's body, which is negative if unknown.
func (pipeline *pipeline) setLength(length int64) {
	if !pipeline.piped && pipeline.headerEnd > 0 && length >= 0 {
		pipeline.end = pipeline.headerEnd + length
	}
}

// markHandled notes that a handler has got the request.
func (conn *conn) markHandled(request *http.Request) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.handled, conn.goesOn = true, !request.Close
	conn.setLength(request.ContentLength)
}

// followed reports whether, in a stop, part of a request has arrived behind the current one.
// It is also true if that isn't known since the current one came behind another one. It is
// false once all is surely answered that had arrived when it was first true: a caller may send
// without end.
func (conn *conn) followed() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	arrived := conn.arrived()
	if !conn.piped && (conn.end == unknownEnd || arrived <= conn.end) {
		return false
	}
	if conn.awaited == 0 {
		conn.awaited = arrived
	}
	// What http.Server holds back is a buffer and one byte at most.
	return conn.total-int64(conn.buffer)-1 < conn.awaited
}

// arrived returns the number of bytes that have arrived in all.
func (conn *conn) arrived() int64 {
	unread := 0
	_ = conn.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	return conn.total + int64(unread)
}
