package sched

import (
	"maps"
	"slices"
)

// Services returns the names of the services that the scheduler keeps a state of.
func (scheduler *Scheduler) Services() []string {
	return slices.Collect(maps.Keys(scheduler.services))
}

// Statements returns how many statements about its weights are kept of a target.
func (scheduler *Scheduler) Statements(id string) int {
	return len(scheduler.targets[id].weights)
}
