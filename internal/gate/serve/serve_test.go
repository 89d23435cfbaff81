package serve_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/gate/serve"
)

func TestServe(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "serve")
}

const (
	aim     = 300 * time.Millisecond
	timeout = 5 * time.Second
)

// runner notes what it is asked for.
type runner struct {
	call   *agatestage.Call
	plan   relay.Plan
	result relay.Result
}

// Serve implements relay.Runner.
func (runner *runner) Serve(_ context.Context, call *agatestage.Call, plan relay.Plan, _ relay.Sink) relay.Result {
	runner.call, runner.plan = call, plan
	return runner.result
}

// limiter admits or refuses all.
type limiter struct{ err error }

// Admit implements agatestage.Limiter.
func (limiter *limiter) Admit(context.Context, string) error { return limiter.err }

// fresh is what is known of the store.
type fresh struct {
	age     time.Duration
	vouched bool
}

func (fresh *fresh) Age() time.Duration { return fresh.age }
func (fresh *fresh) Vouched() bool      { return fresh.vouched }

// play is a server and what stands around it.
type play struct {
	*serve.Server
	holder  *rules.Holder
	runner  *runner
	limiter *limiter
	fresh   *fresh
	clock   *clocktest.FakeClock
}

func newPlay() *play {
	play := &play{runner: &runner{}, limiter: &limiter{}, fresh: &fresh{}, clock: clocktest.NewFakeClock(time.Unix(1000, 0))}
	play.holder = rules.NewHolder()
	play.Server = serve.New(play.holder, play.limiter, play.runner, play.fresh, play.clock)
	return play
}

// configure puts a configuration in force.
func (play *play) configure() *play {
	shares := []rules.Share{{Service: "service", Weight: 1}}
	play.holder.Offer(rules.New(rules.Content{
		Version: 1,
		Routes: []rules.Route{
			{Name: "open", Host: "host", Prefix: "/open/", Kind: rules.KindOnce, Public: true, Shares: shares, Timeout: timeout, Aim: aim},
			{Name: "stream", Host: "host", Prefix: "/stream/", Kind: rules.KindStream, Resumable: true, Attempts: 2, Priority: 3, Shares: shares, Timeout: timeout, Aim: aim},
			{Name: "jobs", Host: "host", Prefix: "/jobs/", Kind: rules.KindBatch, Shares: shares},
		},
		Organisations: []rules.Organisation{{Name: "org", Rate: agatestage.Rate{PerSecond: 1, Burst: 1}, Priority: 1, Ranked: true}},
		Keys:          map[rules.Digest]string{rules.DigestOf("key"): "org"},
	}), "test")
	return play
}

// ask sends a request for a path with a key, whose caller waits for so long.
func (play *play) ask(path, key string, wait time.Duration) relay.Result {
	return play.Serve(context.Background(), &serve.Request{
		ID: "id", Host: "host", Path: path, URI: path, Method: http.MethodPost, Key: key, Wait: wait, After: 4, Arrived: play.clock.Now(),
	}, nil)
}

// expectRefused checks why a request was refused before it was sent anywhere.
func (play *play) expectRefused(result relay.Result, code agatestage.Code) {
	ginkgo.GinkgoHelper()
	gomega.Expect(result.Refusal).NotTo(gomega.BeNil())
	gomega.Expect([]any{result.Refusal.Code, result.Refusal.Ran}).To(gomega.Equal([]any{code, agatestage.RanNo}))
	gomega.Expect(play.runner.call).To(gomega.BeNil())
}

