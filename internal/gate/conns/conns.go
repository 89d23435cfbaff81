// Package conns speaks HTTP/1.1 to targets on kept connections and tells
// exactly what a failed exchange proves.
//
// An exchange fails either before the target can have seen the request
// (NotSent), or after (Broken). A connection is kept only if its last answer
// ended properly, nothing followed it, and the whole request was read. Before it
// is used again it is checked for a close or for bytes that nobody asked for.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

const (
	// dialTimeout bounds a new connection: a round trip between regions takes
	// 60 ms, and a lost opening packet isn't worth the second until it is sent
	// again.
	dialTimeout = 300 * time.Millisecond
	// defaultKeep is how long an idle connection is used when the target doesn't
	// say for how long it keeps it.
	defaultKeep = time.Second
	// keepFraction is the part of the target's own idle time that is relied on,
	// and sureFraction the part within which a close can hardly cross a request.
	keepFraction = 0.7
	sureFraction = 0.4
	// maxIdle bounds the idle connections to one target.
	maxIdle = 32
	// userTimeout makes the kernel give up a connection whose peer doesn't
	// acknowledge what was sent.
	userTimeout = 4 * time.Second
	// bodyInline is the size up to which a body is written before the answer
	// is read; larger ones are written beside it.
	bodyInline = 16 << 10
	readBuffer = 4 << 10
	// maxSkipped bounds the answers to other calls that are skipped in one
	// exchange, and skippedBytes the size of each.
	maxSkipped   = 3
	skippedBytes = 1 << 20
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// NotSent is the error of an exchange that can't have reached the target.
type NotSent struct{ Cause error }

// Error implements error.
func (notSent *NotSent) Error() string { return "not sent: " + notSent.Cause.Error() }

// Unwrap returns the cause.
func (notSent *NotSent) Unwrap() error { return notSent.Cause }

// Broken is the error of an exchange that may have reached the target.
type Broken struct{ Cause error }

// Error implements error.
func (broken *Broken) Error() string { return "broken off: " + broken.Cause.Error() }

// Unwrap returns the cause.
func (broken *Broken) Unwrap() error { return broken.Cause }

// Request is what one exchange sends.
type Request struct {
	Method string
	Host   string
	// URI is the request target as the caller wrote it.
	URI    string
	Header http.Header
	Body   []byte
	// Sure requests must not meet a connection that the target is about to
	// close.
	Sure bool
	// Foreign reports whether an answer belongs to another request.
	Foreign func(status int, header http.Header) bool
}

// Answer is the beginning of a target's answer. Close ends the exchange; it
// keeps the connection if the body was read to its proper end.
type Answer struct {
	Status int
	Header http.Header

	pool     *Pool
	conn     *conn
	response *http.Response
	written  chan error
	whole    bool
	stop     func() bool
	once     sync.Once
}

// Pool holds the idle connections to all targets.
type Pool struct {
	clock agatestage.Clock
	mutex sync.Mutex
	idle  map[netip.AddrPort][]*conn
}

// conn is one connection, used by one exchange at a time.
type conn struct {
	net.Conn
	address netip.AddrPort
	reader  *bufio.Reader
	// keep is how long the target keeps it idle; since is when it became so.
	keep  time.Duration
	since time.Time
}

// New returns an empty pool.
func New(clock agatestage.Clock) *Pool {
	return &Pool{clock: clock, idle: make(map[netip.AddrPort][]*conn)}
}

// Forget closes the idle connections to a target that has gone.
func (pool *Pool) Forget(address netip.AddrPort) {
	pool.mutex.Lock()
	conns := pool.idle[address]
	delete(pool.idle, address)
	pool.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Sweep closes the connections that have been idle for too long.
func (pool *Pool) Sweep() {
	pool.mutex.Lock()
	var old []*conn
	for address, conns := range pool.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if pool.usable(conn, keepFraction) {
				kept = append(kept, conn)
			} else {
				old = append(old, conn)
			}
		}
		if pool.idle[address] = kept; len(kept) == 0 {
			delete(pool.idle, address)
		}
	}
	pool.mutex.Unlock()
	for _, conn := range old {
		_ = conn.Close()
	}
}

func (pool *Pool) usable(conn *conn, fraction float64) bool {
	return pool.clock.Since(conn.since) < time.Duration(float64(conn.keep)*fraction)
}

// take returns the idle connection that was used last, if it is still good.
func (pool *Pool) take(address netip.AddrPort, sure bool) *conn {
	fraction := keepFraction
	if sure {
		fraction = sureFraction
	}
	for {
		pool.mutex.Lock()
		conns := pool.idle[address]
		if len(conns) == 0 {
			pool.mutex.Unlock()
			return nil
		}
		last := conns[len(conns)-1]
		if !pool.usable(last, fraction) {
			// The others have been idle for longer.
			pool.mutex.Unlock()
			return nil
		}
		pool.idle[address] = conns[:len(conns)-1]
		pool.mutex.Unlock()
		if last.quiet() {
			return last
		}
		_ = last.Close()
	}
}

