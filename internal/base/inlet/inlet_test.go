package inlet_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
)

func TestInlet(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "callers' connections")
}

const (
	idleLimit = time.Minute
	request   = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	half      = len(request) / 2
	// headerTimeout is how long a caller may take to send a header.
	headerTimeout = time.Second
	// part is what is sent of an answer before the rest is due.
	part = "part"
	// maxConns is more than the connections of one test.
	maxConns = 10
)

// fixture is a server whose handler waits for go-ahead if the path is /slow, and fails in
// the way that other paths name.
type fixture struct {
	*inlet.Server
	clock   *clocktest.FakeClock
	goAhead chan struct{}
	started chan struct{}
	stopped chan int
	// served is closed once the server accepts no connections.
	served chan struct{}
	// accepted receives the callers' addresses of accepted connections.
	accepted chan string
	// raw receives the server's ends of accepted connections.
	raw chan net.Conn
	// cancelled receives a value when the request of the handler is cancelled.
	cancelled chan struct{}
}

func newFixture(clock agatestage.Clock, changes ...func(server *http.Server)) *fixture {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	fixture := &fixture{goAhead: make(chan struct{}), started: make(chan struct{}, 1), stopped: make(chan int, 1), accepted: make(chan string, maxConns), raw: make(chan net.Conn, maxConns), cancelled: make(chan struct{}, maxConns), served: make(chan struct{})}
	fixture.clock, _ = clock.(*clocktest.FakeClock)
	server := &http.Server{
		Handler: http.HandlerFunc(fixture.serve), ReadHeaderTimeout: headerTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			fixture.raw <- conn
			fixture.accepted <- conn.RemoteAddr().String()
			return ctx
		},
	}
	for _, change := range changes {
		change(server)
	}
	fixture.Server = inlet.New("callers", server, listener, clock)
	fixture.SetIdleLimit(idleLimit)
	go func() {
		defer close(fixture.served)
		_ = fixture.Serve(context.Background())
	}()
	ginkgo.DeferCleanup(func() {
		_ = fixture.Close()
		gomega.Eventually(fixture.served, "5s").Should(gomega.BeClosed())
	})
	return fixture
}

func (fixture *fixture) serve(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/slow":
		context.AfterFunc(request.Context(), func() { fixture.cancelled <- struct{}{} })
		fixture.started <- struct{}{}
		<-fixture.goAhead
	case "/until-cancelled":
		fixture.started <- struct{}{}
		<-request.Context().Done()
		return
	case "/late-body":
		fixture.started <- struct{}{}
		<-fixture.goAhead
		_ = http.NewResponseController(writer).SetReadDeadline(time.Unix(1, 0))
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	case "/without-caller":
		ctx, cancel := inlet.WithoutCaller(request.Context())
		defer cancel()
		fixture.started <- struct{}{}
		<-request.Context().Done()
		fixture.cancelled <- struct{}{}
		<-ctx.Done()
	case "/abort":
		panic(http.ErrAbortHandler)
	case "/panic":
		panic("a fault of the handler")
	case "/headed-panic":
		writer.Header().Set("Seal", "of a target")
		panic("a fault of the handler")
	case "/late-panic":
		_, _ = io.WriteString(writer, "begun")
		_ = http.NewResponseController(writer).Flush()
		panic("a fault of the handler")
	case "/odd-status":
		writer.WriteHeader(99)
	}
	if request.URL.Path == "/part" || request.URL.Path == "/whole" {
		_, _ = io.WriteString(writer, part)
		_ = http.NewResponseController(writer).Flush()
	}
	if request.URL.Path == "/part" {
		fixture.started <- struct{}{}
		<-fixture.goAhead
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, "answer")
}

// stop begins to stop the server and returns once it accepts no connections.
func (fixture *fixture) stop(ctx context.Context) {
	go func() { fixture.stopped <- fixture.Stop(ctx) }()
	gomega.Eventually(fixture.served, "5s").Should(gomega.BeClosed())
}