var _ = ginkgo.Describe("a request", func() {
	ginkgo.It("is refused as not yet known before the first configuration, never as unknown", func() {
		play := newPlay()
		result := play.ask("/stream/x", "key", timeout)
		play.expectRefused(result, agatestage.CodeNotFresh)
		gomega.Expect(result.Refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	})
	ginkgo.It("needs a route, and a key where the route isn't public", func() {
		play := newPlay().configure()
		play.expectRefused(play.ask("/none/", "key", timeout), agatestage.CodeNotFound)
		play.expectRefused(play.ask("/stream/x", "", timeout), agatestage.CodeNoKey)
		play.expectRefused(play.ask("/stream/x", "other", timeout), agatestage.CodeBadKey)
		play.expectRefused(play.ask("/jobs/x", "key", timeout), agatestage.CodeBadMethod)
		gomega.Expect(play.ask("/open/x", "", timeout).Refusal).To(gomega.BeNil())
		gomega.Expect(play.runner.call.Organisation).To(gomega.BeEmpty())
	})
	ginkgo.It("runs for its key's organisation, with its rank", func() {
		play := newPlay().configure()
		gomega.Expect(play.ask("/stream/x", "key", timeout).Refusal).To(gomega.BeNil())
		gomega.Expect(play.runner.call.Organisation).To(gomega.Equal("org"))
		plan := play.runner.plan
		gomega.Expect([]any{plan.Priority, plan.Repeatable, plan.Resumable, plan.Attempts, plan.After}).To(gomega.Equal([]any{1, true, true, 2, int64(4)}))
	})
	ginkgo.It("is refused while nobody can tell whether its key was withdrawn", func() {
		play := newPlay().configure()
		play.fresh.age = time.Minute
		play.expectRefused(play.ask("/stream/x", "key", timeout), agatestage.CodeNotFresh)
		play.fresh.vouched = true
		gomega.Expect(play.ask("/stream/x", "key", timeout).Refusal).To(gomega.BeNil())
	})
	ginkgo.It("is refused above its organisation's rate", func() {
		play := newPlay().configure()
		play.limiter.err = errors.WithStack(agatestage.Refuse(agatestage.CodeRateLimited, "above"))
		play.expectRefused(play.ask("/stream/x", "key", timeout), agatestage.CodeRateLimited)
	})
	ginkgo.It("ends when its caller or its route gives up, whichever is first", func() {
		play := newPlay().configure()
		play.ask("/stream/x", "key", time.Minute)
		gomega.Expect(play.runner.plan.Deadline).To(gomega.Equal(play.clock.Now().Add(timeout)))
		play.ask("/stream/x", "key", time.Second)
		gomega.Expect(play.runner.plan.Deadline).To(gomega.Equal(play.clock.Now().Add(time.Second)))
	})
	ginkgo.It("may wait within its aim, and longer once it has come back", func() {
		play := newPlay().configure()
		play.ask("/stream/x", "key", timeout)
		first := play.runner.plan.QueueTimeout
		gomega.Expect(first).To(gomega.BeNumerically("<", aim))
		play.ask("/stream/x", "key", timeout/2)
		gomega.Expect(play.runner.plan.QueueTimeout).To(gomega.BeNumerically(">", 2*first))
	})
	ginkgo.It("is told to come back while there is time for it", func() {
		play := newPlay().configure()
		refusal := agatestage.Refuse(agatestage.CodeBusy, "busy")
		refusal.RetryAfter = time.Hour
		play.runner.result = relay.Result{Refusal: refusal}
		result := play.ask("/stream/x", "key", 3*time.Second)
		gomega.Expect(result.Refusal.RetryAfter).To(gomega.Equal(time.Second))
	})
})

var _ = ginkgo.Describe("a fingerprint", func() {
	ginkgo.It("is the same for the same caller, path and body only", func() {
		call := agatestage.Call{ID: "1", Organisation: "org", Method: "POST", Host: "h", Path: "/p", Body: []byte("b")}
		again, other := call, call
		again.ID, other.Body = "2", []byte("c")
		gomega.Expect(serve.Fingerprint(&again)).To(gomega.Equal(serve.Fingerprint(&call)))
		gomega.Expect(serve.Fingerprint(&other)).NotTo(gomega.Equal(serve.Fingerprint(&call)))
	})
})
