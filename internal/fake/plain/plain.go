// Package plain implements a stand-in for a plain service, which is a target that is
// not a model engine: an order service whose POST requests are not idempotent.
package plain

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/plat/rest"
)

// Mode is the way in which the service fails when an order is placed.
type Mode string

const (
	ModeNone Mode = ""
	// ModeBefore closes the connection before the order is counted.
	ModeBefore Mode = "Before"
	// ModeDuring counts the order and closes the connection in the middle of the
	// response.
	ModeDuring Mode = "During"
	// ModeAfter counts the order and closes the connection before the response.
	ModeAfter Mode = "After"
	// ModeHang counts the order and never responds.
	ModeHang Mode = "Hang"
)

// Service is the stand-in for a plain service.
type Service struct {
	clock  agatestage.Clock
	mutex  sync.Mutex
	mode   Mode
	delay  time.Duration
	orders map[string]int
	seen   []http.Header
}

// New returns a service without orders.
func New(clock agatestage.Clock) *Service {
	return &Service{clock: clock, orders: make(map[string]int)}
}

// SetMode sets the way in which the following orders fail.
func (service *Service) SetMode(mode Mode) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.mode = mode
}

// SetDelay sets the delay before each response.
func (service *Service) SetDelay(delay time.Duration) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.delay = delay
}

// Orders returns the number of times that each order was placed, by ID.
func (service *Service) Orders() map[string]int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	orders := make(map[string]int, len(service.orders))
	for id, count := range service.orders {
		orders[id] = count
	}
	return orders
}

// Seen returns the headers of all requests so far.
func (service *Service) Seen() []http.Header {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return append([]http.Header(nil), service.seen...)
}

// orderReply is the response to an order.
type orderReply struct {
	Order string
	Count int
}

// Handler serves the orders over HTTP: POST /orders/{id} places an order, GET
// /orders/{id} reads its count, GET /orders lists all, POST /fail/{mode} sets the
// mode, and /echo responds with the request's body.
func (service *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/orders", func(writer http.ResponseWriter, _ *http.Request) {
		rest.WriteJSON(writer, http.StatusOK, service.Orders())
	}).Methods(http.MethodGet)
	router.HandleFunc("/orders/{id}", service.read).Methods(http.MethodGet)
	router.HandleFunc("/orders/{id}", service.place).Methods(http.MethodPost)
	router.HandleFunc("/fail/{mode}", func(_ http.ResponseWriter, request *http.Request) {
		service.SetMode(Mode(mux.Vars(request)["mode"]))
	}).Methods(http.MethodPost)
	router.HandleFunc("/echo", service.echo)
	router.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
	return router
}

func (service *Service) record(request *http.Request) (Mode, time.Duration) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.seen = append(service.seen, request.Header.Clone())
	return service.mode, service.delay
}

func (service *Service) wait(request *http.Request, delay time.Duration) {
	timer := service.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-request.Context().Done():
	case <-timer.C():
	}
}

func (service *Service) read(writer http.ResponseWriter, request *http.Request) {
	_, delay := service.record(request)
	service.wait(request, delay)
	id := mux.Vars(request)["id"]
	service.mutex.Lock()
	count := service.orders[id]
	service.mutex.Unlock()
	rest.WriteJSON(writer, http.StatusOK, orderReply{Order: id, Count: count})
}

func (service *Service) place(writer http.ResponseWriter, request *http.Request) {
	mode, delay := service.record(request)
	if mode == ModeBefore {
		panic(http.ErrAbortHandler)
	}
	id := mux.Vars(request)["id"]
	service.mutex.Lock()
	service.orders[id]++
	count := service.orders[id]
	service.mutex.Unlock()
	switch mode {
	case ModeAfter:
		panic(http.ErrAbortHandler)
	case ModeHang:
		<-request.Context().Done()
		return
	case ModeDuring:
		writer.Header().Set("Content-Length", "1000")
		writer.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(writer, `{"Order":`)
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	service.wait(request, delay)
	rest.WriteJSON(writer, http.StatusOK, orderReply{Order: id, Count: count})
}

func (service *Service) echo(writer http.ResponseWriter, request *http.Request) {
	_, delay := service.record(request)
	service.wait(request, delay)
	writer.Header().Set("Content-Type", request.Header.Get("Content-Type"))
	_, _ = io.Copy(writer, request.Body)
}
