package whole

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/entry/reply"
	"github.com/agatestage/agatestage/internal/fake/engine"
	"github.com/agatestage/agatestage/internal/fake/fault"
	"github.com/agatestage/agatestage/internal/fake/plain"
)

// expectRefusal checks that a body is a refusal with the given code and
// execution outcome.
func expectRefusal(body string, code agatestage.Code, ran agatestage.Ran) {
	ginkgo.GinkgoHelper()
	var problem reply.Problem
	gomega.Expect(json.Unmarshal([]byte(body), &problem)).To(gomega.Succeed(), body)
	gomega.Expect(problem.Code).To(gomega.Equal(code), body)
	gomega.Expect(problem.Ran).To(gomega.Equal(ran), body)
	gomega.Expect(problem.Error.Message).NotTo(gomega.BeEmpty())
}

// expectCompleteStream checks that a stream is complete and answers its own prompt.
func expectCompleteStream(body, text string, tokens int) {
	ginkgo.GinkgoHelper()
	gomega.Expect(strings.HasSuffix(body, "data: [DONE]\n\n")).To(gomega.BeTrue(), "stream is cut off: ...%s", body[max(0, len(body)-300):])
	gomega.Expect(strings.Count(body, "data: ")).To(gomega.Equal(tokens + 2))
	first := engine.TokenFunc(strings.Fields("user: " + text))(0)
	gomega.Expect(body).To(gomega.ContainSubstring(first))
}

var _ = ginkgo.Describe("callers", func() {
	ginkgo.It("get refusals with the right code, and their key is not sent to targets or logged", func() {
		rig := newRig()
		rig.startFleet("engine-a")
		withKey := func(key string) *http.Request {
			request := rig.request("entry-a", http.MethodPost, "/v1/chat/completions", chatBody("x", 1, false))
			request.Header.Set("Authorization", key)
			return request
		}
		post := func(path, body string) *http.Request { return rig.request("entry-a", http.MethodPost, path, body) }
		slow := post("/v1/completions", "")
		reader, writer := io.Pipe()
		ginkgo.DeferCleanup(writer.Close)
		slow.Body, slow.ContentLength = reader, 100
		cases := []struct {
			request *http.Request
			status  int
			code    agatestage.Code
		}{
			{withKey(""), http.StatusUnauthorized, agatestage.CodeNoKey},
			{withKey("Bearer ag_123_456"), http.StatusUnauthorized, agatestage.CodeBadKey},
			{withKey("Bearer nonsense"), http.StatusUnauthorized, agatestage.CodeBadKey},
			{post("/v1/chat/completions", `{"model":`), http.StatusBadRequest, agatestage.CodeBadRequest},
			{post("/v1/chat/completions", `{}`), http.StatusBadRequest, agatestage.CodeBadRequest},
			{post("/v1/chat/completions", "{\"model\":\"\xff\"}"), http.StatusBadRequest, agatestage.CodeBadEncoding},
			{post("/v1/chat/completions", `{"model":"none"}`), http.StatusNotFound, agatestage.CodeNoModel},
			{post("/v1/chat/completions", chatBody(strings.Repeat("x", 70_000), 1, false)), http.StatusRequestEntityTooLarge, agatestage.CodeTooLarge},
			{post("/v1/models", "{}"), http.StatusMethodNotAllowed, agatestage.CodeBadMethod},
			{post("/v2/none", "{}"), http.StatusNotFound, agatestage.CodeNotFound},
			{post("/svc/none/x", "{}"), http.StatusNotFound, agatestage.CodeNoService},
			{slow, http.StatusRequestTimeout, agatestage.CodeSlowBody},
		}
		for _, test := range cases {
			ginkgo.By(string(test.code) + " " + test.request.URL.Path)
			status, body := rig.do(test.request)
			gomega.Expect(status).To(gomega.Equal(test.status), body)
			expectRefusal(body, test.code, agatestage.RanNo)
		}
		status, body := rig.call("entry-b", http.MethodPost, "/v1/chat/completions", chatBody("hello there", 5, true))
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		expectCompleteStream(body, "hello there", 5)
		status, body = rig.call("entry-a", http.MethodGet, "/v1/models", "")
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(body).To(gomega.ContainSubstring(`"id":"wording"`))
		response, err := rig.http.Get("http://" + rig.processes["engine-a"].waitOutput(`(127\.0\.0\.1:\d+)`) + "/seen")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		var seen bytes.Buffer
		_, err = seen.ReadFrom(response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(seen.String()).To(gomega.ContainSubstring("Content-Type"))
		gomega.Expect(seen.String()).NotTo(gomega.ContainSubstring("Authorization"))
		gomega.Expect(seen.String()).NotTo(gomega.ContainSubstring(rig.key))
		for name, process := range rig.processes {
			gomega.Expect(process.out.String()).NotTo(gomega.ContainSubstring(rig.key), name)
		}
	})
})

// streams runs callers that request streamed answers, and records the outcomes.
type streams struct {
	group    sync.WaitGroup
	stop     chan struct{}
	mutex    sync.Mutex
	complete int
	failures []string
}

// startCaller starts a caller that requests streamed answers from an entry, one
// after the other, until stop is closed or the entry refuses connections.
func (streams *streams) startCaller(rig *rig, entry string, caller, tokens int) {
	streams.group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-streams.stop:
				return
			default:
			}
			text := fmt.Sprintf("caller %d of %s asks %d", caller, entry, i)
			status, body := rig.call(entry, http.MethodPost, "/v1/chat/completions", chatBody(text, tokens, true))
			if status == 0 && strings.Contains(body, "connection refused") {
				return
			}
			streams.record(status, body, text)
		}
	})
}

