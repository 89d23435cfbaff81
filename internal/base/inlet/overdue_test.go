package inlet_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/agatestage/agatestage"
)

const (
	// passed is a time limit that has passed whenever it is checked.
	passed = time.Nanosecond
	// long is more than net/http reads at once.
	long = 20_000
	// tooLong is more than the sockets of a connection hold.
	tooLong = 1 << 26
)

var slowRequest = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"

// headerOf returns a request whose header has a field of the given size.
func headerOf(size int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\nFiller: " + strings.Repeat("a", size) + "\r\n\r\n"
}

// busyFixture is a server that accepts no connection until release, as if its process stood
// still.
type busyFixture struct {
	*fixture
	release chan struct{}
}

func newBusyFixture(change func(server *http.Server)) *busyFixture {
	busy := &busyFixture{release: make(chan struct{})}
	busy.fixture = newFixture(agatestage.SystemClock(), change, func(server *http.Server) {
		next := server.ConnContext
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			<-busy.release
			return next(ctx, conn)
		}
	})
	return busy
}

// send connects and sends a text, which has arrived when send returns.
func (busy *busyFixture) send(text string) *caller {
	ginkgo.GinkgoHelper()
	caller := busy.connect()
	caller.send(text)
	caller.awaitArrival()
	return caller
}

// awaitArrival waits until all that was sent is in the server's socket.
func (caller *caller) awaitArrival() {
	ginkgo.GinkgoHelper()
	raw, err := caller.Conn.(syscall.Conn).SyscallConn()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Eventually(func() (unacknowledged int, err error) {
		controlErr := raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		gomega.Expect(controlErr).NotTo(gomega.HaveOccurred())
		return unacknowledged, err
	}, "5s").Should(gomega.BeZero())
}

func withHeaderTime(limit time.Duration) func(server *http.Server) {
	return func(server *http.Server) { server.ReadHeaderTimeout = limit }
}

var _ = ginkgo.Describe("a request that arrived while the process stood still", func() {
	for name, header := range map[string]string{"short": request, "long": headerOf(long)} {
		ginkgo.It("is answered, though the time for its header has passed: a first one, "+name, func() {
			busy := newBusyFixture(withHeaderTime(passed))
			caller := busy.send(header)
			close(busy.release)
			caller.expectAnswer(false)
		})
	}
	for name, change := range map[string]func(server *http.Server){
		"the time for its header":    withHeaderTime(passed),
		"the time of an idle caller": func(server *http.Server) { server.IdleTimeout = passed },
	} {
		ginkgo.It("is answered, though "+name+" has passed: a second one", func() {
			busy := newBusyFixture(change)
			caller := busy.send(slowRequest)
			close(busy.release)
			gomega.Eventually(busy.started, "5s").Should(gomega.Receive())
			caller.send(headerOf(long))
			caller.awaitArrival()
			close(busy.goAhead)
			caller.expectAnswer(false)
			caller.expectAnswer(false)
		})
	}
	ginkgo.It("is answered, though the time for its body has passed", func() {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(false)
		caller.send(fmt.Sprintf("POST /late-body HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", long, strings.Repeat("a", long)))
		caller.awaitArrival()
		gomega.Eventually(fixture.started, "5s").Should(gomega.Receive())
		close(fixture.goAhead)
		caller.expectAnswer(false)
	})
})

// expectEnded expects that the server ends the connection while its caller sends.
func (caller *caller) expectEnded(text string, pause time.Duration) {
	ginkgo.GinkgoHelper()
	var err error
	for sent := 0; err == nil; time.Sleep(pause) {
		gomega.Expect(sent).To(gomega.BeNumerically("<", tooLong))
		var n int
		n, err = io.WriteString(caller, text)
		sent += n
	}
	gomega.Expect(err).To(gomega.Or(gomega.MatchError(syscall.EPIPE), gomega.MatchError(syscall.ECONNRESET)))
}

var _ = ginkgo.Describe("a header without end", func() {
	unbounded := func(server *http.Server) { server.MaxHeaderBytes = 1 << 40 }
	ginkgo.It("is read no longer than its time, if it drips", func() {
		caller := newFixture(agatestage.SystemClock(), withHeaderTime(50*time.Millisecond), unbounded).dial(false)
		caller.send(request[:half])
		caller.expectEnded("a", time.Millisecond)
	})
	ginkgo.It("is read no longer than its time, if it comes faster than it is read", func() {
		busy := newBusyFixture(func(server *http.Server) {
			unbounded(server)
			withHeaderTime(passed)(server)
		})
		caller := busy.send(request[:half])
		close(busy.release)
		caller.expectEnded(strings.Repeat("a", long), 0)
	})
	ginkgo.It("is refused within its time once it is too large", func() {
		caller := newFixture(agatestage.SystemClock(), withHeaderTime(time.Hour), func(server *http.Server) { server.MaxHeaderBytes = half }).dial(false)
		caller.send(headerOf(long))
		response, err := http.ReadResponse(caller.reader, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	})
})
