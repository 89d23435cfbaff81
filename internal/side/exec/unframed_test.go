package exec_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/plat/engine"
	"github.com/agatestage/agatestage/internal/side/exec"
	"github.com/agatestage/agatestage/internal/side/slots"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

const (
	answer = "HTTP/1.1 200 OK\r\n\r\ntext"
	probed = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	// patience bounds how long a test waits for a call.
	patience = 10 * time.Second
)

// textSink collects an answer's body.
type textSink struct{ text string }

func (*textSink) Head(int, http.Header) error { return nil }

func (textSink *textSink) Data(_ context.Context, data []byte) error {
	textSink.text += string(data)
	return nil
}

// service is a plain service that answers probes, and its only call without a length.
type service struct {
	net.Listener
	// ended is called after the answer, and next with each connection after it.
	ended func()
	next  func(conn *net.TCPConn)
	mutex sync.Mutex
	conns []net.Conn
	over  bool
}

func newService() *service {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	service := &service{Listener: listener, ended: func() {}, next: func(*net.TCPConn) {}}
	ginkgo.DeferCleanup(service.stop)
	return service
}

// stop closes the listener and all connections, also one that is accepted meanwhile.
func (service *service) stop() {
	_ = service.Close()
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.over = true
	for _, conn := range service.conns {
		_ = conn.Close()
	}
}

// keep keeps a connection open until the service stops.
func (service *service) keep(conn net.Conn) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.conns = append(service.conns, conn); service.over {
		_ = conn.Close()
	}
}

func (service *service) serve() {
	called := false
	for {
		conn, err := service.Accept()
		if err != nil {
			return
		}
		service.keep(conn)
		if called {
			service.next(conn.(*net.TCPConn))
			continue
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if called = err == nil && request.Method == http.MethodPost; called {
			_, _ = io.WriteString(conn, answer)
			service.ended()
		} else {
			_, _ = io.WriteString(conn, probed)
		}
		_ = conn.Close()
	}
}

// run runs a call on the service.
func (service *service) run() (end calls.End, text string) {
	ginkgo.GinkgoHelper()
	go service.serve()
	clock := agatestage.SystemClock()
	target := state.New("service", agatestage.KindService, engine.NewService(netip.MustParseAddrPort(service.Addr().String())), slots.New(clock, 1, 1, func() {}), clock, func() {})
	target.SetPolicy(model.Target{Online: true})
	gomega.Expect(target.Probe(context.Background())).To(gomega.BeTrue())
	sink := &textSink{}
	end = exec.Run(context.Background(), target, &agatestage.Call{Method: http.MethodPost, Path: "/", Timeout: patience}, sink)
	return end, sink.text
}

// reset closes a connection like a service that has too many.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

var _ = ginkgo.Describe("an answer without a length", func() {
	for name, next := range map[string]func(conn *net.TCPConn){"is silent": func(*net.TCPConn) {}, "resets connections beyond its limit": reset} {
		ginkgo.It("is complete if its target goes on, though it "+name, func() {
			service := newService()
			service.next = next
			end, text := service.run()
			gomega.Expect(end.Refusal).To(gomega.BeNil())
			gomega.Expect(text).To(gomega.Equal("text"))
		})
	}
	ginkgo.It("isn't complete if its target crashes", func() {
		service := newService()
		service.ended = func() { _ = service.Close() }
		end, text := service.run()
		gomega.Expect(end.Refusal).NotTo(gomega.BeNil())
		gomega.Expect(end.Refusal.Ran).To(gomega.Equal(agatestage.RanUnknown))
		gomega.Expect(end.TargetLost).To(gomega.BeTrue())
		gomega.Expect(text).To(gomega.Equal("text"))
	})
	ginkgo.It("isn't complete if its target crashes and still accepts one connection", func() {
		service := newService()
		service.next = func(conn *net.TCPConn) {
			_ = service.Close()
			reset(conn)
		}
		end, _ := service.run()
		gomega.Expect(end.Refusal).NotTo(gomega.BeNil())
	})
})