func (streams *streams) record(status int, body, text string) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	first := engine.TokenFunc(strings.Fields("user: " + text))(0)
	if status == http.StatusOK && strings.HasSuffix(body, "data: [DONE]\n\n") && strings.Contains(body, first) {
		streams.complete++
		return
	}
	streams.failures = append(streams.failures, fmt.Sprintf("%d: %s", status, body[max(0, len(body)-300):]))
}

func (streams *streams) counts() (int, []string) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	return streams.complete, streams.failures
}

var _ = ginkgo.Describe("planned stops", func() {
	ginkgo.It("of an entry and a side do not interrupt any answer", func() {
		rig := newRig()
		rig.startFleet("engine-a", "engine-b", "engine-c")
		load := &streams{stop: make(chan struct{})}
		for caller := range 4 {
			load.startCaller(rig, "entry-a", caller, 40)
			load.startCaller(rig, "entry-b", caller, 40)
		}
		waitComplete := func(n int) {
			before, _ := load.counts()
			gomega.Eventually(func() int {
				complete, _ := load.counts()
				return complete
			}, eventTimeout, pollInterval).Should(gomega.BeNumerically(">=", before+n))
		}
		waitComplete(20)
		rig.processes["side-engine-c"].signal(syscall.SIGTERM)
		waitComplete(20)
		rig.processes["entry-b"].signal(syscall.SIGTERM)
		gomega.Eventually(rig.processes["entry-b"].running, eventTimeout, pollInterval).Should(gomega.BeFalse())
		gomega.Eventually(rig.processes["side-engine-c"].running, eventTimeout, pollInterval).Should(gomega.BeFalse())
		waitComplete(20)
		close(load.stop)
		load.group.Wait()
		_, failures := load.counts()
		gomega.Expect(failures).To(gomega.BeEmpty())
	})
})

// startOrderService starts the order service and a side for it, and returns the
// URL of the service.
func (rig *rig) startOrderService(advertise func(netip.AddrPort) netip.AddrPort) string {
	address := netip.MustParseAddrPort(rig.standin("desk", "plain"))
	url := "http://" + address.String()
	target := setup.Target{Name: "desk", Kind: agatestage.KindService, Address: address, Slots: 8, Queue: 32}
	rig.side("side-desk", "east-1", advertise, target)
	return url
}

func (rig *rig) setOrderFailure(url string, mode plain.Mode) {
	response, err := rig.http.Post(url+"/fail/"+string(mode), "", nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
}

// orderCounts returns how often each order was placed, by the ID of the order.
func (rig *rig) orderCounts(url string) map[string]int {
	response, err := rig.http.Get(url + "/orders")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	orders := make(map[string]int)
	gomega.Expect(json.NewDecoder(response.Body).Decode(&orders)).To(gomega.Succeed())
	return orders
}

var _ = ginkgo.Describe("orders", func() {
	ginkgo.It("are placed at most once, and callers are told correctly whether they were", func() {
		rig := newRig()
		var relay *fault.UDP
		url := rig.startOrderService(func(address netip.AddrPort) netip.AddrPort {
			relay = rig.udpRelay(address)
			return relay.Address()
		})
		rig.startFleet("engine-a")
		placeOrder := func(id string, seconds int) (int, string) {
			request := rig.request("entry-a", http.MethodPost, "/svc/desk/orders/"+id, "{}")
			request.Header.Set("X-Request-Timeout", fmt.Sprint(seconds))
			return rig.do(request)
		}
		gomega.Eventually(func() int {
			status, _ := rig.call("entry-a", http.MethodGet, "/svc/desk/orders/none", "")
			return status
		}, eventTimeout, pollInterval).Should(gomega.Equal(http.StatusOK))
		status, _ := placeOrder("plain", 5)
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		for _, mode := range []plain.Mode{plain.ModeBefore, plain.ModeAfter, plain.ModeHang} {
			ginkgo.By("target failure mode: " + string(mode))
			rig.setOrderFailure(url, mode)
			status, body := placeOrder("mode-"+string(mode), 2)
			gomega.Expect(status).NotTo(gomega.Equal(http.StatusOK))
			var problem reply.Problem
			gomega.Expect(json.Unmarshal([]byte(body), &problem)).To(gomega.Succeed(), body)
			gomega.Expect(problem.Ran).To(gomega.Equal(agatestage.RanUnknown))
		}
		ginkgo.By("target breaks the connection during its answer")
		rig.setOrderFailure(url, plain.ModeDuring)
		status, _ = placeOrder("mode-during", 2)
		gomega.Expect(status).To(gomega.Equal(0), "a truncated answer must not be reported as complete")
		rig.setOrderFailure(url, "None")
		ginkgo.By("the established connection of the link drops all packets")
		relay.Blackhole()
		began := time.Now()
		status, body := placeOrder("silent", 20)
		gomega.Expect(status).To(gomega.Equal(http.StatusOK), body)
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 10*time.Second), "the deadline of the request is 20 s")
		ginkgo.By("the link drops all packets, also those of new connections")
		relay.Set(fault.Faults{Cut: true})
		status, body = placeOrder("cut", 5)
		gomega.Expect(status).To(gomega.BeNumerically(">=", 500))
		relay.Set(fault.Faults{})
		orders := rig.orderCounts(url)
		for id, count := range orders {
			gomega.Expect(count).To(gomega.Equal(1), id)
		}
		gomega.Expect(orders).To(gomega.HaveKey("silent"))
		if strings.Contains(body, `"Ran":"No"`) {
			gomega.Expect(orders).NotTo(gomega.HaveKey("cut"))
		}
		gomega.Expect(orders).NotTo(gomega.HaveKey("mode-Before"))
	})
})

