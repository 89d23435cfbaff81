// Package serve decides how each caller's request is served: its route and
// organisation, whether it is within the organisation's rate limit, and until when its
// caller waits.
package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/gauge"
	"github.com/agatestage/agatestage/internal/gate/relay"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

const (
	// defaultTimeout applies to requests without a timeout on routes without one.
	defaultTimeout = 60 * time.Second
	// maxStoreAge is how long after the last contact with the store keys are still
	// accepted.
	maxStoreAge = 10 * time.Second
	// staleRetryAfter is the retry delay of a caller whose key cannot be verified
	// here.
	staleRetryAfter = time.Second
	// retryAfterFraction is the fraction of its remaining time for which a caller heeds a
	// retry delay.
	retryAfterFraction = 1.0 / 3
)

// Request is one request of a caller.
type Request struct {
	ID     string
	Key    string
	Host   string
	Method string
	// Path is the path alone. URI is the path and query as sent by the caller.
	Path   string
	URI    string
	Header http.Header
	Body   []byte
	// CallerTimeout is how long the caller waits; zero if it does not say.
	CallerTimeout time.Duration
	// ResumeAfter is the number of the last event of a stream that the caller has.
	ResumeAfter int64
	// Arrived is when the head of the request was read.
	Arrived time.Time
	// Ends is when this process gives the request up, because it is being stopped; zero if
	// it isn't.
	Ends time.Time
}

// Freshness reports how current this gateway's configuration is, and so whether it
// would know that a key has been withdrawn.
type Freshness interface {
	// Age is the time since the last contact with the store.
	Age() time.Duration
	// ConfirmedByPeer reports whether another gateway is in contact with the store
	// and has no newer configuration.
	ConfirmedByPeer() bool
}

// Forecast knows what calls take.
type Forecast interface {
	// Takes returns what calls of a class have lately taken at a service's targets.
	Takes(service, class string) gauge.Estimate
}

// noForecast knows nothing.
type noForecast struct{}

// Takes implements Forecast.
func (noForecast) Takes(string, string) gauge.Estimate { return gauge.Estimate{} }

// Option configures a server.
type Option func(*Server)

// WithForecast sets what knows how long calls take, so that callers are sent back only if they
// have the time to be served then.
func WithForecast(forecast Forecast) Option {
	return func(server *Server) { server.forecast = forecast }
}

// Server serves callers' requests.
type Server struct {
	holder    *rules.Holder
	limiter   agatestage.Limiter
	runner    relay.Runner
	freshness Freshness
	forecast  Forecast
	clock     agatestage.Clock
}

// New returns a server.
func New(holder *rules.Holder, limiter agatestage.Limiter, runner relay.Runner, freshness Freshness, clock agatestage.Clock, options ...Option) *Server {
	server := &Server{holder: holder, limiter: limiter, runner: runner, freshness: freshness, forecast: noForecast{}, clock: clock}
	for _, option := range options {
		option(server)
	}
	return server
}

// Access describes what a caller may use.
type Access struct {
	Snapshot     *rules.Snapshot
	Route        *rules.Route
	Organisation rules.Organisation
}

// Authorise returns the route and organisation of a request. The error is a
// *agatestage.Refusal.
func (server *Server) Authorise(host, path, key string) (access Access, err error) {
	if access.Snapshot = server.holder.Current(); access.Snapshot == nil {
		refusal := agatestage.Refuse(agatestage.CodeNotFresh, "no configuration has been read yet")
		refusal.RetryAfter = staleRetryAfter
		return access, refusal
	}
	var ok bool
	if access.Route, ok = access.Snapshot.Match(host, path); !ok {
		return access, agatestage.Refuse(agatestage.CodeNotFound, "no route of %s has the path %s", host, path)
	}
	if access.Route.Public || !access.Snapshot.RequiresKeys() {
		return access, nil
	}
	access.Organisation, err = server.Authenticate(access.Snapshot, key)
	return access, err
}

// Authenticate returns the organisation of a key.
func (server *Server) Authenticate(snapshot *rules.Snapshot, key string) (organisation rules.Organisation, err error) {
	if server.freshness.Age() > maxStoreAge && !server.freshness.ConfirmedByPeer() {
		refusal := agatestage.Refuse(agatestage.CodeNotFresh, "this gateway can't tell whether keys have been withdrawn; another may")
		refusal.RetryAfter = staleRetryAfter
		return organisation, refusal
	}
	var ok bool
	if organisation, ok = snapshot.Authenticate(key); ok {
		return organisation, nil
	}
	if key == "" {
		return organisation, agatestage.Refuse(agatestage.CodeNoKey, "the route needs a key")
	}
	return organisation, agatestage.Refuse(agatestage.CodeBadKey, "the key is not known")
}

