package conns

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of a response, and all informational responses
	// (1xx) before it, of which there are at most maxInformational. A faulty target
	// may send either without end.
	maxHeadBytes     = 64 << 10
	maxInformational = 8
)

// errHeadTooLarge is the error of reading beyond maxHeadBytes.
var errHeadTooLarge = errors.Errorf("the head of the response is larger than %d bytes", maxHeadBytes)

// conn is a connection, used by one exchange at a time.
type conn struct {
	net.Conn
	address netip.AddrPort
	source  *headLimiter
	reader  *bufio.Reader
	// idleTimeout is how long the target keeps the connection open while idle;
	// idleSince is when it became idle.
	idleTimeout time.Duration
	idleSince   time.Time
	// generation is that of the address when the connection was made.
	generation int
	history    history
	// used is true once a request has been sent.
	used bool
}

// headLimiter reads from a connection and bounds what is read of a head.
type headLimiter struct {
	raw net.Conn
	// inHead is true while a head is read, of which left bytes may still come.
	inHead bool
	left   int
	// received is the number of bytes that were read in heads during the exchange.
	received int
}

// Read implements io.Reader.
func (limiter *headLimiter) Read(data []byte) (n int, err error) {
	if !limiter.inHead {
		return limiter.raw.Read(data)
	}
	if limiter.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = limiter.raw.Read(data[:min(len(data), limiter.left)])
	limiter.left -= n
	limiter.received += n
	return n, err
}

// closedByPeer reports whether an exchange failed because the peer closed or reset the
// connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// quiet reports whether the connection is open and has no unread data.
func (conn *conn) quiet() bool {
	_, err := conn.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// unsolicited reports whether the connection has unread data.
func (conn *conn) unsolicited() bool {
	n, err := conn.peek()
	return err == nil && n > 0
}

// peek returns how much of one byte could be read without waiting: none, without an error, if
// the peer has closed the connection.
func (conn *conn) peek() (n int, err error) {
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	readErr := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if readErr != nil {
		return 0, readErr
	}
	return n, err
}
