package inlet

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/agatestage/agatestage/internal/base/intake"
)

const (
	// firstBodyBytes is the size of the first buffer of a body.
	firstBodyBytes = 16 << 10
	// measuredBytes is the least size of a kept answer for which the kernel's part is still counted
	// once the answer has been written.
	measuredBytes = 16 << 10
	// unreadTime is how long a body may take of which a handler sets no limit itself, or which
	// none reads: http.Server reads on before it sends the answer.
	unreadTime = 30 * time.Second
)

// countedBody notes the end of a request's body: from then on, the request may run and is no
// longer dropped.
type countedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (body countedBody) Read(data []byte) (n int, err error) {
	if n, err = body.ReadCloser.Read(data); err != io.EOF {
		return n, err
	}
	_ = body.conn.SetReadDeadline(time.Time{})
	if !body.conn.hold.Finish() {
		return 0, errDropped
	}
	return n, io.EOF
}

// countBody returns the request with a body whose end is noted, or false if the request has no body
// and was dropped before it came to a handler, which needn't read bodies.
func (conn *conn) countBody(request *http.Request) (_ *http.Request, ok bool) {
	if conn.hold == nil {
		return request, true
	}
	if request.Body == http.NoBody {
		return request, conn.hold.Finish()
	}
	counted := *request
	counted.Body = countedBody{ReadCloser: request.Body, conn: conn}
	_ = conn.SetReadDeadline(time.Now().Add(conn.server.silence(cmp.Or(conn.server.bodySilence, unreadTime))))
	return &counted, true
}

// refuseWhole answers a request that was dropped though it had come whole.
func (conn *conn) refuseWhole(writer http.ResponseWriter) {
	conn.refused.Store(true)
	writer.Header().Set("Connection", "close")
	writer.Header().Set("Retry-After", strconv.Itoa(refusalRetryAfter))
	http.Error(writer, http.StatusText(http.StatusServiceUnavailable), http.StatusServiceUnavailable)
}

// ReadBody reads the body of a request of at most that many bytes. Its buffer is counted in the
// pool of the request's server before it is allocated. The error is *http.MaxBytesError for a
// body that is too large, and wraps intake.ErrShort if the memory for it is lacking; the request
// can't have run then, and its connection ends after the answer.
func ReadBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, error) {
	var reader io.Reader = http.MaxBytesReader(writer, request.Body, limit)
	if conn, ok := request.Context().Value(connKey{}).(*conn); ok && conn.server.bodySilence > 0 && request.Body != http.NoBody {
		silence := conn.server.silence(conn.server.bodySilence)
		reader = patientReader{Reader: reader, conn: conn, silence: silence}
		// After an error, a deadline remains for what is left of the body.
		defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	}
	if request.ContentLength > limit {
		// Nothing of it is kept.
		_, err := io.Copy(io.Discard, reader)
		return nil, bodyError(writer, request, err)
	}
	body := []byte{}
	var spare [1]byte
	for {
		room := body[len(body):cap(body)]
		known := request.ContentLength >= 0 && int64(len(body)) == request.ContentLength
		if known {
			room = spare[:]
		} else if len(room) == 0 {
			var err error
			if body, err = growBody(request, body, limit); err != nil {
				return nil, bodyError(writer, request, err)
			}
			continue
		}
		n, err := reader.Read(room)
		if !known {
			body = body[:len(body)+n]
		}
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, bodyError(writer, request, err)
		}
	}
}

// patientReader reads a body of whose next part nothing may come for a while.
type patientReader struct {
	io.Reader
	conn    *conn
	silence time.Duration
}

// Read implements io.Reader.
func (reader patientReader) Read(data []byte) (n int, err error) {
	_ = reader.conn.SetReadDeadline(time.Now().Add(reader.silence))
	return reader.Reader.Read(data)
}

// silence returns the limit, or that for idle connections if it is longer.
func (server *Server) silence(limit time.Duration) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return max(limit, server.idleLimit)
}

// growBody returns the body in a buffer of twice the size, or of the size that the caller states.
func growBody(request *http.Request, body []byte, limit int64) ([]byte, error) {
	size := min(max(2*int64(cap(body)), firstBodyBytes), limit+1)
	if request.ContentLength >= 0 {
		size = min(size, request.ContentLength)
	}
	conn, ok := request.Context().Value(connKey{}).(*conn)
	if ok && conn.hold != nil {
		if err := conn.hold.Grow(request.Context(), size); err != nil {
			return nil, err
		}
		defer conn.hold.Shrink(int64(cap(body)))
		if size >= wideBody {
			conn.widen()
		}
	}
	return append(make([]byte, 0, size), body...), nil
}

// bodyError returns the error of a body that can't be read. It says so if that is for memory. The
// connection ends after the answer: http.Server would wait for the rest of the body before it
// sends the answer, for which nothing sets a limit.
func bodyError(writer http.ResponseWriter, request *http.Request, err error) error {
	writer.Header().Set("Connection", "close")
	conn, ok := request.Context().Value(connKey{}).(*conn)
	if !ok {
		return err
	}
	conn.refused.Store(true)
	if conn.dropped.Load() {
		return intake.ErrShort
	}
	return err
}

// Work waits until so much memory may be used for decoding the request's body or encoding its
// answer. The error wraps intake.ErrShort. The function that it returns gives the memory back.
func Work(ctx context.Context, bytes int64) (release func(), err error) {
	if conn, ok := ctx.Value(connKey{}).(*conn); ok && conn.server.pool != nil {
		return conn.server.pool.Work(ctx, bytes)
	}
	return func() {}, nil
}

// Keep counts memory that the answer to a request takes until its end. The error wraps
// intake.ErrShort.
func Keep(ctx context.Context, bytes int64) error {
	if conn, ok := ctx.Value(connKey{}).(*conn); ok && conn.hold != nil && bytes > 0 {
		return conn.hold.Grow(ctx, bytes)
	}
	return nil
}

// KeepAnswer does as Keep for an answer that only has to be written, and counts what the kernel keeps of
// it, too. The connection may be reset if its reader takes long while memory is lacking, so that
// the request must be one that the caller can repeat.
func KeepAnswer(ctx context.Context, bytes int64) error {
	conn, ok := ctx.Value(connKey{}).(*conn)
	if !ok || conn.hold == nil || bytes <= 0 {
		return nil
	}
	inKernel := min(bytes, conn.server.pool.Sizes().MostSent())
	if err := conn.hold.Grow(ctx, bytes+inKernel); err != nil {
		return err
	}
	conn.answering.Store(true)
	conn.measured = inKernel >= measuredBytes
	conn.hold.Answer()
	return nil
}
