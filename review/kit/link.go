package kit

import (
	"net"
	"sync"
	"time"
)

// chunkBytes is how much of a connection's bytes a link takes at a time.
const chunkBytes = 4 << 10

// Link is the line between two regions: all connections through it share its rate, each way,
// and all bytes take the same time.
type Link struct {
	target   string
	delay    time.Duration
	listener net.Listener
	ways     [2]way
}

// way is one direction of a link.
type way struct {
	mutex sync.Mutex
	rate  float64
	free  time.Time
}

// pass waits until the line has taken so many bytes, in order of arrival.
func (way *way) pass(bytes int) {
	way.mutex.Lock()
	now := time.Now()
	if way.free.Before(now) {
		way.free = now
	}
	way.free = way.free.Add(time.Duration(float64(bytes) / way.rate * float64(time.Second)))
	until := way.free
	way.mutex.Unlock()
	time.Sleep(time.Until(until))
}

// NewLink starts a link to an address at a free port of a loopback address. The rate is in
// Mbit/s.
func NewLink(ip, target string, rate float64, delay time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	link := &Link{target: target, delay: delay, listener: listener}
	for i := range link.ways {
		link.ways[i].rate = rate * 1e6 / 8
	}
	go link.accept()
	return link, nil
}

// Address returns where the link listens.
func (link *Link) Address() string { return link.listener.Addr().String() }

// Close ends the link.
func (link *Link) Close() { _ = link.listener.Close() }

func (link *Link) accept() {
	for {
		near, err := link.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", link.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go link.carry(far, near, &link.ways[0])
		go link.carry(near, far, &link.ways[1])
	}
}

type segment struct {
	data []byte
	due  time.Time
}

// carry copies from one end to the other until either has ended. Of what an end sends, as
// much is under way as the delay takes.
func (link *Link) carry(to, from net.Conn, way *way) {
	segments := make(chan segment, 32)
	go func() {
		defer close(segments)
		for {
			data := make([]byte, chunkBytes)
			n, err := from.Read(data)
			if n > 0 {
				way.pass(n)
				segments <- segment{data: data[:n], due: time.Now().Add(link.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for segment := range segments {
		if failed {
			continue
		}
		time.Sleep(time.Until(segment.due))
		if _, err := to.Write(segment.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
	_ = to.Close()
	_ = from.Close()
}
