package feeds

import (
	"maps"
	"time"

	"github.com/agatestage/agatestage"
)

// coldEntries holds until when targets are cold by their entries. A cold target writes its
// entry again and again with less time left, which isn't a change of the list of targets.
type coldEntries struct {
	// until is by the keys of records.
	until map[string]time.Time
	// renewed holds the targets whose entries say that they are cold and change nothing else.
	renewed []agatestage.Endpoint
	onCold  func(agatestage.Endpoint)
}

// TargetsOption configures a Targets.
type TargetsOption func(*Targets)

// WithColdHandler sets the handler that is called with each target whose entry says again that
// it is cold and changes nothing else. ColdFor is from then on. It must not offer records.
func WithColdHandler(onCold func(agatestage.Endpoint)) TargetsOption {
	return func(targets *Targets) { targets.onCold = onCold }
}

func newColdEntries() coldEntries {
	return coldEntries{until: make(map[string]time.Time), onCold: func(agatestage.Endpoint) {}}
}

// recordCold records what an entry that has been read now says of its target's being cold. It
// returns the ColdFor by which entries are compared, which is always zero.
func (cold *coldEntries) recordCold(key string, endpoint agatestage.Endpoint, now time.Time) time.Duration {
	if endpoint.ColdFor > 0 {
		if len(cold.until) >= maxRemovals {
			maps.DeleteFunc(cold.until, func(_ string, until time.Time) bool { return !now.Before(until) })
		}
		cold.until[key] = now.Add(endpoint.ColdFor)
		cold.renewed = append(cold.renewed, endpoint)
	}
	return 0
}

// coldFor returns how much longer a target is cold by its entry.
func (cold *coldEntries) coldFor(key string, now time.Time) time.Duration {
	left := cold.until[key].Sub(now)
	if left <= 0 {
		delete(cold.until, key)
		return 0
	}
	return left
}

// takeRenewed returns the targets whose entries say since the last call that they are cold.
func (cold *coldEntries) takeRenewed() (renewed []agatestage.Endpoint) {
	renewed, cold.renewed = cold.renewed, nil
	return renewed
}

// reportCold calls the handler.
func (cold *coldEntries) reportCold(renewed []agatestage.Endpoint) {
	for _, endpoint := range renewed {
		cold.onCold(endpoint)
	}
}
