package inlet_test

import (
	"context"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
)

// dueContext is a context whose deadline has come and that doesn't end.
type dueContext struct{ context.Context }

// Deadline implements context.Context.
func (dueContext) Deadline() (time.Time, bool) { return time.Now(), true }

var _ = ginkgo.Describe("work that outlives its caller's bytes", func() {
	ginkgo.It("is given up in a stop, so that the caller gets an answer", func() {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(false)
		caller.send("GET /without-caller HTTP/1.1\r\nHost: host\r\n\r\n")
		gomega.Eventually(fixture.started, "5s").Should(gomega.Receive())
		gomega.Expect(caller.Conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
		gomega.Eventually(fixture.cancelled, "5s").Should(gomega.Receive())
		fixture.stop(dueContext{context.Background()})
		caller.expectAnswer(true)
		fixture.expectStopped(0)
	})
})
