package pick

import (
	"cmp"
	"slices"

	"github.com/agatestage/agatestage"
)

const (
	// boundFactor is the multiple of the mean utilisation up to which a target gets
	// the calls whose prefix it may have cached.
	boundFactor = 1.25
	// boundSlack is added to the bound, as a fraction of the slots, so that affinity
	// also applies while the fleet is nearly idle.
	boundSlack = 0.15
	// fullUtilisation is the mean utilisation from which a tier is full, so that
	// calls may leave it.
	fullUtilisation = 1.0
)

// Affinity sends calls with the same prefix to the same target while the target's
// utilisation is near the mean, because an engine with the prefix in its cache
// answers sooner: rendezvous hashing with bounded loads. Calls without a prefix, and
// those whose candidates are all above the bound, go to the less utilised of two
// random candidates. Candidates in the same zone are preferred, then those in the
// same region, then the rest; the next tier is used only when all nearer tiers are
// full.
type Affinity struct {
	source
	region string
	zone   string
}

// NewAffinity returns the router for an entry in a region and zone.
func NewAffinity(region, zone string, seed uint64) *Affinity {
	return &Affinity{source: newSource(seed), region: region, zone: zone}
}

// Pick implements agatestage.Router.
func (affinity *Affinity) Pick(call *agatestage.Call, candidates []agatestage.Candidate) int {
	var spill []int
	for _, tier := range affinity.tiers(candidates) {
		if len(tier) == 0 {
			continue
		}
		spill = append(spill, tier...)
		if meanUtilisation(candidates, tier) >= fullUtilisation {
			continue
		}
		return affinity.pickInTier(call, candidates, tier)
	}
	if len(spill) == 0 {
		return -1
	}
	return affinity.lessUtilised(candidates, spill)
}

// tiers returns the indices of the candidates by distance: in the same zone, in the
// same region, and elsewhere.
func (affinity *Affinity) tiers(candidates []agatestage.Candidate) (tiers [3][]int) {
	for i := range candidates {
		switch {
		case candidates[i].Region != affinity.region:
			tiers[2] = append(tiers[2], i)
		case candidates[i].Zone != affinity.zone:
			tiers[1] = append(tiers[1], i)
		default:
			tiers[0] = append(tiers[0], i)
		}
	}
	return tiers
}

// meanUtilisation returns the mean utilisation of a tier.
func meanUtilisation(candidates []agatestage.Candidate, tier []int) float64 {
	var sum float64
	for _, i := range tier {
		sum += utilisation(candidates[i])
	}
	return sum / float64(len(tier))
}

// pickInTier picks a candidate of one tier: the first in rendezvous order whose
// utilisation is within the bound.
func (affinity *Affinity) pickInTier(call *agatestage.Call, candidates []agatestage.Candidate, tier []int) int {
	if call.Prefix == 0 {
		return affinity.lessUtilised(candidates, tier)
	}
	bound := meanUtilisation(candidates, tier)*boundFactor + boundSlack
	ordered := slices.Clone(tier)
	slices.SortFunc(ordered, func(a, b int) int {
		return cmp.Compare(rendezvousWeight(call.Prefix, candidates[b].Target), rendezvousWeight(call.Prefix, candidates[a].Target))
	})
	for _, i := range ordered {
		if utilisation(candidates[i]) <= bound {
			return i
		}
	}
	return affinity.lessUtilised(candidates, tier)
}

// lessUtilised picks the less utilised of two random candidates.
func (affinity *Affinity) lessUtilised(candidates []agatestage.Candidate, tier []int) int {
	first := tier[affinity.intn(len(tier))]
	second := tier[affinity.intn(len(tier))]
	if utilisation(candidates[second]) < utilisation(candidates[first]) {
		return second
	}
	return first
}
