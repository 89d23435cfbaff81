// Package rest provides JSON requests over HTTP for the clients of the platform's
// services.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout   = 2 * time.Second
	maxReplyBytes = 64 << 20
	maxIdleConns  = 64
)

// StatusError is the error of a reply whose HTTP status isn't 200.
type StatusError struct {
	Code    int
	Message string
}

// Error implements error.
func (statusError *StatusError) Error() string {
	return http.StatusText(statusError.Code) + ": " + statusError.Message
}

// NewClient returns an HTTP client for platform services.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
	}}
}

// Do sends request as JSON, or an empty body if it is nil, and decodes the reply.
func Do(ctx context.Context, client *http.Client, method, url string, request, reply any) error {
	return DoWithin(ctx, client, method, url, request, reply, maxReplyBytes)
}

// DoWithin does the same and fails if the reply is larger than the limit in bytes.
func DoWithin(ctx context.Context, client *http.Client, method, url string, request, reply any, limit int64) (err error) {
	var body io.Reader
	if request != nil {
		var data []byte
		if data, err = json.Marshal(request); err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	var httpRequest *http.Request
	if httpRequest, err = http.NewRequestWithContext(ctx, method, url, body); err != nil {
		return errors.Wrap(err, "make request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	var response *http.Response
	if response, err = client.Do(httpRequest); err != nil {
		return errors.Wrap(err, "call platform")
	}
	defer response.Body.Close()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(response.Body, limit+1)); err != nil {
		return errors.Wrap(err, "read reply")
	}
	if int64(len(data)) > limit {
		return errors.Errorf("the reply is larger than %d bytes", limit)
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{Code: response.StatusCode, Message: string(bytes.TrimSpace(data))}
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, reply), "decode reply")
}

// WriteJSON writes a JSON reply.
func WriteJSON(writer http.ResponseWriter, status int, reply any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// Ignore the error of a client that has disconnected.
	_ = json.NewEncoder(writer).Encode(reply)
}
