package inlet_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"k8s.io/klog/v2"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
)

// begun is the beginning of a request that net/http doesn't refuse by itself.
const begun = "GET / HTTP/1.1\r\nHost: h\r\n"

// countedReasons are all reasons for which a request that no handler got may be counted.
var countedReasons = []string{"header time", "not served", "closed", "drain limit"}

// expectNoneCounted expects that no request is counted during the call, after which its
// connection has ended at the server.
func (fixture *fixture) expectNoneCounted(call func()) {
	ginkgo.GinkgoHelper()
	counts := func() (counts []int) {
		for _, why := range countedReasons {
			counts = append(counts, unanswered(why))
		}
		return counts
	}
	before := counts()
	call()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// A stop returns once all connections have ended.
	gomega.Expect(fixture.Stop(ctx)).To(gomega.BeZero())
	gomega.Expect(counts()).To(gomega.Equal(before))
}

var _ = ginkgo.Describe("a request that no handler got", func() {
	brief := withHeaderTime(50 * time.Millisecond)
	for name, kept := range map[string]bool{"a kept": true, "a new": false} {
		ginkgo.It("is counted if the time for its header passes, on "+name+" connection", func() {
			caller := newFixture(agatestage.SystemClock(), brief).dial(kept)
			expectCounted("header time", func() {
				caller.send(begun)
				caller.expectClosed()
			})
		})
		ginkgo.It("is counted if this process closes its connection, "+name+" one", func() {
			fixture := newFixture(agatestage.SystemClock())
			caller := fixture.dial(kept)
			raw := <-fixture.raw
			expectCounted("not served", func() {
				caller.send(begun)
				caller.awaitArrival()
				_ = raw.Close()
			})
		})
		ginkgo.It("isn't counted if its caller leaves, from "+name+" connection", func() {
			fixture := newFixture(agatestage.SystemClock())
			caller := fixture.dial(kept)
			fixture.expectNoneCounted(func() {
				caller.send(begun)
				gomega.Expect(caller.Close()).To(gomega.Succeed())
			})
		})
	}
	ginkgo.It("isn't counted if its caller resets the connection", func() {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(false)
		fixture.expectNoneCounted(func() {
			caller.send(begun)
			gomega.Expect(caller.Conn.(*net.TCPConn).SetLinger(0)).To(gomega.Succeed())
			gomega.Expect(caller.Close()).To(gomega.Succeed())
		})
	})
	ginkgo.It("isn't counted if nothing of it has arrived", func() {
		fixture := newFixture(agatestage.SystemClock(), brief)
		caller := fixture.dial(false)
		fixture.expectNoneCounted(caller.expectClosed)
	})
	ginkgo.It("isn't counted if the server refuses it", func() {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(true)
		fixture.expectNoneCounted(func() {
			caller.send("no request\r\n\r\n")
			response, err := http.ReadResponse(caller.reader, nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadRequest))
		})
	})
	ginkgo.It("is counted once at the limit of a stop", func() {
		fixture := newFixture(agatestage.SystemClock())
		caller := fixture.dial(true)
		caller.send(begun)
		caller.awaitArrival()
		ctx, cancel := context.WithCancel(context.Background())
		fixture.stop(ctx)
		before := unanswered("not served")
		expectCounted("drain limit", func() {
			cancel()
			fixture.expectStopped(1)
		})
		gomega.Expect(unanswered("not served")).To(gomega.Equal(before))
	})
	for name, line := range map[string]string{"": "", " by this process, not by its caller": "Connection: close\r\n"} {
		ginkgo.It("is counted if it comes behind an answer that announces the close"+name, func() {
			fixture := newFixture(agatestage.SystemClock())
			caller := fixture.dial(true)
			caller.send("GET /part HTTP/1.1\r\n")
			caller.awaitArrival()
			fixture.stop(context.Background())
			caller.send(line + "Host: h\r\n\r\n")
			gomega.Eventually(fixture.started, "5s").Should(gomega.Receive())
			before := unanswered("not served")
			caller.send(request)
			caller.awaitArrival()
			close(fixture.goAhead)
			fixture.expectStopped(0)
			counted := 1
			if line != "" {
				counted = 0
			}
			gomega.Expect(unanswered("not served")).To(gomega.Equal(before + counted))
		})
	}
	ginkgo.It("is logged at most once a second, however many there are", func() {
		var log bytes.Buffer
		klog.LogToStderr(false)
		klog.SetOutput(&log)
		fixture := newFixture(clocktest.NewFakeClock(time.Unix(1000, 0)), brief)
		for range maxConns {
			caller := fixture.dial(false)
			expectCounted("header time", func() {
				caller.send(begun)
				caller.expectClosed()
			})
		}
		klog.Flush()
		klog.LogToStderr(true)
		gomega.Expect(strings.Count(log.String(), `"request without a whole answer" why="header time"`)).To(gomega.Equal(1))
	})
})
