package agatestage

import (
	"slices"
	"strings"
)

// Regions is the set of regions in which a request may be served and kept. The zero value
// allows all.
type Regions struct {
	// Restricted means that only the regions in Names are allowed, which may be none.
	Restricted bool
	Names      []string
}

// RegionsOf returns the regions of a list, or all if it is empty.
func RegionsOf(names []string) Regions {
	return Regions{Restricted: len(names) > 0, Names: names}
}

// Allows reports whether a region is allowed. Restricted requests may not use the empty
// region, which is that of zones in no known region.
func (regions Regions) Allows(region string) bool {
	return !regions.Restricted || region != "" && slices.Contains(regions.Names, region)
}

// Intersect returns the regions that both sets allow, which may be none.
func (regions Regions) Intersect(other Regions) Regions {
	switch {
	case !regions.Restricted:
		return other
	case !other.Restricted:
		return regions
	}
	both := Regions{Restricted: true}
	for _, name := range regions.Names {
		if other.Allows(name) {
			both.Names = append(both.Names, name)
		}
	}
	return both
}

// String returns the names for logs.
func (regions Regions) String() string {
	switch {
	case !regions.Restricted:
		return "all"
	case len(regions.Names) == 0:
		return "none"
	}
	return strings.Join(regions.Names, ",")
}
