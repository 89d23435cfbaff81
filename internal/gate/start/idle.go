package start

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

// idleTracker closes callers' connections that have been idle for longer than the
// configuration allows. The limit may change while connections are open.
type idleTracker struct {
	clock     agatestage.Clock
	mutex     sync.Mutex
	limit     time.Duration
	idleSince map[net.Conn]time.Time
	// active holds the connections with a request, closed those that closeIdle closed
	// and that the server still has.
	active, closed map[net.Conn]bool
}

func newIdleTracker(clock agatestage.Clock) *idleTracker {
	return &idleTracker{clock: clock, idleSince: make(map[net.Conn]time.Time), active: make(map[net.Conn]bool), closed: make(map[net.Conn]bool)}
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
	delete(tracker.idleSince, conn)
	delete(tracker.active, conn)
	switch state {
	case http.StateIdle:
		tracker.idleSince[conn] = tracker.clock.Now()
	case http.StateActive:
		tracker.active[conn] = true
		if tracker.closed[conn] {
			logUnanswered("idle limit", 1)
		}
	case http.StateClosed:
		delete(tracker.closed, conn)
	}
}

// running returns the number of connections with a request.
func (tracker *idleTracker) running() int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.active)
}

// logUnanswered notes requests whose connections this process closes unanswered.
func logUnanswered(why string, count int) {
	metrics.GetOrCreateCounter(`agatestage_unanswered_requests_total{why="` + why + `"}`).Add(count)
	klog.InfoS("requests unanswered", "why", why, "count", count)
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
			tracker.closed[conn] = true
			_ = conn.Close()
		}
	}
}
