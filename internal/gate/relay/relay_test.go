package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/conns"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/route/blame"
)

func TestRelay(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "relay")
}

const (
	service = "service"
	// aim and gap are the plan's times; deadline bounds a call.
	aim      = 300 * time.Millisecond
	gap      = 200 * time.Millisecond
	deadline = 5 * time.Second
)

// The headers of the tests' dialect.
const (
	headerID     = "Call-Id"
	headerMark   = "Mark"
	headerNotRun = "Not-Run"
)

// play is a relay and its targets, the first of which is tried first.
type play struct {
	*relay.Relay
	sched   *sched.Scheduler
	strikes chan blame.Strike
}

func newPlay(targets ...*target) *play {
	clock := agatestage.SystemClock()
	play := &play{sched: sched.New(clock, "region", "zone"), strikes: make(chan blame.Strike, 16)}
	var endpoints []agatestage.Endpoint
	homes := make(map[string]bool)
	for i, target := range targets {
		id := fmt.Sprint("target-", i)
		// More slots make a target the less loaded one.
		endpoints = append(endpoints, agatestage.Endpoint{
			ID: id, Service: service, Region: "region", Zone: "zone", Slots: 100 - i,
			Address: netip.MustParseAddrPort(target.listener.Addr().String()),
		})
		homes[id] = true
	}
	play.sched.Apply(endpoints)
	play.sched.SetHomes(homes)
	list := blame.New(clock)
	play.Relay = relay.New(clock, play.sched, conns.New(clock), dialect{}, list, relay.WithStrikes(func(strike blame.Strike) { play.strikes <- strike }))
	return play
}

// plan is a call that may be sent once.
func plan() relay.Plan {
	return relay.Plan{Service: service, Attempts: 1, QueueTimeout: aim, Aim: aim, Gap: gap, Deadline: time.Now().Add(deadline)}
}

// repeatable is a call that may be sent to three targets.
func repeatable() relay.Plan {
	plan := plan()
	plan.Repeatable, plan.Attempts = true, 3
	return plan
}

// stream is a stream that may be resumed.
func stream() relay.Plan {
	plan := repeatable()
	plan.Stream, plan.Resumable = true, true
	return plan
}

func (play *play) serve(plan relay.Plan) (relay.Result, *sink) {
	return play.send("call", plan)
}

func (play *play) send(id string, plan relay.Plan) (relay.Result, *sink) {
	sink := &sink{}
	call := &agatestage.Call{ID: id, Method: http.MethodPost, Host: "host", Path: "/path?query", Body: []byte("body"), Fingerprint: 7}
	return play.Serve(context.Background(), call, plan, sink), sink
}

// expectAnswer checks that the caller got just this.
func expectAnswer(result relay.Result, sink *sink, status int, text string) {
	ginkgo.GinkgoHelper()
	gomega.Expect(result.Refusal).To(gomega.BeNil())
	gomega.Expect(sink.status).To(gomega.Equal(status))
	gomega.Expect(sink.text).To(gomega.Equal(text))
}

// expectRefusal checks what a refusal promises.
func expectRefusal(result relay.Result, ran agatestage.Ran) {
	ginkgo.GinkgoHelper()
	gomega.Expect(result.Refusal).NotTo(gomega.BeNil())
	gomega.Expect(result.Refusal.Ran).To(gomega.Equal(ran))
}