var _ = ginkgo.Describe("connections that stop passing data", func() {
	ginkgo.It("delay a request by seconds, not until its deadline", func() {
		rig := newRig()
		var linkRelays []*fault.UDP
		var engineRelays []*fault.TCP
		for i, name := range []string{"engine-a", "engine-b"} {
			engineRelay := rig.tcpRelay(rig.engine(name))
			engineRelays = append(engineRelays, engineRelay)
			advertise := func(address netip.AddrPort) netip.AddrPort {
				relay := rig.udpRelay(address)
				linkRelays = append(linkRelays, relay)
				return relay.Address()
			}
			rig.side("side-"+name, fmt.Sprintf("east-%d", i+1), advertise, engineTarget(name, engineRelay.Address()))
		}
		rig.startFleet()
		rig.applyIntent("entry-a", baseIntent("engine-a", "engine-b"))
		rig.waitReady("entry-a")
		complete := func(prompt string) {
			ginkgo.By(prompt)
			began := time.Now()
			status, body := rig.call("entry-a", http.MethodPost, "/v1/chat/completions", chatBody(prompt, 20, true))
			gomega.Expect(status).To(gomega.Equal(http.StatusOK), body)
			expectCompleteStream(body, prompt, 20)
			gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 15*time.Second), "the route's deadline is 60 s")
		}
		complete("warm up")
		for _, relay := range linkRelays {
			relay.Blackhole()
		}
		complete("established links to the sides drop all packets")
		for _, relay := range engineRelays {
			relay.Blackhole()
		}
		complete("established connections to the engines drop all data")
	})
})

// startCrashingFleet starts a fleet of four engines that crash on a request that
// contains "poison", and returns the names of the engines.
func (rig *rig) startCrashingFleet() []string {
	names := []string{"engine-a", "engine-b", "engine-c", "engine-d"}
	for i, name := range names {
		rig.side("side-"+name, fmt.Sprintf("east-%d", i%2+1), nil, engineTarget(name, rig.engine(name, "--marker=poison")))
	}
	rig.startFleet()
	rig.applyIntent("entry-a", baseIntent(names...))
	rig.waitReady("entry-a")
	return names
}

// exitedCount returns how many of the named processes have exited.
func (rig *rig) exitedCount(names []string) (count int) {
	for _, name := range names {
		if !rig.processes[name].running() {
			count++
		}
	}
	return count
}

var _ = ginkgo.Describe("a request that crashes targets", func() {
	ginkgo.It("crashes two targets and no third, however often it is sent", func() {
		rig := newRig()
		names := rig.startCrashingFleet()
		rig.waitReady("entry-b")
		var last string
		for i := range 50 {
			entry := []string{"entry-a", "entry-b"}[i%2]
			var status int
			status, last = rig.call(entry, http.MethodPost, "/v1/chat/completions", chatBody("poison", 5, false))
			gomega.Expect(status).NotTo(gomega.Equal(http.StatusOK))
		}
		expectRefusal(last, agatestage.CodeHarmful, agatestage.RanNo)
		gomega.Expect(rig.exitedCount(names)).To(gomega.Equal(2))
		status, _ := rig.call("entry-b", http.MethodPost, "/v1/chat/completions", chatBody("innocent", 5, false))
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
	})
})
