package conns_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/conns"
)

// fuzzContent is what a target's answers hold that no error may quote.
const fuzzContent = "FUZZ-CONTENT"

// FuzzResponse checks that a response is passed on only as the target framed it, and that no
// error quotes it.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + fuzzContent, "HTTP/1.1 200 OK\r\n\r\n" + fuzzContent,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n" + fuzzContent + "\r\n0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + fuzzContent, "HTTP/1.1 200 OK\r\nContent-Length: " + fuzzContent + "\r\n\r\n", fuzzContent + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + fuzzContent + "\r\n\r\n", "HTTP/1.1 " + fuzzContent + "\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fuzzContent,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + fuzzContent + "\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	address := netip.MustParseAddrPort(listener.Addr().String())
	f.Fuzz(func(t *testing.T, answer []byte) {
		expect := gomega.NewWithT(t)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = conn.Write(answer)
		}()
		response, err := conns.New(agatestage.SystemClock()).Do(context.Background(), address, &conns.Request{Method: http.MethodGet, Host: "host", URI: "/", Header: http.Header{}})
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response)
			response.Abort()
		}
		<-sent
		if err != nil {
			expect.Expect(err.Error()).NotTo(gomega.ContainSubstring(fuzzContent))
			return
		}
		reader, status := bufio.NewReader(bytes.NewReader(answer)), 0
		var framed *http.Response
		for status < http.StatusOK {
			framed, err = http.ReadResponse(reader, nil)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			status = framed.StatusCode
		}
		want, err := io.ReadAll(framed.Body)
		expect.Expect(err).NotTo(gomega.HaveOccurred(), "an answer that is broken off looks complete")
		expect.Expect([]any{response.Status, string(body)}).To(gomega.Equal([]any{status, string(want)}))
	})
}
