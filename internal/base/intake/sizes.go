package intake

import (
	"bytes"
	"cmp"
	"math"
	"os"
	"runtime/debug"
	"strconv"

	"golang.org/x/sys/unix"

	"github.com/agatestage/agatestage/internal/base/setup"
)

// Sizes are what a process may use. A part that is zero has no limit.
type Sizes struct {
	// Memory is the memory of the host.
	Memory int64
	// Pool is the part for connections, heads and bodies, Responses that for responses that are
	// kept, and Work that for decoding bodies and encoding pages.
	Pool, Responses, Work int64
	// Inputs is the part for inputs of open jobs, Cache that for cached jobs.
	Inputs, Cache int64
	// Conns is the number of connections on all listeners.
	Conns int
	// Socket is the size of the receive buffer that the kernel is given for a connection.
	Socket int
}

const (
	// The parts of the memory add up to seven tenths of it. The rest is for the program itself and for garbage.
	poolPart, responsesPart, workPart, inputsPart, cachePart = 4, 9, 10, 6, 12
	// maxResponses and maxCache are the parts of hosts that have memory to spare: what
	// they had before there were parts.
	maxResponses, maxCache = 16 << 20, 24 << 20
	// connsQuarters is the part of the descriptors, in quarters, that callers' connections may
	// have: the rest is for targets, the store and connections that are being closed.
	connsQuarters = 3
	// softQuarters is the part of the memory, in quarters, from which on the garbage collector
	// works harder. The program's text counts as memory of the process beside it.
	softQuarters = 3
	bytesPerMB   = 1 << 20
	// defaultSocket is the receive buffer of a connection: a head of usual size.
	defaultSocket = 16 << 10
)

// SizesOf returns the sizes for the limits of the settings, or else of the system.
func SizesOf(limits setup.Limits) Sizes {
	memory := int64(limits.MemoryMB * bytesPerMB)
	if memory <= 0 {
		memory = systemMemory()
	}
	descriptors := limits.MaxFDs
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	return Sizes{
		Memory: memory, Pool: memory / poolPart, Responses: min(memory/responsesPart, maxResponses), Work: memory / workPart,
		Inputs: memory / inputsPart, Cache: min(memory/cachePart, maxCache), Conns: descriptors * connsQuarters / 4,
		Socket: cmp.Or(limits.SocketBytes, defaultSocket),
	}
}

// LimitRuntime makes the garbage collector keep the process within the memory. An environment
// that sets GOMEMLIMIT has decided otherwise.
func (sizes Sizes) LimitRuntime() {
	if sizes.Memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(sizes.Memory / 4 * softQuarters)
	}
}

// systemMemory returns the limit of the control group or the memory of the machine, whichever is
// less, or 0 if neither is known.
func systemMemory() (memory int64) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err == nil {
		memory = int64(info.Totalram) * int64(info.Unit)
	}
	for _, path := range []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		// The text is a word if there is no limit.
		if limit, err := strconv.ParseInt(string(bytes.TrimSpace(data)), 10, 64); err == nil && limit > 0 && (memory == 0 || limit < memory) {
			memory = limit
		}
	}
	return memory
}

// systemDescriptors returns the limit of descriptors, or 0 if it isn't known.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
