package inlet

import (
	"time"

	"golang.org/x/sys/unix"
)

// noneFound is the value of conn.overdue while the deadline isn't known to have passed.
const noneFound = -1

// SetReadDeadline implements net.Conn.
func (conn *conn) SetReadDeadline(deadline time.Time) error {
	if conn.refused.Load() && deadline.IsZero() {
		deadline = time.Now().Add(lingerTime)
	}
	err := conn.TCPConn.SetReadDeadline(deadline)
	conn.overdue.Store(noneFound)
	conn.keepDropped()
	return err
}

// takeOverdue reads what had arrived when the read deadline was found to have passed: this
// process may have stood still, and http.Server drops a request whose read fails. Of what
// arrives later nothing is read, so that the deadline also holds for callers that send
// without end, and no line that http.Server has taken for whole goes on.
func (conn *conn) takeOverdue(data []byte) (n int) {
	_ = conn.raw.Control(func(fd uintptr) {
		left := conn.overdue.Load()
		if left == noneFound {
			arrived, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
			if err != nil {
				arrived = 0
			}
			left = int64(arrived)
			conn.overdue.Store(left)
		}
		if left == 0 {
			return
		}
		n, _, _ = conn.take(int(fd), data, int(min(left, int64(len(data)))))
		conn.overdue.CompareAndSwap(left, left-int64(n))
	})
	return n
}
