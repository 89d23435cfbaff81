package inlet_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
)

var _ = ginkgo.Describe("a stop while connections wait to be accepted", func() {
	unchanged := func(*http.Server) {}
	ginkgo.It("answers the requests on them", func() {
		busy := newBusyFixture(unchanged)
		var callers []*caller
		for range maxConns {
			callers = append(callers, busy.send(request))
		}
		go func() { busy.stopped <- busy.Stop(context.Background()) }()
		// A stop that doesn't wait for the queue closes it meanwhile.
		time.Sleep(50 * time.Millisecond)
		close(busy.release)
		for _, caller := range callers {
			caller.expectAnswer(true)
			caller.expectClosed()
		}
		busy.expectStopped(0)
	})
	ginkgo.It("accepts no more than these, though callers connect without end", func() {
		fixture := newFixture(agatestage.SystemClock(), func(server *http.Server) {
			server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
				if conn, err := net.Dial("tcp4", raw.LocalAddr().String()); err == nil {
					_ = conn.Close()
				}
				return ctx
			}
		})
		for range maxConns {
			fixture.connect()
		}
		fixture.stop(context.Background())
		fixture.expectStopped(0)
	})
	ginkgo.It("waits for them until its limit only, if they aren't accepted", func() {
		busy := newBusyFixture(unchanged)
		for range 2 {
			busy.send(request)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		go func() { busy.stopped <- busy.Stop(ctx) }()
		gomega.Eventually(func() error {
			conn, err := net.Dial("tcp4", busy.Addr().String())
			if err == nil {
				_ = conn.Close()
			}
			return err
		}, "5s").Should(gomega.MatchError(syscall.ECONNREFUSED))
		close(busy.release)
		gomega.Eventually(busy.stopped, "5s").Should(gomega.Receive())
	})
})
