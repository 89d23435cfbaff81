package inlet_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
)

const (
	// shortWriteTimeout is how long a caller may take to read a part in these tests.
	shortWriteTimeout = 2 * time.Second
	// largeAnswer is more than the buffers of a connection hold.
	largeAnswer = 16 << 20
)

// newWriter starts a server whose handler writes an answer of the given size at once, and
// returns its address and the errors of these writes.
func newWriter(size int) (net.Addr, <-chan error) {
	ginkgo.GinkgoHelper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	written := make(chan error, maxConns)
	server := inlet.New("callers", &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", strconv.Itoa(size))
		_, err := writer.Write(make([]byte, size))
		written <- err
	})}, listener, agatestage.SystemClock(), inlet.WithWriteTimeout(shortWriteTimeout))
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(context.Background())
	}()
	ginkgo.DeferCleanup(func() {
		_ = server.Close()
		gomega.Eventually(served, "5s").Should(gomega.BeClosed())
	})
	return server.Addr(), written
}

// askLarge sends a request on a connection of its own.
func askLarge(address net.Addr) net.Conn {
	ginkgo.GinkgoHelper()
	conn, err := net.Dial("tcp4", address.String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(conn.Close)
	_, err = io.WriteString(conn, request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

var _ = ginkgo.Describe("an answer to a caller that doesn't read", func() {
	ginkgo.It("ends its handler", func() {
		address, written := newWriter(largeAnswer)
		askLarge(address)
		gomega.Eventually(written, "30s").Should(gomega.Receive(gomega.HaveOccurred()))
	})
})

var _ = ginkgo.Describe("an answer to a caller that reads slowly", func() {
	ginkgo.It("is whole, though it takes longer than the limit for a part", func() {
		address, written := newWriter(largeAnswer)
		response, err := http.ReadResponse(bufio.NewReader(askLarge(address)), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		const parts = 24
		for range parts {
			n, err := io.CopyN(io.Discard, response.Body, largeAnswer/parts)
			gomega.Expect([]any{n, err}).To(gomega.Equal([]any{int64(largeAnswer / parts), nil}))
			time.Sleep(shortWriteTimeout / 10)
		}
		_, err = io.Copy(io.Discard, response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(written, "30s").Should(gomega.Receive(gomega.BeNil()))
	})

	ginkgo.It("isn't cut off while the caller reads less at a time than the kernel's buffer needs", func() {
		address, written := newWriter(largeAnswer)
		conn := askLarge(address)
		// A full receive buffer is announced as free again only once a part of it is.
		gomega.Expect(conn.(*net.TCPConn).SetReadBuffer(256 << 10)).To(gomega.Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		const partsATimeout = 4
		for range 3 * partsATimeout {
			_, err = io.CopyN(io.Discard, response.Body, 128<<10)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(shortWriteTimeout / partsATimeout)
		}
		_, err = io.Copy(io.Discard, response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(written, "30s").Should(gomega.Receive(gomega.BeNil()))
	})
})
