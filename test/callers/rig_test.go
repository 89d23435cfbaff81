// Package callers holds tests of callers whose bytes end behind a request, with a fleet of entries and sides in this process.
package callers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/entry/reply"
	"github.com/agatestage/agatestage/internal/fake/engine"
	"github.com/agatestage/agatestage/internal/tool/client"
	"github.com/agatestage/agatestage/internal/tool/world"
)

const (
	modelName    = "wording"
	serviceName  = "desk"
	organisation = "lothian"
	// entryName keeps a copy of each job that it accepts, as otherEntry does; farEntry keeps none of them.
	entryName, otherEntry, farEntry = "entry-a", "entry-b", "entry-c"
	patience                        = time.Minute
	pollInterval                    = 20 * time.Millisecond
)

// fleet is the fleet under test, and key that of its callers.
var (
	fleet *world.World
	key   string
)

func TestCallers(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "callers")
}

var _ = ginkgo.BeforeSuite(func() {
	near, far := world.Place{Region: "east", Zone: "east-1"}, world.Place{Region: "east", Zone: "east-2"}
	var err error
	fleet, err = world.New(ginkgo.GinkgoT().TempDir(), world.Spec{
		Home:     "east",
		Entries:  []world.Entry{{Place: near, Name: entryName}, {Place: far, Name: otherEntry}, {Place: near, Name: farEntry}},
		Engines:  []world.Engine{{Place: near, Name: "engine", Model: modelName, Slots: 8, Timing: engine.Timing{Step: 20 * time.Millisecond}}},
		Services: []world.Service{{Place: near, Name: serviceName}},
	})
	ginkgo.DeferCleanup(func() { gomega.Expect(fleet.Stop()).To(gomega.Succeed()) })
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	operator := client.New(fleet.AdminURL(entryName), fleet.Operator.Secret)
	plan, err := operator.Plan(ctx, model.Intent{
		Organisations: []model.Organisation{{Name: organisation, Rate: 1000, Burst: 1000}},
		Models:        []model.Model{{Name: modelName, Version: "1"}},
		Services:      []model.Service{{Name: serviceName, Idempotent: []string{http.MethodGet}}, {Name: "nowhere"}},
		Routes: []model.Route{
			{Name: "chat", Model: modelName, Batch: true}, {Name: "orders", Service: serviceName}, {Name: "nowhere", Service: "nowhere"},
		},
		Targets: []model.Target{
			{Name: "engine", Models: []string{modelName}, Online: true, Batch: true}, {Name: serviceName, Services: []string{serviceName}, Online: true},
		},
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = operator.Confirm(ctx, plan.Digest)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	created, err := operator.CreateKey(ctx, admin.NewKey{Organisation: organisation})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = operator.Confirm(ctx, created.Plan.Digest)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	key = created.Key
	for _, entry := range []string{entryName, otherEntry, farEntry} {
		for _, request := range []request{{method: http.MethodGet, path: "/svc/desk/orders/none"}, {path: "/v1/completions", body: completion(1, false)}} {
			gomega.Eventually(func() int {
				conn := dial(entry)
				defer conn.Close()
				conn.send(request)
				return conn.receive().StatusCode
			}, patience, pollInterval).Should(gomega.Equal(http.StatusOK))
		}
	}
})

type request struct {
	method, path, version, lines, body string
}

func (request request) String() string {
	or := func(value, other string) string {
		if value == "" {
			return other
		}
		return value
	}
	return fmt.Sprintf("%s %s %s\r\nHost: host\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", or(request.method, http.MethodPost), request.path,
		or(request.version, "HTTP/1.1"), key, request.lines, len(request.body), request.body)
}

func completion(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"prompt":"a few words"}`, modelName, stream, tokens)
}

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func dial(entry string) *conn {
	ginkgo.GinkgoHelper()
	tcp, err := net.Dial("tcp4", fleet.Entries[entry].CallerAddress())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(tcp.SetDeadline(time.Now().Add(patience))).To(gomega.Succeed())
	return &conn{TCPConn: tcp.(*net.TCPConn), reader: bufio.NewReader(tcp)}
}

func (conn *conn) send(request request) {
	ginkgo.GinkgoHelper()
	_, err := io.WriteString(conn, request.String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

func (conn *conn) closeWrite() {
	ginkgo.GinkgoHelper()
	gomega.Expect(conn.CloseWrite()).To(gomega.Succeed())
}

func (conn *conn) receive() *http.Response {
	ginkgo.GinkgoHelper()
	response, err := http.ReadResponse(conn.reader, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response
}

// begin sends a request on a new connection.
func begin(entry string, request request) *conn {
	ginkgo.GinkgoHelper()
	conn := dial(entry)
	ginkgo.DeferCleanup(func() { _ = conn.Close() })
	conn.send(request)
	return conn
}

// finish reads an answer, which must be whole, and returns its status and body.
func (conn *conn) finish() (int, string) {
	ginkgo.GinkgoHelper()
	response := conn.receive()
	var body bytes.Buffer
	_, err := body.ReadFrom(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), "the answer is broken off")
	return response.StatusCode, body.String()
}

func (conn *conn) expectRefusal(code agatestage.Code, ran agatestage.Ran) {
	ginkgo.GinkgoHelper()
	status, body := conn.finish()
	var problem reply.Problem
	gomega.Expect(json.NewDecoder(strings.NewReader(body)).Decode(&problem)).To(gomega.Succeed(), "status %d: %q", status, body)
	gomega.Expect([]any{problem.Code, problem.Ran, status}).To(gomega.Equal([]any{code, ran, (&agatestage.Refusal{Code: code}).Status()}), problem.Message)
}
