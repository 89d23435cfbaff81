// Package fault provides TCP and UDP relays that inject network faults between two
// processes: delay, packet loss, limited bandwidth, and connections that stop
// passing data for good while new ones work.
package fault

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults describes the faults that a relay injects.
type Faults struct {
	// Delay is added in each direction.
	Delay time.Duration
	// Loss is the fraction of datagrams that are dropped, from 0 to 1. It doesn't
	// apply to TCP.
	Loss float64
	// BytesPerSecond limits each direction; 0 is no limit.
	BytesPerSecond int
	// Cut drops all data of existing and new connections.
	Cut bool
	// CutReplies drops the data that the target sends, on TCP only.
	CutReplies bool
	// Silent holds all data back, and closes, until it is cleared, on TCP only.
	Silent bool
	// Pipe is an emulated link that this relay shares with others.
	Pipe *Pipe
}

// relay is the state that both kinds of relay share.
type relay struct {
	mutex  sync.Mutex
	faults Faults
	// generation counts the calls of Blackhole; data of connections from an older
	// generation is dropped.
	generation int
	random     *rand.Rand
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

func newRelay(seed uint64) relay {
	return relay{random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

// Set replaces the faults; it applies to existing connections, too.
func (relay *relay) Set(faults Faults) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.faults = faults
	close(relay.changed)
	relay.changed = make(chan struct{})
}

// awaitEndOfSilence waits until the relay isn't silent, or ctx ends.
func (relay *relay) awaitEndOfSilence(ctx context.Context) {
	for ctx.Err() == nil {
		relay.mutex.Lock()
		silent, changed := relay.faults.Silent, relay.changed
		relay.mutex.Unlock()
		if !silent {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Blackhole drops all further data of the existing connections without closing them.
// New connections work.
func (relay *relay) Blackhole() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.generation++
}

// snapshot returns the present faults and generation.
func (relay *relay) snapshot() (Faults, int) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.faults, relay.generation
}

// drops decides whether a datagram of a connection from generation is dropped.
func (relay *relay) drops(generation int) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.faults.Cut || generation < relay.generation || relay.random.Float64() < relay.faults.Loss
}
