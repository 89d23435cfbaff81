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
)

// Option configures a Server.
type Option func(*Server)

// WithWriteTimeout sets how long a caller may read nothing of what waits for it.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(server *Server) { server.writeTimeout = timeout }
}

// Write implements net.Conn. It fails if the caller doesn't read: its handler would
// otherwise hold its target's slot for as long as the connection lives.
func (conn *conn) Write(data []byte) (n int, err error) {
	conn.written.Store(true)
	unread := math.MaxInt
	for {
		// An error means that the connection is closed, which the write reports, too.
		_ = conn.SetWriteDeadline(time.Now().Add(conn.server.writeTimeout))
		var written int
		written, err = conn.TCPConn.Write(data[n:min(len(data), n+writeChunk)])
		switch n += written; {
		case n == len(data), err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case written > 0:
			unread = math.MaxInt
			continue
		}
		// The kernel takes no more until a third of its buffer is free, and this process may
		// have stood still, so that one exceeded deadline says nothing about the caller.
		before := unread
		if unread = conn.unread(); unread > 0 && unread >= before {
			return n, err
		}
	}
}

// unread returns how much of what was written has not been acknowledged by the caller's host.
func (conn *conn) unread() (size int) {
	if err := conn.raw.Control(func(fd uintptr) {
		size, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	}); err != nil {
		return math.MaxInt
	}
	return size
}
