package inlet_test

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
)

// slowBodies are requests that wait for go-ahead, by what their bodies are like.
var slowBodies = map[string]string{
	"without a body":         slowRequest,
	"with a body":            "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
	"whose lines end in \\n": "POST /slow HTTP/1.1\nHost: h\nContent-Length: 4\n\nbody",
}

// runUntilStop sends a slow request, then a text behind it, and begins a stop.
func (fixture *fixture) runUntilStop(kept bool, slow, behind string) *caller {
	ginkgo.GinkgoHelper()
	caller := fixture.dial(kept)
	caller.send(slow)
	gomega.Eventually(fixture.started, "5s").Should(gomega.Receive())
	caller.send(behind)
	caller.awaitArrival()
	fixture.stop(context.Background())
	close(fixture.goAhead)
	return caller
}

var _ = ginkgo.Describe("a request behind the one that runs when a stop begins", func() {
	for name, slow := range slowBodies {
		for connection, kept := range map[string]bool{"a kept": true, "a new": false} {
			ginkgo.It("is answered, and its answer announces the close: behind one "+name+" on "+connection+" connection", func() {
				fixture := newFixture(agatestage.SystemClock())
				caller := fixture.runUntilStop(kept, slow, request)
				caller.expectAnswer(false)
				caller.expectAnswer(true)
				caller.expectClosed()
				fixture.expectStopped(0)
			})
		}
		ginkgo.It("is answered, though only half of it has arrived: behind one "+name, func() {
			fixture := newFixture(agatestage.SystemClock())
			caller := fixture.runUntilStop(true, slow, request[:half])
			caller.expectAnswer(false)
			caller.send(request[half:])
			caller.expectAnswer(true)
			caller.expectClosed()
			fixture.expectStopped(0)
		})
		ginkgo.It("is answered like all that were sent with it: behind one "+name, func() {
			const behind = 5
			fixture := newFixture(agatestage.SystemClock())
			caller := fixture.runUntilStop(false, slow+strings.Repeat(request, behind), "")
			for range behind + 1 {
				caller.expectAnswer(false)
			}
			caller.expectClosed()
			fixture.expectStopped(0)
		})
	}
	ginkgo.It("doesn't hold the stop up if another one is behind it each time", func() {
		stopping, callers := make(chan struct{}), make(chan *caller, 1)
		fixture := newFixture(agatestage.SystemClock(), func(server *http.Server) {
			server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				caller := <-callers
				defer func() { callers <- caller }()
				<-stopping
				_, _ = io.WriteString(caller, request)
				_, _ = io.WriteString(writer, "answer")
			})
		})
		caller := fixture.dial(false)
		go func() { _, _ = io.Copy(io.Discard, caller.reader) }()
		caller.send(request)
		callers <- caller
		fixture.stop(context.Background())
		close(stopping)
		fixture.expectStopped(0)
	})
})

var _ = ginkgo.Describe("the answer to a request that runs when a stop begins", func() {
	bodies := map[string]string{
		"in chunks":               "POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"of several lines":        "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\na\r\n\r\nb\r\n",
		"that is long":            "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("a", long),
		"behind a long header":    "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nFiller: " + strings.Repeat("a", long) + "\r\n\r\nbody",
		"that has arrived partly": "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\nbody",
	}
	for name, slow := range slowBodies {
		bodies[name] = slow
	}
	for name, slow := range bodies {
		for connection, kept := range map[string]bool{"a kept": true, "a new": false} {
			ginkgo.It("announces the close if none is behind it: "+name+", on "+connection+" connection", func() {
				fixture := newFixture(agatestage.SystemClock())
				caller := fixture.runUntilStop(kept, slow, "")
				response, err := http.ReadResponse(caller.reader, nil)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(response.Close).To(gomega.BeTrue())
			})
		}
	}
})
