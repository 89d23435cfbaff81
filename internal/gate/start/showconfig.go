package start

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// ConfigPath is the path at which a gateway shows operators the configuration in force, on its
// listeners for metrics and readiness.
const ConfigPath = "/config"

// ShownConfig is what a gateway shows of its configuration and its fleet.
type ShownConfig struct {
	// Configuration is that in force in the operators' format, without its keys.
	Configuration json.RawMessage
	// Regions are all regions that have zones, Targets those with targets of each service.
	Regions []string
	Targets map[string][]string
}

// withConfig returns a handler that shows the configuration and leaves other paths to the next
// handler.
func (gateway *Gateway) withConfig(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	// A large configuration takes several times its size in memory for a moment, so that one
	// request at a time is answered.
	var showing sync.Mutex
	mux.HandleFunc("GET "+ConfigPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !showing.TryLock() {
			http.Error(writer, "the configuration is being read by another client", http.StatusServiceUnavailable)
			return
		}
		defer showing.Unlock()
		select {
		case <-gateway.initialized:
		default:
			http.Error(writer, "the gateway has no configuration yet", http.StatusServiceUnavailable)
			return
		}
		shown, err := gateway.showConfig()
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		// Ignore the error of a client that has disconnected.
		_, _ = writer.Write(shown)
	})
	mux.Handle("/", next)
	return mux
}

// showConfig returns the encoded ShownConfig.
func (gateway *Gateway) showConfig() ([]byte, error) {
	configuration, err := gateway.adapter.ShowConfig(gateway.components.View.config.Raw())
	if err != nil {
		// The decoder may quote the configuration.
		return nil, errors.New("the configuration in force can't be shown")
	}
	shown := ShownConfig{Configuration: configuration, Targets: make(map[string][]string)}
	shown.Regions = slices.Compact(slices.Sorted(maps.Values(gateway.settings.Zones)))
	for _, endpoint := range gateway.components.View.Endpoints() {
		if !slices.Contains(shown.Targets[endpoint.Service], endpoint.Region) {
			shown.Targets[endpoint.Service] = append(shown.Targets[endpoint.Service], endpoint.Region)
		}
	}
	for _, regions := range shown.Targets {
		slices.Sort(regions)
	}
	return json.Marshal(shown)
}
