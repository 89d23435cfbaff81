package inlet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage/internal/base/intake"
)

const (
	// headSlack is how much of a connection is read beyond a head of the largest size: the
	// buffer of http.Server.
	headSlack = 4 << 10
	// headByteCost and headLineCost are what a byte and a line of a head count for in memory.
	// A line is an entry of a map, however short it is.
	headByteCost, headLineCost = 2, 160
	// refusalTime bounds the write of a refusal by the server itself.
	refusalTime = 100 * time.Millisecond
	// lingerTime is how long the connection of a refused request stays half open, so that its
	// caller can read the refusal, and maxLingering how many of them do.
	lingerTime   = 500 * time.Millisecond
	maxLingering = 64
	// arrivalTime is how long the end of a response may take to reach its caller.
	arrivalTime = time.Second
	// refusalRetryAfter is the Retry-After of a refusal for memory, in seconds.
	refusalRetryAfter = 1
)

// errDropped is the error of a read on a connection that was dropped.
var errDropped = errors.Wrap(intake.ErrShort, "the connection was dropped")

// limits are those of a server on what its clients may take. Its zero value has none.
type limits struct {
	pool *intake.Pool
	// headLimit is the size of a head in bytes; zero means that only http.Server's own limit holds.
	headLimit atomic.Int64
	lingering atomic.Int64
	// bodySilence is how long the caller of a body may send nothing of it; zero means without limit.
	bodySilence time.Duration
}

// WithIntake sets the pool that bounds what the clients of the process may take.
func WithIntake(pool *intake.Pool) Option {
	return func(server *Server) { server.pool = pool }
}

// WithBodySilence sets how long the caller of a body that ReadBody reads may send nothing of it. The
// limit for idle connections holds instead if it is longer.
func WithBodySilence(limit time.Duration) Option {
	return func(server *Server) { server.bodySilence = limit }
}

// SetHeadLimit sets how large the head of a request may be; zero means that only http.Server's
// own limit holds. Heads that are larger by less than headSlack reach the handler.
func (server *Server) SetHeadLimit(bytes int) { server.headLimit.Store(int64(bytes)) }

// held is what a connection has of the pool.
type held struct {
	hold *intake.Hold
	// headBytes is how much of the current head has been read. The connection's mutex must be held.
	headBytes int64
	// headCost is what was read of a head and isn't counted in the pool yet.
	headCost int64
	dropped  atomic.Bool
	// answering is true while an answer is written that may be dropped.
	answering atomic.Bool
	// measured is true if what the kernel keeps of it is to be counted afterwards.
	measured bool
	// refused is true once a request was refused of which more may arrive.
	refused atomic.Bool
	// wide is true while the connection has the wide receive buffer.
	wide bool
	// unreadBefore is what the caller of the idle connection hadn't received at stalledAt, when it
	// last received anything. The connection's mutex must be held.
	unreadBefore int
	stalledAt    time.Time
}

// openHold returns whether there is room for the connection.
func (conn *conn) openHold() (ok bool) {
	pool := conn.server.pool
	if pool == nil {
		return true
	}
	// The address of a TCP connection is a TCP address.
	address, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	if conn.hold, ok = pool.Open(address.Addr().Unmap(), conn.drop); ok {
		conn.hold.SetSockets(conn.queued)
	}
	return ok
}

// drop makes the reader of the connection end, and closes it at once if no part of a request has
// been read.
func (conn *conn) drop() {
	conn.dropped.Store(true)
	conn.keepDropped()
	conn.mutex.Lock()
	quiet := conn.phase == idle || conn.phase == fresh
	idleFor := conn.server.clock.Since(conn.since)
	if quiet {
		conn.phase = closed
	}
	conn.mutex.Unlock()
	if !quiet {
		return
	}
	// The end of a usual response is still on its way to a caller that was just answered.
	if idleFor >= arrivalTime || conn.unread() > conn.server.pool.Sizes().ReceiveBuffer() {
		conn.resetUnread()
	}
	_ = conn.TCPConn.Close()
}

