package inlet

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// waitingPart is the part of the connections that may wait to be accepted, and leastWaiting the
// least number of them. The kernel keeps what they send while the process stands still.
const waitingPart, leastWaiting = 4, 64

// wideBody is the size of a body's buffer from which on its connection may have the wide receive
// buffer. A round trip for each usual one would delay uploads over long distances.
const wideBody = 64 << 10

// limitSockets sets the buffers that the kernel is given for each connection: what has arrived
// and isn't read, and what is written and isn't acknowledged, takes the host's memory, too.
// Connections inherit them from their listener, also those that aren't accepted yet.
func (server *Server) limitSockets() {
	if server.pool == nil || server.pool.Sizes().Pool <= 0 || server.pool.Sizes().Socket <= 0 {
		return
	}
	sizes := server.pool.Sizes()
	raw, err := server.listener.SyscallConn()
	if err == nil {
		controlErr := raw.Control(func(fd uintptr) {
			if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, sizes.ReceiveBuffer()); err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sizes.SendBuffer())
			}
			if err == nil && sizes.Conns > 0 {
				err = unix.Listen(int(fd), max(leastWaiting, sizes.Conns/waitingPart))
			}
		})
		if controlErr != nil {
			err = controlErr
		}
	}
	if err != nil {
		klog.ErrorS(err, "socket buffers not limited", "server", server.name)
	}
}

// widen gives the connection the wide receive buffer for a large body, if the pool has it.
func (conn *conn) widen() {
	if !conn.hold.Widen() {
		return
	}
	size := conn.server.pool.Sizes().WideReceiveBuffer()
	// An upload only takes longer where these fail. Without the second one, the window
	// stays at the size that it got from the listener.
	_ = conn.SetReadBuffer(size)
	_ = conn.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size)
	})
	conn.wide = true
}

// narrow gives the connection the usual receive buffer again.
func (conn *conn) narrow() {
	if conn.wide {
		_ = conn.SetReadBuffer(conn.server.pool.Sizes().ReceiveBuffer())
		conn.wide = false
	}
}

// queued returns how much the kernel keeps for the connection in both directions.
func (conn *conn) queued() (size int64) {
	_ = conn.raw.Control(func(fd uintptr) {
		for _, request := range []uint{unix.SIOCINQ, unix.SIOCOUTQ} {
			if bytes, err := unix.IoctlGetInt(int(fd), request); err == nil {
				size += int64(bytes)
			}
		}
	})
	return size
}

// sending reports whether the caller of a connection that has been idle for that long is still to
// receive the end of a response. A caller that receives nothing for the write timeout is left: the
// close then resets the connection, as the kernel would keep the response for as long as the
// caller's host answers its probes.
func (conn *conn) sending(idleLimit time.Duration) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	now := conn.server.clock.Now()
	if conn.phase != idle || now.Sub(conn.since) < idleLimit {
		return false
	}
	unread := conn.unread()
	if unread == 0 {
		return false
	}
	if conn.stalledAt.IsZero() || unread < conn.unreadBefore {
		conn.stalledAt, conn.unreadBefore = now, unread
	}
	if now.Sub(conn.stalledAt) < conn.server.writeTimeout {
		return true
	}
	conn.resetUnread()
	return false
}

// resetUnread makes the close of the connection a reset if its caller hasn't received all that
// was written.
func (conn *conn) resetUnread() {
	if conn.unread() > 0 {
		_ = conn.SetLinger(0)
	}
}
