package inlet_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
)

var _ = ginkgo.Describe("work on a request that goes on without its caller", func() {
	for _, leaves := range []bool{false, true} {
		ginkgo.It(fmt.Sprintf("ends when the server gives the request up in a stop, and not before, caller leaves: %t", leaves), func() {
			work, requests, goAhead := make(chan context.Context, 1), make(chan context.Context, 1), make(chan struct{})
			handler := func(writer http.ResponseWriter, request *http.Request) {
				ctx, cancel := inlet.WithoutCaller(request.Context())
				defer cancel()
				requests <- request.Context()
				work <- ctx
				<-goAhead
				_, _ = io.WriteString(writer, "done")
			}
			listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			server := inlet.New("test", &http.Server{Handler: http.HandlerFunc(handler)}, listener, agatestage.SystemClock())
			go func() { _ = server.Serve(context.Background()) }()
			conn, err := net.Dial("tcp4", listener.Addr().String())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.DeferCleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, request)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ctx := <-work
			if leaves {
				gomega.Expect(conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
				gomega.Eventually((<-requests).Done(), "10s").Should(gomega.BeClosed())
			}
			gomega.Consistently(ctx.Done(), "50ms").ShouldNot(gomega.BeClosed())
			limit, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			stopped := make(chan int, 1)
			go func() { stopped <- server.Stop(limit) }()
			gomega.Eventually(ctx.Done(), "10s").Should(gomega.BeClosed())
			gomega.Expect(inlet.GivenUp(ctx)).To(gomega.BeTrue())
			close(goAhead)
			gomega.Eventually(stopped, "10s").Should(gomega.Receive())
		})
	}
	ginkgo.It("ends with the request if that is none of a server", func() {
		parent, cancelParent := context.WithCancel(context.Background())
		ctx, cancel := inlet.WithoutCaller(parent)
		defer cancel()
		cancelParent()
		gomega.Eventually(ctx.Done(), "10s").Should(gomega.BeClosed())
	})
})
