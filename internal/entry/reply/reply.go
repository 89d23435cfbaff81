// Package reply writes the HTTP responses that entries produce themselves: JSON
// documents and refusals.
package reply

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/agatestage/agatestage"
)

// Problem is the response body of every refusal. Error repeats the refusal in the
// form that clients of the published API expect.
type Problem struct {
	Code    agatestage.Code
	Message string
	Ran     agatestage.Ran
	// RetryAfter is in seconds; 0 if unknown.
	RetryAfter float64
	Error      CompatibleError `json:"error"`
}

// CompatibleError is a refusal as the published API represents errors.
type CompatibleError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// NewProblem returns the response body of a refusal.
func NewProblem(refusal *agatestage.Refusal) Problem {
	errorType := "server_error"
	if refusal.Status() < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	return Problem{
		Code:       refusal.Code,
		Message:    refusal.Message,
		Ran:        refusal.Ran,
		RetryAfter: refusal.RetryAfter.Seconds(),
		Error:      CompatibleError{Message: refusal.Message, Type: errorType, Code: string(refusal.Code)},
	}
}

// AsRefusal returns the refusal that err wraps. Any other error becomes an
// internal error after which it is unknown whether the call ran.
func AsRefusal(err error) *agatestage.Refusal {
	var refusal *agatestage.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &agatestage.Refusal{Code: agatestage.CodeInternal, Message: err.Error(), Ran: agatestage.RanUnknown}
}

// Refuse writes err as a refusal.
func Refuse(writer http.ResponseWriter, err error) {
	refusal := AsRefusal(err)
	if refusal.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	JSON(writer, refusal.Status(), NewProblem(refusal))
}

// JSON writes a document with the status.
func JSON(writer http.ResponseWriter, status int, document any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// An error means that the caller has disconnected, so it can't be reported.
	_ = json.NewEncoder(writer).Encode(document)
}

// NotFound refuses a request for an unknown path.
func NotFound(writer http.ResponseWriter, request *http.Request) {
	Refuse(writer, agatestage.Refuse(agatestage.CodeNotFound, "nothing is served at %s", request.URL.Path))
}

// BadMethod refuses a request whose method the path does not support.
func BadMethod(writer http.ResponseWriter, request *http.Request) {
	Refuse(writer, agatestage.Refuse(agatestage.CodeBadMethod, "%s is not allowed at %s", request.Method, request.URL.Path))
}
