package inlet

import (
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// forever is a time that doesn't pass.
const forever time.Duration = math.MaxInt64

// phase is what a connection is used for.
type phase int

const (
	// fresh: nothing has been read yet.
	fresh phase = iota
	// busy: part of a request has been read, which isn't answered yet.
	busy
	// answered: the answer has been sent, and the server hasn't read on yet.
	answered
	// idle: the server waits for the next request.
	idle
	// closed: this process has closed it; nothing more is read from it.
	closed
)

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	raw    syscall.RawConn
	server *Server
	pipeline
	// mutex is held while data are taken from the socket, so that no close comes
	// between the data and their note in phase.
	mutex sync.Mutex
	phase phase
	// buffer is the size of the http.Server's buffer. Less of it is left to be read into
	// while part of the next request is in it.
	buffer int
	// since is when the connection was accepted or became idle.
	since time.Time
	// unfinished is true while an answer is written whose end is the connection's end.
	unfinished atomic.Bool
	// unsent is true during a write and after one that failed. Its handler may have returned.
	unsent atomic.Bool
	// ended is true if the caller has closed or reset the connection.
	ended bool
	// handled is true once a handler has got the request that is being read or answered, and
	// timedOut once no more of it came in time.
	handled, timedOut bool
	// goesOn is true if the caller of that request hasn't announced the connection's end.
	goesOn bool
	// written is true once something was sent since the last whole answer. While no handler
	// has the request, that is http.Server's own refusal of it.
	written atomic.Bool
	// overdue is how much may be read after the read deadline has passed, or noneFound.
	overdue atomic.Int64
	held
}

// read reads what has arrived, or waits for it.
func (conn *conn) read(data []byte) (n int, err error) {
	rawErr := conn.raw.Read(func(fd uintptr) (done bool) {
		n, err, done = conn.take(int(fd), data, len(data))
		return done
	})
	if errors.Is(rawErr, os.ErrDeadlineExceeded) {
		if n = conn.takeOverdue(data); n > 0 {
			return n, nil
		}
		conn.mutex.Lock()
		conn.timedOut = true
		conn.mutex.Unlock()
	}
	if err == io.EOF {
		return 0, io.EOF
	}
	if rawErr != nil {
		err = rawErr
	}
	if err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: err}
	}
	return n, nil
}

// take reads what has arrived, up to a limit. It isn't done if there is nothing yet and more
// may come.
func (conn *conn) take(fd int, data []byte, limit int) (n int, err error, done bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == closed {
		return 0, net.ErrClosed, true
	}
	if conn.phase == fresh {
		conn.buffer = len(data)
	}
	n, err = ignoringEINTR(func() (int, error) { return syscall.Read(fd, data[:limit]) })
	switch {
	case errors.Is(err, syscall.EAGAIN):
		switch {
		case conn.phase != answered:
		case len(data) >= conn.buffer:
			conn.phase, conn.since = idle, conn.server.clock.Now()
		default:
			conn.beginRequest(len(data))
		}
		return 0, nil, false
	case err != nil:
		conn.ended = true
		return 0, os.NewSyscallError("read", err), true
	case n == 0 && len(data) > 0:
		conn.ended = true
		return 0, io.EOF, true
	}
	conn.beginRequest(len(data))
	conn.add(data[:n])
	conn.countHead(data[:n])
	return n, nil, true
}

// beginRequest notes that part of a request has been read, and limits the time for the rest
// of its header. Size is how much http.Server reads at most. The mutex must be held.
func (conn *conn) beginRequest(size int) {
	if conn.phase != busy {
		conn.begin(size >= conn.buffer, size == conn.buffer-1)
	}
	if limit := conn.server.http.ReadHeaderTimeout; limit > 0 && (conn.phase == idle || conn.phase == answered) {
		// http.Server sets its limit only once it has read four bytes.
		_ = conn.SetReadDeadline(time.Now().Add(limit))
	}
	conn.phase = busy
}

// endedByCaller reports whether the caller has closed or reset the connection.
func (conn *conn) endedByCaller() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.ended
}

// closeIdle closes the connection if it has been idle for longer than idleLimit, or new
// for longer than freshLimit, and nothing of a request has arrived.
func (conn *conn) closeIdle(idleLimit, freshLimit time.Duration) {
	if conn.retire(idleLimit, freshLimit) {
		_ = conn.Close()
	}
}

// retire ends the reading of a connection that is to be closed. The close itself waits
// until Read has returned, which may need the mutex.
func (conn *conn) retire(idleLimit, freshLimit time.Duration) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	passed := conn.server.clock.Since(conn.since)
	expired := conn.phase == idle && passed >= idleLimit || conn.phase == fresh && passed >= freshLimit
	if !expired || !conn.quiet() {
		return false
	}
	conn.phase = closed
	return true
}

// quiet reports whether nothing of a request has arrived.
func (conn *conn) quiet() bool {
	n, err := conn.peek()
	return err != nil || n == 0
}

// peek returns the number of bytes that can be read at once, at most one. Zero means that
// the caller has closed its end.
func (conn *conn) peek() (n int, err error) {
	var one [1]byte
	if controlErr := conn.raw.Control(func(fd uintptr) {
		n, err = ignoringEINTR(func() (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	}); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// Close implements net.Conn. It resets a connection whose answer isn't finished.
func (conn *conn) Close() error {
	conn.mutex.Lock()
	abandoned := conn.phase == idle && conn.server.clock.Since(conn.since) >= unreadTime
	conn.mutex.Unlock()
	if why := conn.markClosed(); why != "" && !conn.server.cutOff.Load() {
		conn.server.noteUnserved(conn, why)
	}
	if abandoned {
		conn.resetUnread()
	}
	if conn.unfinished.Load() || conn.unsent.Load() {
		_ = conn.SetLinger(0)
	}
	conn.server.mutex.Lock()
	delete(conn.server.conns, conn)
	conn.server.mutex.Unlock()
	if conn.closeHold() {
		return nil
	}
	return conn.TCPConn.Close()
}

// trackState implements http.Server.ConnState. An answer has been sent when its
// connection becomes idle for the http.Server. The next request may have been read
// before that.
func trackState(raw net.Conn, state http.ConnState) {
	conn, ok := raw.(*conn)
	if !ok {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case state == http.StateIdle && conn.phase == busy:
		conn.phase, conn.handled, conn.timedOut = answered, false, false
		conn.written.Store(false)
		conn.nextHold()
	case state == http.StateActive && conn.phase != closed:
		if conn.phase != busy {
			conn.begin(false, false)
		}
		conn.phase = busy
	}
}

func ignoringEINTR(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
