// Package admin serves the operators' HTTP API: an operator submits an intent,
// reads the plan made from it and confirms the plan by its digest.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/gorilla/mux"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/conf/plans"
	"github.com/agatestage/agatestage/internal/entry/fleet"
	"github.com/agatestage/agatestage/internal/entry/guard"
	"github.com/agatestage/agatestage/internal/entry/reply"
	"github.com/agatestage/agatestage/internal/trust/keys"
)

const (
	maxIntentBytes = 16 << 20
	// confirmTimeout bounds a confirmation and the wait for its propagation.
	confirmTimeout = 14 * time.Second
)

// Propagation reports which entries have a revision in force.
type Propagation interface {
	// Await waits until every entry has the revision in force or ctx ends, and
	// returns the state of each entry.
	Await(ctx context.Context, revision uint64) []Node
}

// Node is the state of one entry with regard to a revision.
type Node struct {
	Name     string
	Revision uint64
	// InForce is true if the node has the revision. Fenced is true if no
	// status of the node has arrived for so long that the node has stopped
	// accepting requests with keys on its own.
	InForce bool
	Fenced  bool
}

// Admin serves the operators' API.
type Admin struct {
	feed        *feed.Feed
	guard       *guard.Guard
	planner     *plans.Planner
	fleet       *fleet.Fleet
	propagation Propagation
	jobs        Jobs
}

// Jobs lists batch jobs for operators.
type Jobs interface {
	Summaries() any
}

func New(feed *feed.Feed, guard *guard.Guard, planner *plans.Planner, fleet *fleet.Fleet, propagation Propagation, jobs Jobs) *Admin {
	return &Admin{feed: feed, guard: guard, planner: planner, fleet: fleet, propagation: propagation, jobs: jobs}
}

// Handler returns the HTTP handler of the operators' API.
func (admin *Admin) Handler() http.Handler {
	router := mux.NewRouter()
	router.NotFoundHandler = http.HandlerFunc(reply.NotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(reply.BadMethod)
	routes := router.PathPrefix("/admin/v1").Subrouter()
	routes.NotFoundHandler, routes.MethodNotAllowedHandler = router.NotFoundHandler, router.MethodNotAllowedHandler
	routes.HandleFunc("/plans", admin.requireOperator(admin.propose)).Methods(http.MethodPost)
	routes.HandleFunc("/plans/{digest}/confirm", admin.requireOperator(admin.confirm)).Methods(http.MethodPost)
	routes.HandleFunc("/keys", admin.requireOperator(admin.listKeys)).Methods(http.MethodGet)
	routes.HandleFunc("/keys", admin.requireOperator(admin.createKey)).Methods(http.MethodPost)
	routes.HandleFunc("/keys/{id}", admin.requireOperator(admin.withdrawKey)).Methods(http.MethodDelete)
	routes.HandleFunc("/organisations", admin.requireOperator(admin.organisations)).Methods(http.MethodGet)
	routes.HandleFunc("/configuration", admin.requireOperator(admin.configuration)).Methods(http.MethodGet)
	routes.HandleFunc("/jobs", admin.requireOperator(admin.listJobs)).Methods(http.MethodGet)
	routes.HandleFunc("/status", admin.requireOperator(admin.status)).Methods(http.MethodGet)
	return router
}

// operation handles an operator's request and returns the document to send.
type operation func(request *http.Request) (any, error)

// requireOperator returns a handler that runs the operation only for requests
// with an operator's key.
func (admin *Admin) requireOperator(operation operation) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if err := admin.guard.Operator(request); err != nil {
			reply.Refuse(writer, err)
			return
		}
		// The operator may only have closed its sending side, and a change would go on.
		ctx, cancel := inlet.WithoutCaller(request.Context())
		defer cancel()
		document, err := operation(request.WithContext(ctx))
		if err != nil {
			reply.Refuse(writer, err)
			return
		}
		reply.JSON(writer, http.StatusOK, document)
	}
}

// decode decodes a request's JSON body and rejects unknown fields.
func decode(request *http.Request, document any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, request.Body, maxIntentBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "the body is not of the expected form: %v", err)
	}
	return nil
}