// The scripts of targets.
var (
	good     = func(exchange *exchange) bool { return exchange.whole(http.StatusOK, "good") }
	shed     = func(exchange *exchange) bool { return exchange.whole(503, "", headerNotRun+": 1") }
	crash    = func(*exchange) bool { return false }
	failing  = func(exchange *exchange) bool { return exchange.whole(http.StatusInternalServerError, "bad") }
	replaced = func(exchange *exchange) bool { return exchange.whole(http.StatusMisdirectedRequest, "") }
	truncate = func(exchange *exchange) bool {
		exchange.write("HTTP/1.1 200 OK\r\n%s: yes\r\nContent-Length: 100\r\n\r\nhalf", headerMark)
		return false
	}
	unmarked = func(exchange *exchange) bool {
		exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake")
		return true
	}
	garbage = func(exchange *exchange) bool {
		exchange.write("this is no answer\r\n\r\n")
		return false
	}
	silent = func(exchange *exchange) bool {
		_, _ = exchange.conn.Read(make([]byte, 1))
		return false
	}
	streaming = func(exchange *exchange) bool {
		after, _ := strconv.Atoi(exchange.request.Header.Get("Last-Event-Id"))
		exchange.events(after+1, 6)
		return exchange.end()
	}
	breaking = func(exchange *exchange) bool {
		exchange.events(1, 3)
		exchange.chunk("id: 4\nda")
		return false
	}
)
var _ = ginkgo.Describe("a call that may run once", func() {
	for name, script := range map[string]func(*exchange) bool{"sheds it": shed, "has been replaced": replaced} {
		ginkgo.It("goes to another target when one "+name, func() {
			first, second := newTarget(script), newTarget(good)
			result, sink := newPlay(first, second).serve(plan())
			expectAnswer(result, sink, http.StatusOK, "good")
			gomega.Expect(first.requests()).To(gomega.Equal(1))
		})
	}
	ginkgo.It("goes to another target when one can't be reached", func() {
		gone := newTarget(good)
		gomega.Expect(gone.listener.Close()).To(gomega.Succeed())
		result, sink := newPlay(gone, newTarget(good)).serve(plan())
		expectAnswer(result, sink, http.StatusOK, "good")
	})
	for name, script := range map[string]func(*exchange) bool{
		"crashes": crash, "breaks off": truncate, "sends garbage": garbage, "sends an answer without its mark": unmarked,
	} {
		ginkgo.It("is not sent again when the target "+name, func() {
			second := newTarget(good)
			result, sink := newPlay(newTarget(script), second).serve(plan())
			expectRefusal(result, agatestage.RanUnknown)
			gomega.Expect(sink.status).To(gomega.BeZero())
			gomega.Expect(second.requests()).To(gomega.BeZero())
		})
	}
	ginkgo.It("keeps its target's own failure", func() {
		result, sink := newPlay(newTarget(failing), newTarget(good)).serve(plan())
		expectAnswer(result, sink, http.StatusInternalServerError, "bad")
	})
	ginkgo.It("is refused as not run when every target sheds it", func() {
		result, _ := newPlay(newTarget(shed), newTarget(shed)).serve(plan())
		expectRefusal(result, agatestage.RanNo)
	})
	ginkgo.It("is given up at its deadline", func() {
		plan := plan()
		plan.Deadline = time.Now().Add(aim)
		result, _ := newPlay(newTarget(silent)).serve(plan)
		expectRefusal(result, agatestage.RanUnknown)
		gomega.Expect(result.Refusal.Code).To(gomega.Equal(agatestage.CodeDeadline))
	})
})

var _ = ginkgo.Describe("a call that may be repeated", func() {
	for name, script := range map[string]func(*exchange) bool{
		"crashes": crash, "breaks off": truncate, "sends garbage": garbage, "fails": failing, "is silent": silent, "lacks its mark": unmarked,
	} {
		ginkgo.It("is sent to another target when one "+name, func() {
			result, sink := newPlay(newTarget(script), newTarget(good)).serve(repeatable())
			expectAnswer(result, sink, http.StatusOK, "good")
		})
	}
	ginkgo.It("is sent to no more targets than its route allows", func() {
		targets := []*target{newTarget(failing), newTarget(failing), newTarget(failing), newTarget(good)}
		result, sink := newPlay(targets...).serve(repeatable())
		expectAnswer(result, sink, http.StatusInternalServerError, "bad")
		gomega.Expect(targets[3].requests()).To(gomega.BeZero())
	})
})

var _ = ginkgo.Describe("an answer to another call", func() {
	ginkgo.It("is skipped on a kept connection", func() {
		extra := newTarget(func(exchange *exchange) bool {
			if exchange.id == "second" {
				exchange.write("HTTP/1.1 200 OK\r\n%s: first\r\n%s: yes\r\nContent-Length: 4\r\n\r\nlate", headerID, headerMark)
			}
			return exchange.whole(http.StatusOK, exchange.id)
		})
		play := newPlay(extra)
		result, sink := play.send("first", repeatable())
		expectAnswer(result, sink, http.StatusOK, "first")
		result, sink = play.send("second", repeatable())
		expectAnswer(result, sink, http.StatusOK, "second")
	})
	ginkgo.It("that follows a failure doesn't pass for the next attempt's", func() {
		var mutex sync.Mutex
		runs := 0
		twice := newTarget(func(exchange *exchange) bool {
			mutex.Lock()
			defer mutex.Unlock()
			if runs++; runs > 1 {
				return exchange.whole(http.StatusOK, "good")
			}
			exchange.whole(http.StatusInternalServerError, "bad")
			return exchange.whole(http.StatusInternalServerError, "bad")
		})
		play := newPlay(twice)
		result, sink := play.serve(plan())
		expectAnswer(result, sink, http.StatusInternalServerError, "bad")
		result, sink = play.serve(plan())
		expectAnswer(result, sink, http.StatusOK, "good")
	})
})

