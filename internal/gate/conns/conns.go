// Package conns is an HTTP/1.1 client for targets with persistent connections that
// reports exactly whether a failed request can have reached the target.
//
// An exchange fails either before the target can have seen the request
// (NotSentError) or after that (InterruptedError). A connection is reused only if
// its last response ended properly, nothing followed it, and the whole request was
// written. Before reuse it is checked for a close and for unsolicited bytes. A response
// that may be a late copy of an earlier one on the connection interrupts the exchange, and so
// does one with a status that is none. A response that ends with its connection is complete
// only if the whole request was written.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

const (
	// maxInlineBody is the size in bytes up to which a body is written before the
	// response is read. Larger bodies are written concurrently.
	maxInlineBody = 16 << 10
	bufferSize    = 4 << 10
	// maxForeignResponses bounds the responses to other calls that are skipped in
	// one exchange, and maxForeignBytes the size of each.
	maxForeignResponses = 3
	maxForeignBytes     = 1 << 20
)

// NotSentError is the error of an exchange that cannot have reached the target.
type NotSentError struct{ Cause error }

// Error implements error.
func (notSentError *NotSentError) Error() string { return "not sent: " + notSentError.Cause.Error() }

// Unwrap returns the cause.
func (notSentError *NotSentError) Unwrap() error { return notSentError.Cause }

// InterruptedError is the error of an exchange that may have reached the target.
type InterruptedError struct {
	Cause error
	// Dropped is true if the target closed a kept connection before it sent anything. It
	// may have done so before the request arrived, whose connection says nothing about
	// the target then.
	Dropped bool
}

// Error implements error.
func (interruptedError *InterruptedError) Error() string {
	return "broken off: " + interruptedError.Cause.Error()
}

// Unwrap returns the cause.
func (interruptedError *InterruptedError) Unwrap() error { return interruptedError.Cause }

// Request is a request to a target.
type Request struct {
	Method string
	Host   string
	// URI is the request target as sent by the caller.
	URI    string
	Header http.Header
	Body   []byte
	// NonIdempotent requests are not sent on a connection that the target may be
	// about to close.
	NonIdempotent bool
	// Fresh requests are sent on a connection that has carried no other request.
	Fresh bool
	// ID identifies the call, and AnswerIDs returns the IDs of the calls that a response
	// names. Without AnswerIDs every response is taken for the request's own.
	ID        string
	AnswerIDs func(status int, header http.Header) []string
}

// TargetResponse is a response whose head has been read. Close ends the
// exchange; it keeps the connection if the body was read to its proper end.
type TargetResponse struct {
	Status int
	Header http.Header

	pool         *Pool
	conn         *conn
	httpResponse *http.Response
	writeResult  chan error
	// written is the result of writing the request, once writeEnded is true.
	written    error
	writeEnded bool
	complete   bool
	stop       func() bool
	once       sync.Once
}

// Do sends the request and returns the response once its head has been read. The
// exchange ends with ctx. The error is a *NotSentError or an *InterruptedError.
func (pool *Pool) Do(ctx context.Context, address netip.AddrPort, request *Request) (*TargetResponse, error) {
	conn := pool.takeIdle(address, request)
	kept := conn != nil && !request.Fresh
	if conn == nil {
		var err error
		if conn, err = pool.dial(ctx, address); err != nil {
			return nil, &NotSentError{Cause: err}
		}
		if conn.unsolicited() {
			_ = conn.Close()
			return nil, &NotSentError{Cause: countBroken(errUnsolicited)}
		}
	}
	response := &TargetResponse{pool: pool, conn: conn}
	response.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if ctx.Err() != nil {
		response.Abort()
		return nil, &NotSentError{Cause: ctx.Err()}
	}
	if err := response.exchange(request); err != nil {
		response.Abort()
		dropped := kept && conn.source.received == 0 && closedByPeer(err)
		if dropped {
			pool.closeOlder(conn)
		}
		return nil, &InterruptedError{Cause: err, Dropped: dropped}
	}
	return response, nil
}

// exchange writes the request and reads the head of the response.
func (response *TargetResponse) exchange(request *Request) error {
	httpRequest := &http.Request{
		Method: request.Method, URL: &url.URL{Opaque: request.URI}, Host: request.Host, Header: request.Header,
		ContentLength: int64(len(request.Body)), Body: io.NopCloser(bytes.NewReader(request.Body)),
	}
	if len(request.Body) == 0 {
		httpRequest.Body = http.NoBody
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		request.Header["User-Agent"] = []string{""}
	}
	response.conn.used, response.conn.source.received = true, 0
	response.writeResult = make(chan error, 1)
	write := func() {
		writer := bufio.NewWriterSize(response.conn, bufferSize)
		err := httpRequest.Write(writer)
		if err == nil {
			err = writer.Flush()
		}
		response.writeResult <- err
	}
	if len(request.Body) > maxInlineBody {
		go write()
	} else {
		write()
	}
	for range maxForeignResponses {
		if err := response.readHead(httpRequest); err != nil {
			return err
		}
		switch response.origin(request) {
		case originOwn:
			return nil
		case originUnknown:
			metrics.GetOrCreateCounter("agatestage_target_unknown_answers_total").Inc()
			return errors.New("the answer may be a copy of an earlier one")
		}
		metrics.GetOrCreateCounter("agatestage_target_foreign_answers_total").Inc()
		if n, err := io.Copy(io.Discard, io.LimitReader(response.httpResponse.Body, maxForeignBytes)); err != nil || n == maxForeignBytes || response.httpResponse.Close {
			return errors.New("the connection ended with the answer to another request")
		}
	}
	return errors.New("only answers to other requests arrived")
}

