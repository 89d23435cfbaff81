package inlet_test

import (
	"context"
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
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/intake"
)

const (
	// socketSize is the receive buffer in these tests, of which the kernel keeps twice as much.
	socketSize = 16 << 10
	socketMost = 2 * socketSize
)

// newLimited starts a server whose sockets are limited, with the pool's memory.
func newLimited(memory int64, handler http.HandlerFunc, options ...inlet.Option) (*inlet.Server, *intake.Pool, string) {
	ginkgo.GinkgoHelper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	clock := agatestage.SystemClock()
	pool := intake.New(intake.Sizes{Pool: memory, Socket: socketSize}, clock)
	server := inlet.New("limited", &http.Server{Handler: handler}, listener, clock, append(options, inlet.WithIntake(pool))...)
	go func() { _ = server.Serve(context.Background()) }()
	ginkgo.DeferCleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		server.Stop(ended)
	})
	return server, pool, listener.Addr().String()
}

// sendUntilStuck sends until nothing more is taken, and returns how much was.
func sendUntilStuck(conn net.Conn) (sent int) {
	piece := make([]byte, 4<<10)
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := conn.Write(piece)
		if sent += n; err != nil {
			return sent
		}
	}
}

// connState returns the state of a connection, as the kernel numbers them.
func connState(conn net.Conn) (state uint8) {
	ginkgo.GinkgoHelper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		state = info.State
	})).To(gomega.Succeed())
	return state
}

var _ = ginkgo.Describe("the kernel's buffers of a connection", func() {
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8388608\r\n\r\n"
	block := func(writer http.ResponseWriter, request *http.Request) { <-request.Context().Done() }

	ginkgo.It("keep little of a body that isn't read", func() {
		_, _, address := newLimited(64<<20, block)
		conn := dialCounted(address)
		// The sender's own buffer takes the rest.
		gomega.Expect(conn.Conn.(*net.TCPConn).SetWriteBuffer(socketSize)).To(gomega.Succeed())
		_, err := io.WriteString(conn, head)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(sendUntilStuck(conn)).To(gomega.BeNumerically("<=", socketMost+socketMost+8<<10))
	})
	ginkgo.It("don't keep a large body from being read", func() {
		const size = 8 << 20
		_, _, address := newLimited(64<<20, func(writer http.ResponseWriter, request *http.Request) {
			body, err := inlet.ReadBody(writer, request, size)
			if err != nil || len(body) != size {
				writer.WriteHeader(http.StatusBadRequest)
			}
		})
		conn := dialCounted(address)
		for range 2 {
			_, err := io.WriteString(conn, head+strings.Repeat("b", size))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			response, err := http.ReadResponse(conn.reader, nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		}
	})
	ginkgo.It("of a response that nobody reads end with the idle connection", func() {
		const timeout = 200 * time.Millisecond
		server, _, address := newLimited(64<<20, func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(make([]byte, 60<<10)) }, inlet.WithWriteTimeout(timeout))
		server.SetIdleLimit(time.Millisecond)
		conn, err := net.Dial("tcp4", address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		gomega.Expect(conn.(*net.TCPConn).SetReadBuffer(1)).To(gomega.Succeed())
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() uint8 {
			server.CloseIdle()
			return connState(conn)
		}, "20s", "50ms").Should(gomega.Equal(uint8(unix.BPF_TCP_CLOSE)))
		_, err = io.Copy(io.Discard, conn)
		gomega.Expect(err).To(gomega.MatchError(syscall.ECONNRESET))
	})
})

var _ = ginkgo.Describe("an answer that is kept", func() {
	ginkgo.It("is counted with what the kernel keeps of it, and given back when it has been read", func() {
		const size = 40 << 10
		var pool *intake.Pool
		used := make(chan int64, 1)
		var address string
		_, pool, address = newLimited(64<<20, func(writer http.ResponseWriter, request *http.Request) {
			if inlet.KeepAnswer(request.Context(), size) == nil {
				used <- pool.Used()
			}
			_, _ = writer.Write(make([]byte, size))
		})
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go func() { _ = pool.Watch(ctx) }()
		conn := dialCounted(address)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(used, "10s").Should(gomega.Receive(gomega.BeNumerically(">=", 2*size)))
		response, err := http.ReadResponse(conn.reader, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(pool.Used, "10s").Should(gomega.BeEquivalentTo(intake.ConnBytes))
	})
})
