package lint

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/agatestage/agatestage/internal/gate/rules"
)

// maxRegionSets bounds the distinct lists of regions of routes, and of organisations, that are
// compared with each other: a file may give each organisation a list of its own.
const maxRegionSets = 1000

// listenerHeaderBytes is what the listeners for callers take of a header at most.
const listenerHeaderBytes = http.DefaultMaxHeaderBytes

// checkLimits finds limits that contradict each other.
func (checker *checker) checkLimits() {
	for i := range checker.Content.Routes {
		checker.checkRouteLimits(i, &checker.Content.Routes[i])
	}
	for i, service := range checker.Content.Services {
		checker.checkServiceLimits(i, service)
	}
	for i, organisation := range checker.Content.Organisations {
		rate := organisation.Rate
		switch place := (Place{Kind: KindOrganisation, Index: i, Field: FieldBurst}); {
		case rate.PerSecond > 0 && rate.Burst < 1:
			checker.Add(Finding{RuleRate, place, organisation.Name, fmt.Sprintf("a burst of %v counts as one request, as a smaller one would refuse all", rate.Burst)})
		case rate.PerSecond <= 0 && rate.Burst > 0:
			checker.Add(Finding{RuleRate, place, organisation.Name, "a burst without a rate limits nothing"})
		}
	}
	bounds := checker.Content.Bounds
	if bounds.HeaderBytes > listenerHeaderBytes {
		checker.Add(Finding{RuleBounds, Place{Kind: KindBounds, Field: FieldHeaderBytes}, "", fmt.Sprintf("headers above %d bytes are refused before this limit is reached", listenerHeaderBytes)})
	}
	if bounds.HeaderBytes > 0 && bounds.BodyBytes > 0 && int64(bounds.HeaderBytes) > bounds.BodyBytes {
		checker.Add(Finding{RuleBounds, Place{Kind: KindBounds, Field: FieldHeaderBytes}, "", fmt.Sprintf("a header may have %d bytes and a body only %d", bounds.HeaderBytes, bounds.BodyBytes)})
	}
	if bounds.HeaderTime > 0 && bounds.IdleTime > 0 && bounds.IdleTime < bounds.HeaderTime {
		checker.Add(Finding{RuleBounds, Place{Kind: KindBounds, Field: FieldIdleTime}, "",
			fmt.Sprintf("between requests a connection is closed after %v, although a header may take %v", bounds.IdleTime, bounds.HeaderTime)})
	}
}

func (checker *checker) checkRouteLimits(index int, route *rules.Route) {
	place := Place{Kind: KindRoute, Index: index}
	add := func(rule Rule, field Field, format string, args ...any) {
		place.Field = field
		checker.Add(Finding{rule, place, route.Name, fmt.Sprintf(format, args...)})
	}
	if route.Attempts > 1 && !repeatable(route) {
		add(RuleAttempts, FieldAttempts, "%d attempts are allowed, but requests of this route run at most once", route.Attempts)
	}
	if route.Kind == rules.KindBatch {
		if route.Due > 0 && route.GiveUp > 0 && route.Due > route.GiveUp {
			add(RuleDeadline, FieldGiveUp, "items are given up after %v, before their results are due after %v", route.GiveUp, route.Due)
		}
		return
	}
	if route.Due > 0 || route.GiveUp > 0 {
		field := FieldDue
		if route.Due <= 0 {
			field = FieldGiveUp
		}
		add(RuleDeadline, field, "the route takes no batch jobs, whose results alone are due or given up")
	}
}

func (checker *checker) checkServiceLimits(index int, service rules.Service) {
	place := Place{Kind: KindService, Index: index}
	if service.Slots > 0 && service.Connections > 0 && service.Connections < service.Slots {
		place.Field = FieldConnections
		checker.Add(Finding{RuleConnections, place, service.Name, fmt.Sprintf("a target accepts %d connections, but has %d slots", service.Connections, service.Slots)})
	}
	switch {
	case service.ColdStart > 0 && service.ColdRate <= 0:
		place.Field = FieldColdStart
		checker.Add(Finding{RuleColdStart, place, service.Name, "a time for which targets are cold without a rate limits nothing"})
	case service.ColdRate > 0 && service.ColdStart <= 0:
		place.Field = FieldColdRate
		checker.Add(Finding{RuleColdStart, place, service.Name, "a rate for cold targets without the time for which they are cold limits nothing"})
	}
}

// regionSet is a list of regions, and the first entry that has it.
type regionSet struct {
	regions []string
	index   int
}

