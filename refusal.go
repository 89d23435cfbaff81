package agatestage

import (
	"fmt"
	"net/http"
	"time"
)

// Ran says whether a refused or failed request reached a target.
type Ran string

// The values of Ran. RanNo is a guarantee: it is returned only if no byte of the
// request can have reached a target, or if the target's side confirms that the
// target has not run it.
const (
	RanNo      Ran = "No"
	RanYes     Ran = "Yes"
	RanUnknown Ran = "Unknown"
)

// Code is the stable, machine-readable reason for a refusal.
type Code string

// The codes of refusals.
const (
	CodeBadRequest   Code = "BadRequest"
	CodeBadEncoding  Code = "BadEncoding"
	CodeTooLarge     Code = "TooLarge"
	CodeSlowBody     Code = "SlowBody"
	CodeBadMethod    Code = "BadMethod"
	CodeNotFound     Code = "NotFound"
	CodeNoModel      Code = "UnknownModel"
	CodeNoService    Code = "UnknownService"
	CodeNoKey        Code = "MissingKey"
	CodeBadKey       Code = "UnknownKey"
	CodeWithdrawn    Code = "WithdrawnKey"
	CodeForbidden    Code = "Forbidden"
	CodeRateLimited  Code = "RateLimited"
	CodeNoTarget     Code = "NoTarget"
	CodeBusy         Code = "Busy"
	CodeYielded      Code = "Yielded"
	CodeDeadline     Code = "DeadlineExceeded"
	CodeTargetFailed Code = "TargetFailed"
	CodeHarmful      Code = "HarmfulRequest"
	CodeNotFresh     Code = "NotFresh"
	CodeStopping     Code = "Stopping"
	CodeCallerLeft   Code = "CallerLeft"
	CodeConflict     Code = "Conflict"
	CodeStore        Code = "StoreUnavailable"
	CodeLedger       Code = "LedgerUnavailable"
	CodeStalePlan    Code = "StalePlan"
	CodeInvalid      Code = "Invalid"
	CodeInternal     Code = "Internal"
)

// Refusal is the typed error that callers and operators receive. It implements
// error, so that each stage can return it unchanged.
type Refusal struct {
	Code    Code
	Message string
	// Ran says whether the request reached a target.
	Ran Ran
	// RetryAfter is the delay after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration
	// Firm says that an earlier retry would be refused again, so that RetryAfter must not be
	// shortened. It is used within a process only.
	Firm bool `cbor:"-" json:"-"`
}

// Refuse returns a refusal of a request that has definitely not run.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Ran: RanNo}
}

// stoppingRetryAfter is the retry delay of a caller whose request another process can serve
// at once.
const stoppingRetryAfter = 10 * time.Millisecond

// RefuseStopping returns the refusal of a request that has not run and that may last longer
// than this process, which is being stopped.
func RefuseStopping() *Refusal {
	refusal := Refuse(CodeStopping, "this process is being stopped; another has time for the request")
	refusal.RetryAfter = stoppingRetryAfter
	return refusal
}

// RefuseCallerLeft returns the refusal of a request that has not run and whose caller has
// closed its connection, or only the sending side of it: such a caller still reads.
func RefuseCallerLeft() *Refusal {
	return Refuse(CodeCallerLeft, "the caller's side of the connection was closed before the request was passed on")
}

// memoryRetryAfter is the retry delay of a caller for whose request the memory is lacking: crowds
// that take it are dropped sooner.
const memoryRetryAfter = time.Second

// RefuseMemory returns the refusal of a request that has not run as the memory for it is in use.
func RefuseMemory() *Refusal {
	refusal := Refuse(CodeBusy, "the memory for requests is in use")
	refusal.RetryAfter = memoryRetryAfter
	return refusal
}

// Error implements error.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", refusal.Code, refusal.Message, refusal.Ran)
}

// statuses maps each code to its HTTP status.
var statuses = map[Code]int{
	CodeBadRequest:   http.StatusBadRequest,
	CodeBadEncoding:  http.StatusBadRequest,
	CodeTooLarge:     http.StatusRequestEntityTooLarge,
	CodeSlowBody:     http.StatusRequestTimeout,
	CodeBadMethod:    http.StatusMethodNotAllowed,
	CodeNotFound:     http.StatusNotFound,
	CodeNoModel:      http.StatusNotFound,
	CodeNoService:    http.StatusNotFound,
	CodeNoKey:        http.StatusUnauthorized,
	CodeBadKey:       http.StatusUnauthorized,
	CodeWithdrawn:    http.StatusUnauthorized,
	CodeForbidden:    http.StatusForbidden,
	CodeRateLimited:  http.StatusTooManyRequests,
	CodeNoTarget:     http.StatusServiceUnavailable,
	CodeBusy:         http.StatusServiceUnavailable,
	CodeYielded:      http.StatusServiceUnavailable,
	CodeDeadline:     http.StatusGatewayTimeout,
	CodeTargetFailed: http.StatusBadGateway,
	CodeHarmful:      http.StatusUnprocessableEntity,
	CodeNotFresh:     http.StatusServiceUnavailable,
	CodeStopping:     http.StatusServiceUnavailable,
	CodeCallerLeft:   http.StatusServiceUnavailable,
	CodeConflict:     http.StatusConflict,
	CodeStore:        http.StatusServiceUnavailable,
	CodeLedger:       http.StatusServiceUnavailable,
	CodeStalePlan:    http.StatusConflict,
	CodeInvalid:      http.StatusUnprocessableEntity,
	CodeInternal:     http.StatusInternalServerError,
}

// Status returns the HTTP status of the refusal.
func (refusal *Refusal) Status() int {
	if status, ok := statuses[refusal.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
