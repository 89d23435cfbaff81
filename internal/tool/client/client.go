// Package client is a client of the administration API of an entry.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/conf/plans"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/entry/reply"
)

const (
	requestTimeout = 30 * time.Second
	maxReplyBytes  = 64 << 20
)

// Client calls the administration API of one entry with an operator's key.
type Client struct {
	url  string
	key  string
	http *http.Client
}

// New returns a client of the entry at url that authenticates with an operator's key.
func New(url, key string) *Client {
	return &Client{url: url, key: key, http: &http.Client{Timeout: requestTimeout}}
}

// Call sends one request and decodes the response into answer. A refusal is returned
// as an error with the text "code: message".
func (client *Client) Call(ctx context.Context, method, path string, request, answer any) error {
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, client.url+"/admin/v1"+path, body)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	httpRequest.Header.Set("Authorization", "Bearer "+client.key)
	var response *http.Response
	if response, err = client.http.Do(httpRequest); err != nil {
		return errors.Wrap(err, "call entry")
	}
	defer response.Body.Close()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes)); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		var problem reply.Problem
		if json.Unmarshal(data, &problem) == nil && problem.Code != "" {
			return errors.Errorf("%s: %s", problem.Code, problem.Message)
		}
		return errors.Errorf("entry answered with status %d", response.StatusCode)
	}
	return errors.Wrap(json.Unmarshal(data, answer), "decode answer")
}

// Plan submits an intent and returns the plan that implements it.
func (client *Client) Plan(ctx context.Context, intent model.Intent) (plan plans.Plan, err error) {
	err = client.Call(ctx, http.MethodPost, "/plans", intent, &plan)
	return plan, err
}

// Confirm confirms the plan with a digest.
func (client *Client) Confirm(ctx context.Context, digest string) (confirmed admin.Confirmed, err error) {
	err = client.Call(ctx, http.MethodPost, "/plans/"+digest+"/confirm", nil, &confirmed)
	return confirmed, err
}

// CreateKey creates a key and the plan that adds it to the configuration.
func (client *Client) CreateKey(ctx context.Context, wanted admin.NewKey) (created admin.CreatedKey, err error) {
	err = client.Call(ctx, http.MethodPost, "/keys", wanted, &created)
	return created, err
}

// WithdrawKey returns the plan that withdraws a key.
func (client *Client) WithdrawKey(ctx context.Context, id string) (plan plans.Plan, err error) {
	err = client.Call(ctx, http.MethodDelete, "/keys/"+id, nil, &plan)
	return plan, err
}
