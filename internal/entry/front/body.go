package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/intake"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/trust/keys"
)

// ReadBody reads a request's body within the bounds on size and time.
func ReadBody(writer http.ResponseWriter, request *http.Request, bounds setup.Bounds) ([]byte, error) {
	controller := http.NewResponseController(writer)
	// Writers in tests may not support deadlines; reads then have none.
	_ = controller.SetReadDeadline(time.Now().Add(bounds.BodyTime.Duration))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := inlet.ReadBody(writer, request, bounds.BodyBytes)
	if err == nil {
		return body, nil
	}
	return nil, BodyError(err, bounds.BodyBytes, bounds.BodyTime.Duration)
}

// BodyError returns the refusal for an error from reading a request's body.
func BodyError(err error, limit int64, timeout time.Duration) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, intake.ErrShort):
		return agatestage.RefuseMemory()
	case errors.As(err, &tooLarge):
		return agatestage.Refuse(agatestage.CodeTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return agatestage.Refuse(agatestage.CodeSlowBody, "the body did not arrive within %v", timeout)
	}
	return agatestage.Refuse(agatestage.CodeBadRequest, "the body could not be read")
}

// maxPrefixBytes bounds how much of a prompt is hashed for prefix affinity, which
// routes requests with the same prefix to the same cache.
const maxPrefixBytes = 1024

// prompt holds the fields of a completion request that are needed for routing,
// with the names and case of the published API.
type prompt struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// parsePrompt parses and validates a completion request.
func parsePrompt(body []byte) (prompt prompt, err error) {
	if !utf8.Valid(body) {
		return prompt, agatestage.Refuse(agatestage.CodeBadEncoding, "the body is not valid UTF-8")
	}
	if err = json.Unmarshal(body, &prompt); err != nil {
		return prompt, agatestage.Refuse(agatestage.CodeBadRequest, "the body is not a JSON object of the expected form: %v", err)
	}
	if prompt.Model == "" {
		return prompt, agatestage.Refuse(agatestage.CodeBadRequest, `the field "model" is required`)
	}
	return prompt, nil
}

// prefixHash returns a hash of the organisation, the model and the beginning of
// the prompt, or 0 if there is no prompt.
func (prompt prompt) prefixHash(organisation string) uint64 {
	text := prompt.Messages
	if len(text) == 0 {
		text = prompt.Prompt
	}
	if len(text) == 0 {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(organisation)
	_, _ = digest.WriteString(prompt.Model)
	_, _ = digest.Write(firstMessage(text))
	return digest.Sum64()
}

// maxParts bounds the messages of a chat that count as parts; those beyond it are ignored.
const maxParts = 256

// parts returns the messages of a chat but the last: chats have in common what they began
// with. A single text has none.
func (prompt prompt) parts() (parts []agatestage.Part) {
	// The messages are decoded one by one: each takes some ten times its size if it is short.
	decoder := json.NewDecoder(bytes.NewReader(prompt.Messages))
	if begin, err := decoder.Token(); err != nil || begin != json.Delim('[') {
		return nil
	}
	var messages []json.RawMessage
	for decoder.More() && len(messages) <= maxParts {
		var message json.RawMessage
		if err := decoder.Decode(&message); err != nil {
			return nil
		}
		messages = append(messages, message)
	}
	if len(messages) == 0 {
		return nil
	}
	for _, message := range messages[:min(len(messages)-1, maxParts)] {
		var text bytes.Buffer
		// Spaces between the fields don't matter. The message has been decoded.
		_ = json.Compact(&text, message)
		parts = append(parts, agatestage.NewPart(strconv.FormatUint(xxhash.Sum64(text.Bytes()), 16)))
	}
	return parts
}

// firstMessage returns the first message of a chat, which the requests of the
// chat have in common, or the beginning of the text.
func firstMessage(text json.RawMessage) []byte {
	if end := bytes.IndexByte(text, '}'); end >= 0 && end < maxPrefixBytes {
		return text[:end]
	}
	return text[:min(len(text), maxPrefixBytes)]
}

// hopByHopHeaders are header fields that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns a copy of the caller's header without hop-by-hop fields
// and credentials.
func forwardedHeader(header http.Header) http.Header {
	copied := header.Clone()
	for _, line := range header.Values("Connection") {
		for field := range strings.SplitSeq(line, ",") {
			copied.Del(strings.TrimSpace(field))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	keys.RemoveCredentials(copied)
	return copied
}

// servicePath returns the path and query to send to a service.
func servicePath(request *http.Request, name string) string {
	path := strings.TrimPrefix(request.URL.EscapedPath(), "/svc/"+url.PathEscape(name))
	if path == "" {
		path = "/"
	}
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path
}
