// Package start puts the parts of a gateway together.
//
// A gateway is an entry on a platform that lists its targets itself. It needs
// no sides and no ledgers: it reaches targets directly, and what must last lies
// in the platform's store.
package start

import (
	"net/http"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/gate/serve"
)

// Adapter is what translates between a gateway and its platform.
type Adapter interface {
	agatestage.Dialect
	// Store returns the platform's store.
	Store() agatestage.Transactor
	// ConfigKey is the record of the configuration, which Config translates.
	ConfigKey() string
	Config(data []byte) (*rules.Snapshot, error)
	// TargetPrefix is where targets are listed; Target translates an entry. Its
	// error says that the entry names no target to use.
	TargetPrefix() string
	Target(record agatestage.Record) (agatestage.Endpoint, error)
	// Callers serves what callers send.
	Callers(server *serve.Server, jobs *batch.Manager, holder *rules.Holder, clock agatestage.Clock) http.Handler
	// Readiness serves what the balancer asks.
	Readiness(ready func() bool) http.Handler
}
