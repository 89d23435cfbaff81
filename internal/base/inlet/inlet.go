// Package inlet runs an HTTP server that closes no connection on which part of a request
// has been read.
//
// http.Server counts a connection as idle until it has parsed the next request's header:
// Shutdown drops requests that are read meanwhile, and whoever else closes a connection
// by its state may close it under a running request. Here the connections themselves
// note what is read from them.
package inlet

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// stopCheckPeriod is how often a stopping server checks its connections.
	stopCheckPeriod = 10 * time.Millisecond
	// firstRequestTime is how long a stopping server waits for the first request on a
	// new connection: callers connect when they have a request.
	firstRequestTime = 500 * time.Millisecond
	// lastAnswerTime is the end of a stop in which requests without an answer are given up
	// and answered so.
	lastAnswerTime = 250 * time.Millisecond
)

// Server is an HTTP server on one listener. It implements super.Service.
type Server struct {
	name     string
	http     *http.Server
	handler  http.Handler
	listener *net.TCPListener
	clock    agatestage.Clock
	stopping atomic.Bool
	// serving is the number of running calls of Serve, accepted that of connections so far.
	serving, accepted atomic.Int64
	// ends is when the requests without an answer are given up in a stop, and givenUp ends
	// then.
	ends    atomic.Pointer[time.Time]
	givenUp context.Context
	giveUp  context.CancelFunc
	mutex   sync.Mutex
	// idleLimit is how long a connection may be idle; zero means without limit.
	idleLimit time.Duration
	conns     map[*conn]struct{}
	// writeTimeout is how long a caller may read nothing of what waits for it.
	writeTimeout time.Duration
	// unservedAt is when a request that no handler got was logged last, and unlogged how many
	// have come since.
	unservedAt time.Time
	unlogged   int
	// cutOff is true once a stop has counted the connections that it cuts off.
	cutOff atomic.Bool
	limits
}

// New returns a server that serves the listener once Serve runs. It takes over the
// handler and the ConnState hook of the http.Server, and adds to its ConnContext hook.
func New(name string, server *http.Server, listener *net.TCPListener, clock agatestage.Clock, options ...Option) *Server {
	inlet := &Server{name: name, http: server, handler: server.Handler, listener: listener, clock: clock, conns: make(map[*conn]struct{}), writeTimeout: defaultWriteTimeout}
	for _, option := range options {
		option(inlet)
	}
	inlet.limitSockets()
	inlet.givenUp, inlet.giveUp = context.WithCancel(context.Background())
	server.Handler, server.ConnState, server.ConnContext = inlet, trackState, withConn(server.ConnContext)
	return inlet
}

// String implements super.Service.
func (server *Server) String() string { return server.name }

// Serve accepts connections until Stop.
func (server *Server) Serve(context.Context) error {
	server.serving.Add(1)
	defer server.serving.Add(-1)
	if err := server.http.Serve(server); !server.stopping.Load() {
		return err
	}
	return suture.ErrDoNotRestart
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (server *Server) Accept() (net.Conn, error) {
	for {
		tcp, err := server.listener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			return nil, errors.Wrap(err, "accept")
		}
		conn := &conn{TCPConn: tcp, raw: raw, server: server, since: server.clock.Now()}
		if conn.openHold() {
			return server.add(conn), nil
		}
		_ = tcp.Close()
		server.accepted.Add(1)
	}
}

// add adds an accepted connection.
func (server *Server) add(conn *conn) *conn {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.conns[conn] = struct{}{}
	server.accepted.Add(1)
	return conn
}

// Addr implements net.Listener.
func (server *Server) Addr() net.Addr { return server.listener.Addr() }

// Close implements net.Listener.
func (server *Server) Close() error { return server.listener.Close() }

// SetIdleLimit sets how long a connection may be idle; zero means without limit.
func (server *Server) SetIdleLimit(limit time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.idleLimit = limit
}

// CloseIdle closes the connections that have been idle for longer than the limit.
func (server *Server) CloseIdle() {
	server.mutex.Lock()
	limit := server.idleLimit
	server.mutex.Unlock()
	if limit <= 0 {
		return
	}
	for _, conn := range server.open() {
		if !conn.sending(limit) {
			conn.closeIdle(limit, forever)
		}
	}
}

// Stop accepts the connections that wait for it and no more, closes the idle ones, and each
// other one after its next answer. Shortly before ctx ends, it cancels the requests whose answers haven't
// begun. It closes the connections that are left when ctx ends and returns their number.
func (server *Server) Stop(ctx context.Context) (unanswered int) {
	ends, limited := ctx.Deadline()
	if ends = ends.Add(-lastAnswerTime); limited {
		server.ends.Store(&ends)
	}
	server.stopping.Store(true)
	listening, last := true, server.accepted.Load()+server.queued()
	for {
		if listening && (limited && !server.clock.Now().Before(ends) || !server.accepting(last)) {
			listening = false
			_ = server.listener.Close()
		}
		for _, conn := range server.open() {
			conn.closeIdle(0, firstRequestTime)
		}
		if limited && !server.clock.Now().Before(ends) {
			limited = false
			server.giveUp()
		}
		// A connection that has just been accepted is open once Serve has returned.
		accepting := listening || server.serving.Load() > 0
		if unanswered = len(server.open()); unanswered == 0 && !accepting || ctx.Err() != nil {
			break
		}
		ticks.Wait(ctx, server.clock, stopCheckPeriod)
	}
	_ = server.listener.Close()
	server.cutOff.Store(true)
	if unanswered > 0 {
		countUnanswered(whyDrainLimit, unanswered)
		klog.InfoS("requests unanswered", "why", whyDrainLimit, "count", unanswered, "server", server.name)
	}
	_ = server.http.Close()
	return unanswered
}

// Ends returns when the request is given up if it has no answer by then, because its server
// is being stopped, or zero if it isn't. Ctx is that of the request.
func Ends(ctx context.Context) (ends time.Time) {
	if conn, ok := ctx.Value(connKey{}).(*conn); ok {
		if at := conn.server.ends.Load(); at != nil {
			return *at
		}
	}
	return ends
}

// open returns the open connections.
func (server *Server) open() []*conn {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return slices.Collect(maps.Keys(server.conns))
}
