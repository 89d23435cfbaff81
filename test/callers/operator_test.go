package callers

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/entry/admin"
)

// operateClosed sends an operator's request with the end of its bytes right behind it, and
// decodes the answer.
func operateClosed(path, body string, answer any) {
	ginkgo.GinkgoHelper()
	tcp, err := net.Dial("tcp4", strings.TrimPrefix(fleet.AdminURL(entryName), "http://"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = tcp.Close() })
	gomega.Expect(tcp.SetDeadline(time.Now().Add(patience))).To(gomega.Succeed())
	conn := &conn{TCPConn: tcp.(*net.TCPConn), reader: bufio.NewReader(tcp)}
	conn.cork()
	_, err = fmt.Fprintf(conn, "POST /admin/v1%s HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, fleet.Operator.Secret, len(body), body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	conn.closeWrite()
	status, text := conn.finish()
	gomega.Expect(status).To(gomega.Equal(http.StatusOK), text)
	gomega.Expect(json.Unmarshal([]byte(text), answer)).To(gomega.Succeed())
}

var _ = ginkgo.Describe("an operator that has closed its sending side behind a request", func() {
	ginkgo.It("gets its plan, and learns that the confirmed one is in force", func() {
		var created admin.CreatedKey
		operateClosed("/keys", fmt.Sprintf(`{"Organisation":%q}`, organisation), &created)
		var confirmed admin.Confirmed
		operateClosed("/plans/"+created.Plan.Digest+"/confirm", "", &confirmed)
		gomega.Expect(confirmed.Revision).NotTo(gomega.BeZero())
		gomega.Expect(confirmed.Everywhere).To(gomega.BeTrue())
	})
})
