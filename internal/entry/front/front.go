// Package front serves the callers' HTTP API: the published completion API, calls
// to plain services and batch jobs.
package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/entry/guard"
	"github.com/agatestage/agatestage/internal/entry/relay"
	"github.com/agatestage/agatestage/internal/entry/reply"
)

const (
	// timeoutHeader lets a caller set the time-out of its request, in seconds.
	timeoutHeader = "X-Request-Timeout"
	maxTimeout    = time.Hour
)

// Front serves the callers' API.
type Front struct {
	feed                  *feed.Feed
	guard                 *guard.Guard
	limiter               agatestage.Limiter
	relay                 *relay.Relay
	bounds                setup.Bounds
	clock                 agatestage.Clock
	jobs                  Jobs
	mutex                 sync.Mutex
	labelledOrganisations map[string]bool
}

// Jobs adds the routes of batch jobs.
type Jobs interface {
	Routes(router *mux.Router)
}

func New(feed *feed.Feed, guard *guard.Guard, limiter agatestage.Limiter, relay *relay.Relay, bounds setup.Bounds, clock agatestage.Clock, jobs Jobs) *Front {
	return &Front{feed: feed, guard: guard, limiter: limiter, relay: relay, bounds: bounds, clock: clock, jobs: jobs, labelledOrganisations: make(map[string]bool)}
}

// Handler returns the HTTP handler of the callers' API.
func (front *Front) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.NotFoundHandler = http.HandlerFunc(reply.NotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(reply.BadMethod)
	router.HandleFunc("/v1/chat/completions", front.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", front.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", front.listModels).Methods(http.MethodGet)
	router.PathPrefix("/svc/{service}").HandlerFunc(front.callService)
	if front.jobs != nil {
		front.jobs.Routes(router)
	}
	return router
}

// modelList is a list of models as the published API represents it.
type modelList struct {
	Object string        `json:"object"`
	Data   []listedModel `json:"data"`
}

type listedModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the models that the caller's organisation may use.
func (front *Front) listModels(writer http.ResponseWriter, request *http.Request) {
	organisation, err := front.guard.Authenticate(request)
	if err != nil {
		reply.Refuse(writer, err)
		return
	}
	list := modelList{Object: "list", Data: []listedModel{}}
	for _, route := range front.feed.Current().Routes {
		if route.Model != "" && (route.Open || route.Permits(organisation)) {
			list.Data = append(list.Data, listedModel{ID: route.Model, Object: "model", OwnedBy: "agatestage"})
		}
	}
	reply.JSON(writer, http.StatusOK, list)
}

// complete serves chat and text completions.
func (front *Front) complete(writer http.ResponseWriter, request *http.Request) {
	startedAt := front.clock.Now()
	body, err := ReadBody(writer, request, front.bounds)
	if err != nil {
		front.refuse(writer, "", "", startedAt, err)
		return
	}
	var prompt prompt
	if prompt, err = parsePrompt(body); err != nil {
		front.refuse(writer, "", "", startedAt, err)
		return
	}
	route, ok := front.feed.Current().ModelRoute(prompt.Model)
	if !ok {
		front.refuse(writer, "", "", startedAt, agatestage.Refuse(agatestage.CodeNoModel, "no route opens a model %q", prompt.Model))
		return
	}
	ctx, cancel, err := front.limitTime(request, route)
	if err != nil {
		front.refuse(writer, "", route.Name, startedAt, err)
		return
	}
	defer cancel()
	var organisation string
	if organisation, err = front.admit(ctx, request, route); err != nil {
		front.refuse(writer, organisation, route.Name, startedAt, err)
		return
	}
	call := &agatestage.Call{
		Organisation: organisation, Model: prompt.Model, Method: request.Method, Path: request.URL.RequestURI(),
		Header: forwardedHeader(request.Header), Body: body, Idempotent: true, Prefix: prompt.prefixHash(organisation),
		Parts: prompt.parts(),
	}
	front.relayCall(ctx, writer, request, route, call, startedAt)
}

// callService serves calls to plain services.
func (front *Front) callService(writer http.ResponseWriter, request *http.Request) {
	startedAt := front.clock.Now()
	document := front.feed.Current()
	name := mux.Vars(request)["service"]
	route, ok := document.ServiceRoute(name)
	if !ok {
		front.refuse(writer, "", "", startedAt, agatestage.Refuse(agatestage.CodeNoService, "no route opens a service %q", name))
		return
	}
	body, err := ReadBody(writer, request, front.bounds)
	if err != nil {
		front.refuse(writer, "", route.Name, startedAt, err)
		return
	}
	ctx, cancel, err := front.limitTime(request, route)
	if err != nil {
		front.refuse(writer, "", route.Name, startedAt, err)
		return
	}
	defer cancel()
	var organisation string
	if organisation, err = front.admit(ctx, request, route); err != nil {
		front.refuse(writer, organisation, route.Name, startedAt, err)
		return
	}
	call := &agatestage.Call{
		Organisation: organisation, Service: name, Method: request.Method, Path: servicePath(request, name),
		Header: forwardedHeader(request.Header), Body: body, Idempotent: document.Services[name].MayRepeat(request.Method),
	}
	front.relayCall(ctx, writer, request, route, call, startedAt)
}

// limitTime returns the context in which the request waits for its organisation's rate and is
// served: it ends with the caller's time-out.
func (front *Front) limitTime(request *http.Request, route model.Route) (context.Context, context.CancelFunc, error) {
	timeout, err := front.timeout(request, route)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	return ctx, cancel, nil
}

