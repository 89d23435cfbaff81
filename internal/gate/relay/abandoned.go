package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// abandonedTime is how long a target may take to end under a call that it was sent and
// whose caller has left.
const abandonedTime = 2 * time.Second

// abandonedCalls holds the calls that ended here while their targets may have gone on.
// When such a target turns out to have ended, they are blamed like those in flight.
type abandonedCalls struct {
	mutex sync.Mutex
	calls map[string][]abandonedCall
}

type abandonedCall struct {
	*agatestage.Call
	at time.Time
}

// add records that a call to a target was abandoned.
func (abandoned *abandonedCalls) add(target string, call *agatestage.Call, now time.Time) {
	abandoned.mutex.Lock()
	defer abandoned.mutex.Unlock()
	if abandoned.calls == nil {
		abandoned.calls = make(map[string][]abandonedCall)
	}
	for id, calls := range abandoned.calls {
		calls = slices.DeleteFunc(calls, func(call abandonedCall) bool { return now.Sub(call.at) > abandonedTime })
		if abandoned.calls[id] = calls; len(calls) == 0 {
			delete(abandoned.calls, id)
		}
	}
	abandoned.calls[target] = append(abandoned.calls[target], abandonedCall{Call: call, at: now})
}

// take returns the calls to a target that were abandoned lately, and forgets them.
func (abandoned *abandonedCalls) take(target string, now time.Time) (calls []*agatestage.Call) {
	abandoned.mutex.Lock()
	defer abandoned.mutex.Unlock()
	for _, call := range abandoned.calls[target] {
		if now.Sub(call.at) <= abandonedTime {
			calls = append(calls, call.Call)
		}
	}
	delete(abandoned.calls, target)
	return calls
}

// abandon records that the call ends here while its target may go on. A suspect's target
// is probed, as no other call may reach it before it has started again.
func (run *run) abandon(endpoint agatestage.Endpoint) {
	if run.call.Batch {
		return
	}
	if run.call.Suspect {
		run.checkCrash(endpoint)
		return
	}
	run.abandoned.add(endpoint.ID, run.call, run.clock.Now())
}
