package serve_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/fake/fault"
	"github.com/agatestage/agatestage/internal/fake/nodes"
	"github.com/agatestage/agatestage/internal/plat/engine"
	"github.com/agatestage/agatestage/internal/side/serve"
	"github.com/agatestage/agatestage/internal/side/slots"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// linkDelay holds the packets of an answer back, in each direction.
	linkDelay = 100 * time.Millisecond
	// answerBytes is more than a link sends before it receives acknowledgements.
	answerBytes = 200 << 10
	// drainLimit is much longer than the answer takes.
	drainLimit = 20 * time.Second
)

func TestServe(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "side server")
}

// fixture is a side with one target, whose answers end only when release is closed, and
// an entry that reaches it by a slow link.
type fixture struct {
	*serve.Server
	side    *link.Node
	entry   *link.Node
	address netip.AddrPort
	release chan struct{}
}

func newFixture(options ...serve.Option) *fixture {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	clock := agatestage.SystemClock()
	authority, err := certs.NewAuthority(clock)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	newNode := func(name string, role agatestage.Role) *link.Node {
		node, err := nodes.New(ctx, authority, ginkgo.GinkgoT().TempDir(), name, role)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(node.Close)
		return node
	}
	fixture := &fixture{Server: serve.New(clock, options...), side: newNode("side-a", agatestage.RoleSide), entry: newNode("entry-a", agatestage.RoleEntry), release: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(fixture.answer))
	ginkgo.DeferCleanup(server.Close)
	backend := engine.NewService(netip.MustParseAddrPort(server.Listener.Addr().String()))
	target := state.New("target", agatestage.KindService, backend, slots.New(clock, 4, 4, func() {}), clock, func() {})
	target.SetPolicy(model.Target{Name: "target", Services: []string{"service"}, Online: true})
	gomega.Expect(target.Probe(ctx)).To(gomega.BeTrue())
	fixture.Add(target)
	fixture.Register(fixture.side)
	relay, err := fault.NewUDP(fixture.side.Address(), 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	relay.Set(fault.Faults{Delay: linkDelay})
	go func() { _ = relay.Serve(ctx) }()
	fixture.address = relay.Address()
	return fixture
}

// answer serves the target.
func (fixture *fixture) answer(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		return
	}
	writer.WriteHeader(http.StatusOK)
	gomega.Expect(http.NewResponseController(writer).Flush()).To(gomega.Succeed())
	<-fixture.release
	_, _ = writer.Write(bytes.Repeat([]byte{'a'}, answerBytes))
}

// begin sends a call and receives the head of its answer.
func (fixture *fixture) begin() (stream *link.Stream, finish func()) {
	ginkgo.GinkgoHelper()
	var err error
	stream, finish, err = fixture.entry.Begin(context.Background(), fixture.address, calls.KindCall)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	call := agatestage.Call{ID: "call", Service: "service", Method: http.MethodGet, Path: "/", Timeout: time.Minute}
	gomega.Expect(stream.Send(calls.Request{Target: "target", Call: call})).To(gomega.Succeed())
	var part calls.AnswerPart
	gomega.Expect(stream.Receive(&part)).To(gomega.Succeed())
	gomega.Expect(part.Head).NotTo(gomega.BeNil())
	return stream, finish
}

// expectRest receives the rest of an answer, which must be whole.
func expectRest(stream *link.Stream) {
	ginkgo.GinkgoHelper()
	for received := 0; ; {
		var part calls.AnswerPart
		gomega.Expect(stream.Receive(&part)).To(gomega.Succeed())
		received += len(part.Data)
		if part.End != nil {
			gomega.Expect([]any{part.End.Refusal, received}).To(gomega.Equal([]any{(*agatestage.Refusal)(nil), answerBytes}))
			return
		}
	}
}

var _ = ginkgo.Describe("a side that is stopped", func() {
	ginkgo.It("closes its links only when the ends of its answers have arrived", func() {
		fixture := newFixture()
		stream, finish := fixture.begin()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			fixture.Drain(drainLimit)
			_ = fixture.side.Close()
		}()
		close(fixture.release)
		expectRest(stream)
		finish()
		gomega.Eventually(stopped, drainLimit/2).Should(gomega.BeClosed())
	})
	ginkgo.It("waits no longer than its limit for an entry that doesn't end an exchange", func() {
		fixture := newFixture()
		stream, finish := fixture.begin()
		defer finish()
		close(fixture.release)
		expectRest(stream)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			fixture.Drain(linkDelay)
		}()
		gomega.Eventually(stopped, drainLimit).Should(gomega.BeClosed())
	})
	ginkgo.It("refuses a call as not run that was on its way when the stop began", func() {
		fixture := newFixture(serve.WithNotice(drainLimit))
		stream, finish, err := fixture.entry.Begin(context.Background(), fixture.address, calls.KindCall)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer finish()
		call := agatestage.Call{ID: "call", Service: "service", Method: http.MethodPost, Path: "/", Timeout: time.Minute}
		gomega.Expect(stream.Send(calls.Request{Target: "target", Call: call})).To(gomega.Succeed())
		go func() {
			fixture.Drain(drainLimit)
			_ = fixture.side.Close()
		}()
		var part calls.AnswerPart
		gomega.Expect(stream.Receive(&part)).To(gomega.Succeed())
		gomega.Expect(part.End).NotTo(gomega.BeNil())
		gomega.Expect(part.End.Refusal.Code).To(gomega.Equal(agatestage.CodeStopping))
	})
	ginkgo.It("ends after its notice if nothing runs", func() {
		fixture := newFixture(serve.WithNotice(linkDelay))
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			fixture.Drain(time.Hour)
		}()
		gomega.Eventually(stopped, drainLimit).Should(gomega.BeClosed())
	})
})
