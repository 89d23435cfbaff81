package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/nodes"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

func TestRelay(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "relay")
}

// sink collects an answer.
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

// read lets a side send the pieces and returns what the entry makes of them.
// With hang the side sends nothing more and keeps the exchange open.
func read(hang bool, pieces ...calls.AnswerPart) (outcome, *sink) {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	authority, err := certs.NewAuthority(agatestage.SystemClock())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	side := newNode(ctx, authority, "side-a")
	side.Handle(calls.KindCall, func(ctx context.Context, _ certs.Identity, stream *link.Stream) error {
		for _, piece := range pieces {
			if err := stream.Send(piece); err != nil {
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
	sink := &sink{}
	timing := Timing{FirstByte: time.Minute, Between: time.Minute}
	if hang {
		timing = Timing{FirstByte: 100 * time.Millisecond, Between: 100 * time.Millisecond}
	}
	reader := reader{
		relay: &Relay{clock: agatestage.SystemClock()}, stream: stream, timing: timing, sink: sink, id: ownID,
		cancel: func() { stop(); stream.Abort() },
	}
	return reader.read(ctx), sink
}

func expectUnknown(result outcome, begun bool) {
	ginkgo.GinkgoHelper()
	gomega.Expect(result.refusal).NotTo(gomega.BeNil())
	gomega.Expect(result.refusal.Ran).To(gomega.Equal(agatestage.RanUnknown))
	gomega.Expect(result.begun).To(gomega.Equal(begun))
}

var _ = ginkgo.Describe("an answer", func() {
	ginkgo.It("is passed on whole", func() {
		result, sink := read(false, head(ownID), data, end(ownID))
		gomega.Expect(result.refusal).To(gomega.BeNil())
		gomega.Expect(sink.text).To(gomega.Equal(text))
	})

	ginkgo.It("to another call never reaches the caller", func() {
		result, sink := read(false, head("other"), data, end("other"))
		expectUnknown(result, false)
		gomega.Expect(sink.text).To(gomega.BeEmpty())
	})

	ginkgo.It("that ends as another call's is not whole", func() {
		result, _ := read(false, head(ownID), data, end("other"))
		expectUnknown(result, true)
	})

	ginkgo.It("without an end is not whole", func() {
		result, _ := read(false, head(ownID), data)
		expectUnknown(result, true)
	})

	ginkgo.It("without a beginning is none", func() {
		result, _ := read(false, end(ownID))
		expectUnknown(result, false)
	})

	ginkgo.It("that stops coming is given up", func() {
		result, _ := read(true, head(ownID), data)
		expectUnknown(result, true)
		gomega.Expect(result.refusal.Code).To(gomega.Equal(agatestage.CodeDeadline))
	})

	ginkgo.It("that never begins is given up", func() {
		result, _ := read(true)
		expectUnknown(result, false)
	})
})
