package inlet

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// CallerLeft reports whether the caller of a request whose body has been read has closed or
// reset its connection. Ctx is that of the request. http.Server cancels it only after a
// goroutine of its own has read the close, which the handler may outrun.
func CallerLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*conn)
	return ctx.Err() != nil && !GivenUp(ctx) || ok && conn.checkEnd()
}

// WithoutCaller returns a context that ends only when the server gives the request up, and
// not when its caller closes the connection or its sending side. Ctx is that of the request.
func WithoutCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	outliving, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := func() bool { return false }
	if conn, ok := ctx.Value(connKey{}).(*conn); ok {
		stop = context.AfterFunc(conn.server.givenUp, func() { cancel(errGivenUp) })
	}
	return outliving, func() { stop(); cancel(nil) }
}

// checkEnd reports whether the caller has closed or reset the connection and everything it
// sent before has been read.
func (conn *conn) checkEnd() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if n, err := conn.peek(); err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN) {
		conn.ended = conn.ended || conn.phase != closed
		return true
	}
	return false
}

// GivenUp reports whether the request has been cancelled because its server is being
// stopped. Its caller waits for an answer.
func GivenUp(ctx context.Context) bool { return context.Cause(ctx) == errGivenUp }