// Serve answers a request through the sink, or returns the reason why it does not.
func (server *Server) Serve(ctx context.Context, request *Request, sink relay.Sink) relay.Result {
	access, err := server.Authorise(request.Host, request.Path, request.Key)
	if err == nil && access.Route.Kind == rules.KindBatch {
		err = agatestage.Refuse(agatestage.CodeBadMethod, "the route takes batch jobs only")
	}
	if err == nil && request.outlives(access.Route) {
		err = agatestage.RefuseStopping()
	}
	if err == nil && access.Organisation.Rate.PerSecond > 0 {
		err = server.limiter.Admit(ctx, access.Organisation.Name)
	}
	var result relay.Result
	if err != nil {
		result.Refusal = refusalOf(err)
	} else {
		call, plan := server.plan(request, access)
		result = server.runner.Serve(ctx, call, plan, sink)
	}
	if result.Refusal != nil && result.Refusal.RetryAfter > 0 && request.CallerTimeout > 0 {
		result.Refusal.RetryAfter = server.retryAfter(request, access, result.Refusal)
	}
	server.record(request, access, &result)
	return result
}

// retryAfter returns after what time the caller is to come back that could be served after the
// refusal's. That is within what it heeds, unless the refusal is firm; zero if it would then have too little time to be
// served, so that only an attempt elsewhere and at once may help it.
func (server *Server) retryAfter(request *Request, access Access, refusal *agatestage.Refusal) time.Duration {
	left, after := request.CallerTimeout-server.clock.Since(request.Arrived), refusal.RetryAfter
	if !refusal.Firm {
		after = min(after, time.Duration(float64(left)*retryAfterFraction))
	}
	work := time.Duration(0)
	if access.Route != nil {
		work = server.forecast.Takes(access.Route.Service(request.ID), access.Route.Name).Total
	}
	if left-after < work {
		return 0
	}
	return max(0, after)
}

// timeout returns how long the request may take.
func (request *Request) timeout(route *rules.Route) time.Duration {
	timeout := request.CallerTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

// outlives reports whether this process may end before the request does.
func (request *Request) outlives(route *rules.Route) bool {
	return !request.Ends.IsZero() && request.Arrived.Add(request.timeout(route)).After(request.Ends)
}

// plan returns the call for a request and how it is to be served.
func (server *Server) plan(request *Request, access Access) (*agatestage.Call, relay.Plan) {
	route := access.Route
	call := &agatestage.Call{
		ID: request.ID, Organisation: access.Organisation.Name, Service: route.Service(request.ID),
		Method: request.Method, Host: request.Host, Path: request.URI, Header: request.Header, Body: request.Body,
		Idempotent: route.Repeatable(),
	}
	call.Fingerprint = Fingerprint(call)
	timeout := request.timeout(route)
	plan := relay.Plan{
		Service: call.Service, Class: route.Name, Priority: route.Priority, Repeatable: route.Repeatable(), Attempts: route.Attempts,
		Stream: route.Kind == rules.KindStream, Resumable: route.Kind == rules.KindStream && route.Resumable,
		Arrived: request.Arrived, Deadline: request.Arrived.Add(timeout), CallerSilence: route.CallerSilence,
		Regions: server.regions(request, access),
	}
	if plan.Resumable {
		plan.ResumeAfter = request.ResumeAfter
	}
	if access.Organisation.HasPriority {
		plan.Priority = access.Organisation.Priority
	}
	return call, plan
}

// Fingerprint returns a hash of the caller, path and body of a request.
func Fingerprint(call *agatestage.Call) uint64 {
	digest := xxhash.New()
	for _, part := range []string{call.Organisation, call.Method, call.Host, call.Path} {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}

// refusalOf returns the refusal in an error.
func refusalOf(err error) *agatestage.Refusal {
	var refusal *agatestage.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return agatestage.Refuse(agatestage.CodeInternal, "%v", err)
}

// firstEventBuckets are the histogram buckets for the time to the first event or
// the whole response, in seconds.
var firstEventBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 5}

// logMessage returns the log message for a request. Requests that were refused
// without having run, that failed, and that were answered have separate error
// budgets.
func logMessage(result *relay.Result) string {
	switch {
	case result.Refusal == nil:
		return "request answered"
	case result.Refusal.Ran == agatestage.RanNo:
		return "request refused"
	}
	return "request failed"
}

// record logs the end of a request and updates the metrics.
func (server *Server) record(request *Request, access Access, result *relay.Result) {
	route, code, reason := "", "", ""
	var version uint64
	if access.Route != nil {
		route = access.Route.Name
	}
	if access.Snapshot != nil {
		version = access.Snapshot.Version()
	}
	if result.Refusal != nil {
		code, reason = string(result.Refusal.Code), result.Refusal.Message
	}
	metrics.GetOrCreateCounter(`agatestage_gateway_requests_total{code="` + code + `"}`).Inc()
	first := time.Duration(0)
	if !result.FirstEventAt.IsZero() {
		first = result.FirstEventAt.Sub(request.Arrived)
		metrics.GetOrCreatePrometheusHistogramExt("agatestage_gateway_first_seconds", firstEventBuckets).Update(first.Seconds())
	}
	klog.InfoS(logMessage(result), "id", request.ID, "organisation", access.Organisation.Name, "route", route, "version", version, "code", code,
		"status", result.Status, "begun", result.ResponseStarted, "ran", result.Ran, "targets", result.Targets, "last", result.LastEventID,
		"first", first, "total", server.clock.Since(request.Arrived), "wait", request.CallerTimeout, "storeAge", server.freshness.Age(), "reason", reason)
}
