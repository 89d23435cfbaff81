package store

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/plat/rest"
	wire "github.com/agatestage/agatestage/internal/plat/store"
)

// Handler serves the store over HTTP; POST /fail sets its faults and /counts returns
// its counters.
func (store *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/kv/get", store.serve(store.get)).Methods(http.MethodPost)
	router.HandleFunc("/kv/list", store.serve(store.list)).Methods(http.MethodPost)
	router.HandleFunc("/kv/swap", store.serve(store.swap)).Methods(http.MethodPost)
	router.HandleFunc("/kv/delete", store.serve(store.delete)).Methods(http.MethodPost)
	router.HandleFunc("/kv/watch", store.serve(store.watch)).Methods(http.MethodPost)
	router.HandleFunc("/lease/grant", store.serve(store.grant)).Methods(http.MethodPost)
	router.HandleFunc("/lease/renew", store.serve(store.renew)).Methods(http.MethodPost)
	router.HandleFunc("/lease/revoke", store.serve(store.revoke)).Methods(http.MethodPost)
	router.HandleFunc("/fail", store.serveFaults).Methods(http.MethodPost)
	router.HandleFunc("/counts", func(writer http.ResponseWriter, _ *http.Request) {
		rest.WriteJSON(writer, http.StatusOK, store.Counts())
	})
	return router
}

// operation implements one call of the store over HTTP.
type operation func(request *http.Request, body wire.Request) (wire.Reply, error)

func (store *Store) serve(operation operation) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body wire.Request
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := operation(request, body)
		switch {
		case err == nil:
			rest.WriteJSON(writer, http.StatusOK, reply)
		case errors.Is(err, agatestage.ErrNotFound):
			http.Error(writer, err.Error(), http.StatusNotFound)
		case errors.Is(err, agatestage.ErrConflict):
			http.Error(writer, err.Error(), http.StatusConflict)
		case errors.Is(err, agatestage.ErrNoLease):
			http.Error(writer, err.Error(), http.StatusGone)
		case errors.Is(err, agatestage.ErrRejected):
			http.Error(writer, err.Error(), http.StatusBadRequest)
		default:
			http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

func (store *Store) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	store.SetFaults(faults)
	rest.WriteJSON(writer, http.StatusOK, faults)
}

func (store *Store) get(request *http.Request, body wire.Request) (wire.Reply, error) {
	record, err := store.Get(request.Context(), body.Key)
	return wire.Reply{Records: []agatestage.Record{record}}, err
}

func (store *Store) list(request *http.Request, body wire.Request) (wire.Reply, error) {
	records, revision, err := store.List(request.Context(), body.Prefix)
	return wire.Reply{Records: records, Revision: revision}, err
}

func (store *Store) swap(request *http.Request, body wire.Request) (wire.Reply, error) {
	revision, err := store.Swap(request.Context(), body.Key, body.Version, body.Value, body.Lease)
	return wire.Reply{Revision: revision}, err
}

func (store *Store) delete(request *http.Request, body wire.Request) (wire.Reply, error) {
	return wire.Reply{}, store.Delete(request.Context(), body.Key, body.Version)
}

func (store *Store) watch(request *http.Request, body wire.Request) (wire.Reply, error) {
	wait := time.Duration(body.Milliseconds) * time.Millisecond
	records, revision, err := store.Watch(request.Context(), body.Prefix, body.Version, wait)
	return wire.Reply{Records: records, Revision: revision}, err
}

func (store *Store) grant(request *http.Request, body wire.Request) (wire.Reply, error) {
	lease, err := store.Grant(request.Context(), time.Duration(body.Milliseconds)*time.Millisecond)
	return wire.Reply{Lease: lease}, err
}

func (store *Store) renew(request *http.Request, body wire.Request) (wire.Reply, error) {
	return wire.Reply{}, store.Renew(request.Context(), body.Lease)
}

func (store *Store) revoke(request *http.Request, body wire.Request) (wire.Reply, error) {
	return wire.Reply{}, store.Revoke(request.Context(), body.Lease)
}
