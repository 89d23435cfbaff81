package gossip

import (
	"cmp"
	"slices"

	"github.com/agatestage/agatestage"
)

func sortStates(states []State) {
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
}

// Homes gives each target to one gateway: of those that are alive, the nearest
// one with the fewest targets so far. All gateways that see the same gateways
// and targets come to the same result. It returns the home's name by target.
func Homes(alive []State, endpoints []agatestage.Endpoint) map[string]string {
	alive = slices.Clone(alive)
	sortStates(alive)
	endpoints = slices.Clone(endpoints)
	slices.SortFunc(endpoints, func(a, b agatestage.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	homes := make(map[string]string)
	counts := make(map[string]int)
	service := ""
	for _, endpoint := range endpoints {
		if endpoint.Service != service {
			service = endpoint.Service
			clear(counts)
		}
		if endpoint.Draining || len(alive) == 0 {
			continue
		}
		owner := slices.MinFunc(alive, func(a, b State) int {
			return cmp.Or(
				cmp.Compare(distance(a, endpoint), distance(b, endpoint)),
				cmp.Compare(counts[a.Name], counts[b.Name]),
				cmp.Compare(a.Name, b.Name),
			)
		})
		counts[owner.Name]++
		homes[endpoint.ID] = owner.Name
	}
	return homes
}

// distance is 0 in the same zone, 1 in the same region, 2 elsewhere.
func distance(state State, endpoint agatestage.Endpoint) int {
	switch {
	case state.Zone == endpoint.Zone:
		return 0
	case state.Region == endpoint.Region:
		return 1
	}
	return 2
}
