// Package load generates an open-loop load of online requests and batch jobs and
// measures latency, throughput and refusals as callers see them.
//
// Arrivals follow a seeded schedule that doesn't wait for answers, and each latency
// is measured from the scheduled time of the request. This avoids coordinated
// omission: a slow system does not reduce the load on itself.
package load

import (
	"fmt"
	"net/http"
	"time"

	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/fake/engine"
	"github.com/agatestage/agatestage/internal/tool/world"
)

const (
	modelName   = "language"
	serviceName = "desk"
	// The link between regions has the one-way delay and the rate that the
	// requirements give.
	regionDelay         = 30 * time.Millisecond
	regionBitsPerSecond = 30_000_000
	engineSlots         = 16
	// engineSpacing exceeds the duration of a step that includes a prefill, so that
	// no step of the stand-in has two.
	engineSpacing = 25 * time.Millisecond
	burstFactor   = 3
)

// Organisation describes the traffic and the rate limit of one organisation.
type Organisation struct {
	Name string
	// Share is its fraction of the online arrivals.
	Share float64
	// RateFactor is its rate limit relative to its mean arrival rate, Burst the burst
	// of the limit in requests.
	RateFactor float64
	Burst      float64
}

// Profile is a deployment and the load on it.
type Profile struct {
	Name          string
	Organisations []Organisation
	// Online is the mean rate of online completions per second, Lookups that of
	// calls to the plain service.
	Online  float64
	Lookups float64
	// Tokens is the mean length of an answer. PrefixWords is the length of the prefix
	// that all prompts of an organisation share, PromptWords that of the rest.
	Tokens      int
	PrefixWords int
	PromptWords int
	// BatchTokens is the length of the answer to a batch item, BatchJobs the number of
	// organisations that run one job at a time.
	BatchTokens int
	BatchJobs   int
	spec        world.Spec
}

// organisations returns eight organisations, a few of which have large shares of the
// load.
func organisations(prefix string) (list []Organisation) {
	for i, share := range []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.07, 0.05, 0.03} {
		list = append(list, Organisation{Name: fmt.Sprintf("%s-%d", prefix, i+1), Share: share, RateFactor: 2.5, Burst: 40})
	}
	return list
}

// fleetSpec describes entries, engines and services spread over three zones in two
// regions; two of the zones are in the home region.
func fleetSpec(home, remote string, engines int) world.Spec {
	places := []world.Place{{Region: home, Zone: home + "-1"}, {Region: home, Zone: home + "-2"}, {Region: remote, Zone: remote + "-1"}}
	spec := world.Spec{Home: home, RegionDelay: regionDelay, RegionRate: regionBitsPerSecond}
	for i, place := range places {
		spec.Entries = append(spec.Entries, world.Entry{Place: place, Name: fmt.Sprintf("entry-%d", i+1)})
		spec.Services = append(spec.Services, world.Service{Place: place, Name: fmt.Sprintf("%s-%d", serviceName, i+1)})
	}
	spec.Entries = append(spec.Entries, world.Entry{Place: places[2], Name: "entry-4"})
	for i := range engines {
		spec.Engines = append(spec.Engines, world.Engine{
			Place: places[i%len(places)], Name: fmt.Sprintf("engine-%02d", i+1), Model: modelName, Slots: engineSlots, Timing: engine.DefaultTiming(), Spacing: engineSpacing,
		})
	}
	return spec
}

// Profiles returns the built-in profiles: the deployments in the requirements at
// their present sizes.
func Profiles() map[string]Profile {
	return map[string]Profile{
		"lothian": {
			Name: "lothian", Organisations: organisations("rescue"), Online: 30, Lookups: 20, Tokens: 24,
			PrefixWords: 160, PromptWords: 40, BatchTokens: 48, BatchJobs: 4, spec: fleetSpec("scot-east", "scot-west", 20),
		},
		"crock": {
			Name: "crock", Organisations: organisations("baker"), Online: 20, Lookups: 20, Tokens: 32,
			PrefixWords: 240, PromptWords: 30, BatchTokens: 32, BatchJobs: 8, spec: fleetSpec("hame", "savo", 20),
		},
	}
}

// Scale multiplies a profile's online load and its number of engines by a factor.
func (profile Profile) Scale(factor float64) Profile {
	profile.Online *= factor
	profile.Lookups *= factor
	engines := max(1, int(float64(len(profile.spec.Engines))*factor))
	profile.spec.Engines = profile.spec.Engines[:min(engines, len(profile.spec.Engines))]
	return profile
}

// intent is the configuration of the profile.
func (profile Profile) intent() model.Intent {
	intent := model.Intent{
		Models:   []model.Model{{Name: modelName, Version: "1"}},
		Services: []model.Service{{Name: serviceName, Idempotent: []string{http.MethodGet}}},
		Routes: []model.Route{
			{Name: "chat", Model: modelName, Batch: true, Timeout: setup.Duration{Duration: time.Minute}},
			{Name: "lookup", Service: serviceName},
		},
	}
	for _, organisation := range profile.Organisations {
		mean := (profile.Online + profile.Lookups) * organisation.Share
		intent.Organisations = append(intent.Organisations, model.Organisation{
			Name: organisation.Name, Rate: mean*organisation.RateFactor + 1, Burst: organisation.Burst,
		})
	}
	for _, target := range profile.spec.Engines {
		intent.Targets = append(intent.Targets, model.Target{Name: target.Name, Models: []string{target.Model}, Online: true, Batch: true})
	}
	for _, target := range profile.spec.Services {
		intent.Targets = append(intent.Targets, model.Target{Name: target.Name, Services: []string{serviceName}, Online: true})
	}
	return intent
}
