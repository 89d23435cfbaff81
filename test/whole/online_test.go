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

// expectRefusal checks that a body is a typed refusal of the code.
func expectRefusal(body string, code agatestage.Code, ran agatestage.Ran) {
	ginkgo.GinkgoHelper()
	var problem reply.Problem
	gomega.Expect(json.Unmarshal([]byte(body), &problem)).To(gomega.Succeed(), body)
	gomega.Expect(problem.Code).To(gomega.Equal(code), body)
	gomega.Expect(problem.Ran).To(gomega.Equal(ran), body)
	gomega.Expect(problem.Error.Message).NotTo(gomega.BeEmpty())
}

// expectWhole checks that a stream is the whole answer to its own prompt.
func expectWhole(body, text string, tokens int) {
	ginkgo.GinkgoHelper()
	gomega.Expect(strings.HasSuffix(body, "data: [DONE]\n\n")).To(gomega.BeTrue(), "cut off: ...%s", body[max(0, len(body)-300):])
	gomega.Expect(strings.Count(body, "data: ")).To(gomega.Equal(tokens + 2))
	first := engine.TokenFunc(strings.Fields("user: " + text))(0)
	gomega.Expect(body).To(gomega.ContainSubstring(first))
}

var _ = ginkgo.Describe("callers", func() {
	ginkgo.It("get clear refusals and never show their key to a target", func() {
		rig := newRig()
		rig.fleet("engine-a")
		withKey := func(key string) *http.Request {
			request := rig.request("entry-a", http.MethodPost, "/v1/chat/completions", chat("x", 1, false))
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
			{post("/v1/chat/completions", chat(strings.Repeat("x", 70_000), 1, false)), http.StatusRequestEntityTooLarge, agatestage.CodeTooLarge},
			{post("/v1/models", "{}"), http.StatusMethodNotAllowed, agatestage.CodeBadMethod},
			{post("/v2/none", "{}"), http.StatusNotFound, agatestage.CodeNotFound},
			{post("/svc/none/x", "{}"), http.StatusNotFound, agatestage.CodeNoService},
			{slow, http.StatusRequestTimeout, agatestage.CodeSlowBody},
		}
		for _, wanted := range cases {
			ginkgo.By(string(wanted.code) + " " + wanted.request.URL.Path)
			status, body := rig.send(wanted.request)
			gomega.Expect(status).To(gomega.Equal(wanted.status), body)
			expectRefusal(body, wanted.code, agatestage.RanNo)
		}
		status, body := rig.try("entry-b", http.MethodPost, "/v1/chat/completions", chat("hello there", 5, true))
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		expectWhole(body, "hello there", 5)
		status, body = rig.try("entry-a", http.MethodGet, "/v1/models", "")
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(body).To(gomega.ContainSubstring(`"id":"wording"`))
		response, err := rig.http.Get("http://" + rig.processes["engine-a"].find(`(127\.0\.0\.1:\d+)`) + "/seen")
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

// streams keeps callers busy and collects what they got.
type streams struct {
	waits  sync.WaitGroup
	stop   chan struct{}
	mutex  sync.Mutex
	whole  int
	broken []string
}

// run streams answers from an entry, one after the other, until stopped or
// until the entry takes no connection any more.
func (streams *streams) run(rig *rig, entry string, caller, tokens int) {
	streams.waits.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-streams.stop:
				return
			default:
			}
			text := fmt.Sprintf("caller %d of %s asks %d", caller, entry, i)
			status, body := rig.try(entry, http.MethodPost, "/v1/chat/completions", chat(text, tokens, true))
			if status == 0 && strings.Contains(body, "connection refused") {
				return
			}
			streams.note(status, body, text)
		}
	})
}

