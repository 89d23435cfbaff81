package whole

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// endlessTime is how long endlessCallers get answers without an end.
	endlessTime    = 5 * time.Second
	endlessCallers = 40
	// maxResident is the memory of the smallest gateways of the users' deployments, in bytes,
	// which an entry must not exceed either.
	maxResident = 184 << 20
)

// endlessAnswers are heads of answers that their target continues until its caller closes.
var endlessAnswers = map[string]string{
	"/endless-length":  "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
	"/endless-close":   "HTTP/1.1 200 OK\r\n\r\n",
	"/endless-stream":  streamHead + "\r\n",
	"/endless-trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
}

// endless returns the answer of a target that goes on until its caller closes.
func endless(head string) func(conn *net.TCPConn) {
	block := strings.Repeat("x: 0123456789abcdef\r\n", 1<<10)
	return func(conn *net.TCPConn) {
		for _, err := io.WriteString(conn, head); err == nil; {
			_, err = io.WriteString(conn, block)
		}
	}
}

// residentPeak returns the largest resident size of the process so far, in bytes.
func (process *process) residentPeak() int {
	ginkgo.GinkgoHelper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.cmd.Process.Pid))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	ginkgo.Fail("no VmHWM in the status of " + process.name)
	return 0
}

// callEndless asks for an answer without an end until the time is over, and reads all of it
// or nothing.
func (rig *rig) callEndless(path string, reads bool, end time.Time) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp4", strings.TrimPrefix(rig.callerURLs["entry-a"], "http://"))
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(end)
		_, _ = fmt.Fprintf(conn, "POST /svc/desk%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", path, rig.key)
		if reads {
			_, _ = io.Copy(io.Discard, conn)
		} else {
			<-time.After(time.Until(end))
		}
		_ = conn.Close()
	}
}

var _ = ginkgo.Describe("answers without an end", func() {
	for name, reads := range map[string]bool{"read all of it": true, "read nothing": false} {
		ginkgo.It("leave the memory of entries and sides bounded whose callers "+name, func() {
			rig := newRig()
			rig.startRawTarget()
			end := time.Now().Add(endlessTime)
			var callers sync.WaitGroup
			for range endlessCallers / len(endlessAnswers) {
				for path := range endlessAnswers {
					callers.Go(func() { rig.callEndless(path, reads, end) })
				}
			}
			callers.Wait()
			for _, name := range []string{"entry-a", "side-desk"} {
				peak := rig.processes[name].residentPeak()
				fmt.Fprintf(ginkgo.GinkgoWriter, "%s: peak %d MB\n", name, peak>>20)
				gomega.Expect(peak).To(gomega.BeNumerically("<=", maxResident), name)
			}
		})
	}
})
