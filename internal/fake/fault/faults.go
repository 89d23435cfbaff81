// Package fault holds relays that stand between two processes and harm what
// passes: delay, loss, a slow link, and connections that go silent for good
// while new ones work.
package fault

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults says how a relay harms what passes.
type Faults struct {
	// Delay is added in each direction.
	Delay time.Duration
	// Loss is the part of datagrams that vanish, from 0 to 1; streams lose
	// nothing.
	Loss float64
	// BytesPerSecond bounds each direction; 0 is no bound.
	BytesPerSecond int
	// Cut drops everything, of old and new connections alike.
	Cut bool
	// CutBack drops what comes back from the target, of streams only.
	CutBack bool
	// Pipe is a link that this relay shares with others.
	Pipe *Pipe
}

// state is what both kinds of relay share.
type state struct {
	mutex  sync.Mutex
	faults Faults
	// generation counts the silences; what belongs to an older one is dropped.
	generation int
	random     *rand.Rand
}

func newState(seed uint64) state {
	return state{random: rand.New(rand.NewPCG(seed, seed))}
}

// Set changes the faults from now on.
func (state *state) Set(faults Faults) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.faults = faults
}

// Silence makes all present connections silent for good. New ones work.
func (state *state) Silence() {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.generation++
}

// now returns the faults and the generation.
func (state *state) now() (Faults, int) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.faults, state.generation
}

// lost decides whether a datagram vanishes.
func (state *state) lost(generation int) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.faults.Cut || generation < state.generation || state.random.Float64() < state.faults.Loss
}