// admit checks the key, the permission to use the route and the organisation's
// rate.
func (front *Front) admit(ctx context.Context, request *http.Request, route model.Route) (string, error) {
	if route.Open {
		return "", nil
	}
	organisation, err := front.guard.Authenticate(request)
	if err != nil {
		return "", err
	}
	if !route.Permits(organisation) {
		return organisation, agatestage.Refuse(agatestage.CodeForbidden, "organisation %s may not use route %s", organisation, route.Name)
	}
	if inlet.CallerLeft(request.Context()) {
		return organisation, agatestage.RefuseCallerLeft()
	}
	if err = front.limiter.Admit(ctx, organisation); err != nil && callerLeft(request) {
		return organisation, afterLeaving(err)
	}
	return organisation, err
}

// relayCall relays the call until ctx ends.
func (front *Front) relayCall(ctx context.Context, writer http.ResponseWriter, request *http.Request, route model.Route, call *agatestage.Call, startedAt time.Time) {
	timeout, err := front.timeout(request, route)
	if ends := inlet.Ends(request.Context()); err == nil && !ends.IsZero() && startedAt.Add(timeout).After(ends) {
		err = agatestage.RefuseStopping()
	}
	if err == nil && inlet.CallerLeft(request.Context()) {
		err = agatestage.RefuseCallerLeft()
	}
	if err != nil {
		front.refuse(writer, call.Organisation, route.Name, startedAt, err)
		return
	}
	call.Fingerprint = fingerprint(call)
	sink := newSink(writer, front.clock)
	timeouts := relay.Timeouts{FirstByte: route.FirstByte.Duration, Between: route.Between.Duration}
	var responseStarted bool
	if responseStarted, err = front.relay.Do(ctx, call, timeouts, sink); err == nil {
		front.observe(call.Organisation, route.Name, "", startedAt, sink)
		return
	}
	if callerLeft(request) {
		refusal := afterLeaving(err)
		if err = refusal; refusal.Code != agatestage.CodeCallerLeft {
			klog.InfoS("request cancelled as its caller left", "organisation", call.Organisation, "route", route.Name, "begun", responseStarted, "reason", refusal.Message)
		}
	}
	if !responseStarted {
		front.refuse(writer, call.Organisation, route.Name, startedAt, err)
		return
	}
	front.observe(call.Organisation, route.Name, reply.AsRefusal(err).Code, startedAt, sink)
	sink.abort()
}

// timeout returns the caller's time-out, or else the route's, or else the
// default.
func (front *Front) timeout(request *http.Request, route model.Route) (time.Duration, error) {
	timeout := front.bounds.RequestTime.Duration
	if route.Timeout.Duration > 0 {
		timeout = route.Timeout.Duration
	}
	value := request.Header.Get(timeoutHeader)
	if value == "" {
		return timeout, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
		return 0, agatestage.Refuse(agatestage.CodeBadRequest, "%s must be a number of seconds above 0 and up to %v", timeoutHeader, maxTimeout.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// fingerprint returns a hash of the organisation and the content of its request.
func fingerprint(call *agatestage.Call) uint64 {
	digest := xxhash.New()
	for _, part := range []string{call.Organisation, call.Model, call.Service, call.Method, call.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}

// refuse counts and writes a refusal.
func (front *Front) refuse(writer http.ResponseWriter, organisation, route string, startedAt time.Time, err error) {
	refusal := reply.AsRefusal(err)
	if refusal.Code == agatestage.CodeCallerLeft {
		klog.InfoS("request refused", "organisation", organisation, "route", route, "code", refusal.Code, "reason", refusal.Message)
	}
	front.observe(organisation, route, refusal.Code, startedAt, nil)
	reply.Refuse(writer, refusal)
}

// maxOrganisationSeries bounds the number of organisations that have their own
// metric series; all others share one.
const maxOrganisationSeries = 1000

// otherOrganisations is the label of the organisations beyond
// maxOrganisationSeries.
const otherOrganisations = "other"

// organisationLabel returns the metric label of an organisation.
func (front *Front) organisationLabel(organisation string) string {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.labelledOrganisations[organisation] {
		return organisation
	}
	if len(front.labelledOrganisations) >= maxOrganisationSeries {
		return otherOrganisations
	}
	front.labelledOrganisations[organisation] = true
	return organisation
}

// observe records the metrics of a request. The code is empty if it was answered.
func (front *Front) observe(organisation, route string, code agatestage.Code, startedAt time.Time, sink *sink) {
	organisation = front.organisationLabel(organisation)
	labels := fmt.Sprintf(`{organisation=%q,route=%q,code=%q}`, organisation, route, string(code))
	metrics.GetOrCreateCounter("agatestage_requests_total" + labels).Inc()
	if sink == nil || sink.firstByteAt.IsZero() {
		return
	}
	labels = fmt.Sprintf(`{organisation=%q,route=%q}`, organisation, route)
	metrics.GetOrCreatePrometheusHistogramExt("agatestage_first_byte_seconds"+labels, firstByteBuckets).Update(sink.firstByteAt.Sub(startedAt).Seconds())
}

// firstByteBuckets are the histogram buckets of the time to the first byte, in
// seconds. They include the limit of the service-level report, burn.FirstTokenLimit.
var firstByteBuckets = []float64{0.05, 0.1, 0.25, 0.5, 1, 1.7, 2.5, 5, 10, 30}