var _ = ginkgo.Describe("a stream", func() {
	ginkgo.It("is passed on whole", func() {
		result, sink := newPlay(newTarget(streaming)).serve(stream())
		expectAnswer(result, sink, http.StatusOK, series(1, 6))
		gomega.Expect(sink.length).To(gomega.Equal(-1))
	})
	ginkgo.It("that may be resumed goes on at another target after its last whole event", func() {
		second := newTarget(streaming)
		result, sink := newPlay(newTarget(breaking), second).serve(stream())
		expectAnswer(result, sink, http.StatusOK, series(1, 6))
		gomega.Expect(second.after).To(gomega.Equal([]string{"3"}))
	})
	ginkgo.It("that is cut after its last event and before its end is whole once it has been resumed", func() {
		cut := newTarget(func(exchange *exchange) bool {
			exchange.events(1, 6)
			return false
		})
		result, sink := newPlay(cut, newTarget(streaming)).serve(stream())
		expectAnswer(result, sink, http.StatusOK, series(1, 6))
		plan := stream()
		plan.After = 6
		result, sink = newPlay(newTarget(streaming)).serve(plan)
		expectAnswer(result, sink, http.StatusOK, "")
		gomega.Expect(result.Status).To(gomega.Equal(http.StatusOK))
	})
	ginkgo.It("that may be resumed goes on elsewhere when its target falls silent", func() {
		stalling := newTarget(func(exchange *exchange) bool {
			exchange.events(1, 2)
			return silent(exchange)
		})
		result, sink := newPlay(stalling, newTarget(streaming)).serve(stream())
		expectAnswer(result, sink, http.StatusOK, series(1, 6))
	})
	ginkgo.It("is never joined with events of another number", func() {
		wrong := newTarget(func(exchange *exchange) bool {
			exchange.events(1, 6)
			return exchange.end()
		})
		result, sink := newPlay(newTarget(breaking), wrong).serve(stream())
		gomega.Expect(result.Begun).To(gomega.BeTrue())
		gomega.Expect(result.Refusal).NotTo(gomega.BeNil())
		gomega.Expect(sink.text).To(gomega.Equal(series(1, 3)))
	})
	ginkgo.It("that may not be resumed is broken off", func() {
		plan := plan()
		plan.Stream = true
		second := newTarget(streaming)
		result, sink := newPlay(newTarget(breaking), second).serve(plan)
		gomega.Expect(result.Begun).To(gomega.BeTrue())
		expectRefusal(result, agatestage.RanUnknown)
		gomega.Expect(sink.text).To(gomega.HavePrefix(series(1, 3)))
		gomega.Expect(second.requests()).To(gomega.BeZero())
	})
	ginkgo.It("that ends within an event isn't whole", func() {
		short := newTarget(func(exchange *exchange) bool {
			exchange.events(1, 2)
			exchange.chunk("id: 3\nda")
			return exchange.end()
		})
		plan := plan()
		plan.Stream = true
		result, _ := newPlay(short).serve(plan)
		gomega.Expect(result.Refusal).NotTo(gomega.BeNil())
	})
})

var _ = ginkgo.Describe("a request that takes targets down", func() {
	ginkgo.It("is told to other gateways and refused after the second", func() {
		down := func() *target {
			var doomed *target
			doomed = newTarget(func(*exchange) bool {
				_ = doomed.listener.Close()
				return false
			})
			return doomed
		}
		play := newPlay(down(), down(), newTarget(good))
		plan := plan()
		_, _ = play.serve(plan)
		gomega.Eventually(play.strikes, deadline).Should(gomega.Receive())
		_, _ = play.serve(plan)
		gomega.Eventually(play.strikes, deadline).Should(gomega.Receive())
		result, _ := play.serve(plan)
		expectRefusal(result, agatestage.RanNo)
		gomega.Expect(result.Refusal.Code).To(gomega.Equal(agatestage.CodeHarmful))
	})
})

var _ = ginkgo.Describe("a batch call", func() {
	ginkgo.It("that a target turns away ends, to be tried anew, rather than wait for another target", func() {
		play := newPlay(newTarget(shed))
		plan := stream()
		plan.Batch, plan.Attempts = true, 1
		result, _ := play.serve(plan)
		expectRefusal(result, agatestage.RanNo)
		gomega.Expect(result.Refusal.Code).To(gomega.Equal(agatestage.CodeBusy))
		gomega.Expect(result.Refusal.Message).To(gomega.ContainSubstring("turned the call away"))
	})
	ginkgo.It("gives way to an online call and says how far it came", func() {
		first := true
		var mutex sync.Mutex
		target := newTarget(func(exchange *exchange) bool {
			mutex.Lock()
			batch := first
			first = false
			mutex.Unlock()
			if !batch {
				return exchange.whole(http.StatusOK, "good")
			}
			exchange.events(1, 2)
			return silent(exchange)
		})
		play := newPlay(target)
		play.sched.Apply([]agatestage.Endpoint{{
			ID: "target-0", Service: service, Region: "region", Zone: "zone", Slots: 2, Address: netip.MustParseAddrPort(target.listener.Addr().String()),
		}})
		plan := stream()
		plan.Batch, plan.Gap = true, time.Minute
		ended := make(chan relay.Result, 1)
		go func() {
			result, _ := play.serve(plan)
			ended <- result
		}()
		gomega.Eventually(target.requests, deadline).Should(gomega.Equal(1))
		held, err := play.sched.Acquire(context.Background(), sched.Request{Service: service, QueueTimeout: aim})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer held.Release(false)
		result, sink := play.send("online", repeatable())
		expectAnswer(result, sink, http.StatusOK, "good")
		batch := <-ended
		gomega.Expect(batch.Yielded).To(gomega.BeTrue())
	})
})
