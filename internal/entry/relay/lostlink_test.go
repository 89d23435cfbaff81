package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/entry/fleet"
	"github.com/agatestage/agatestage/internal/fake/fault"
	"github.com/agatestage/agatestage/internal/fake/nodes"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// hostList lists one side.
type hostList struct{ host agatestage.Host }

func (hostList hostList) Hosts(context.Context) ([]agatestage.Host, error) {
	return []agatestage.Host{hostList.host}, nil
}

// firstRouter picks the first candidate.
type firstRouter struct{}

func (firstRouter) Pick(_ *agatestage.Call, candidates []agatestage.Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	return 0
}

// soleTarget is a relay whose only target is at a side behind a faulty network.
type soleTarget struct {
	*Relay
	network  *fault.UDP
	received atomic.Int32
}

// newSoleTarget returns a target whose side answers calls, or ends their exchanges without an
// answer.
func newSoleTarget(ends bool) *soleTarget {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	clock := agatestage.SystemClock()
	authority, err := certs.NewAuthority(clock)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	sole := &soleTarget{}
	side := newNode(ctx, authority, "side-a")
	side.Handle(calls.KindWatch, func(ctx context.Context, _ certs.Identity, stream *link.Stream) error {
		report := calls.TargetReport{Name: "target", Kind: agatestage.KindService, Load: agatestage.Load{Slots: 8, Ready: true}}
		if err := stream.Send(calls.Report{Targets: []calls.TargetReport{report}}); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	side.Handle(calls.KindCall, func(_ context.Context, _ certs.Identity, stream *link.Stream) error {
		var request calls.Request
		if err := stream.Receive(&request); err != nil {
			return err
		}
		sole.received.Add(1)
		if ends {
			return errors.New("the exchange ends")
		}
		for _, part := range []calls.AnswerPart{head(request.Call.ID), data, end(request.Call.ID)} {
			if err := stream.Send(part); err != nil {
				return err
			}
		}
		return nil
	})
	sole.network, err = fault.NewUDP(side.Address(), 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = sole.network.Serve(ctx) }()
	entry, err := nodes.New(ctx, authority, ginkgo.GinkgoT().TempDir(), "entry-a", agatestage.RoleEntry)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(entry.Close)
	feed := feed.New(store.New(clock), clock)
	feed.Adopt(&model.Document{Revision: 1, Targets: map[string]model.Target{"target": {Name: "target", Services: []string{"service"}, Online: true}}})
	host := agatestage.Host{Name: "side-a", Role: agatestage.RoleSide, Region: "region", Address: sole.network.Address()}
	sides := fleet.New("entry-a", "region", entry, hostList{host}, feed, clock)
	go func() { _ = sides.Serve(ctx) }()
	sole.Relay = New(entry, sides, firstRouter{}, blame.New(clock), clock)
	return sole
}

// send sends a call and returns its answer.
func (sole *soleTarget) send(idempotent bool) (*sink, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	sink := &sink{}
	_, err := sole.Do(ctx, &agatestage.Call{Service: "service", Method: http.MethodPost, Path: "/", Idempotent: idempotent}, Timeouts{}, sink)
	return sink, err
}

// expectAnswer sends a call, which must be answered.
func (sole *soleTarget) expectAnswer(idempotent bool) {
	ginkgo.GinkgoHelper()
	sink, err := sole.send(idempotent)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(sink.text).To(gomega.Equal(text))
}

var _ = ginkgo.Describe("a call on a link that has stopped passing data, to the only target", func() {
	for _, idempotent := range []bool{true, false} {
		ginkgo.It(fmt.Sprintf("is answered on a new link, idempotent: %t", idempotent), func() {
			sole := newSoleTarget(false)
			sole.expectAnswer(true)
			sole.network.Blackhole()
			sole.expectAnswer(idempotent)
			gomega.Expect(sole.received.Load()).To(gomega.BeEquivalentTo(2))
		})
	}
	ginkgo.It("is sent once more only if its side ends the exchange each time", func() {
		sole := newSoleTarget(true)
		_, err := sole.send(true)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(sole.received.Load()).To(gomega.BeEquivalentTo(2))
	})
	ginkgo.It("is sent once if it isn't idempotent and its side ends the exchange", func() {
		sole := newSoleTarget(true)
		_, err := sole.send(false)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(sole.received.Load()).To(gomega.BeEquivalentTo(1))
	})
})
