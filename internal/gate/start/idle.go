package start

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// idleTracker closes callers' connections that have been idle for longer than
// the configuration allows, which may change while they are open.
type idleTracker struct {
	clock agatestage.Clock
	mutex sync.Mutex
	limit time.Duration
	since map[net.Conn]time.Time
}

func newIdleTracker(clock agatestage.Clock) *idleTracker {
	return &idleTracker{clock: clock, since: make(map[net.Conn]time.Time)}
}

// setLimit sets the limit; zero means none.
func (tracker *idleTracker) setLimit(limit time.Duration) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.limit = limit
}

// follow is the http.Server's ConnState.
func (tracker *idleTracker) follow(conn net.Conn, state http.ConnState) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if state == http.StateIdle {
		tracker.since[conn] = tracker.clock.Now()
		return
	}
	delete(tracker.since, conn)
}

// sweep closes the connections that have been idle for too long.
func (tracker *idleTracker) sweep() {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.limit <= 0 {
		return
	}
	now := tracker.clock.Now()
	for conn, since := range tracker.since {
		if now.Sub(since) > tracker.limit {
			delete(tracker.since, conn)
			_ = conn.Close()
		}
	}
}
