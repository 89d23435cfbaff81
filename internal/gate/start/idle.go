package start

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// idleTracker closes callers' connections that have been idle for longer than the
// configuration allows. The limit may change while connections are open.
type idleTracker struct {
	clock     agatestage.Clock
	mutex     sync.Mutex
	limit     time.Duration
	idleSince map[net.Conn]time.Time
}

func newIdleTracker(clock agatestage.Clock) *idleTracker {
	return &idleTracker{clock: clock, idleSince: make(map[net.Conn]time.Time)}
}

// setLimit sets the idle limit; zero means none.
func (tracker *idleTracker) setLimit(limit time.Duration) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.limit = limit
}

// trackState implements http.Server.ConnState.
func (tracker *idleTracker) trackState(conn net.Conn, state http.ConnState) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if state == http.StateIdle {
		tracker.idleSince[conn] = tracker.clock.Now()
		return
	}
	delete(tracker.idleSince, conn)
}

// closeIdle closes the connections that have exceeded the limit.
func (tracker *idleTracker) closeIdle() {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.limit <= 0 {
		return
	}
	now := tracker.clock.Now()
	for conn, idleSince := range tracker.idleSince {
		if now.Sub(idleSince) > tracker.limit {
			delete(tracker.idleSince, conn)
			_ = conn.Close()
		}
	}
}
