package inlet

import "time"

const (
	// defaultWriteTimeout bounds how long a caller may take to read writeChunk bytes. Callers
	// give a stream up after a gap of some seconds.
	defaultWriteTimeout = 10 * time.Second
	// writeChunk is how much of an answer is written at a time, so that a slow caller that
	// reads on isn't cut off within a large one.
	writeChunk = 64 << 10
)

// Option configures a Server.
type Option func(*Server)

// WithWriteTimeout sets how long a caller may take to read a part of an answer.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(server *Server) { server.writeTimeout = timeout }
}

// Write implements net.Conn. It fails if the caller doesn't read: its handler would
// otherwise hold its target's slot for as long as the connection lives.
func (conn *conn) Write(data []byte) (n int, err error) {
	conn.written.Store(true)
	for {
		// An error means that the connection is closed, which the write reports, too.
		_ = conn.SetWriteDeadline(time.Now().Add(conn.server.writeTimeout))
		var written int
		written, err = conn.TCPConn.Write(data[n:min(len(data), n+writeChunk)])
		if n += written; err != nil || n == len(data) {
			return n, err
		}
	}
}
