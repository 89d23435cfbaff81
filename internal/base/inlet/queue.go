package inlet

import "golang.org/x/sys/unix"

// accepting reports whether Serve has connections to accept that were made before a stop,
// which a close of the listener would reset. Last is the number of the last of them.
func (server *Server) accepting(last int64) bool {
	// The connection that Serve was accepting may be none of those that were counted.
	return server.serving.Load() > 0 && server.accepted.Load() <= last && server.queued() > 0
}

// queued returns the number of connections that wait to be accepted.
func (server *Server) queued() (count int64) {
	raw, err := server.listener.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// For a listener, Linux returns the length of its queue here.
			count = int64(info.Unacked)
		}
	})
	return count
}
