package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/fake/store"
)

// A request on a connection that is open when a stop of a minute begins, by how long its
// route lets it last.
func TestRequestThatMayOutliveAStopIsRefusedAsNotRun(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := agatestage.SystemClock()
	route := model.Route{Name: "route", Service: "plain", Open: true, Timeout: setup.Duration{Duration: 2 * time.Minute}}
	changes, faults := model.Intent{Services: []model.Service{{Name: "plain"}}, Routes: []model.Route{route}}.Changes(model.Empty())
	expect.Expect(faults).To(gomega.BeEmpty())
	document, err := model.Empty().Apply(changes)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	feed := feed.New(store.New(clock), clock)
	expect.Expect(feed.Adopt(document)).To(gomega.BeTrue())
	handler := New(feed, nil, nil, nil, setup.Bounds{BodyBytes: 1 << 10, BodyTime: setup.Duration{Duration: time.Minute}}, clock, nil).Handler()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	server := inlet.New("callers", &http.Server{Handler: handler}, listener, clock)
	go func() { _ = server.Serve(context.Background()) }()
	conn, err := net.Dial("tcp4", server.Addr().String())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(text string) {
		_, err = io.WriteString(conn, text)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
	}
	send("GET /svc/other HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(response.StatusCode).To(gomega.Equal(http.StatusNotFound))
	_, _ = io.Copy(io.Discard, response.Body)
	// Part of a request keeps the connection open.
	send("GET /svc/plain HTTP/1.1\r\nHost: h\r\n")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go server.Stop(ctx)
	expect.Eventually(func() error {
		conn, err := net.Dial("tcp4", server.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, time.Minute).ShouldNot(gomega.Succeed())
	send("\r\n")
	response, err = http.ReadResponse(reader, nil)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	expect.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
}
