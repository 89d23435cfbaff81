// Package pick implements routers, which choose a target for a call.
//
// Affinity is used for serving. The others are baselines for measurements.
package pick

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/agatestage/agatestage"
)

// utilisation returns a candidate's load relative to its slots.
func utilisation(candidate agatestage.Candidate) float64 {
	load := candidate.Load.Online + candidate.Load.Waiting
	return float64(max(load, candidate.Pending)) / float64(max(1, candidate.Load.Slots))
}

// Random picks a random candidate.
type Random struct {
	source
}

// NewRandom returns a Random with the given seed.
func NewRandom(seed uint64) *Random {
	return &Random{newSource(seed)}
}

// Pick implements agatestage.Router.
func (random *Random) Pick(_ *agatestage.Call, candidates []agatestage.Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	return random.intn(len(candidates))
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a RoundRobin.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// Pick implements agatestage.Router.
func (roundRobin *RoundRobin) Pick(_ *agatestage.Call, candidates []agatestage.Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	return int(roundRobin.next.Add(1) % uint64(len(candidates)))
}

// LeastLoaded picks the candidate with the lowest utilisation known to the entry.
type LeastLoaded struct{}

// NewLeastLoaded returns a LeastLoaded.
func NewLeastLoaded() *LeastLoaded {
	return &LeastLoaded{}
}

// Pick implements agatestage.Router.
func (leastLoaded *LeastLoaded) Pick(_ *agatestage.Call, candidates []agatestage.Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || utilisation(candidates[i]) < utilisation(candidates[best]) {
			best = i
		}
	}
	return best
}

// source is a seeded random source that is safe for concurrent use.
type source struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newSource(seed uint64) source {
	return source{random: rand.New(rand.NewPCG(seed, seed))}
}

func (source *source) intn(n int) int {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.random.IntN(n)
}

// rendezvousWeight returns the rendezvous weight of a target for a prefix.
func rendezvousWeight(prefix uint64, target string) uint64 {
	var seed [8]byte
	for i := range seed {
		seed[i] = byte(prefix >> (8 * i))
	}
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(target)
	return digest.Sum64()
}
