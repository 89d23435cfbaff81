// Package engine implements the HTTP protocol of model engines and plain services.
// No other package depends on that protocol.
package engine

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/plat/proxy"
	"github.com/agatestage/agatestage/internal/plat/rest"
)

const (
	// queryTimeout limits a status query; orderTimeout limits an order, which may
	// load a model.
	queryTimeout = 2 * time.Second
	orderTimeout = 10 * time.Minute
	// maxReplyBytes bounds the reply to either. A faulty engine may send one without end.
	maxReplyBytes = 1 << 20
)

// Engine is a model engine. It implements agatestage.Target.
type Engine struct {
	*proxy.Client
}

// New returns a client of the engine at address.
func New(address netip.AddrPort) *Engine {
	return &Engine{Client: proxy.New(address)}
}

// Holdings implements agatestage.Target.
func (engine *Engine) Holdings(ctx context.Context) (holdings []agatestage.Holding, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	err = rest.DoWithin(ctx, engine.HTTP(), http.MethodGet, engine.URL("/holdings"), nil, &holdings, maxReplyBytes)
	return holdings, err
}

// Order implements agatestage.Target.
func (engine *Engine) Order(ctx context.Context, order agatestage.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return rest.DoWithin(ctx, engine.HTTP(), http.MethodPost, engine.URL("/orders"), order, nil, maxReplyBytes)
}

// Service is a plain service. It implements agatestage.Target.
type Service struct {
	*proxy.Client
}

// NewService returns a client of the plain service at address.
func NewService(address netip.AddrPort) *Service {
	return &Service{Client: proxy.New(address)}
}

// Holdings implements agatestage.Target. A plain service has no models, so the call
// only checks that the service accepts connections.
func (service *Service) Holdings(ctx context.Context) ([]agatestage.Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, service.URL("/health"), nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	var response *http.Response
	if response, err = service.HTTP().Do(request); err != nil {
		return nil, errors.Wrap(err, "probe service")
	}
	return nil, errors.Wrap(response.Body.Close(), "close probe")
}

// Order implements agatestage.Target. It does nothing, as plain services take no
// orders.
func (service *Service) Order(context.Context, agatestage.Order) error {
	return nil
}
