package lint

import (
	"time"

	"github.com/agatestage/agatestage/internal/gate/rules"
)

// checkEntries checks what holds for entries of each kind by themselves.
func (checker *checker) checkEntries() {
	if checker.Content.Version == 0 {
		checker.Add(Finding{RuleVersion, Place{Kind: KindConfiguration, Field: FieldVersion}, "", "version 0 is never put in force, as versions must increase"})
	}
	checker.checkNames(KindRoute, len(checker.Content.Routes), func(i int) string { return checker.Content.Routes[i].Name })
	checker.checkNames(KindService, len(checker.Content.Services), func(i int) string { return checker.Content.Services[i].Name })
	checker.checkNames(KindOrganisation, len(checker.Content.Organisations), func(i int) string { return checker.Content.Organisations[i].Name })
	for i, route := range checker.Content.Routes {
		for field, value := range map[Field]time.Duration{FieldTimeout: route.Timeout, FieldDue: route.Due, FieldGiveUp: route.GiveUp} {
			checker.checkTime(Place{Kind: KindRoute, Index: i, Field: field}, route.Name, value)
		}
	}
	for i, service := range checker.Content.Services {
		checker.checkTime(Place{Kind: KindService, Index: i, Field: FieldColdStart}, service.Name, service.ColdStart)
		for field, value := range map[Field]float64{FieldConnections: float64(service.Connections), FieldSlots: float64(service.Slots), FieldTokens: float64(service.Tokens), FieldColdRate: service.ColdRate} {
			checker.checkNumber(Place{Kind: KindService, Index: i, Field: field}, service.Name, value)
		}
	}
	for i, organisation := range checker.Content.Organisations {
		checker.checkNumber(Place{Kind: KindOrganisation, Index: i, Field: FieldRate}, organisation.Name, organisation.Rate.PerSecond)
		checker.checkNumber(Place{Kind: KindOrganisation, Index: i, Field: FieldBurst}, organisation.Name, organisation.Rate.Burst)
	}
	bounds := checker.Content.Bounds
	checker.checkTime(Place{Kind: KindBounds, Field: FieldHeaderTime}, "", bounds.HeaderTime)
	checker.checkTime(Place{Kind: KindBounds, Field: FieldIdleTime}, "", bounds.IdleTime)
	checker.checkNumber(Place{Kind: KindBounds, Field: FieldHeaderBytes}, "", float64(bounds.HeaderBytes))
	checker.checkNumber(Place{Kind: KindBounds, Field: FieldBodyBytes}, "", float64(bounds.BodyBytes))
}

// checkNames checks the names of the entries of a kind.
func (checker *checker) checkNames(kind Kind, count int, name func(i int) string) {
	seen := make(map[string]bool, count)
	for i := range count {
		place := Place{Kind: kind, Index: i, Field: FieldName}
		switch {
		case name(i) == "":
			checker.Add(Finding{RuleName, place, "", "the entry has no name"})
		case !seen[name(i)]:
			seen[name(i)] = true
		case kind == KindRoute:
			checker.Add(Finding{RuleDuplicateName, place, name(i), "an earlier route has the same name; logs and statistics can't tell them apart"})
		default:
			checker.Add(Finding{RuleDuplicateName, place, name(i), "an earlier entry has the same name; only the last one counts"})
		}
	}
}

func (checker *checker) checkTime(place Place, name string, value time.Duration) {
	if value < 0 {
		checker.Add(Finding{RuleNegative, place, name, "the time is negative, or too large to be represented"})
	}
}

func (checker *checker) checkNumber(place Place, name string, value float64) {
	if value < 0 {
		checker.Add(Finding{RuleNegative, place, name, "the number is negative"})
	}
}

// repeatable reports whether a second attempt at a request of the route is allowed.
func repeatable(route *rules.Route) bool {
	// A job repeats the runs of its items.
	return route.Repeatable() || route.Kind == rules.KindBatch
}
