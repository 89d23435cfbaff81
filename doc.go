// Package agatestage is the root of a serving system for online and batch
// inference on one shared fleet.
//
// The system has two main resident roles. An entry serves callers and operators:
// it authenticates, admits, rate-limits, routes and retries requests, and it owns
// batch jobs. A side is a small process that runs next to the targets of one host.
// It is the only path to them, and so it enforces priority, slots, fencing and
// cancellation. See Role for the roles on a platform with a registry of targets.
//
// This package defines the interfaces between the stages and the types of the
// messages that cross them. The implementations are below internal/, one stage per
// package; they depend on this package and not on one another's internals.
package agatestage
