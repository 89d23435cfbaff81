package proxy

import (
	"io"
	"net"
	"net/textproto"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// countBroken counts an answer that isn't one, or not a whole one.
func countBroken(reason string) {
	metrics.GetOrCreateCounter(`agatestage_target_broken_answers_total{reason="` + reason + `"}`).Inc()
}

// maxInformational bounds the informational answers before an answer. net/http leaves that to
// whoever is told of them.
const maxInformational = 8

// newInformationalCheck returns a function that fails a call whose target sends too many
// informational answers, or one with a body, which net/http would read as the head of the
// answer. It is called for one answer after the other.
func newInformationalCheck() func(status int, header textproto.MIMEHeader) error {
	count := 0
	return func(_ int, header textproto.MIMEHeader) error {
		if count++; count > maxInformational {
			return errors.Errorf("more than %d informational answers arrived", maxInformational)
		}
		// The first chunk of a chunked body doesn't read like a head, which fails the call.
		for _, length := range header["Content-Length"] {
			if length != "0" {
				countBroken("informational")
				return errors.New("an informational answer has a body")
			}
		}
		return nil
	}
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// countedConn is a connection that counts the bytes of the body of its only request.
type countedConn struct {
	net.Conn
	mutex sync.Mutex
	// matched is how much of headEnd the last bytes written match; all of it once the head has
	// been written.
	matched int
	body    int
}

// Write implements net.Conn.
func (countedConn *countedConn) Write(data []byte) (n int, err error) {
	countedConn.mutex.Lock()
	defer countedConn.mutex.Unlock()
	n, err = countedConn.Conn.Write(data)
	countedConn.count(data[:n])
	return n, err
}

// count counts the bytes after the head.
func (countedConn *countedConn) count(data []byte) {
	for i, char := range data {
		switch {
		case countedConn.matched == len(headEnd):
			countedConn.body += len(data) - i
			return
		case char == headEnd[countedConn.matched]:
			countedConn.matched++
		case char == headEnd[0]:
			countedConn.matched = 1
		default:
			countedConn.matched = 0
		}
	}
}

// endWrite ends the writing of the request, and returns the number of bytes of its body that
// were written. The deadline ends a write that waits for a target that reads no more. It
// doesn't end one whose bytes have all been taken, as a target that has read the request
// implies, though its goroutine may not have run since.
func (countedConn *countedConn) endWrite() int {
	_ = countedConn.SetWriteDeadline(time.Unix(1, 0))
	countedConn.mutex.Lock()
	defer countedConn.mutex.Unlock()
	if countedConn.matched < len(headEnd) {
		return -1
	}
	return countedConn.body
}

// unframedBody is a body without a length, which is complete only if the whole call was sent: a
// reset is reported to either the reader or the writer of a connection, and the other one sees
// a proper end.
type unframedBody struct {
	io.ReadCloser
	conn *countedConn
	size int
}

// Read implements io.Reader.
func (unframedBody *unframedBody) Read(data []byte) (n int, err error) {
	n, err = unframedBody.ReadCloser.Read(data)
	if err == io.EOF && unframedBody.conn.endWrite() != unframedBody.size {
		countBroken("unfinished")
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
