// Package plain is a stand-in for a plain service beside the model engines: an
// order desk whose orders may not be repeated.
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

// Mode is how the service fails on an order.
type Mode string

// The modes.
const (
	ModeNone Mode = ""
	// ModeBefore breaks the connection before the order is counted.
	ModeBefore Mode = "Before"
	// ModeDuring counts the order and breaks the connection within its answer.
	ModeDuring Mode = "During"
	// ModeAfter counts the order and breaks the connection before its answer.
	ModeAfter Mode = "After"
	// ModeHang counts the order and never answers.
	ModeHang Mode = "Hang"
)

// Service is the stand-in.
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

// Fail sets how orders fail from now on.
func (service *Service) Fail(mode Mode) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.mode = mode
}

// Slow sets how long each answer takes.
func (service *Service) Slow(delay time.Duration) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.delay = delay
}

// Orders returns how often each order was placed.
func (service *Service) Orders() map[string]int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	orders := make(map[string]int, len(service.orders))
	for id, count := range service.orders {
		orders[id] = count
	}
	return orders
}

// Seen returns the headers of all requests.
func (service *Service) Seen() []http.Header {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return append([]http.Header(nil), service.seen...)
}

// placed is the answer to an order.
type placed struct {
	Order string
	Count int
}

// Handler serves the order desk: POST /orders/{id} places an order, GET reads
// its count, GET /orders lists all, and /echo answers with the body.
func (service *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/orders", func(writer http.ResponseWriter, _ *http.Request) {
		rest.WriteJSON(writer, http.StatusOK, service.Orders())
	}).Methods(http.MethodGet)
	router.HandleFunc("/orders/{id}", service.read).Methods(http.MethodGet)
	router.HandleFunc("/orders/{id}", service.place).Methods(http.MethodPost)
	router.HandleFunc("/fail/{mode}", func(_ http.ResponseWriter, request *http.Request) {
		service.Fail(Mode(mux.Vars(request)["mode"]))
	}).Methods(http.MethodPost)
	router.HandleFunc("/echo", service.echo)
	router.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
	return router
}

func (service *Service) note(request *http.Request) (Mode, time.Duration) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.seen = append(service.seen, request.Header.Clone())
	return service.mode, service.delay
}

func (service *Service) pause(request *http.Request, delay time.Duration) {
	timer := service.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-request.Context().Done():
	case <-timer.C():
	}
}

func (service *Service) read(writer http.ResponseWriter, request *http.Request) {
	_, delay := service.note(request)
	service.pause(request, delay)
	id := mux.Vars(request)["id"]
	service.mutex.Lock()
	count := service.orders[id]
	service.mutex.Unlock()
	rest.WriteJSON(writer, http.StatusOK, placed{Order: id, Count: count})
}

func (service *Service) place(writer http.ResponseWriter, request *http.Request) {
	mode, delay := service.note(request)
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
	service.pause(request, delay)
	rest.WriteJSON(writer, http.StatusOK, placed{Order: id, Count: count})
}

func (service *Service) echo(writer http.ResponseWriter, request *http.Request) {
	_, delay := service.note(request)
	service.pause(request, delay)
	writer.Header().Set("Content-Type", request.Header.Get("Content-Type"))
	_, _ = io.Copy(writer, request.Body)
}
