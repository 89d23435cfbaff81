// Package hosts implements the client of the platform's list of live and leaving
// hosts.
package hosts

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"k8s.io/klog/v2"

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

// Hosts implements agatestage.HostList. It skips entries that don't describe a host.
func (client *Client) Hosts(ctx context.Context) (list []agatestage.Host, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var entries []json.RawMessage
	if err = rest.Do(ctx, client.http, http.MethodGet, client.url+"/hosts", nil, &entries); err != nil {
		return nil, err
	}
	for _, entry := range entries {
		var host agatestage.Host
		if err = json.Unmarshal(entry, &host); err != nil || host.Name == "" || host.Address.Port() == 0 {
			klog.V(1).InfoS("entry of the host list describes no host", "bytes", len(entry))
			continue
		}
		list = append(list, host)
	}
	return list, nil
}
