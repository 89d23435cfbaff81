package agatestage

import (
	"context"
	"net/netip"
)

// Role is the resident role of one process.
type Role string

// The resident roles.
const (
	RoleEntry Role = "Entry"
	RoleSide  Role = "Side"
	// RoleGateway is an entry on a platform that lists its targets itself: it
	// reaches them without sides and keeps batch jobs in the platform's store.
	RoleGateway Role = "Gateway"
	// RoleKeeper answers for the machines with disks on such a platform.
	RoleKeeper Role = "Keeper"
)

// Host is one line of the platform's lagging host list.
type Host struct {
	Name    string
	Role    Role
	Region  string
	Zone    string
	Address netip.AddrPort
	// Leaving is true once the platform has begun to remove the host.
	Leaving bool
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
