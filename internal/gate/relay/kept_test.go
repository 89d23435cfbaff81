package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/relay"
)

// firstID is the ID of a fixture's first call.
const firstID = "first"

// reset resets a connection without an answer.
func reset(exchange *exchange) bool {
	_ = exchange.conn.(*net.TCPConn).SetLinger(0)
	return false
}

// keep answers a request so that its connection is kept for long.
func keep(exchange *exchange) bool {
	return exchange.respond(http.StatusOK, "good", "Keep-Alive: timeout=600")
}

// afterFirst returns a script that answers the fixture's first call and handles others by next.
func afterFirst(next func(*exchange) bool) func(*exchange) bool {
	return func(exchange *exchange) bool {
		if exchange.id == firstID {
			return keep(exchange)
		}
		return next(exchange)
	}
}

// dropping returns a script that answers the first request on a connection, and handles the
// next one by dropped.
func dropping(answer, dropped func(*exchange) bool) func(*exchange) bool {
	var used sync.Map
	return func(exchange *exchange) bool {
		if _, kept := used.LoadOrStore(exchange.conn, true); kept {
			return dropped(exchange)
		}
		return afterFirst(answer)(exchange)
	}
}

// serveFirst has a call answered whose connection is kept.
func (fixture *fixture) serveFirst() {
	ginkgo.GinkgoHelper()
	result, _ := fixture.sendOther(firstID, plan())
	gomega.Expect(result.Refusal).To(gomega.BeNil())
}

// serveDropped serves a call on a connection that has been kept since the call before.
func serveDropped(target *target, plan relay.Plan) (relay.Result, *sink) {
	ginkgo.GinkgoHelper()
	fixture := newFixture(target)
	fixture.serveFirst()
	return fixture.serve(plan)
}

var _ = ginkgo.Describe("a request that is sent on a kept connection that its only target has dropped", func() {
	for end, dropped := range map[string]func(*exchange) bool{"reset": reset, "closed": crash} {
		ginkgo.It("is answered on a new connection if it may be repeated, "+end, func() {
			target := newTarget(dropping(streamAll, dropped))
			result, sink := serveDropped(target, repeatable())
			expectAnswer(result, sink, http.StatusOK, series(1, 6))
			gomega.Expect(target.requests()).To(gomega.Equal(3))
		})
		ginkgo.It("is answered on a new connection if it is a resumable stream, "+end, func() {
			result, sink := serveDropped(newTarget(dropping(streamAll, dropped)), stream())
			expectAnswer(result, sink, http.StatusOK, series(1, 6))
		})
		ginkgo.It("is sent once if it may run once, "+end, func() {
			target := newTarget(dropping(streamAll, dropped))
			result, _ := serveDropped(target, plan())
			expectRefusal(result, agatestage.RanUnknown)
			gomega.Expect(target.requests()).To(gomega.Equal(2))
		})
		ginkgo.It("is sent no more often than its route allows, "+end, func() {
			target := newTarget(dropping(streamAll, dropped))
			plan := repeatable()
			plan.Attempts = 1
			result, _ := serveDropped(target, plan)
			expectRefusal(result, agatestage.RanUnknown)
			gomega.Expect(target.requests()).To(gomega.Equal(2))
		})
	}
	ginkgo.It("isn't sent again on another connection that was kept as long", func() {
		const kept = 3
		var together sync.WaitGroup
		together.Add(kept)
		target := newTarget(dropping(func(exchange *exchange) bool {
			if exchange.id != "call" {
				together.Done()
				together.Wait()
			}
			return keep(exchange)
		}, reset))
		fixture := newFixture(target)
		var first sync.WaitGroup
		for i := range kept {
			first.Go(func() { _, _ = fixture.sendOther(fmt.Sprint(i), plan()) })
		}
		first.Wait()
		plan := repeatable()
		plan.Attempts = 2
		result, sink := fixture.serve(plan)
		expectAnswer(result, sink, http.StatusOK, "good")
		gomega.Expect(target.requests()).To(gomega.Equal(kept + 2))
	})
	ginkgo.It("goes on after the last event that another target has sent", func() {
		first, second := newTarget(breakWithinEvent), newTarget(dropping(streamAll, reset))
		fixture := newFixture(first, second)
		fixture.sched.MarkDown("target-0")
		fixture.serveFirst()
		fixture.sched.MarkUp("target-0")
		result, sink := fixture.serve(stream())
		expectAnswer(result, sink, http.StatusOK, series(1, 6))
		gomega.Expect(second.requests()).To(gomega.Equal(3))
	})
	ginkgo.It("is sent once more only if the target resets new connections, too", func() {
		target := newTarget(afterFirst(reset))
		result, _ := serveDropped(target, repeatable())
		expectRefusal(result, agatestage.RanUnknown)
		gomega.Expect(target.requests()).To(gomega.Equal(3))
	})
	ginkgo.It("is struck and not sent again if the target has gone down", func() {
		var target *target
		target = newTarget(afterFirst(func(exchange *exchange) bool {
			_ = target.listener.Close()
			return reset(exchange)
		}))
		fixture := newFixture(target)
		fixture.serveFirst()
		result, _ := fixture.serve(stream())
		expectRefusal(result, agatestage.RanUnknown)
		gomega.Expect(fixture.receiveStrike().Fingerprint).To(gomega.BeEquivalentTo(fingerprint))
		gomega.Expect(target.requests()).To(gomega.Equal(2))
	})
})
