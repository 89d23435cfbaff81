// Package hosts is a stand-in for the platform's lagging host list.
package hosts

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/plat/rest"
)

// change is a line of the list that becomes visible at a time.
type change struct {
	visible time.Time
	host    agatestage.Host
	removed bool
}

// List is the stand-in. A change becomes visible after its lag.
type List struct {
	clock   agatestage.Clock
	lag     time.Duration
	mutex   sync.Mutex
	hosts   map[string]agatestage.Host
	pending []change
}

// New returns an empty list that shows changes after lag.
func New(clock agatestage.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag, hosts: make(map[string]agatestage.Host)}
}

// Put adds or replaces a host.
func (list *List) Put(host agatestage.Host) {
	list.enqueue(change{host: host})
}

// Remove takes a host off the list.
func (list *List) Remove(name string) {
	list.enqueue(change{host: agatestage.Host{Name: name}, removed: true})
}

func (list *List) enqueue(change change) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	change.visible = list.clock.Now().Add(list.lag)
	list.pending = append(list.pending, change)
}

// Hosts implements agatestage.HostList.
func (list *List) Hosts(context.Context) ([]agatestage.Host, error) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	now := list.clock.Now()
	for len(list.pending) > 0 && !list.pending[0].visible.After(now) {
		list.apply(list.pending[0])
		list.pending = list.pending[1:]
	}
	hosts := make([]agatestage.Host, 0, len(list.hosts))
	for _, host := range list.hosts {
		hosts = append(hosts, host)
	}
	return hosts, nil
}

func (list *List) apply(change change) {
	if change.removed {
		delete(list.hosts, change.host.Name)
		return
	}
	list.hosts[change.host.Name] = change.host
}

// Handler serves the list over HTTP: GET /hosts reads it, POST adds a host,
// DELETE /hosts/{name} removes one.
func (list *List) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/hosts", func(writer http.ResponseWriter, request *http.Request) {
		// The stand-in's list can't fail.
		hosts, _ := list.Hosts(request.Context())
		rest.WriteJSON(writer, http.StatusOK, hosts)
	}).Methods(http.MethodGet)
	router.HandleFunc("/hosts", func(writer http.ResponseWriter, request *http.Request) {
		var host agatestage.Host
		if err := json.NewDecoder(request.Body).Decode(&host); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		list.Put(host)
		rest.WriteJSON(writer, http.StatusOK, host)
	}).Methods(http.MethodPost)
	router.HandleFunc("/hosts/{name}", func(writer http.ResponseWriter, request *http.Request) {
		list.Remove(mux.Vars(request)["name"])
		rest.WriteJSON(writer, http.StatusOK, nil)
	}).Methods(http.MethodDelete)
	return router
}
