package front

import (
	"net/http"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/entry/reply"
)

// callerLeft reports whether a request has been cancelled because its caller has closed its
// connection, or only the sending side of it. Returning without an answer would be an empty
// success to the latter.
func callerLeft(request *http.Request) bool {
	return request.Context().Err() != nil && !inlet.GivenUp(request.Context())
}

// afterLeaving returns the refusal of a request that failed after its caller had left. One
// that hasn't run wasn't short of time.
func afterLeaving(err error) *agatestage.Refusal {
	refusal := reply.AsRefusal(err)
	if refusal.Code == agatestage.CodeDeadline && refusal.Ran == agatestage.RanNo {
		return agatestage.RefuseCallerLeft()
	}
	return refusal
}