// origin returns the origin of the response whose head was read, and records it.
func (response *TargetResponse) origin(request *Request) origin {
	if request.AnswerIDs == nil {
		return originOwn
	}
	return response.conn.history.record(request.ID, request.AnswerIDs(response.Status, response.Header))
}

// readHead reads the head of the next response that is not informational (1xx).
func (response *TargetResponse) readHead(request *http.Request) error {
	source := response.conn.source
	source.inHead, source.left = true, maxHeadBytes
	defer func() { source.inHead = false }()
	for range maxInformational + 1 {
		if err := checkOldChunks(response.conn.reader); err != nil {
			return withoutContent(err)
		}
		httpResponse, err := http.ReadResponse(response.conn.reader, request)
		if err != nil {
			return withoutContent(err)
		}
		if err = checkHead(httpResponse); err != nil {
			return err
		}
		if httpResponse.StatusCode >= http.StatusOK {
			response.httpResponse = httpResponse
			response.Status, response.Header = httpResponse.StatusCode, httpResponse.Header
			return nil
		}
	}
	return errors.Errorf("more than %d informational responses arrived", maxInformational)
}

// Length returns the length of the body that the head states, or -1 if it states none. An
// answer without a body, to a HEAD request for example, may state that of another.
func (response *TargetResponse) Length() int64 {
	if response.httpResponse.Body == http.NoBody {
		return 0
	}
	return response.httpResponse.ContentLength
}

// Read reads the body. It returns io.EOF only at the proper end of the body.
func (response *TargetResponse) Read(data []byte) (n int, err error) {
	n, err = response.httpResponse.Body.Read(data)
	if err == io.EOF {
		if response.EndsWithConnection() && response.endWrite() != nil {
			return n, countBroken(errUnfinishedRequest)
		}
		response.complete = true
	}
	return n, withoutContent(err)
}

// endWrite returns the result of writing the request once the connection has ended for the
// reader. A reset is reported to either the reader or the writer, and the other one sees a
// proper end. The deadline ends a write that waits for a target that reads no more. It doesn't
// fail one whose bytes have all been taken, as a target that has read the request implies,
// though its goroutine may not have run since.
func (response *TargetResponse) endWrite() error {
	if !response.writeEnded {
		_ = response.conn.SetWriteDeadline(time.Unix(1, 0))
		response.written, response.writeEnded = <-response.writeResult, true
	}
	return response.written
}

// Discard reads the rest of the body, and ends the exchange like Close. It closes the
// connection if the body is larger than the limit or doesn't end within the timeout.
func (response *TargetResponse) Discard(limit int64, timeout time.Duration) {
	timer, read := response.pool.clock.NewTimer(timeout), make(chan struct{})
	// Either the timeout closes the connection or it may be used again.
	var decided atomic.Bool
	go func() {
		defer timer.Stop()
		select {
		case <-timer.C():
			if decided.CompareAndSwap(false, true) {
				_ = response.conn.Close()
			}
		case <-read:
		}
	}()
	_, err := io.Copy(io.Discard, io.LimitReader(response, limit))
	close(read)
	if err != nil || !decided.CompareAndSwap(false, true) {
		response.Abort()
		return
	}
	response.Close()
}

// Close ends the exchange and keeps the connection if it can be reused.
func (response *TargetResponse) Close() {
	response.once.Do(func() {
		if !response.stop() || !response.reusable() {
			_ = response.conn.Close()
			return
		}
		if idleTimeout := keepAliveTimeout(response.Header); idleTimeout > 0 {
			response.conn.idleTimeout = idleTimeout
		}
		response.pool.putIdle(response.conn)
	})
}

// Abort ends the exchange and closes the connection.
func (response *TargetResponse) Abort() {
	response.once.Do(func() {
		response.stop()
		_ = response.conn.Close()
	})
}

// reusable reports whether another request may be sent on the connection.
func (response *TargetResponse) reusable() bool {
	if !response.complete || response.httpResponse.Close || response.conn.reader.Buffered() > 0 || response.conn.history.full() {
		return false
	}
	select {
	case err := <-response.writeResult:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns the keep-alive timeout that the target states, or 0.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
