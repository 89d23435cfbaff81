package proxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/plat/proxy"
)

const (
	// endless is how much a faulty target sends before it gives up, in bytes.
	endless = 64 << 20
	// maxAllocated bounds what is allocated for one answer, in bytes. A side of 216 MB runs
	// eight calls at a time.
	maxAllocated = 16 << 20
)

// newEndlessTarget returns a client of a target that answers by the prefix and then the unit
// again and again, and a channel that receives how much of it was sent.
func newEndlessTarget(prefix, unit string) (*proxy.Client, <-chan int) {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	sent := make(chan int, 1)
	block := strings.Repeat(unit, 1+(32<<10)/len(unit))
	go func() {
		conn, acceptErr := listener.Accept()
		if acceptErr != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4<<10))
		total, writeErr := io.WriteString(conn, prefix)
		for total < endless && writeErr == nil {
			var n int
			n, writeErr = io.WriteString(conn, block)
			total += n
		}
		sent <- total
	}()
	return proxy.New(netip.MustParseAddrPort(listener.Addr().String())), sent
}

// expectBounded checks that an exchange fails before the target gives up, within bounded
// memory.
func expectBounded(sent <-chan int, exchange func() error) {
	ginkgo.GinkgoHelper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	gomega.Expect(exchange()).NotTo(gomega.Succeed())
	runtime.ReadMemStats(&after)
	gomega.Expect(<-sent).To(gomega.BeNumerically("<", endless))
	gomega.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", maxAllocated))
}

var _ = ginkgo.Describe("a target whose answer has no end", func() {
	for _, faulty := range []struct{ name, prefix, unit string }{
		{"in header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n"},
		{"in one header line", "HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789"},
		{"in its status line", "HTTP/1.1 200 ", "0123456789"},
		{"in informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"in bytes that are no answer", "", "\x00\x01\x02\x03"},
	} {
		ginkgo.It("fails the call within bounded memory if it is "+faulty.name, func() {
			client, sent := newEndlessTarget(faulty.prefix, faulty.unit)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			expectBounded(sent, func() error {
				_, err := client.Do(ctx, &agatestage.Call{Method: http.MethodGet, Path: "/"})
				return err
			})
		})
	}
	for _, faulty := range []struct{ name, prefix, unit string }{
		{"in the extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=", "0123456789"},
		{"in chunks of extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;ext=" + "01234567890123456789012345678901234567890123456789\r\nx\r\n"},
		{"in trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: 0123456789\r\n"},
	} {
		ginkgo.It("fails the body within bounded memory if it is "+faulty.name, func() {
			client, sent := newEndlessTarget(faulty.prefix, faulty.unit)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			answer, err := client.Do(ctx, &agatestage.Call{Method: http.MethodGet, Path: "/"})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			expectBounded(sent, func() error {
				defer answer.Body.Close()
				_, err := io.Copy(io.Discard, answer.Body)
				return err
			})
		})
	}
})
