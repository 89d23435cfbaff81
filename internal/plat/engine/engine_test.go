package engine_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/plat/engine"
)

func TestEngine(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "engine")
}

const (
	// endless is how much a faulty engine sends before it gives up, in bytes.
	endless = 256 << 20
	// maxAllocated bounds what is allocated for one reply, in bytes. A side of 216 MB asks
	// its engine every second.
	maxAllocated = 16 << 20
)

// newEndlessEngine returns the address of an engine whose replies have no end.
func newEndlessEngine() netip.AddrPort {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	block := strings.Repeat(" ", 64<<10)
	go func() {
		conn, acceptErr := listener.Accept()
		if acceptErr != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4<<10))
		total, writeErr := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n[")
		for total < endless && writeErr == nil {
			var n int
			n, writeErr = io.WriteString(conn, block)
			total += n
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

var _ = ginkgo.Describe("an engine whose reply has no end", func() {
	ginkgo.It("isn't ready, and costs bounded memory", func() {
		faulty := engine.New(newEndlessEngine())
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := faulty.Holdings(context.Background())
		runtime.ReadMemStats(&after)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", maxAllocated))
	})
})
