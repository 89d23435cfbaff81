package callers

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
)

// manyTokens is the length of a completion that doesn't end before a test does.
const manyTokens = 4000

// calls returns how many requests the service has seen.
func calls() int { return len(fleet.Services[serviceName].Seen()) }

// running returns how many completions the engine runs.
func running() int { return fleet.Engines["engine"].Stats().Running }

var protocols = []string{"HTTP/1.1", "HTTP/1.0"}

var _ = ginkgo.Describe("a call whose caller closes its sending side", func() {
	for _, protocol := range protocols {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			ginkgo.It(fmt.Sprintf("while a service runs it is told that it may have run, %s %s", method, protocol), func() {
				fleet.Services[serviceName].SetDelay(time.Hour)
				ginkgo.DeferCleanup(func() { fleet.Services[serviceName].SetDelay(0) })
				before := calls()
				conn := begin(entryName, request{method: method, path: "/svc/desk/orders/running", version: protocol})
				gomega.Eventually(calls, patience, pollInterval).Should(gomega.Equal(before + 1))
				conn.closeWrite()
				conn.expectRefusal(agatestage.CodeDeadline, agatestage.RanUnknown)
				gomega.Expect(calls()).To(gomega.Equal(before + 1))
			})
		}
		ginkgo.It("before its completion has begun is told that it may have run, "+protocol, func() {
			gomega.Eventually(running, patience, pollInterval).Should(gomega.BeZero())
			conn := begin(entryName, request{path: "/v1/completions", version: protocol, body: completion(manyTokens, false)})
			gomega.Eventually(running, patience, pollInterval).Should(gomega.Equal(1))
			conn.closeWrite()
			conn.expectRefusal(agatestage.CodeDeadline, agatestage.RanUnknown)
		})
		ginkgo.It("in the middle of a stream gets no stream that looks complete, "+protocol, func() {
			conn := begin(entryName, request{path: "/v1/completions", version: protocol, body: completion(manyTokens, true)})
			response := conn.receive()
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
			_, err := io.ReadFull(response.Body, make([]byte, 100))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			conn.closeWrite()
			_, err = io.Copy(io.Discard, response.Body)
			gomega.Expect(err).To(gomega.HaveOccurred())
		})
	}
})
