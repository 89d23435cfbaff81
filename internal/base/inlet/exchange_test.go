package inlet_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
)

// unanswered returns the number of requests without a whole answer for a reason.
func unanswered(why string) int {
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(line, `agatestage_unanswered_requests_total{why="`+why+`"} `); ok {
			count, err := strconv.Atoi(strings.TrimSpace(value))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return count
		}
	}
	return 0
}

// expectCounted expects that a single request has no whole answer, for a reason.
func expectCounted(why string, end func()) {
	ginkgo.GinkgoHelper()
	before := unanswered(why)
	end()
	gomega.Eventually(func() int { return unanswered(why) }, "5s").Should(gomega.Equal(before + 1))
}

var _ = ginkgo.Describe("a request without a whole answer", func() {
	slow := func() (*fixture, *caller) {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(true)
		caller.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		<-fixture.started
		return fixture, caller
	}
	ginkgo.It("is counted as left by its caller", func() {
		fixture, caller := slow()
		expectCounted("caller left", func() {
			gomega.Expect(caller.Conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
			<-fixture.cancelled
			close(fixture.goAhead)
		})
	})
	ginkgo.It("is counted as closed by this process", func() {
		fixture, caller := slow()
		expectCounted("closed", func() {
			gomega.Expect((<-fixture.raw).Close()).To(gomega.Succeed())
			<-fixture.cancelled
			close(fixture.goAhead)
		})
		caller.expectClosed()
	})
	ginkgo.It("is counted as broken off by its handler", func() {
		caller := newFixture(agatestage.SystemClock()).dial(true)
		expectCounted("broken off", func() {
			caller.send("GET /abort HTTP/1.1\r\nHost: h\r\n\r\n")
			caller.expectBroken()
		})
	})
	ginkgo.It("isn't complete if its handler fails after the answer has begun", func() {
		caller := newFixture(agatestage.SystemClock()).dial(true)
		expectCounted("handler failed", func() {
			caller.send("GET /late-panic HTTP/1.1\r\nHost: h\r\n\r\n")
			caller.expectBroken()
		})
	})
})

var _ = ginkgo.Describe("a request whose handler fails before it answers", func() {
	for _, path := range []string{"/panic", "/odd-status"} {
		ginkgo.It("is answered with status 500, and its connection is kept: "+path, func() {
			caller := newFixture(agatestage.SystemClock()).dial(true)
			expectCounted("handler failed", func() {
				caller.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
				response, err := http.ReadResponse(caller.reader, nil)
				gomega.Expect(err).NotTo(gomega.HaveOccurred(), "no answer")
				gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
				gomega.Expect(io.Copy(io.Discard, response.Body)).To(gomega.BeNumerically(">", 0))
			})
			caller.send(request)
			caller.expectAnswer(false)
		})
	}
})

var _ = ginkgo.Describe("the answer to a request whose handler fails", func() {
	ginkgo.It("bears no header of the answer that the handler had begun", func() {
		caller := newFixture(agatestage.SystemClock()).dial(true)
		caller.send("GET /headed-panic HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(caller.reader, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), "no answer")
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
		gomega.Expect(response.Header).NotTo(gomega.HaveKey("Seal"))
	})
})

// expectBroken expects that the connection is closed without a whole answer.
func (caller *caller) expectBroken() {
	ginkgo.GinkgoHelper()
	response, err := http.ReadResponse(caller.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	gomega.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
}

var _ = ginkgo.Describe("a request without an answer at the end of a stop", func() {
	ginkgo.It("gets a failure, though its handler only returns", func() {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(true)
		caller.send("GET /until-cancelled HTTP/1.1\r\nHost: h\r\n\r\n")
		<-fixture.started
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		fixture.stop(ctx)
		response, err := http.ReadResponse(caller.reader, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout))
		gomega.Expect(response.Close).To(gomega.BeTrue())
		fixture.expectStopped(0)
	})
})
