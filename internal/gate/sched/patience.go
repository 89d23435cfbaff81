package sched

import (
	"time"

	"github.com/agatestage/agatestage"
)

// How long a call waits follows from the time that its caller has and from the work that is
// left: what such calls have lately taken at these targets, from being sent to the end of the
// answer. Nothing else is asked, such as whether the caller was refused before.

// tooLate returns a refusal for a call that has less time left than any like it has lately
// taken: it would keep a slot in vain. If all of them were cut off by their deadlines, one at a
// time is sent all the same, since their targets may have recovered. The mutex must be held.
func (service *serviceState) tooLate(request Request, now time.Time) *agatestage.Refusal {
	if request.Batch || request.Deadline.IsZero() {
		return nil
	}
	left, takes := request.Deadline.Sub(now), service.takes(request.Class, now)
	if request.Resumed {
		takes = takes.Rest()
	}
	if left >= takes.Fastest || !takes.Served() && service.inFlight[request.Class] == 0 {
		return nil
	}
	return agatestage.Refuse(agatestage.CodeBusy, "the caller waits for %v only, and calls like this one have lately taken %v at least", left, takes.Fastest)
}

// join returns a refusal for a new online call that had better not wait: one that is foreseen
// not to be served, and in a standing line one that would wait longer than calls run.
//
// A line serves callers of a burst that would be refused otherwise. One that has stood for as
// long as a new call could wait absorbs no burst any more: more calls come than can be served,
// as many are from a short line as from a long one, and a long one only makes all of them wait.
// The mutex must be held.
func (service *serviceState) join(waiting *waiter, now time.Time) *agatestage.Refusal {
	request, before := waiting.request, service.before(waiting)
	if refusal := service.checkWait(before, request, now); refusal != nil {
		return refusal
	}
	waiting.lineSince = now
	ahead := service.ahead(before, request, now)
	if len(ahead) == 0 {
		return nil
	}
	waiting.lineSince = ahead[len(ahead)-1].lineSince
	standing := now.Sub(waiting.lineSince) >= service.patience(request, now)
	if expectedWait := service.expectedWait(request, len(ahead), now); standing && expectedWait > service.meanHold {
		return service.crowded(request, len(ahead), expectedWait, now)
	}
	return nil
}

// patience returns how much longer a call may wait for a slot and still be served, or
// unlimitedSlack. It is negative if the call is too late already. The mutex must be held.
func (service *serviceState) patience(request Request, now time.Time) time.Duration {
	patience := unlimitedSlack
	if request.Batch {
		return patience
	}
	takes := service.takes(request.Class, now)
	if request.Resumed {
		takes = takes.Rest()
	}
	if !request.Deadline.IsZero() {
		patience = request.Deadline.Sub(now) - takes.Total
	}
	if !request.FirstBy.IsZero() {
		patience = min(patience, request.FirstBy.Sub(now)-takes.First)
	}
	return patience
}