// keepDropped ends the wait of a reader whose connection was dropped, whatever deadline has
// been set since.
func (conn *conn) keepDropped() {
	if conn.dropped.Load() {
		_ = conn.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// nextHold notes that an answer has been sent. The connection's mutex must be held.
func (conn *conn) nextHold() {
	conn.headBytes, conn.headCost = 0, 0
	conn.unreadBefore, conn.stalledAt = 0, time.Time{}
	conn.answering.Store(false)
	if conn.hold == nil {
		return
	}
	conn.narrow()
	if conn.measured {
		conn.measured = false
		conn.hold.NextWithSockets()
	} else {
		conn.hold.Next()
	}
}

// closeHold gives back what the connection has of the pool. It returns true if the connection
// stays half open for a moment.
func (conn *conn) closeHold() (lingers bool) {
	if conn.hold != nil {
		conn.hold.Close()
	}
	if !conn.refused.Load() || conn.unsent.Load() || conn.unfinished.Load() || conn.TCPConn.CloseWrite() != nil {
		return false
	}
	server := conn.server
	if server.stopping.Load() || server.lingering.Add(1) > maxLingering {
		server.lingering.Add(-1)
		return false
	}
	time.AfterFunc(lingerTime, func() {
		_ = conn.TCPConn.Close()
		server.lingering.Add(-1)
	})
	return true
}

// countHead counts what was read of a head. The connection's mutex must be held.
func (conn *conn) countHead(data []byte) {
	if conn.handled {
		return
	}
	conn.headBytes += int64(len(data))
	conn.headCost += headByteCost*int64(len(data)) + headLineCost*int64(bytes.Count(data, []byte{'\n'}))
}

// Read implements net.Conn. What is read of a head is counted before it is parsed.
func (conn *conn) Read(data []byte) (n int, err error) {
	if conn.dropped.Load() {
		return 0, conn.refuseDropped()
	}
	if conn.headOver() {
		if conn.server.pool != nil {
			conn.server.pool.CountHead()
		}
		return 0, conn.refuse(http.StatusRequestHeaderFieldsTooLarge, "")
	}
	n, err = conn.read(data)
	switch {
	case err != nil && conn.dropped.Load():
		return 0, conn.refuseDropped()
	case err != nil || conn.hold == nil:
		return n, err
	}
	conn.mutex.Lock()
	cost := conn.headCost
	conn.headCost = 0
	conn.mutex.Unlock()
	if cost > 0 && conn.hold.Grow(context.Background(), cost) != nil {
		return 0, conn.refuseDropped()
	}
	return n, nil
}

// headOver reports whether more of a head has been read than one may have.
func (conn *conn) headOver() bool {
	limit := conn.server.headLimit.Load()
	if limit <= 0 {
		return false
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return !conn.handled && conn.headBytes >= limit+headSlack
}

// refuseDropped returns the error of a read for which the memory is lacking. It answers a
// request whose head is incomplete itself; the handler answers one whose body is.
func (conn *conn) refuseDropped() error {
	conn.mutex.Lock()
	handled, begun := conn.handled, conn.phase == busy
	conn.mutex.Unlock()
	switch {
	case handled:
		return errDropped
	case !begun:
		return io.EOF
	}
	return conn.refuse(http.StatusServiceUnavailable, "Retry-After: "+strconv.Itoa(refusalRetryAfter)+"\r\n")
}

// refuse answers a request whose head hasn't been read whole. It returns the error that makes
// http.Server close the connection without an answer of its own.
func (conn *conn) refuse(status int, lines string) error {
	if conn.refused.Swap(true) {
		return io.EOF
	}
	conn.written.Store(true)
	text := strconv.Itoa(status) + " " + http.StatusText(status)
	_ = conn.TCPConn.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = io.WriteString(conn.TCPConn, "HTTP/1.1 "+text+"\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "+
		strconv.Itoa(len(text))+"\r\nConnection: close\r\n"+lines+"\r\n"+text)
	return io.EOF
}
