// Package hosts implements the client of the platform's list of live and leaving
// hosts.
package hosts

import (
	"context"
	"net/http"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/plat/rest"
)

// callTimeout limits one read of the list.
const callTimeout = 3 * time.Second

// Client implements agatestage.HostList over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the host list at url.
func New(url string) *Client {
	return &Client{url: url, http: rest.NewClient()}
}

// Hosts implements agatestage.HostList.
func (client *Client) Hosts(ctx context.Context) (list []agatestage.Host, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = rest.Do(ctx, client.http, http.MethodGet, client.url+"/hosts", nil, &list)
	return list, err
}
