package lint

import (
	"fmt"
	"strings"

	"github.com/agatestage/agatestage/internal/gate/rules"
)

// checkRoutes finds routes that no request can match or that lead to no service.
func (checker *checker) checkRoutes() {
	for i := range checker.Content.Routes {
		route := &checker.Content.Routes[i]
		place := Place{Kind: KindRoute, Index: i}
		if reason := unmatched(route); reason != "" {
			place.Field = FieldPrefix
			if route.Host == "" {
				place.Field = FieldHost
			}
			checker.Add(Finding{RuleUnmatchedRoute, place, route.Name, reason})
		} else if other := checker.shadow(route); other != nil {
			place.Field = FieldPrefix
			checker.Add(Finding{RuleShadowedRoute, place, route.Name, fmt.Sprintf("route %s has the same host and prefix and comes first, so that no request matches this one", quoted(other.Name))})
		}
		checker.checkShares(i, route)
	}
}

// unmatched returns why no request, or none of an ordinary caller, has the host and prefix of the
// route, or an empty text. An empty prefix is that of all paths, an asterisk the path of requests about
// the server.
func unmatched(route *rules.Route) string {
	switch {
	case route.Host == "":
		return "the route has no host, so that only requests that name none match it"
	case strings.ContainsAny(route.Host, "/ \t\r\n"):
		return "no request has such a host"
	case route.Prefix != "" && route.Prefix != "*" && !strings.HasPrefix(route.Prefix, "/"):
		return "no request has a path with this prefix, as all paths begin with a slash"
	}
	return ""
}

// shadow returns the route that gets all requests of another one, or nil. The shortest path
// with the prefix of a route is the prefix itself, which only a route with the same prefix
// can take from it.
func (checker *checker) shadow(route *rules.Route) *rules.Route {
	match, ok := checker.snapshot.Match(route.Host, route.Prefix)
	if ok && match == route {
		return nil
	}
	if route.Kind == rules.KindBatch {
		// Its items may match, though no submission does.
		if batch, found := checker.snapshot.MatchBatch(route.Host, route.Prefix); found && batch == route {
			return nil
		}
	}
	return match
}

// checkShares checks the services of a route.
func (checker *checker) checkShares(index int, route *rules.Route) {
	place := Place{Kind: KindRoute, Index: index, Field: FieldShares}
	if len(route.Shares) == 0 {
		checker.Add(Finding{RuleEmptySplit, place, route.Name, "the route has no service, so that each of its requests is refused"})
		return
	}
	total, named := 0, make(map[string]bool)
	for _, share := range route.Shares {
		total += max(0, share.Weight)
	}
	if total == 0 {
		checker.Add(Finding{RuleEmptySplit, place, route.Name, fmt.Sprintf("no service has a weight, so that %s gets all requests", quoted(route.Shares[0].Service))})
	}
	for part, share := range route.Shares {
		place.Part = part + 1
		if _, ok := checker.snapshot.Service(share.Service); !ok {
			checker.Add(Finding{RuleUnknownService, place, route.Name, fmt.Sprintf("service %s isn't configured", quoted(share.Service))})
		}
		if total > 0 && share.Weight <= 0 {
			checker.Add(Finding{RuleEmptyShare, place, route.Name, fmt.Sprintf("service %s has no weight and gets no request", quoted(share.Service))})
		}
		if named[share.Service] {
			checker.Add(Finding{RuleEmptyShare, place, route.Name, fmt.Sprintf("service %s is named twice; its weights add up", quoted(share.Service))})
		}
		named[share.Service] = true
	}
}

// checkUse finds services, organisations and keys that nothing names or needs.
func (checker *checker) checkUse() {
	named, public := make(map[string]bool), true
	for _, route := range checker.Content.Routes {
		public = public && route.Public
		for _, share := range route.Shares {
			named[share.Service] = true
		}
	}
	for i, service := range checker.Content.Services {
		if !named[service.Name] {
			checker.Add(Finding{RuleUnusedService, Place{Kind: KindService, Index: i}, service.Name, "no route names the service"})
		}
	}
	keys := make([]int, len(checker.Content.Organisations))
	type holder struct{ organisation, part int }
	holders := make(map[rules.Digest]holder, len(checker.Keys))
	for _, key := range checker.Keys {
		place := Place{Kind: KindOrganisation, Index: key.Organisation, Field: FieldKeys, Part: key.Part}
		name := checker.Content.Organisations[key.Organisation].Name
		if key.ID == "" {
			checker.Add(Finding{RuleUnusedKey, place, name, "the key is empty; no request is accepted with it"})
			continue
		}
		keys[key.Organisation]++
		if other, ok := holders[key.Digest]; ok && other.organisation != key.Organisation {
			checker.Add(Finding{RuleDuplicateKey, place, name,
				fmt.Sprintf("organisation %s has the same key; its requests count as those of the last one, %s", quoted(checker.Content.Organisations[other.organisation].Name), quoted(name))})
		} else if ok {
			checker.Add(Finding{RuleDuplicateKey, place, name, fmt.Sprintf("the key is given twice, as number %d already", other.part)})
		}
		holders[key.Digest] = holder{key.Organisation, key.Part}
	}
	for i, organisation := range checker.Content.Organisations {
		place := Place{Kind: KindOrganisation, Index: i}
		switch {
		case keys[i] == 0:
			checker.Add(Finding{RuleUnusedOrganisation, place, organisation.Name, "the organisation has no key, so that no request is one of its own"})
		case public && len(checker.Content.Routes) > 0:
			checker.Add(Finding{RuleUnusedOrganisation, place, organisation.Name, "all routes are public, so that no request is one of the organisation's"})
		}
	}
}

// quoted returns a name in quotes, cut if it is very long.
func quoted(name string) string {
	const longest = 80
	if len(name) > longest {
		name = name[:longest] + "..."
	}
	return fmt.Sprintf("%q", name)
}
