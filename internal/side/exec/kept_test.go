package exec_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

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

const (
	keptAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext"
	// keptCalls is how many calls follow each other.
	keptCalls = 4
)

// keeper is a plain service that keeps the connections of its first answers and drops each
// when the next request is sent on it.
type keeper struct {
	net.Listener
	// answered is how many calls it answers, received how many it has received.
	answered int32
	received atomic.Int32
}

func newKeeper(answered int32) *keeper {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = listener.Close() })
	keeper := &keeper{Listener: listener, answered: answered}
	go keeper.serve()
	return keeper
}

func (keeper *keeper) serve() {
	for {
		conn, err := keeper.Accept()
		if err != nil {
			return
		}
		go keeper.handle(conn.(*net.TCPConn))
	}
}

func (keeper *keeper) handle(conn *net.TCPConn) {
	defer reset(conn)
	reader := bufio.NewReader(conn)
	for used := false; ; used = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/call" && (keeper.received.Add(1) > keeper.answered || used) {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, keptAnswer)
	}
}

// run runs a number of calls one after the other and returns their ends.
func (keeper *keeper) run(count int, call agatestage.Call) (ends []calls.End) {
	ginkgo.GinkgoHelper()
	clock := agatestage.SystemClock()
	backend := engine.NewService(netip.MustParseAddrPort(keeper.Addr().String()))
	target := state.New("service", agatestage.KindService, backend, slots.New(clock, 1, 1, func() {}), clock, func() {})
	target.SetPolicy(model.Target{Online: true})
	gomega.Expect(target.Probe(context.Background())).To(gomega.BeTrue())
	call.Path, call.Timeout = "/call", patience
	for range count {
		ends = append(ends, exec.Run(context.Background(), target, &call, &textSink{}))
	}
	return ends
}

// keptCallKinds are calls that an HTTP client sends again by itself, and others.
var keptCallKinds = []agatestage.Call{
	{Method: http.MethodGet, Idempotent: true},
	{Method: http.MethodPost, Idempotent: true, Body: []byte("body"), Header: http.Header{"Idempotency-Key": {"key"}}},
	{Method: http.MethodPost, Body: []byte("body")},
	{Method: http.MethodGet},
}

var _ = ginkgo.Describe("a target that drops the connections that it keeps", func() {
	for _, call := range keptCallKinds {
		name := fmt.Sprintf("with %s, idempotent %t", call.Method, call.Idempotent)
		ginkgo.It("gets and answers each call once, "+name, func() {
			keeper := newKeeper(keptCalls)
			for _, end := range keeper.run(keptCalls, call) {
				gomega.Expect(end.Refusal).To(gomega.BeNil())
			}
			gomega.Expect(keeper.received.Load()).To(gomega.BeEquivalentTo(keptCalls))
		})
		ginkgo.It("gets a call once that it breaks off before any byte, "+name, func() {
			keeper := newKeeper(1)
			ends := keeper.run(2, call)
			gomega.Expect(ends[0].Refusal).To(gomega.BeNil())
			expectEnd(ends[1], agatestage.RanUnknown, false)
			gomega.Expect(keeper.received.Load()).To(gomega.BeEquivalentTo(2))
		})
	}
})
