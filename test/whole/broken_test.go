package whole

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
)

const (
	// begunStream is what a target sends of a stream before it breaks off.
	begunStream = "data: first\n\ndata: sec"
	wholeStream = begunStream + "ond\n\n"
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
)

// rawTarget is a service that writes raw answers by the paths of requests, each on a
// connection of its own.
type rawTarget struct {
	*net.TCPListener
	answers map[string]func(conn *net.TCPConn)
}

func newRawTarget() *rawTarget {
	ginkgo.GinkgoHelper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	target := &rawTarget{TCPListener: listener}
	write := func(text string) func(conn *net.TCPConn) {
		return func(conn *net.TCPConn) { _, _ = io.WriteString(conn, text) }
	}
	target.answers = map[string]func(conn *net.TCPConn){
		"/ready":                    write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
		"/health":                   write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
		"/broken-in-chunks":         write(streamHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(begunStream), begunStream)),
		"/broken-within-its-length": write(streamHead + "Content-Length: 99\r\n\r\n" + begunStream),
	}
	target.answers["/whole-without-a-length"] = write(streamHead + "\r\n" + wholeStream)
	target.answers["/within-an-event-without-a-length"] = write(streamHead + "\r\n" + begunStream)
	target.answers["/within-an-event-in-chunks"] = write(streamHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(begunStream), begunStream))
	target.answers["/crash-without-a-length"] = func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, streamHead+"\r\n"+wholeStream)
		_ = listener.Close()
	}
	for i, head := range cutHeads {
		for n := range len(head) + 1 {
			for _, reset := range []bool{false, true} {
				target.answers[cutPath(i, n, false, reset)] = cut(head[:n], false, reset)
				target.answers[cutPath(i, n, true, reset)] = cut(head[:n], true, reset)
			}
		}
	}
	for path, head := range endlessAnswers {
		target.answers[path] = endless(head)
	}
	for _, status := range oddStatuses {
		target.answers["/status-"+status] = write("HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\ntext")
	}
	ginkgo.DeferCleanup(func() { _ = listener.Close() })
	go target.serve()
	return target
}

// cutHeads holds heads of answers without the line that ends them.
var cutHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n",
	streamHead + "Transfer-Encoding: chunked\r\n",
	streamHead,
	"HTTP/1.1 204 No Content\r\nServer: s\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
}

// cutPath is the path whose answer is the first n bytes of a cut head, followed by a close
// or a reset at once or after cutSilence.
func cutPath(head, n int, silent, reset bool) string {
	return fmt.Sprintf("/cut-%d-%d-%t-%t", head, n, silent, reset)
}

// cutSilence is how long a target is silent within a head before it closes.
const cutSilence = 300 * time.Millisecond

// cut returns the answer of a target that sends a part of a head.
func cut(part string, silent, reset bool) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, part)
		if silent {
			<-time.After(cutSilence)
		}
		if reset {
			_ = conn.SetLinger(0)
		}
	}
}

var oddStatuses = []string{"000", "001", "099", "101"}

func (target *rawTarget) serve() {
	for {
		conn, err := target.AcceptTCP()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if answer := target.answers[request.URL.Path]; answer != nil {
				answer(conn)
			}
		}()
	}
}

// startRawTarget starts a raw target, its side and two entries.
func (rig *rig) startRawTarget() {
	ginkgo.GinkgoHelper()
	address := netip.MustParseAddrPort(newRawTarget().Addr().String())
	rig.side("side-desk", "east-1", nil, setup.Target{Name: "desk", Kind: agatestage.KindService, Address: address, Slots: 8, Queue: 32})
	rig.startFleet()
	gomega.Eventually(func() int {
		status, _ := rig.call("entry-a", http.MethodPost, "/svc/desk/ready", "")
		return status
	}, eventTimeout, pollInterval).Should(gomega.Equal(http.StatusOK))
}

// rawAnswer is what a caller gets on a connection of its own.
type rawAnswer struct {
	raw      string
	status   int
	body     string
	complete bool
}

// ask sends a request for a path of the service with the HTTP version.
func (rig *rig) ask(version, path string) (answer rawAnswer) {
	ginkgo.GinkgoHelper()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(rig.callerURLs["entry-a"], "http://"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	gomega.Expect(conn.SetDeadline(time.Now().Add(eventTimeout))).To(gomega.Succeed())
	_, err = fmt.Fprintf(conn, "POST /svc/desk%s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", path, version, rig.key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var raw bytes.Buffer
	response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &raw)), nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), "no answer to %s but %q", path, raw.String())
	body, err := io.ReadAll(response.Body)
	return rawAnswer{raw: raw.String(), status: response.StatusCode, body: string(body), complete: err == nil}
}

var _ = ginkgo.Describe("an answer that its target breaks off", func() {
	ginkgo.It("contains only what the target sent, and doesn't look complete", func() {
		rig := newRig()
		rig.startRawTarget()
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, path := range []string{"/broken-in-chunks", "/broken-within-its-length", "/within-an-event-without-a-length", "/within-an-event-in-chunks"} {
				answer := rig.ask(version, path)
				gomega.Expect(answer.complete).To(gomega.BeFalse(), "%s %s: %q", version, path, answer.raw)
				gomega.Expect(answer.body).To(gomega.Equal(begunStream), "%s %s", version, path)
			}
		}
	})
	ginkgo.It("within its head is a refusal for its caller, whatever byte it ends at", func() {
		rig := newRig()
		rig.startRawTarget()
		expectRefused := func(path string) {
			answer := rig.ask("HTTP/1.1", path)
			gomega.Expect(answer.complete).To(gomega.BeTrue(), "%s: %q", path, answer.raw)
			gomega.Expect(answer.status).To(gomega.Equal(http.StatusBadGateway), "%s: %q", path, answer.raw)
			expectRefusal(answer.body, agatestage.CodeTargetFailed, agatestage.RanUnknown)
		}
		for i, head := range cutHeads {
			for n := range len(head) + 1 {
				expectRefused(cutPath(i, n, false, n%2 == 0))
			}
			for _, n := range []int{len(head) / 2, len(head)} {
				expectRefused(cutPath(i, n, true, n%2 == 0))
			}
		}
	})
	ginkgo.It("and whose status is none, leaves its caller a refusal", func() {
		rig := newRig()
		rig.startRawTarget()
		for _, status := range oddStatuses {
			answer := rig.ask("HTTP/1.1", "/status-"+status)
			gomega.Expect(answer.complete).To(gomega.BeTrue(), "%s: %q", status, answer.raw)
			gomega.Expect(answer.status).To(gomega.Equal(http.StatusBadGateway), "%s: %q", status, answer.raw)
			expectRefusal(answer.body, agatestage.CodeTargetFailed, agatestage.RanUnknown)
		}
	})
})

var _ = ginkgo.Describe("an answer without a length", func() {
	ginkgo.It("is complete if its target goes on, and not if it crashes", func() {
		rig := newRig()
		rig.startRawTarget()
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			answer := rig.ask(version, "/whole-without-a-length")
			gomega.Expect(answer.complete).To(gomega.BeTrue(), "%s: %q", version, answer.raw)
			gomega.Expect(answer.body).To(gomega.Equal(wholeStream))
		}
		answer := rig.ask("HTTP/1.1", "/crash-without-a-length")
		gomega.Expect(answer.complete).To(gomega.BeFalse(), "%q", answer.raw)
		gomega.Expect(answer.body).To(gomega.Equal(wholeStream))
	})
})