// checkRegions finds requests that may be served nowhere.
func (checker *checker) checkRegions() {
	routes, organisations, private := newRegionSets(), newRegionSets(), make(map[string]bool)
	for i, route := range checker.Content.Routes {
		checker.checkRegionNames(Place{Kind: KindRoute, Index: i, Field: FieldRegions}, route.Name, route.Regions)
		checker.checkTargets(i, route)
		if route.Public {
			continue
		}
		routes.add(i, route.Regions)
		for _, share := range route.Shares {
			private[share.Service] = true
		}
	}
	for i, organisation := range checker.Content.Organisations {
		checker.checkRegionNames(Place{Kind: KindOrganisation, Index: i, Field: FieldRegions}, organisation.Name, organisation.Regions)
		organisations.add(i, organisation.Regions)
	}
	for _, organisation := range organisations.list {
		checker.checkOrganisationTargets(organisation, private)
		for _, route := range routes.list {
			if disjoint(organisation.regions, route.regions) {
				checker.Add(Finding{RuleRegions, Place{Kind: KindOrganisation, Index: organisation.index, Field: FieldRegions}, checker.Content.Organisations[organisation.index].Name,
					fmt.Sprintf("no region is allowed both to the organisation and on route %s, so that its requests there are refused", quoted(checker.Content.Routes[route.index].Name))})
			}
		}
	}
}

// regionSets are the distinct lists of regions of entries, at most maxRegionSets.
type regionSets struct {
	seen map[string]bool
	list []regionSet
}

func newRegionSets() *regionSets { return &regionSets{seen: make(map[string]bool)} }

// add adds the list of an entry, unless it is empty, which means everywhere.
func (sets *regionSets) add(index int, regions []string) {
	if len(regions) == 0 || len(sets.list) == maxRegionSets {
		return
	}
	sorted := slices.Sorted(slices.Values(regions))
	if key := strings.Join(sorted, "\x00"); !sets.seen[key] {
		sets.seen[key] = true
		sets.list = append(sets.list, regionSet{sorted, index})
	}
}

// disjoint reports whether two sorted lists have no element in common.
func disjoint(first, second []string) bool {
	for i, j := 0, 0; i < len(first) && j < len(second); {
		switch strings.Compare(first[i], second[j]) {
		case 0:
			return false
		case -1:
			i++
		default:
			j++
		}
	}
	return true
}

// checkRegionNames finds regions that the fleet doesn't have.
func (checker *checker) checkRegionNames(place Place, name string, regions []string) {
	for part, region := range regions {
		place.Part = part + 1
		switch {
		case region == "":
			checker.Add(Finding{RuleUnknownRegion, place, name, "the region has no name"})
		case len(checker.fleet.Regions) > 0 && !slices.Contains(checker.fleet.Regions, region):
			checker.Add(Finding{RuleUnknownRegion, place, name, fmt.Sprintf("no zone belongs to region %s", quoted(region))})
		}
	}
}

// checkOrganisationTargets finds services none of whose targets an organisation's requests may use,
// whatever the route. private are the services of routes that aren't public.
func (checker *checker) checkOrganisationTargets(organisation regionSet, private map[string]bool) {
	for _, service := range checker.Content.Services {
		if !private[service.Name] {
			continue
		}
		targets := checker.fleet.Targets[service.Name]
		if len(targets) > 0 && disjoint(organisation.regions, slices.Sorted(slices.Values(targets))) {
			checker.Add(Finding{RuleExcludedTargets, Place{Kind: KindOrganisation, Index: organisation.index, Field: FieldRegions}, checker.Content.Organisations[organisation.index].Name,
				fmt.Sprintf("no target of service %s is in a region that is allowed to the organisation; they are in %s", quoted(service.Name), strings.Join(targets, ", "))})
		}
	}
}

// checkTargets finds services none of whose targets a route's requests may use.
func (checker *checker) checkTargets(index int, route rules.Route) {
	if len(route.Regions) == 0 {
		return
	}
	for part, share := range route.Shares {
		targets := checker.fleet.Targets[share.Service]
		if len(targets) > 0 && !slices.ContainsFunc(targets, func(region string) bool { return slices.Contains(route.Regions, region) }) {
			checker.Add(Finding{RuleExcludedTargets, Place{Kind: KindRoute, Index: index, Field: FieldRegions}, route.Name,
				fmt.Sprintf("no target of service %s, share %d, is in an allowed region; they are in %s", quoted(share.Service), part+1, strings.Join(targets, ", "))})
		}
	}
}
