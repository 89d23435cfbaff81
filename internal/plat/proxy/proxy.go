// Package proxy forwards calls to a target over HTTP and reports whether the target
// can have received a failed call.
//
// Each request uses a new connection. A pooled connection may be dead, in which case the
// HTTP client resends some requests on its own, and answers name no call, so one that a
// faulty target repeats on it can't be told from the answer to the next request.
package proxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/trust/keys"
)

const (
	dialTimeout = 2 * time.Second
	// The TCP keep-alive settings detect a dead connection within seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxHeadBytes bounds the head of an answer and all informational answers before it.
	// A faulty target may send either without end.
	maxHeadBytes = 64 << 10
)

// Lost is the error of a call whose target closed or refused the connection.
type Lost struct {
	cause error
}

// Error implements error.
func (lost *Lost) Error() string {
	return "target lost: " + lost.cause.Error()
}

// Unwrap returns the cause.
func (lost *Lost) Unwrap() error {
	return lost.cause
}

// NewLost marks an error as the loss of the target.
func NewLost(cause error) error {
	return &Lost{cause: cause}
}

// Refused reports whether an error means that no process listens at the address.
func Refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Client forwards calls to one target.
type Client struct {
	address netip.AddrPort
	http    *http.Client
}

// New returns a client of the target at address.
func New(address netip.AddrPort) *Client {
	return &Client{
		address: address,
		http:    &http.Client{Transport: transport(), CheckRedirect: noRedirect},
	}
}

func transport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// noRedirect makes the HTTP client return redirects instead of following them.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Address returns where the target listens.
func (client *Client) Address() netip.AddrPort {
	return client.address
}

// HTTP returns the client for requests other than calls.
func (client *Client) HTTP() *http.Client {
	return client.http
}

// URL returns the URL of a path on the target.
func (client *Client) URL(path string) string {
	return "http://" + client.address.String() + path
}

// Do forwards the call. Its error is a *agatestage.Refusal, with RanNo if no
// connection to the target was established and RanUnknown otherwise. It is wrapped
// in a *Lost if the target refused or closed the connection.
func (client *Client) Do(ctx context.Context, call *agatestage.Call) (*agatestage.Answer, error) {
	var connected atomic.Pointer[countedConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, _ := info.Conn.(*countedConn)
			connected.Store(conn)
		},
		Got1xxResponse: newInformationalCheck(),
	})
	request, err := http.NewRequestWithContext(ctx, call.Method, client.URL(call.Path), bytes.NewReader(call.Body))
	if err != nil {
		return nil, agatestage.Refuse(agatestage.CodeBadRequest, "%v", err)
	}
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	keys.RemoveCredentials(request.Header)
	var response *http.Response
	if response, err = client.http.Do(request); err != nil {
		return nil, classifyError(ctx, err, connected.Load() != nil)
	}
	if !agatestage.ValidStatus(response.StatusCode) {
		// net/http takes any three characters that are a number for a status. No call asks for
		// another protocol.
		_ = response.Body.Close()
		countBroken("status")
		return nil, &agatestage.Refusal{
			Code: agatestage.CodeTargetFailed, Message: "target answered with a status that is none", Ran: agatestage.RanUnknown,
		}
	}
	answer := &agatestage.Answer{
		Status: response.StatusCode, Header: response.Header, Body: response.Body,
		EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody,
	}
	if answer.EndsWithConnection {
		answer.Body = &unframedBody{ReadCloser: response.Body, conn: connected.Load(), size: len(call.Body)}
	}
	return answer, nil
}

// classifyError converts the error of an HTTP request to a typed error.
func classifyError(ctx context.Context, err error, connected bool) error {
	refusal := &agatestage.Refusal{Code: agatestage.CodeTargetFailed, Message: "target did not answer", Ran: agatestage.RanUnknown}
	if ctx.Err() != nil {
		refusal.Code, refusal.Message = agatestage.CodeDeadline, "target did not answer in time"
	}
	if !connected {
		refusal.Ran = agatestage.RanNo
		if Refused(err) {
			return errors.WithMessage(&Lost{cause: refusal}, "dial")
		}
		return refusal
	}
	if ctx.Err() == nil {
		return &Lost{cause: refusal}
	}
	return refusal
}
