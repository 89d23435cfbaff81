package rules

import (
	"github.com/agatestage/agatestage"
)

// regionIndex holds the allowed regions of the routes and organisations that have any.
type regionIndex struct {
	routes        map[string]agatestage.Regions
	organisations map[string]agatestage.Regions
}

func newRegionIndex(content Content) regionIndex {
	index := regionIndex{routes: make(map[string]agatestage.Regions), organisations: make(map[string]agatestage.Regions)}
	for _, route := range content.Routes {
		if regions := agatestage.RegionsOf(route.Regions); regions.Restricted {
			// All routes of one name are meant if there are several.
			index.routes[route.Name] = index.routes[route.Name].Intersect(regions)
		}
	}
	for _, organisation := range content.Organisations {
		if regions := agatestage.RegionsOf(organisation.Regions); regions.Restricted {
			index.organisations[organisation.Name] = index.organisations[organisation.Name].Intersect(regions)
		}
	}
	return index
}

// RestrictsRegions reports whether a route or an organisation has allowed regions.
func (snapshot *Snapshot) RestrictsRegions() bool {
	return len(snapshot.regions.routes)+len(snapshot.regions.organisations) > 0
}

// Regions returns the regions that are allowed to an organisation on all of the given
// routes. Those that the configuration doesn't have allow all.
func (snapshot *Snapshot) Regions(organisation string, routes ...string) agatestage.Regions {
	regions := snapshot.regions.organisations[organisation]
	for _, route := range routes {
		regions = regions.Intersect(snapshot.regions.routes[route])
	}
	return regions
}

// RequestRegions returns the regions that are allowed now to a request of a host and path
// that was admitted on a route for an organisation. What the configuration no longer has
// allows what it did then.
func (snapshot *Snapshot) RequestRegions(host, path string, admitted *Route, organisation Organisation) agatestage.Regions {
	regions := agatestage.RegionsOf(admitted.Regions)
	if route, ok := snapshot.Match(host, path); ok {
		regions = agatestage.RegionsOf(route.Regions)
	}
	if _, ok := snapshot.Organisation(organisation.Name); ok {
		return regions.Intersect(snapshot.regions.organisations[organisation.Name])
	}
	return regions.Intersect(agatestage.RegionsOf(organisation.Regions))
}
