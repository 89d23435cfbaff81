// Package store implements the client of the platform's key-value service. No other
// client code depends on the service's HTTP interface.
package store

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/plat/rest"
)

// callTimeout limits a call other than a watch.
const callTimeout = 3 * time.Second

// watchSlack is added to the wait of a watch to get its time-out.
const watchSlack = 3 * time.Second

// Request is the JSON body of all calls; each uses the fields that it needs.
type Request struct {
	Key     string           `json:",omitempty"`
	Prefix  string           `json:",omitempty"`
	Version uint64           `json:",omitempty"`
	Value   []byte           `json:",omitempty"`
	Lease   agatestage.Lease `json:",omitempty"`
	// Milliseconds is the wait of a watch or the TTL of a lease.
	Milliseconds int64 `json:",omitempty"`
}

// Reply is the JSON body of all successful replies.
type Reply struct {
	Records  []agatestage.Record `json:",omitempty"`
	Revision uint64              `json:",omitempty"`
	Lease    agatestage.Lease    `json:",omitempty"`
}

// Client implements agatestage.Store over the service's HTTP interface.
type Client struct {
	url   string
	http  *http.Client
	calls atomic.Int64
}

// New returns a client of the service at url.
func New(url string) *Client {
	return &Client{url: url, http: rest.NewClient()}
}

// Calls returns the number of calls that the client has made.
func (client *Client) Calls() int64 {
	return client.calls.Load()
}

// call sends a request and maps its HTTP status to the errors of agatestage.Store.
func (client *Client) call(ctx context.Context, path string, timeout time.Duration, request Request) (reply Reply, err error) {
	client.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err = rest.Do(ctx, client.http, http.MethodPost, client.url+path, request, &reply); err == nil {
		return reply, nil
	}
	var statusError *rest.StatusError
	if !errors.As(err, &statusError) {
		return reply, err
	}
	switch statusError.Code {
	case http.StatusNotFound:
		return reply, agatestage.ErrNotFound
	case http.StatusConflict:
		return reply, agatestage.ErrConflict
	case http.StatusGone:
		return reply, agatestage.ErrNoLease
	case http.StatusBadRequest, http.StatusForbidden, http.StatusRequestEntityTooLarge:
		return reply, errors.Wrap(agatestage.ErrRejected, err.Error())
	}
	return reply, err
}

// Get implements agatestage.Store.
func (client *Client) Get(ctx context.Context, key string) (agatestage.Record, error) {
	reply, err := client.call(ctx, "/kv/get", callTimeout, Request{Key: key})
	if err != nil {
		return agatestage.Record{}, err
	}
	if len(reply.Records) != 1 {
		return agatestage.Record{}, errors.New("store: reply holds no record")
	}
	return reply.Records[0], nil
}

// List implements agatestage.Store.
func (client *Client) List(ctx context.Context, prefix string) ([]agatestage.Record, uint64, error) {
	reply, err := client.call(ctx, "/kv/list", callTimeout, Request{Prefix: prefix})
	return reply.Records, reply.Revision, err
}

// Swap implements agatestage.Store.
func (client *Client) Swap(ctx context.Context, key string, version uint64, value []byte, lease agatestage.Lease) (uint64, error) {
	reply, err := client.call(ctx, "/kv/swap", callTimeout, Request{Key: key, Version: version, Value: value, Lease: lease})
	return reply.Revision, err
}

// Delete implements agatestage.Store.
func (client *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := client.call(ctx, "/kv/delete", callTimeout, Request{Key: key, Version: version})
	return err
}

// Watch implements agatestage.Store.
func (client *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]agatestage.Record, uint64, error) {
	request := Request{Prefix: prefix, Version: after, Milliseconds: wait.Milliseconds()}
	reply, err := client.call(ctx, "/kv/watch", wait+watchSlack, request)
	return reply.Records, reply.Revision, err
}

// Grant implements agatestage.Store.
func (client *Client) Grant(ctx context.Context, ttl time.Duration) (agatestage.Lease, error) {
	reply, err := client.call(ctx, "/lease/grant", callTimeout, Request{Milliseconds: ttl.Milliseconds()})
	return reply.Lease, err
}

// Renew implements agatestage.Store.
func (client *Client) Renew(ctx context.Context, lease agatestage.Lease) error {
	_, err := client.call(ctx, "/lease/renew", callTimeout, Request{Lease: lease})
	return err
}

// Revoke implements agatestage.Store.
func (client *Client) Revoke(ctx context.Context, lease agatestage.Lease) error {
	_, err := client.call(ctx, "/lease/revoke", callTimeout, Request{Lease: lease})
	return err
}
