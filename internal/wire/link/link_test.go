package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/fault"
	"github.com/agatestage/agatestage/internal/fake/nodes"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

func TestLink(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "links")
}

const (
	testTimeout = 20 * time.Second
	// replaceTime is long enough for the probe of a connection to fail, and much shorter
	// than the silence after which its exchanges are given up.
	replaceTime = 600 * time.Millisecond
)

// pair is a client and a server node with a fault-injecting relay in front of the
// server.
type pair struct {
	ctx    context.Context
	client *link.Node
	server *link.Node
	relay  *fault.UDP
}

func newNode(ctx context.Context, authority *certs.Authority, name string) *link.Node {
	node, err := nodes.New(ctx, authority, ginkgo.GinkgoT().TempDir(), name, agatestage.RoleEntry)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(node.Close)
	return node
}

func newPair() *pair {
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	authority, err := certs.NewAuthority(agatestage.SystemClock())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	pair := &pair{ctx: ctx, client: newNode(ctx, authority, "client"), server: newNode(ctx, authority, "server")}
	pair.relay, err = fault.NewUDP(pair.server.Address(), 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = pair.relay.Serve(ctx) }()
	return pair
}

// message is the request and reply of the tests' exchanges.
type message struct {
	Text string
}

// echo replies to a request with the peer's host name and the request's text.
func echo(_ context.Context, peer certs.Identity, stream *link.Stream) error {
	var request message
	if err := stream.Receive(&request); err != nil {
		return err
	}
	return stream.Send(message{Text: peer.Host + " " + request.Text})
}

func (pair *pair) expectEcho(ctx context.Context) {
	ginkgo.GinkgoHelper()
	var reply message
	gomega.Expect(pair.client.Ask(ctx, pair.relay.Address(), "Echo", message{Text: "hello"}, &reply)).To(gomega.Succeed())
	gomega.Expect(reply.Text).To(gomega.Equal("client hello"))
}

var _ = ginkgo.Describe("links", func() {
	ginkgo.It("serve many requests, even if the peer replies before the request stream is closed", func() {
		pair := newPair()
		pair.server.Handle("Echo", echo)
		for range 2000 {
			pair.expectEcho(pair.ctx)
		}
	})

	ginkgo.It("reconnect from a new socket after a connection has stopped responding", func() {
		pair := newPair()
		pair.server.Handle("Echo", echo)
		pair.expectEcho(pair.ctx)
		pair.relay.Blackhole()
		ctx, cancel := context.WithTimeout(pair.ctx, testTimeout)
		defer cancel()
		gomega.Eventually(func() error {
			var reply message
			return pair.client.Ask(ctx, pair.relay.Address(), "Echo", message{}, &reply)
		}, testTimeout).Should(gomega.Succeed())
		pair.expectEcho(ctx)
	})

	ginkgo.It("keep an exchange in flight when another one replaces its connection", func() {
		pair := newPair()
		began, release := make(chan struct{}), make(chan struct{})
		pair.server.Handle("Slow", func(ctx context.Context, peer certs.Identity, stream *link.Stream) error {
			close(began)
			<-release
			return echo(ctx, peer, stream)
		})
		replied := make(chan error, 1)
		go func() {
			var reply message
			replied <- pair.client.Ask(pair.ctx, pair.relay.Address(), "Slow", message{}, &reply)
		}()
		gomega.Eventually(began, testTimeout).Should(gomega.BeClosed())
		pair.relay.Set(fault.Faults{Cut: true})
		ctx, cancel := context.WithTimeout(pair.ctx, replaceTime)
		defer cancel()
		_, _, err := pair.client.BeginVerified(ctx, pair.relay.Address(), "Slow")
		gomega.Expect(err).To(gomega.HaveOccurred())
		pair.relay.Set(fault.Faults{})
		close(release)
		gomega.Eventually(replied, testTimeout).Should(gomega.Receive(gomega.Succeed()))
	})

	ginkgo.It("abort an exchange whose peer has stopped responding, long before its deadline", func() {
		pair := newPair()
		began := make(chan struct{})
		pair.server.Handle("Hang", func(ctx context.Context, _ certs.Identity, stream *link.Stream) error {
			close(began)
			<-ctx.Done()
			return ctx.Err()
		})
		failed := make(chan error, 1)
		go func() {
			var reply message
			failed <- pair.client.Ask(pair.ctx, pair.relay.Address(), "Hang", message{}, &reply)
		}()
		gomega.Eventually(began, testTimeout).Should(gomega.BeClosed())
		pair.relay.Blackhole()
		gomega.Eventually(failed, testTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
	})

	ginkgo.It("reject a peer with a certificate of another authority", func() {
		pair := newPair()
		pair.server.Handle("Echo", echo)
		otherAuthority, err := certs.NewAuthority(agatestage.SystemClock())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		otherClient := newNode(pair.ctx, otherAuthority, "client")
		ctx, cancel := context.WithTimeout(pair.ctx, testTimeout)
		defer cancel()
		var reply message
		gomega.Expect(otherClient.Ask(ctx, pair.server.Address(), "Echo", message{}, &reply)).NotTo(gomega.Succeed())
	})
})
