package owner

import (
	"encoding/json"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

// Item is an item of a job that has no result yet.
type Item struct {
	Number int
	Line   []byte
}

// Request is one line of the input file of a batch job, as callers send it.
type Request struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Response is one line of the output file of a batch job, as callers receive it.
type Response struct {
	ID       string        `json:"id"`
	CustomID string        `json:"custom_id"`
	Response *ResponseBody `json:"response"`
	Error    *Error        `json:"error"`
}

// ResponseBody holds the answer of a target.
type ResponseBody struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// Error is the reason why an item has no answer.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// resultLine returns the line that is recorded for an item.
func resultLine(job string, item Item, outcome calls.ItemResult) agatestage.Line {
	var request Request
	// The line was validated when the job was accepted.
	_ = json.Unmarshal(item.Line, &request)
	response := Response{ID: job + "-" + itoa(item.Number), CustomID: request.CustomID}
	line := agatestage.Line{Item: item.Number}
	if outcome.Refusal != nil {
		line.Failed = true
		response.Error = &Error{Code: string(outcome.Refusal.Code), Message: outcome.Refusal.Message}
	} else {
		line.Failed = outcome.Status >= 400
		response.Response = &ResponseBody{StatusCode: outcome.Status, RequestID: response.ID, Body: asJSON(outcome.Body)}
	}
	// Encoding this type can't fail.
	line.Body, _ = json.Marshal(response)
	return line
}

// asJSON returns the body, or its text as a JSON string if it isn't JSON.
func asJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	// Encoding a string can't fail.
	quoted, _ := json.Marshal(string(body))
	return quoted
}
