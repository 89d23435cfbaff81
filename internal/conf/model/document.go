// Package model defines the configuration that operators can change at run time:
// organisations, keys, models, services, routes and the work that each target may
// take.
//
// A Document is one revision of the whole configuration. It is immutable: Apply
// returns a new one. Revisions form a hash chain: the digest of a revision covers
// its changes and the previous digest, so two nodes with the same revision and
// digest have the same configuration.
package model

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
)

// Organisation is a tenant. Its rate and burst apply to all hosts together.
type Organisation struct {
	Name string
	// Rate is in requests per second, Burst in requests.
	Rate  float64
	Burst float64
	// Weight is the organisation's share of batch capacity relative to others; 0
	// means 1.
	Weight float64 `json:",omitempty"`
}

// Key authenticates callers of an organisation or, with Operator, operators.
type Key struct {
	// Name is the public ID that is part of the key.
	Name         string
	Organisation string `json:",omitempty"`
	// Digest is the hexadecimal SHA-256 digest of the whole key.
	Digest    string
	Operator  bool `json:",omitempty"`
	Withdrawn bool `json:",omitempty"`
}

// Model is a model that an engine can hold.
type Model struct {
	Name    string
	Version string
	Adapter string `json:",omitempty"`
}

// Holding returns the holding that a target needs to serve the model.
func (model Model) Holding() agatestage.Holding {
	return agatestage.Holding{Model: model.Name, Version: model.Version, Adapter: model.Adapter}
}

// Service is a plain service, as opposed to a model.
type Service struct {
	Name string
	// Idempotent lists the HTTP methods whose calls may be repeated.
	Idempotent []string `json:",omitempty"`
}

// Route makes a model or a service available to callers.
type Route struct {
	Name    string
	Model   string `json:",omitempty"`
	Service string `json:",omitempty"`
	// Open routes require no key and have no rate limit.
	Open bool `json:",omitempty"`
	// Organisations are those that may use the route; empty means all.
	Organisations []string `json:",omitempty"`
	// Batch is true if batch jobs may use the route.
	Batch bool `json:",omitempty"`
	// Timeout bounds a request without a time-out of its own, FirstByte the time
	// to its first byte, and Between the gap between two parts of its answer.
	Timeout   setup.Duration
	FirstByte setup.Duration
	Between   setup.Duration
}

// Target configures the work that a back end may take.
type Target struct {
	Name     string
	Models   []string `json:",omitempty"`
	Services []string `json:",omitempty"`
	Online   bool     `json:",omitempty"`
	Batch    bool     `json:",omitempty"`
	// Role is the role to run in, for engines that support several.
	Role string `json:",omitempty"`
}

// Document is one revision of the configuration. It must not be modified.
//
// Invariants: every reference names something that exists, names are unique
// within a kind, and Digest covers all changes up to Revision.
type Document struct {
	Revision      uint64
	Digest        string
	Organisations map[string]Organisation
	Keys          map[string]Key
	Models        map[string]Model
	Services      map[string]Service
	Routes        map[string]Route
	Targets       map[string]Target
	index         index
}

// index maps the names of models and services to the names of their routes.
type index struct {
	models   map[string]string
	services map[string]string
}

// Empty returns revision 0.
func Empty() *Document {
	document := &Document{
		Organisations: map[string]Organisation{},
		Keys:          map[string]Key{},
		Models:        map[string]Model{},
		Services:      map[string]Service{},
		Routes:        map[string]Route{},
		Targets:       map[string]Target{},
	}
	document.reindex()
	return document
}

// Decode decodes a document that Encode encoded.
func Decode(data []byte) (*Document, error) {
	document := Empty()
	if err := json.Unmarshal(data, document); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	document.reindex()
	return document, nil
}

// Encode encodes the document as JSON.
func (document *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(document)
	return data, errors.Wrap(err, "encode configuration")
}

// reindex rebuilds the index from the routes.
func (document *Document) reindex() {
	document.index = index{models: map[string]string{}, services: map[string]string{}}
	for name, route := range document.Routes {
		if route.Model != "" {
			document.index.models[route.Model] = name
		}
		if route.Service != "" {
			document.index.services[route.Service] = name
		}
	}
}

// ModelRoute returns the route of a model.
func (document *Document) ModelRoute(model string) (Route, bool) {
	route, ok := document.Routes[document.index.models[model]]
	return route, ok
}

// ServiceRoute returns the route of a service.
func (document *Document) ServiceRoute(service string) (Route, bool) {
	route, ok := document.Routes[document.index.services[service]]
	return route, ok
}

// Rate implements agatestage.RateSource.
func (document *Document) Rate(name string) (agatestage.Rate, bool) {
	organisation, ok := document.Organisations[name]
	return agatestage.Rate{PerSecond: organisation.Rate, Burst: organisation.Burst}, ok
}

// Permits reports whether the organisation may use the route.
func (route Route) Permits(organisation string) bool {
	if len(route.Organisations) == 0 {
		return true
	}
	for _, name := range route.Organisations {
		if name == organisation {
			return true
		}
	}
	return false
}

// MayRepeat reports whether a call with the method may be sent twice.
func (service Service) MayRepeat(method string) bool {
	for _, name := range service.Idempotent {
		if name == method {
			return true
		}
	}
	return false
}

// chainDigest returns the digest of a revision, computed from the previous digest
// and the revision's changes.
func chainDigest(previous string, changes []Change) (string, error) {
	data, err := json.Marshal(changes)
	if err != nil {
		return "", errors.Wrap(err, "encode changes")
	}
	sum := sha256.Sum256(append([]byte(previous), data...))
	return hex.EncodeToString(sum[:]), nil
}