func (streams *streams) note(status int, body, text string) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	first := engine.TokenFunc(strings.Fields("user: " + text))(0)
	if status == http.StatusOK && strings.HasSuffix(body, "data: [DONE]\n\n") && strings.Contains(body, first) {
		streams.whole++
		return
	}
	streams.broken = append(streams.broken, fmt.Sprintf("%d: %s", status, body[max(0, len(body)-300):]))
}

func (streams *streams) counts() (int, []string) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	return streams.whole, streams.broken
}

var _ = ginkgo.Describe("planned stops", func() {
	ginkgo.It("of an entry and a side cut off no answer", func() {
		rig := newRig()
		rig.fleet("engine-a", "engine-b", "engine-c")
		load := &streams{stop: make(chan struct{})}
		for caller := range 4 {
			load.run(rig, "entry-a", caller, 40)
			load.run(rig, "entry-b", caller, 40)
		}
		progress := func(n int) {
			before, _ := load.counts()
			gomega.Eventually(func() int {
				whole, _ := load.counts()
				return whole
			}, patience, poll).Should(gomega.BeNumerically(">=", before+n))
		}
		progress(20)
		rig.processes["side-engine-c"].signal(syscall.SIGTERM)
		progress(20)
		rig.processes["entry-b"].signal(syscall.SIGTERM)
		gomega.Eventually(rig.processes["entry-b"].running, patience, poll).Should(gomega.BeFalse())
		gomega.Eventually(rig.processes["side-engine-c"].running, patience, poll).Should(gomega.BeFalse())
		progress(20)
		close(load.stop)
		load.waits.Wait()
		_, broken := load.counts()
		gomega.Expect(broken).To(gomega.BeEmpty())
	})
})

// desk starts the order service behind a side and returns its URL.
func (rig *rig) desk(through func(netip.AddrPort) netip.AddrPort) string {
	address := netip.MustParseAddrPort(rig.standin("desk", "plain"))
	url := "http://" + address.String()
	target := setup.Target{Name: "desk", Kind: agatestage.KindService, Address: address, Slots: 8, Queue: 32}
	rig.side("side-desk", "east-1", through, target)
	return url
}

