package gossip

import (
	"cmp"
	"slices"

	"github.com/agatestage/agatestage"
)

func sortStates(states []State) {
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
}

// AssignHomes assigns each target a home, which is one of the live gateways: the
// nearest, and among equally near ones that with the fewest targets of the service so
// far. The result depends only on the sets of gateways and targets, so all gateways
// with the same view get the same one. It maps the target's ID to the home's name.
func AssignHomes(alive []State, endpoints []agatestage.Endpoint) map[string]string {
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
