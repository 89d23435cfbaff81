package inlet

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// The reasons why a request has no whole answer.
const (
	whyDrainLimit  = "drain limit"
	whyCallerLeft  = "caller left"
	whyClosed      = "closed"
	whyBrokenOff   = "broken off"
	whyHandlerFail = "handler failed"
	// No handler got the request: no more of its header came in time, or this process
	// closed the connection, maybe after the answer to the request before.
	whyHeaderTime = "header time"
	whyUnserved   = "not served"
)

// connKey is the context key of a request's *conn.
type connKey struct{}

// withConn returns a ConnContext hook that adds the connection to its requests' contexts.
func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, raw net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, raw)
		}
		return context.WithValue(ctx, connKey{}, raw)
	}
}

// ServeHTTP implements http.Handler. It answers a request whose handler fails.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	answer := &answer{ResponseWriter: writer, server: server}
	if conn, ok := request.Context().Value(connKey{}).(*conn); ok {
		conn.markHandled(request)
		answer.conn = conn
		var whole bool
		if request, whole = conn.countBody(request); !whole {
			conn.refuseWhole(writer)
			return
		}
	}
	ctx, cancel := answer.withGivenUp(request.Context())
	defer cancel()
	finish := beginAnswer(request)
	defer func() {
		failure := recover()
		why := server.unansweredWhy(request, failure)
		if why != "" {
			countUnanswered(why, 1)
			klog.InfoS("request without a whole answer", "why", why, "caller", request.RemoteAddr, "begun", answer.begun.Load(), "server", server.name)
		}
		switch {
		case failure == nil:
			finish()
		case failure == http.ErrAbortHandler || answer.begun.Load():
			panic(http.ErrAbortHandler)
		default:
			// The header may be that of an answer which the handler couldn't write.
			clear(answer.Header())
			http.Error(answer, http.StatusText(http.StatusInternalServerError), http.StatusInternalServerError)
			finish()
		}
	}()
	server.handler.ServeHTTP(answer, request.WithContext(ctx))
	answer.answerGivenUp(ctx)
}

// unansweredWhy returns why a request gets no whole answer, or an empty string if its
// handler has answered it. Failure is what the handler has panicked with.
func (server *Server) unansweredWhy(request *http.Request, failure any) string {
	if failure != nil && failure != http.ErrAbortHandler {
		klog.InfoS("handler failed", "server", server.name, "failure", failure, "stack", string(debug.Stack()))
		return whyHandlerFail
	}
	conn, ok := request.Context().Value(connKey{}).(*conn)
	left := ok && conn.endedByCaller()
	cancelled := request.Context().Err() != nil && !server.stopping.Load()
	switch {
	case left, cancelled && !ok:
		return whyCallerLeft
	case cancelled:
		return whyClosed
	case failure != nil:
		return whyBrokenOff
	}
	return ""
}

func countUnanswered(why string, count int) {
	metrics.GetOrCreateCounter(`agatestage_unanswered_requests_total{why="` + why + `"}`).Add(count)
}

// answer is an answer to a caller, which bears `Connection: close` if the server stops and no
// other request has arrived behind its own.
type answer struct {
	http.ResponseWriter
	server *Server
	conn   *conn
	begun  atomic.Bool
}

// withGivenUp returns a context that ends when the server gives up requests without an
// answer and this one hasn't begun.
func (answer *answer) withGivenUp(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(answer.server.givenUp, func() {
		if !answer.begun.Load() {
			cancel(errGivenUp)
		}
	})
	return ctx, func() { stop(); cancel(nil) }
}

// errGivenUp is the cause of the end of a request that the server gives up in a stop.
var errGivenUp = errors.New("the server is being stopped")

// answerGivenUp answers a request that was given up if its handler hasn't: returning
// would be an empty success.
func (answer *answer) answerGivenUp(ctx context.Context) {
	if GivenUp(ctx) && !answer.begun.Load() {
		http.Error(answer, http.StatusText(http.StatusGatewayTimeout), http.StatusGatewayTimeout)
	}
}

// Unwrap serves http.ResponseController.
func (answer *answer) Unwrap() http.ResponseWriter { return answer.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (answer *answer) WriteHeader(status int) {
	answer.announceClose()
	answer.ResponseWriter.WriteHeader(status)
	answer.begun.Store(true)
}

// Write implements http.ResponseWriter.
func (answer *answer) Write(data []byte) (int, error) {
	answer.announceClose()
	answer.begun.Store(true)
	return answer.ResponseWriter.Write(data)
}

// FlushError serves http.ResponseController.
func (answer *answer) FlushError() error {
	answer.announceClose()
	answer.begun.Store(true)
	return http.NewResponseController(answer.ResponseWriter).Flush()
}

func (answer *answer) announceClose() {
	if answer.begun.Load() || !answer.server.stopping.Load() {
		return
	}
	if answer.conn == nil || answer.server.givenUp.Err() != nil || !answer.conn.followed() {
		answer.Header().Set("Connection", "close")
	}
}
