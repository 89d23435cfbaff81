package setup

const (
	// minSocketBytes is the least receive buffer that Linux grants (socket(7)); maxSocketBytes
	// rejects a figure in another unit.
	minSocketBytes, maxSocketBytes = 2 << 10, 1 << 20
)

// Limits is what the host gives to this process. A field that is zero is taken from the
// limits of the system.
type Limits struct {
	// MemoryMB is the memory of the host in megabytes.
	MemoryMB float64
	// MaxFDs is the number of descriptors that the process may have open.
	MaxFDs int
	// SocketBytes is the size of the receive buffer that the kernel is given for each connection of
	// a client; zero means 16 KB. The send buffer is given four times as much.
	SocketBytes int
	// ResultsWait limits how long a read of a job's results may wait for one, whatever its caller
	// asks for; zero means five seconds. It applies to gateways.
	ResultsWait Duration
}

// limits checks what the host gives to the process.
func (checker *checker) limits(limits Limits) {
	if limits.MemoryMB < 0 {
		checker.fault("Limits.MemoryMB", "is negative")
	}
	if limits.MaxFDs < 0 {
		checker.fault("Limits.MaxFDs", "is negative")
	}
	if limits.ResultsWait.Duration < 0 {
		checker.fault("Limits.ResultsWait", "is negative")
	}
	if limits.SocketBytes != 0 && (limits.SocketBytes < minSocketBytes || limits.SocketBytes > maxSocketBytes) {
		checker.fault("Limits.SocketBytes", "%d is not between %d and %d bytes", limits.SocketBytes, minSocketBytes, maxSocketBytes)
	}
}
