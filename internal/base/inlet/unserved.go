package inlet

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// unservedLogPeriod is the least time between two lines on requests that no handler got.
const unservedLogPeriod = time.Second

// markClosed notes that this process closes the connection. It returns why, if part or all
// of a request has arrived which no handler has got and nothing was said of, though its
// caller is still there and hasn't announced the close itself.
func (conn *conn) markClosed() (why string) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	before := conn.phase
	conn.phase = closed
	if before == closed || conn.ended {
		return ""
	}
	if conn.handled || conn.written.Load() {
		if conn.goesOn && conn.end != unknownEnd && conn.arrived() > conn.end {
			return whyUnserved
		}
		return ""
	}
	n, err := conn.peek()
	waiting := errors.Is(err, syscall.EAGAIN)
	switch {
	case err != nil && !waiting, err == nil && n == 0, before != busy && waiting:
		return ""
	case conn.timedOut:
		return whyHeaderTime
	}
	return whyUnserved
}

// noteUnserved counts a request that no handler got, and logs it unless another one was
// logged just before.
func (server *Server) noteUnserved(conn *conn, why string) {
	countUnanswered(why, 1)
	now := server.clock.Now()
	server.mutex.Lock()
	due := now.Sub(server.unservedAt) >= unservedLogPeriod
	server.unlogged++
	since := server.unlogged
	if due {
		server.unservedAt, server.unlogged = now, 0
	}
	server.mutex.Unlock()
	if due {
		klog.InfoS("request without a whole answer", "why", why, "caller", conn.RemoteAddr().String(), "begun", false, "server", server.name, "count", since)
	}
}
