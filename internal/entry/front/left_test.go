package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/entry/guard"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/trust/keys"
)

// counter counts the requests that are charged to a rate, and refuses them.
type counter struct{ charged atomic.Int32 }

func (counter *counter) Admit(context.Context, string) error {
	counter.charged.Add(1)
	return agatestage.Refuse(agatestage.CodeRateLimited, "above the rate")
}

// outage confirms an outage of the store, in which keys are good.
type outage struct{}

func (outage) StoreOutageConfirmed() bool { return true }

func TestRequestWhoseCallerHasLeftIsNotChargedToTheRateOfItsOrganisation(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock, key := agatestage.SystemClock(), keys.New()
	changes, faults := model.Intent{
		Organisations: []model.Organisation{{Name: "organisation", Rate: 1, Burst: 1}},
		Keys:          []model.Key{{Name: key.ID, Organisation: "organisation", Digest: key.Digest}},
		Services:      []model.Service{{Name: "plain"}},
		Routes:        []model.Route{{Name: "route", Service: "plain"}},
	}.Changes(model.Empty())
	expect.Expect(faults).To(gomega.BeEmpty())
	document, err := model.Empty().Apply(changes)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	feed, counter := feed.New(store.New(clock), clock), &counter{}
	expect.Expect(feed.Adopt(document)).To(gomega.BeTrue())
	bounds := setup.Bounds{BodyBytes: 1 << 10, BodyTime: setup.Duration{Duration: time.Minute}}
	handler := New(feed, guard.New(feed, outage{}, nil, clock), counter, nil, bounds, clock, nil).Handler()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	server := inlet.New("callers", &http.Server{Handler: handler}, listener, clock)
	go func() { _ = server.Serve(context.Background()) }()
	call := func(leave bool) int {
		conn, err := net.Dial("tcp4", server.Addr().String())
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /svc/plain HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+key.Secret+"\r\nContent-Length: 4\r\n\r\nbod")
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		corkLast(expect, conn.(*net.TCPConn), leave)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		return response.StatusCode
	}
	for range 20 {
		expect.Expect(call(true)).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	expect.Expect(counter.charged.Load()).To(gomega.BeZero())
	expect.Expect(call(false)).To(gomega.Equal(http.StatusTooManyRequests))
	expect.Expect(counter.charged.Load()).To(gomega.BeEquivalentTo(1))
}

// corkLast sends the last byte of a body, together with the end of the caller's bytes if it
// leaves.
func corkLast(expect *gomega.WithT, conn *net.TCPConn, leave bool) {
	raw, err := conn.SyscallConn()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	if leave {
		expect.Expect(raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })).To(gomega.Succeed())
		expect.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, err = io.WriteString(conn, "y")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	if leave {
		expect.Expect(conn.CloseWrite()).To(gomega.Succeed())
	}
}
