// Package start assembles and runs a gateway.
//
// A gateway is an entry on a platform that lists its targets itself. It needs no sides
// and no ledgers: it connects to targets directly, and durable state is kept in the
// platform's store.
package start

import (
	"net/http"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/gate/serve"
)

// Adapter translates between a gateway and its platform.
type Adapter interface {
	agatestage.Dialect
	// Store returns the platform's store.
	Store() agatestage.Transactor
	// ConfigKey is the key of the record of the configuration, which Config decodes.
	ConfigKey() string
	Config(data []byte) (*rules.Snapshot, error)
	// OperatorPrefix is the common prefix of ConfigKey and EvacuationPrefix. A zone is evacuated
	// while there is a record whose key is EvacuationPrefix and the zone's name.
	OperatorPrefix() string
	EvacuationPrefix() string
	// ShowConfig returns a configuration without its keys, as operators may see it.
	ShowConfig(data []byte) ([]byte, error)
	// TargetPrefix is the prefix of the records of targets; Target decodes one. Its
	// error means that the record names no usable target.
	TargetPrefix() string
	Target(record agatestage.Record) (agatestage.Endpoint, error)
	// CallerHandler returns the handler of callers' requests.
	CallerHandler(server *serve.Server, jobs *batch.Manager, holder *rules.Holder, clock agatestage.Clock) http.Handler
	// ReadinessHandler returns the handler of the load balancer's readiness checks.
	ReadinessHandler(ready func() bool) http.Handler
}