// quiet reports whether the connection is open and nothing has arrived on it.
func (conn *conn) quiet() bool {
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Dial opens a connection and keeps it, which shows that the target's host
// accepts connections.
func (pool *Pool) Dial(ctx context.Context, address netip.AddrPort) error {
	conn, err := pool.dial(ctx, address)
	if err != nil {
		return err
	}
	pool.put(conn)
	return nil
}

func (pool *Pool) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	raw, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	metrics.GetOrCreateCounter("agatestage_target_connections_total").Inc()
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer), keep: defaultKeep, since: pool.clock.Now()}, nil
}

// put makes a connection idle.
func (pool *Pool) put(conn *conn) {
	conn.since = pool.clock.Now()
	pool.mutex.Lock()
	if len(pool.idle[conn.address]) < maxIdle {
		pool.idle[conn.address] = append(pool.idle[conn.address], conn)
		conn = nil
	}
	pool.mutex.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Do sends the request and returns the beginning of the answer. The exchange
// ends with ctx. The error is a *NotSent or a *Broken.
func (pool *Pool) Do(ctx context.Context, address netip.AddrPort, request *Request) (*Answer, error) {
	conn := pool.take(address, request.Sure)
	if conn == nil {
		var err error
		if conn, err = pool.dial(ctx, address); err != nil {
			return nil, &NotSent{Cause: err}
		}
	}
	answer := &Answer{pool: pool, conn: conn}
	answer.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if ctx.Err() != nil {
		answer.Abort()
		return nil, &NotSent{Cause: ctx.Err()}
	}
	if err := answer.exchange(request); err != nil {
		answer.Abort()
		return nil, &Broken{Cause: err}
	}
	return answer, nil
}

// exchange writes the request and reads the head of its answer.
func (answer *Answer) exchange(request *Request) error {
	httpRequest := &http.Request{
		Method: request.Method, URL: &url.URL{Opaque: request.URI}, Host: request.Host, Header: request.Header,
		ContentLength: int64(len(request.Body)), Body: io.NopCloser(bytes.NewReader(request.Body)),
	}
	if len(request.Body) == 0 {
		httpRequest.Body = http.NoBody
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		// An empty value keeps the library from adding its own.
		request.Header["User-Agent"] = []string{""}
	}
	answer.written = make(chan error, 1)
	write := func() {
		writer := bufio.NewWriterSize(answer.conn, readBuffer)
		err := httpRequest.Write(writer)
		if err == nil {
			err = writer.Flush()
		}
		answer.written <- err
	}
	if len(request.Body) > bodyInline {
		go write()
	} else {
		write()
	}
	for range maxSkipped {
		if err := answer.readHead(httpRequest); err != nil {
			return err
		}
		if request.Foreign == nil || !request.Foreign(answer.Status, answer.Header) {
			return nil
		}
		metrics.GetOrCreateCounter("agatestage_target_foreign_answers_total").Inc()
		if n, err := io.Copy(io.Discard, io.LimitReader(answer.response.Body, skippedBytes)); err != nil || n == skippedBytes || answer.response.Close {
			return errors.New("the connection ended with the answer to another request")
		}
	}
	return errors.New("only answers to other requests arrived")
}

// readHead reads the head of the next answer that isn't informational.
func (answer *Answer) readHead(request *http.Request) error {
	for {
		response, err := http.ReadResponse(answer.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			answer.response = response
			answer.Status, answer.Header = response.StatusCode, response.Header
			return nil
		}
	}
}

// Read reads the body. It returns io.EOF at its proper end only.
func (answer *Answer) Read(data []byte) (n int, err error) {
	n, err = answer.response.Body.Read(data)
	if err == io.EOF {
		answer.whole = true
	}
	return n, err
}

// Close ends the exchange and keeps the connection if that is safe.
func (answer *Answer) Close() {
	answer.once.Do(func() {
		if !answer.stop() || !answer.reusable() {
			_ = answer.conn.Close()
			return
		}
		if keep := keepAlive(answer.Header); keep > 0 {
			answer.conn.keep = keep
		}
		answer.pool.put(answer.conn)
	})
}

// Abort ends the exchange and its connection.
func (answer *Answer) Abort() {
	answer.once.Do(func() {
		answer.stop()
		_ = answer.conn.Close()
	})
}

// reusable reports whether another request may follow on the connection.
func (answer *Answer) reusable() bool {
	if !answer.whole || answer.response.Close || answer.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-answer.written:
		return err == nil
	default:
		return false
	}
}

// keepAlive returns how long the target keeps an idle connection, if it says.
func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
