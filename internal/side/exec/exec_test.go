package exec_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/plat/engine"
	"github.com/agatestage/agatestage/internal/side/exec"
	"github.com/agatestage/agatestage/internal/side/slots"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

func TestExec(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "exec")
}

// sink drops an answer.
type sink struct{}

func (sink) Head(int, http.Header) error        { return nil }
func (sink) Data(context.Context, []byte) error { return nil }

// fixture is a target that breaks off its answers to calls, and a client of it.
type fixture struct {
	*state.Target
	server *httptest.Server
	// silent targets answer no probes. Ending ones break off the first probe after a
	// call, too, and then stop listening.
	silent atomic.Bool
	ending atomic.Bool
	over   chan struct{}
}

func newFixture() *fixture {
	fixture := &fixture{over: make(chan struct{})}
	fixture.server = httptest.NewServer(http.HandlerFunc(fixture.serve))
	ginkgo.DeferCleanup(func() {
		close(fixture.over)
		fixture.server.Close()
	})
	clock := agatestage.SystemClock()
	backend := engine.NewService(netip.MustParseAddrPort(fixture.server.Listener.Addr().String()))
	fixture.Target = state.New("target", agatestage.KindService, backend, slots.New(clock, 4, 4, func() {}), clock, func() {})
	fixture.SetPolicy(model.Target{Name: "target", Services: []string{"service"}, Online: true, Batch: true})
	gomega.Expect(fixture.Probe(context.Background())).To(gomega.BeTrue())
	return fixture
}

func (fixture *fixture) serve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		writer.Header().Set("Connection", "close")
		if fixture.silent.Load() {
			<-fixture.over
		}
		if !fixture.ending.Load() {
			return
		}
		_ = fixture.server.Listener.Close()
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// run runs a call to its end.
func (fixture *fixture) run(batch bool) calls.End {
	call := &agatestage.Call{ID: "call", Service: "service", Method: http.MethodPost, Path: "/call", Batch: batch}
	return exec.Run(context.Background(), fixture.Target, call, sink{})
}

// expectEnd checks what the end of a call says.
func expectEnd(end calls.End, ran agatestage.Ran, targetLost bool) {
	ginkgo.GinkgoHelper()
	gomega.Expect(end.Refusal).NotTo(gomega.BeNil())
	gomega.Expect([]any{end.Refusal.Ran, end.TargetLost}).To(gomega.Equal([]any{ran, targetLost}))
}

var _ = ginkgo.Describe("a call that its target breaks off", func() {
	var target *fixture
	ginkgo.BeforeEach(func() {
		target = newFixture()
	})
	ginkgo.It("is not blamed if the target answers", func() {
		expectEnd(target.run(false), agatestage.RanUnknown, false)
	})
	ginkgo.It("is not blamed if the target falls silent, which is out of use until it goes on", func() {
		target.silent.Store(true)
		expectEnd(target.run(false), agatestage.RanUnknown, false)
		gomega.Expect(target.Ready()).To(gomega.BeFalse())
		target.silent.Store(false)
		gomega.Expect(target.Probe(context.Background())).To(gomega.BeTrue())
		gomega.Expect(target.Ready()).To(gomega.BeTrue())
	})
	ginkgo.It("is still owed if it is an item and the target falls silent", func() {
		target.silent.Store(true)
		expectEnd(target.run(true), agatestage.RanUnknown, true)
	})
	ginkgo.It("is blamed if the target refuses connections", func() {
		target.ending.Store(true)
		expectEnd(target.run(false), agatestage.RanUnknown, true)
	})
	ginkgo.It("is not blamed if it never reached the target", func() {
		gomega.Expect(target.server.Listener.Close()).To(gomega.Succeed())
		target.server.CloseClientConnections()
		expectEnd(target.run(false), agatestage.RanNo, false)
		gomega.Expect(target.Ready()).To(gomega.BeFalse())
	})
})
