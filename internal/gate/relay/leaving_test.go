package relay_test

import (
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/relay"
)

// leavingLine is the header of an answer of a target that is leaving.
const leavingLine = headerLeaving + ": 1"

// batchItem returns the plan of an item that goes on after its second event.
func batchItem() relay.Plan {
	plan := stream()
	plan.Batch, plan.Attempts, plan.ResumeAfter = true, 1, 2
	return plan
}

var _ = ginkgo.Describe("a target whose answer states that it is leaving", func() {
	plans := map[string]func() relay.Plan{"call that may run once": plan, "call that may be repeated": repeatable, "stream": stream, "batch item that is resumed": batchItem}
	for answer, script := range map[string]func(*exchange) bool{
		"a success": func(exchange *exchange) bool { return exchange.respond(http.StatusOK, "good", leavingLine) },
		"a failure": func(exchange *exchange) bool {
			return exchange.respond(http.StatusInternalServerError, "bad", leavingLine)
		},
		"a rejection": func(exchange *exchange) bool { return exchange.respond(503, "", headerNotRun+": 1", leavingLine) },
		"a 421":       func(exchange *exchange) bool { return exchange.respond(http.StatusMisdirectedRequest, "", leavingLine) },
		"the head of a stream": func(exchange *exchange) bool {
			exchange.write("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\n%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
				headerID, exchange.id, headerMark, leavingLine)
			return exchange.end()
		},
	} {
		for kind, next := range plans {
			ginkgo.It("gets no "+kind+" after "+answer+" although an old list follows", func() {
				first, second := newTarget(script), newTarget(streamAll)
				fixture := newFixture(first, second)
				fixture.send("first", repeatable())
				fixture.sched.Apply(fixture.endpoints)
				gomega.Expect(first.requests()).To(gomega.Equal(1))
				before := second.requests()
				for _, id := range []string{"first", "second"} {
					fixture.send(id, next())
				}
				gomega.Expect(first.requests()).To(gomega.Equal(1))
				gomega.Expect(second.requests()).To(gomega.Equal(before + 2))
			})
		}
	}
	ginkgo.It("completes the call that it runs and keeps no connection", func() {
		release, closed := make(chan struct{}), make(chan struct{})
		first := newTarget(func(exchange *exchange) bool {
			if exchange.id != "slow" {
				return exchange.respond(http.StatusOK, "good", leavingLine)
			}
			<-release
			exchange.respond(http.StatusOK, "slow")
			_, err := exchange.conn.Read(make([]byte, 1))
			gomega.Expect(err).To(gomega.HaveOccurred())
			close(closed)
			return false
		})
		fixture := newFixture(first)
		var slow sync.WaitGroup
		slow.Go(func() {
			defer ginkgo.GinkgoRecover()
			result, sink := fixture.send("slow", plan())
			expectAnswer(result, sink, http.StatusOK, "slow")
		})
		gomega.Eventually(first.requests, time.Minute).Should(gomega.Equal(1))
		fixture.send("first", plan())
		close(release)
		slow.Wait()
		gomega.Eventually(closed, time.Minute).Should(gomega.BeClosed())
		result, _ := fixture.send("second", plan())
		expectRefusal(result, agatestage.RanNo)
		gomega.Expect(first.requests()).To(gomega.Equal(2))
	})
	ginkgo.It("is used on if the answer belongs to another call", func() {
		first := newTarget(func(exchange *exchange) bool {
			exchange.write("HTTP/1.1 200 OK\r\n%s: other\r\n%s\r\nContent-Length: 0\r\n\r\n", headerID, leavingLine)
			return exchange.respond(http.StatusOK, "good")
		})
		fixture := newFixture(first, newTarget(succeed))
		fixture.serve(plan())
		fixture.serve(plan())
		gomega.Expect(first.requests()).To(gomega.Equal(2))
	})
})
