package main

import (
	"net"
	"sync"
	"time"
)

// The line between two regions, as the site has it.
const (
	lineBytesPerSecond = 30_000_000 / 8
	lineDelay          = 30 * time.Millisecond
	linePiece          = 16 << 10
)

// line is a line to an address. All connections share its rate, each way by itself.
type line struct {
	address string
	to      string
	slow    bool
	ways    [2]way
}

// way is one direction of a line.
type way struct {
	mutex sync.Mutex
	free  time.Time
}

// take returns when so many bytes have arrived at the other end.
func (way *way) take(bytes int) time.Time {
	way.mutex.Lock()
	defer way.mutex.Unlock()
	if now := time.Now(); way.free.Before(now) {
		way.free = now
	}
	way.free = way.free.Add(time.Duration(bytes) * time.Second / lineBytesPerSecond)
	return way.free.Add(lineDelay)
}

// newLine starts a line at an address of the loopback interface.
func newLine(ip, to string, slow bool) (*line, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	line := &line{address: listener.Addr().String(), to: to, slow: slow}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go line.serve(conn)
		}
	}()
	return line, nil
}

// serve passes on what comes on a connection, both ways.
func (line *line) serve(from net.Conn) {
	to, err := net.Dial("tcp4", line.to)
	if err != nil {
		_ = from.Close()
		return
	}
	go line.pass(from, to, &line.ways[0])
	line.pass(to, from, &line.ways[1])
}

// piece is what is on its way.
type piece struct {
	data []byte
	at   time.Time
}

// pass passes on one way until the connection ends.
func (line *line) pass(from, to net.Conn, way *way) {
	pieces := make(chan piece, 16)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, linePiece)
			n, err := from.Read(data)
			if n > 0 {
				next := piece{data: data[:n]}
				if line.slow {
					next.at = way.take(n)
				}
				pieces <- next
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for next := range pieces {
		time.Sleep(time.Until(next.at))
		if !failed {
			if _, err := to.Write(next.data); err != nil {
				failed = true
				_ = from.Close()
			}
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && !failed {
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
}
