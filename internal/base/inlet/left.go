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

// WithoutCaller returns a context of the same request that doesn't end when its caller
// leaves, only when the server gives the request up in a stop, or when the returned function
// is called. It is for work whose outcome has to be known once it has begun.
func WithoutCaller(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		cause := context.Cause(parent)
		if conn, ok := parent.Value(connKey{}).(*conn); ok && cause != errGivenUp {
			select {
			case <-conn.server.givenUp.Done():
				cause = errGivenUp
			case <-ctx.Done():
				return
			}
		}
		cancel(cause)
	})
	return ctx, func() { stop(); cancel(nil) }
}