func (rig *rig) failDesk(url string, mode plain.Mode) {
	response, err := rig.http.Post(url+"/fail/"+string(mode), "", nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
}

// placed returns how often each order was placed.
func (rig *rig) placed(url string) map[string]int {
	response, err := rig.http.Get(url + "/orders")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	orders := make(map[string]int)
	gomega.Expect(json.NewDecoder(response.Body).Decode(&orders)).To(gomega.Succeed())
	return orders
}

var _ = ginkgo.Describe("orders", func() {
	ginkgo.It("are placed at most once, and what is told of them is true", func() {
		rig := newRig()
		var relay *fault.UDP
		url := rig.desk(func(address netip.AddrPort) netip.AddrPort {
			relay = rig.udpRelay(address)
			return relay.Address()
		})
		rig.fleet("engine-a")
		order := func(id string, seconds int) (int, string) {
			request := rig.request("entry-a", http.MethodPost, "/svc/desk/orders/"+id, "{}")
			request.Header.Set("X-Request-Timeout", fmt.Sprint(seconds))
			return rig.send(request)
		}
		gomega.Eventually(func() int {
			status, _ := rig.try("entry-a", http.MethodGet, "/svc/desk/orders/none", "")
			return status
		}, patience, poll).Should(gomega.Equal(http.StatusOK))
		status, _ := order("plain", 5)
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		for _, mode := range []plain.Mode{plain.ModeBefore, plain.ModeAfter, plain.ModeHang} {
			ginkgo.By("target fails: " + string(mode))
			rig.failDesk(url, mode)
			status, body := order("mode-"+string(mode), 2)
			gomega.Expect(status).NotTo(gomega.Equal(http.StatusOK))
			var problem reply.Problem
			gomega.Expect(json.Unmarshal([]byte(body), &problem)).To(gomega.Succeed(), body)
			gomega.Expect(problem.Ran).To(gomega.Equal(agatestage.RanUnknown))
		}
		ginkgo.By("target breaks off within its answer")
		rig.failDesk(url, plain.ModeDuring)
		status, _ = order("mode-during", 2)
		gomega.Expect(status).To(gomega.Equal(0), "a part of an answer must not look whole")
		rig.failDesk(url, "None")
		ginkgo.By("the link has lost track of its connection")
		relay.Blackhole()
		began := time.Now()
		status, body := order("silent", 20)
		gomega.Expect(status).To(gomega.Equal(http.StatusOK), body)
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 10*time.Second), "the caller's whole deadline is 20 s")
		ginkgo.By("the link is cut")
		relay.Set(fault.Faults{Cut: true})
		status, body = order("cut", 5)
		gomega.Expect(status).To(gomega.BeNumerically(">=", 500))
		relay.Set(fault.Faults{})
		orders := rig.placed(url)
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

var _ = ginkgo.Describe("silence", func() {
	ginkgo.It("on established connections costs a caller seconds, not its deadline", func() {
		rig := newRig()
		var links []*fault.UDP
		var engines []*fault.TCP
		for i, name := range []string{"engine-a", "engine-b"} {
			backend := rig.tcpRelay(rig.engine(name))
			engines = append(engines, backend)
			through := func(address netip.AddrPort) netip.AddrPort {
				relay := rig.udpRelay(address)
				links = append(links, relay)
				return relay.Address()
			}
			rig.side("side-"+name, fmt.Sprintf("east-%d", i+1), through, engineTarget(name, backend.Address()))
		}
		rig.fleet()
		rig.confirm("entry-a", baseIntent("engine-a", "engine-b"))
		rig.ready("entry-a")
		ask := func(what string) {
			ginkgo.By(what)
			began := time.Now()
			status, body := rig.try("entry-a", http.MethodPost, "/v1/chat/completions", chat(what, 20, true))
			gomega.Expect(status).To(gomega.Equal(http.StatusOK), body)
			expectWhole(body, what, 20)
			gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 15*time.Second), "the route's deadline is 60 s")
		}
		ask("warm up")
		for _, relay := range links {
			relay.Blackhole()
		}
		ask("links to the sides have gone silent")
		for _, relay := range engines {
			relay.Blackhole()
		}
		ask("connections to the engines have gone silent")
	})
})

// fragileFleet is a fleet of four engines that die on a request which holds
// "poison"; it returns their names.
func (rig *rig) fragileFleet() []string {
	names := []string{"engine-a", "engine-b", "engine-c", "engine-d"}
	for i, name := range names {
		rig.side("side-"+name, fmt.Sprintf("east-%d", i%2+1), nil, engineTarget(name, rig.engine(name, "--marker=poison")))
	}
	rig.fleet()
	rig.confirm("entry-a", baseIntent(names...))
	rig.ready("entry-a")
	return names
}

// down counts the processes that have ended.
func (rig *rig) down(names []string) (count int) {
	for _, name := range names {
		if !rig.processes[name].running() {
			count++
		}
	}
	return count
}

var _ = ginkgo.Describe("a request that takes targets down", func() {
	ginkgo.It("takes down two and no third, however often it is sent", func() {
		rig := newRig()
		names := rig.fragileFleet()
		rig.ready("entry-b")
		var last string
		for i := range 50 {
			entry := []string{"entry-a", "entry-b"}[i%2]
			var status int
			status, last = rig.try(entry, http.MethodPost, "/v1/chat/completions", chat("poison", 5, false))
			gomega.Expect(status).NotTo(gomega.Equal(http.StatusOK))
		}
		expectRefusal(last, agatestage.CodeHarmful, agatestage.RanNo)
		gomega.Expect(rig.down(names)).To(gomega.Equal(2))
		status, _ := rig.try("entry-b", http.MethodPost, "/v1/chat/completions", chat("innocent", 5, false))
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
	})
})
