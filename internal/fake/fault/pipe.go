package fault

import (
	"sync"
	"time"
)

// Pipe emulates a link that several relays share, with a delay and a rate for each
// direction.
type Pipe struct {
	delay     time.Duration
	byteRate  int
	mutex     sync.Mutex
	busyUntil [2]time.Time
	bytes     [2]int64
}

// NewPipe returns a link with a one-way delay and a rate in bytes per second.
func NewPipe(delay time.Duration, bytesPerSecond int) *Pipe {
	return &Pipe{delay: delay, byteRate: bytesPerSecond}
}

// transmit accounts for size bytes on the link and returns how long they take to
// arrive.
func (pipe *Pipe) transmit(direction, size int) time.Duration {
	pipe.mutex.Lock()
	defer pipe.mutex.Unlock()
	now := time.Now()
	if pipe.busyUntil[direction].Before(now) {
		pipe.busyUntil[direction] = now
	}
	pipe.busyUntil[direction] = pipe.busyUntil[direction].Add(time.Duration(size) * time.Second / time.Duration(pipe.byteRate))
	pipe.bytes[direction] += int64(size)
	return pipe.busyUntil[direction].Sub(now) + pipe.delay
}

// Bytes returns the number of bytes sent so far in each direction.
func (pipe *Pipe) Bytes() (outbound, inbound int64) {
	pipe.mutex.Lock()
	defer pipe.mutex.Unlock()
	return pipe.bytes[0], pipe.bytes[1]
}
