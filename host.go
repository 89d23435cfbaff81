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
	// RoleGateway is an entry on a platform that has its own registry of targets.
	// A gateway connects to targets without sides and stores batch jobs in the
	// platform's store.
	RoleGateway Role = "Gateway"
	// RoleKeeper handles the decommissioning of hosts with disks on such a platform.
	RoleKeeper Role = "Keeper"
)

// Host is one element of the platform's host list.
type Host struct {
	Name    string
	Role    Role
	Region  string
	Zone    string
	Address netip.AddrPort
	// Leaving is true once the platform has started to remove the host.
	Leaving bool
}

// HostList is the platform's list of live and leaving hosts. It lags behind their
// actual state.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
