package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/conns"
)

var _ = ginkgo.Describe("a connection in use when the idle ones of its target are closed", func() {
	ginkgo.It("is closed at the end of its exchange, and later ones are kept", func() {
		var opened, closed atomic.Int32
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "good") }))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				opened.Add(1)
			case http.StateClosed:
				closed.Add(1)
			}
		}
		server.Start()
		ginkgo.DeferCleanup(server.Close)
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		ginkgo.DeferCleanup(cancel)
		pool := conns.New(agatestage.SystemClock())
		exchange := func(during func()) {
			response, err := pool.Do(ctx, address, &conns.Request{Method: http.MethodPost, Host: "host", URI: "/", Header: make(http.Header)})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			during()
			_, err = io.ReadAll(response)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			response.Close()
		}
		exchange(func() { pool.CloseIdle(address) })
		gomega.Eventually(closed.Load, time.Minute).Should(gomega.BeEquivalentTo(1))
		exchange(func() {})
		exchange(func() {})
		gomega.Expect(opened.Load()).To(gomega.BeEquivalentTo(2))
	})
})
