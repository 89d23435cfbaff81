package inlet

import (
	"math"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// defaultWriteTimeout bounds how long a caller may read nothing of what waits for it.
	// Callers give a stream up after a gap of some seconds.
	defaultWriteTimeout = 10 * time.Second
	// writeChunk is how much of an answer is written at a time.
	writeChunk = 64 << 10
	// writeChecks is how often within its time a caller is checked that holds a write up.
	writeChecks = 4
)

// Option configures a Server.
type Option func(*Server)

// WithWriteTimeout sets how long a caller may read nothing of what waits for it.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(server *Server) { server.writeTimeout = timeout }
}

// Write implements net.Conn. It fails if the caller doesn't read: its handler would
// otherwise hold its target's slot for as long as the connection lives. A caller may read
// on while the kernel takes nothing more, which it does only once a third of its buffer is
// free.
func (conn *conn) Write(data []byte) (n int, err error) {
	conn.written.Store(true)
	conn.unsent.Store(true)
	before, stalled := math.MaxInt, 0
	for {
		if conn.answering.Load() && conn.dropped.Load() {
			return n, errDropped
		}
		// An error means that the connection is closed, which the write reports, too.
		_ = conn.SetWriteDeadline(time.Now().Add(conn.server.writeTimeout / writeChecks))
		var written int
		written, err = conn.TCPConn.Write(data[n:min(len(data), n+writeChunk)])
		if n += written; n == len(data) {
			conn.unsent.Store(false)
			return n, err
		}
		if err == nil {
			stalled = 0
			continue
		}
		unread := conn.unread()
		if stalled++; written > 0 || unread < before {
			stalled = 0
		}
		if before = unread; stalled == writeChecks || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// unread returns how much of what was written the caller's host hasn't acknowledged.
func (conn *conn) unread() (size int) {
	if err := conn.raw.Control(func(fd uintptr) {
		size, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	}); err != nil {
		return math.MaxInt
	}
	return size
}
