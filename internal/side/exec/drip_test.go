package exec_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/plat/engine"
	"github.com/agatestage/agatestage/internal/side/exec"
	"github.com/agatestage/agatestage/internal/side/slots"
	"github.com/agatestage/agatestage/internal/side/state"
)

const (
	// dripPause is the pause between two bytes, dripTimeout how long a call may take.
	dripPause   = 20 * time.Millisecond
	dripTimeout = 500 * time.Millisecond
)

var _ = ginkgo.Describe("a stream that drips a byte now and then for ever", func() {
	ginkgo.It("ends at its call's deadline, and its target is released", func() {
		left := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodGet {
				return
			}
			writer.Header().Set("Content-Type", "text/event-stream")
			for request.Context().Err() == nil {
				_, _ = io.WriteString(writer, ":")
				_ = http.NewResponseController(writer).Flush()
				time.Sleep(dripPause)
			}
			close(left)
		}))
		ginkgo.DeferCleanup(server.Close)
		clock := agatestage.SystemClock()
		pool := slots.New(clock, 1, 1, func() {})
		target := state.New("service", agatestage.KindService, engine.NewService(netip.MustParseAddrPort(server.Listener.Addr().String())), pool, clock, func() {})
		target.SetPolicy(model.Target{Online: true})
		gomega.Expect(target.Probe(context.Background())).To(gomega.BeTrue())
		end := exec.Run(context.Background(), target, &agatestage.Call{Method: http.MethodPost, Path: "/", Timeout: dripTimeout}, &textSink{})
		expectEnd(end, agatestage.RanUnknown, false)
		gomega.Expect(end.Refusal.Code).To(gomega.Equal(agatestage.CodeDeadline))
		gomega.Eventually(left, patience).Should(gomega.BeClosed())
		gomega.Expect(target.Load().Online).To(gomega.BeZero())
	})
})
