package gossip

import (
	"math"
	"slices"
	"strings"

	"github.com/agatestage/agatestage/internal/state/member"
)

// directFleet is the number of gateways up to which each sends its state to all others
// itself. In larger fleets the number of recipients must not grow with the fleet, so
// gateways form groups of the same zone: each sends to all of its own group and to one
// gateway of each other group, which passes the state on to its group. With groups of
// about the square root of the fleet's size there are also as many groups.
const directFleet = 13

// distances of another gateway or group, in the order in which targets are chosen.
const (
	sameZone = iota
	sameRegion
	elsewhere
	distances
)

// group is a group of other gateways.
type group struct {
	members  []string
	distance int
}

// neighbourhood is how the fleet is divided from the view of one gateway.
type neighbourhood struct {
	// mates are the other gateways of its own group.
	mates []string
	// groups are the other groups.
	groups []group
}

// relays reports whether some gateway is reached only through another one.
func (neighbourhood neighbourhood) relays() bool {
	return slices.ContainsFunc(neighbourhood.groups, func(group group) bool { return len(group.members) > 1 })
}

// recipients returns the numbers of gateways of its zone and of other zones to which a
// gateway sends each state.
func (neighbourhood neighbourhood) recipients() (zone, outer int) {
	zone = len(neighbourhood.mates)
	for _, group := range neighbourhood.groups {
		if group.distance == sameZone {
			zone++
		} else {
			outer++
		}
	}
	return zone, outer
}

// divide returns the neighbourhood of a gateway. All gateways that know the same others
// divide the fleet in the same way.
func divide(self member.Member, others []member.Member) (divided neighbourhood) {
	zones := map[string][]member.Member{self.Zone: {self}}
	for _, other := range others {
		zones[other.Zone] = append(zones[other.Zone], other)
	}
	size := int(math.Ceil(math.Sqrt(float64(len(others) + 1))))
	for _, members := range zones {
		slices.SortFunc(members, func(a, b member.Member) int { return strings.Compare(a.Name, b.Name) })
		for _, part := range split(members, size, len(others) < directFleet && members[0].Zone != self.Zone) {
			names := make([]string, 0, len(part))
			own := false
			for _, member := range part {
				if member.Name == self.Name {
					own = true
				} else {
					names = append(names, member.Name)
				}
			}
			if own {
				divided.mates = names
			} else {
				divided.groups = append(divided.groups, group{members: names, distance: distanceOf(self, part[0])})
			}
		}
	}
	return divided
}

// split divides the gateways of one zone evenly into groups of at most size, or each
// into a group of its own.
func split(members []member.Member, size int, singly bool) (parts [][]member.Member) {
	if singly {
		size = 1
	}
	count := (len(members) + size - 1) / size
	for i := range count {
		parts = append(parts, members[i*len(members)/count:(i+1)*len(members)/count])
	}
	return parts
}

// distanceOf returns the distance of another gateway.
func distanceOf(self, other member.Member) int {
	switch {
	case other.Zone == self.Zone:
		return sameZone
	case other.Region == self.Region:
		return sameRegion
	}
	return elsewhere
}