// propose makes a plan from the intent in the body.
func (admin *Admin) propose(request *http.Request) (any, error) {
	var intent model.Intent
	if err := decode(request, &intent); err != nil {
		return nil, err
	}
	return admin.planner.Propose(request.Context(), intent)
}

// Confirmed is the response to a confirmation.
type Confirmed struct {
	Revision uint64
	// Everywhere is true only if every live entry has the revision in force or
	// is fenced.
	Everywhere bool
	Nodes      []Node
}

// confirm makes a plan the next revision and waits until the entries have it in
// force.
func (admin *Admin) confirm(request *http.Request) (any, error) {
	ctx, cancel := context.WithTimeout(request.Context(), confirmTimeout)
	defer cancel()
	revision, err := admin.planner.Confirm(ctx, mux.Vars(request)["digest"])
	if err != nil {
		return nil, err
	}
	confirmed := Confirmed{Revision: revision, Everywhere: true, Nodes: admin.propagation.Await(ctx, revision)}
	for _, node := range confirmed.Nodes {
		confirmed.Everywhere = confirmed.Everywhere && (node.InForce || node.Fenced)
	}
	return confirmed, nil
}

// NewKey is a request to create a key.
type NewKey struct {
	Organisation string
	Operator     bool
}

// CreatedKey is a new key, whose secret is returned only here. The key is not
// valid until its plan is confirmed.
type CreatedKey struct {
	ID   string
	Key  string
	Plan plans.Plan
}

// createKey generates a key and makes the plan that adds it to the configuration.
func (admin *Admin) createKey(request *http.Request) (any, error) {
	var newKey NewKey
	if err := decode(request, &newKey); err != nil {
		return nil, err
	}
	key := keys.New()
	record := model.Key{Name: key.ID, Organisation: newKey.Organisation, Digest: key.Digest, Operator: newKey.Operator}
	plan, err := admin.planner.Propose(request.Context(), model.Intent{Keys: []model.Key{record}})
	if err != nil {
		return nil, err
	}
	return CreatedKey{ID: key.ID, Key: key.Secret, Plan: plan}, nil
}

// withdrawKey makes the plan that withdraws a key.
func (admin *Admin) withdrawKey(request *http.Request) (any, error) {
	id := mux.Vars(request)["id"]
	key, ok := admin.feed.Current().Keys[id]
	if !ok {
		return nil, agatestage.Refuse(agatestage.CodeNotFound, "no key has the ID %q", id)
	}
	key.Withdrawn = true
	return admin.planner.Propose(request.Context(), model.Intent{Keys: []model.Key{key}})
}

// ListedKey describes a key without its digest.
type ListedKey struct {
	ID           string
	Organisation string
	Operator     bool
	Withdrawn    bool
}

func (admin *Admin) listKeys(*http.Request) (any, error) {
	list := []ListedKey{}
	for id, key := range admin.feed.Current().Keys {
		list = append(list, ListedKey{id, key.Organisation, key.Operator, key.Withdrawn})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, nil
}

func (admin *Admin) organisations(*http.Request) (any, error) {
	list := []model.Organisation{}
	for _, organisation := range admin.feed.Current().Organisations {
		list = append(list, organisation)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// configuration returns the document in force without its keys, which hold
// digests.
func (admin *Admin) configuration(*http.Request) (any, error) {
	document := *admin.feed.Current()
	document.Keys = nil
	return document, nil
}

func (admin *Admin) listJobs(*http.Request) (any, error) {
	if admin.jobs == nil {
		return []string{}, nil
	}
	return admin.jobs.Summaries(), nil
}

// Status is the state of the fleet as this entry sees it.
type Status struct {
	Revision uint64
	Digest   string
	// Fresh is true if this entry knows that its configuration is current.
	Fresh   bool
	Entries []Node
	Targets []fleet.State
}

func (admin *Admin) status(request *http.Request) (any, error) {
	document := admin.feed.Current()
	ctx, cancel := context.WithTimeout(request.Context(), time.Second)
	defer cancel()
	return Status{
		Revision: document.Revision,
		Digest:   document.Digest,
		Fresh:    admin.guard.Fresh(),
		Entries:  admin.propagation.Await(ctx, document.Revision),
		Targets:  admin.fleet.States(),
	}, nil
}