func (fixture *fixture) expectStopped(unanswered int) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(fixture.stopped, "5s").Should(gomega.Receive(gomega.Equal(unanswered)))
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

// connect returns a connection that the server may not have accepted yet.
func (fixture *fixture) connect() *caller {
	ginkgo.GinkgoHelper()
	conn, err := net.Dial("tcp4", fixture.Addr().String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	ginkgo.DeferCleanup(func() { _ = conn.Close() })
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

// dial connects and, if the connection is kept, gets a first answer on it.
func (fixture *fixture) dial(kept bool) *caller {
	ginkgo.GinkgoHelper()
	caller := fixture.connect()
	gomega.Eventually(fixture.accepted, "5s").Should(gomega.Receive(gomega.Equal(caller.LocalAddr().String())))
	if kept {
		caller.send(request)
		caller.expectAnswer(false)
	}
	return caller
}

func (caller *caller) send(text string) {
	ginkgo.GinkgoHelper()
	_, err := io.WriteString(caller, text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// expectAnswer expects a whole answer, which announces the close of the connection if
// last is true.
func (caller *caller) expectAnswer(last bool) {
	ginkgo.GinkgoHelper()
	response, err := http.ReadResponse(caller.reader, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), "no answer")
	gomega.Expect(io.ReadAll(response.Body)).To(gomega.BeEquivalentTo("answer"))
	gomega.Expect(response.Close).To(gomega.Equal(last))
}

func (caller *caller) expectClosed() {
	ginkgo.GinkgoHelper()
	_, err := caller.reader.ReadByte()
	gomega.Expect(err).To(gomega.Equal(io.EOF))
}

var _ = ginkgo.Describe("the check of idle connections", func() {
	ginkgo.It("closes those that have been idle for longer than the limit", func() {
		fixture := newFixture(clocktest.NewFakeClock(time.Unix(1000, 0)))
		caller := fixture.dial(true)
		gomega.Eventually(func() error {
			fixture.clock.Step(idleLimit)
			fixture.CloseIdle()
			_ = caller.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			_, err := caller.reader.ReadByte()
			return err
		}).Should(gomega.Equal(io.EOF))
	})
	ginkgo.It("closes none on which half of a request has arrived", func() {
		fixture := newFixture(clocktest.NewFakeClock(time.Unix(1000, 0)))
		caller := fixture.dial(true)
		caller.send(request[:half])
		fixture.clock.Step(2 * idleLimit)
		fixture.CloseIdle()
		caller.send(request[half:])
		caller.expectAnswer(false)
	})
})

var _ = ginkgo.Describe("a stop", func() {
	ginkgo.It("closes idle connections at once", func() {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(true)
		fixture.stop(context.Background())
		caller.expectClosed()
		fixture.expectStopped(0)
	})
	for name, kept := range map[string]bool{"a kept": true, "a new": false} {
		ginkgo.It("answers a request of which half has arrived on "+name+" connection", func() {
			fixture := newFixture(agatestage.SystemClock())
			caller := fixture.dial(kept)
			caller.send(request[:half])
			fixture.stop(context.Background())
			caller.send(request[half:])
			caller.expectAnswer(true)
			caller.expectClosed()
			fixture.expectStopped(0)
		})
	}
	ginkgo.It("answers the first request of a connection that was made just before", func() {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(false)
		fixture.stop(context.Background())
		caller.send(request)
		caller.expectAnswer(true)
		fixture.expectStopped(0)
	})
	ginkgo.It("waits for the answer to a running request", func() {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(true)
		caller.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		<-fixture.started
		fixture.stop(context.Background())
		close(fixture.goAhead)
		caller.expectAnswer(true)
		caller.expectClosed()
		fixture.expectStopped(0)
	})
	ginkgo.It("counts the requests that it cuts off at the limit", func() {
		fixture := newFixture(agatestage.SystemClock())
		defer close(fixture.goAhead)
		fixture.dial(true).send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		<-fixture.started
		ctx, cancel := context.WithCancel(context.Background())
		fixture.stop(ctx)
		cancel()
		fixture.expectStopped(1)
	})
})
