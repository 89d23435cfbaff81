package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/nodes"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

func TestRelay(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "relay")
}

// sink records the answer that the reader relays.
type sink struct {
	status int
	text   string
}

func (sink *sink) Head(status int, _ http.Header) error {
	sink.status = status
	return nil
}

func (sink *sink) Data(data []byte) error {
	sink.text += string(data)
	return nil
}

const (
	ownID = "own"
	text  = "the whole answer"
	// slowParts is the number of parts of a slow answer.
	slowParts = 20
)

func head(id string) calls.AnswerPart {
	return calls.AnswerPart{ID: id, Head: &calls.Head{Status: http.StatusOK}}
}

func end(id string) calls.AnswerPart {
	return calls.AnswerPart{ID: id, End: &calls.End{}}
}

var data = calls.AnswerPart{Data: []byte(text)}

func newNode(ctx context.Context, authority *certs.Authority, name string) *link.Node {
	node, err := nodes.New(ctx, authority, ginkgo.GinkgoT().TempDir(), name, agatestage.RoleSide)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(node.Close)
	return node
}

// read has a side send the parts and returns the reader's outcome and the sink.
// With hang the side then keeps the exchange open without sending anything more.
func read(hang bool, answerParts ...calls.AnswerPart) (outcome, *sink) {
	ginkgo.GinkgoHelper()
	timeouts := Timeouts{FirstByte: time.Minute, Between: time.Minute}
	if hang {
		timeouts = Timeouts{FirstByte: 100 * time.Millisecond, Between: 100 * time.Millisecond}
	}
	sink := &sink{}
	return readInto(sink, agatestage.SystemClock(), timeouts, hang, answerParts...), sink
}

// readInto does the same with the sink, clock and time-outs.
func readInto(sink Sink, clock agatestage.Clock, timeouts Timeouts, hang bool, answerParts ...calls.AnswerPart) outcome {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	authority, err := certs.NewAuthority(agatestage.SystemClock())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	side := newNode(ctx, authority, "side-a")
	side.Handle(calls.KindCall, func(ctx context.Context, _ certs.Identity, stream *link.Stream) error {
		for _, answerPart := range answerParts {
			if err := stream.Send(answerPart); err != nil {
				return err
			}
		}
		if hang {
			<-ctx.Done()
		}
		return nil
	})
	entry := newNode(ctx, authority, "entry-a")
	stream, finish, err := entry.Begin(ctx, side.Address(), calls.KindCall)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer finish()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	reader := reader{
		relay: &Relay{clock: clock}, stream: stream, timeouts: timeouts, sink: sink, id: ownID,
		cancel: func() { stop(); stream.Abort() }, survived: func() {},
	}
	if slowSink, ok := sink.(*slowSink); ok {
		reader.survived = func() { slowSink.survived++ }
	}
	return reader.read(ctx)
}

// slowSink lets time pass before each part.
type slowSink struct {
	sink
	clock *clocktest.FakeClock
	pause time.Duration
	// survived counts how often the target had written for blame.SurvivalTime.
	survived int
}

func (slowSink *slowSink) Data(data []byte) error {
	slowSink.clock.Step(slowSink.pause)
	return slowSink.sink.Data(data)
}

func expectUnknown(result outcome, responseStarted bool) {
	ginkgo.GinkgoHelper()
	gomega.Expect(result.refusal).NotTo(gomega.BeNil())
	gomega.Expect(result.refusal.Ran).To(gomega.Equal(agatestage.RanUnknown))
	gomega.Expect(result.responseStarted).To(gomega.Equal(responseStarted))
}

var _ = ginkgo.Describe("an answer", func() {
	ginkgo.It("is relayed completely", func() {
		result, sink := read(false, head(ownID), data, end(ownID))
		gomega.Expect(result.refusal).To(gomega.BeNil())
		gomega.Expect(sink.text).To(gomega.Equal(text))
	})

	ginkgo.It("to another call never reaches the caller", func() {
		result, sink := read(false, head("other"), data, end("other"))
		expectUnknown(result, false)
		gomega.Expect(sink.text).To(gomega.BeEmpty())
	})

	ginkgo.It("whose end belongs to another call has an unknown outcome", func() {
		result, _ := read(false, head(ownID), data, end("other"))
		expectUnknown(result, true)
	})

	ginkgo.It("without an end has an unknown outcome", func() {
		result, _ := read(false, head(ownID), data)
		expectUnknown(result, true)
	})

	ginkgo.It("without a head has an unknown outcome", func() {
		result, _ := read(false, end(ownID))
		expectUnknown(result, false)
	})

	ginkgo.It("that is slow but sound is relayed completely", func() {
		sink := &slowSink{clock: clocktest.NewFakeClock(time.Unix(1000, 0)), pause: 9 * time.Second}
		parts := []calls.AnswerPart{head(ownID)}
		for range slowParts {
			parts = append(parts, data)
		}
		result := readInto(sink, sink.clock, Timeouts{FirstByte: 10 * time.Second, Between: 10 * time.Second}, false, append(parts, end(ownID))...)
		gomega.Expect(result.refusal).To(gomega.BeNil())
		gomega.Expect(sink.text).To(gomega.Equal(strings.Repeat(text, slowParts)))
	})

	for status, pause := range map[int]time.Duration{http.StatusOK: blame.SurvivalTime, http.StatusBadRequest: blame.SurvivalTime, http.StatusAccepted: blame.SurvivalTime / 100} {
		ginkgo.It(fmt.Sprintf("with status %d whose parts come each %v tells whether its target writes on the prompt for long", status, pause), func() {
			sink := &slowSink{clock: clocktest.NewFakeClock(time.Unix(1000, 0)), pause: pause}
			begin := calls.AnswerPart{ID: ownID, Head: &calls.Head{Status: status}}
			result := readInto(sink, sink.clock, Timeouts{FirstByte: time.Minute, Between: time.Minute}, false, begin, data, data, data, end(ownID))
			gomega.Expect(result.refusal).To(gomega.BeNil())
			want := 0
			if status == http.StatusOK {
				want = 2
			}
			gomega.Expect(sink.survived).To(gomega.Equal(want))
		})
	}

	ginkgo.It("that stalls times out", func() {
		result, _ := read(true, head(ownID), data)
		expectUnknown(result, true)
		gomega.Expect(result.refusal.Code).To(gomega.Equal(agatestage.CodeDeadline))
	})

	ginkgo.It("that never begins times out", func() {
		result, _ := read(true)
		expectUnknown(result, false)
	})
})
