package callers

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/agatestage/agatestage"
)

// cork holds back what is sent until the sending side is closed.
func (conn *conn) cork() {
	ginkgo.GinkgoHelper()
	raw, err := conn.SyscallConn()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })).To(gomega.Succeed())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// sendClosed sends a request with the end of the caller's bytes right behind it.
func sendClosed(entry string, request request) *conn {
	ginkgo.GinkgoHelper()
	conn := dial(entry)
	ginkgo.DeferCleanup(func() { _ = conn.Close() })
	conn.cork()
	conn.send(request)
	conn.closeWrite()
	return conn
}

// leavers is the number of callers that leave, one after the other.
const leavers = 20

var _ = ginkgo.Describe("a call whose caller has closed its sending side", func() {
	for _, protocol := range protocols {
		for _, path := range []string{"/svc/desk/orders/left", "/v1/completions"} {
			ginkgo.It(fmt.Sprintf("behind it is refused as not run and passed to no target, %s %s", path, protocol), func() {
				gomega.Eventually(running, patience, pollInterval).Should(gomega.BeZero())
				before, completions := calls(), fleet.Engines["engine"].Stats().Requests
				for range leavers {
					conn := sendClosed(entryName, request{path: path, version: protocol, body: completion(1, true)})
					conn.expectRefusal(agatestage.CodeCallerLeft, agatestage.RanNo)
				}
				gomega.Expect([]any{calls(), fleet.Engines["engine"].Stats().Requests}).To(gomega.Equal([]any{before, completions}))
			})
		}
	}
	ginkgo.It("before a target was found is refused as not run", func() {
		conn := begin(entryName, request{path: "/svc/nowhere/"})
		conn.closeWrite()
		conn.expectRefusal(agatestage.CodeCallerLeft, agatestage.RanNo)
	})
	ginkgo.It("behind the next request, sent without waiting, is refused as not run, and so is the next", func() {
		conn := dial(entryName)
		ginkgo.DeferCleanup(func() { _ = conn.Close() })
		conn.cork()
		conn.send(request{path: "/svc/desk/orders/first"})
		conn.send(request{path: "/svc/desk/orders/second"})
		conn.closeWrite()
		for range 2 {
			conn.expectRefusal(agatestage.CodeCallerLeft, agatestage.RanNo)
		}
	})
})
