package inlet_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
)

// lastPart is what remains in http.Server's buffer when a handler returns.
const lastPart = "the last part"

type rawKey struct{}

// fill writes to a connection until its buffers take nothing more.
func fill(raw syscall.RawConn) error {
	const settled = 50
	for refused := 0; refused < settled; refused++ {
		var n int
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			n, err = syscall.Write(int(fd), make([]byte, 1<<10))
		}); controlErr != nil {
			return controlErr
		}
		switch {
		case n > 0:
			refused = -1
		case err != syscall.EAGAIN:
			return err
		default:
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// serveFilled serves an answer whose last part is still in http.Server's buffer when its
// handler returns, and doesn't fit into those of the kernel.
func serveFilled(writer http.ResponseWriter, request *http.Request) {
	defer ginkgo.GinkgoRecover()
	controller := http.NewResponseController(writer)
	gomega.Expect(controller.Flush()).To(gomega.Succeed())
	gomega.Expect(fill(request.Context().Value(rawKey{}).(syscall.RawConn))).To(gomega.Succeed())
	_, err := io.WriteString(writer, lastPart)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// expectCut lets cut end the connection of a caller of HTTP/1.0 that doesn't read the last part
// of its answer, and expects that the answer doesn't look complete.
func expectCut(cut func(server *inlet.Server)) {
	ginkgo.GinkgoHelper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	returned := make(chan struct{})
	server := inlet.New("callers", &http.Server{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			defer close(returned)
			serveFilled(writer, request)
		}),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			raw, err := conn.(syscall.Conn).SyscallConn()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return context.WithValue(ctx, rawKey{}, raw)
		},
	}, listener, agatestage.SystemClock(), inlet.WithWriteTimeout(shortWriteTimeout))
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(context.Background())
	}()
	ginkgo.DeferCleanup(func() {
		_ = server.Close()
		gomega.Eventually(served, "5s").Should(gomega.BeClosed())
	})
	conn, err := net.Dial("tcp4", server.Addr().String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(conn.Close)
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Eventually(returned, "30s").Should(gomega.BeClosed())
	cut(server)
	if data, err := io.ReadAll(conn); err == nil {
		gomega.Expect(string(data[max(0, len(data)-len(lastPart)):])).To(gomega.Equal(lastPart), "the answer looks complete")
	}
}

var _ = ginkgo.Describe("an answer that ends with its connection doesn't look complete", func() {
	ginkgo.It("if its caller doesn't read the last part in time", func() {
		expectCut(func(*inlet.Server) { time.Sleep(2 * shortWriteTimeout) })
	})
	ginkgo.It("if a stop ends before its caller reads the last part", func() {
		expectCut(func(server *inlet.Server) {
			time.Sleep(shortWriteTimeout / 4)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			gomega.Expect(server.Stop(ctx)).To(gomega.BeNumerically("<=", 1))
		})
	})
})
