package conns

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// Errors of reading what isn't a response, or not a whole one.
var (
	errStatus            = errors.New("the status of the response is outside 200 to 599")
	errSwitched          = errors.New("the target switches to another protocol, which wasn't asked for")
	errInformationalBody = errors.New("an informational response has a body")
	errUnfinishedRequest = errors.New("a response without a length ended before its request was written")
	errOldChunks         = errors.New("a response of HTTP/1.0 is in chunks")
	errUnsolicited       = errors.New("the target sent something before the request")
)

// reasons are the values of the label of the counter of broken responses.
var reasons = map[error]string{
	errStatus: "status", errSwitched: "status", errInformationalBody: "informational", errUnfinishedRequest: "unfinished", errUnsolicited: "unsolicited", errOldChunks: "framing",
}

// countBroken counts one of the errors above and returns it.
func countBroken(err error) error {
	metrics.GetOrCreateCounter(`agatestage_target_broken_answers_total{reason="` + reasons[err] + `"}`).Inc()
	return err
}

// checkHead returns an error if a head is neither that of a response nor that of an
// informational response that may be passed over. net/http takes any three characters that
// are a number for a status, and reads what follows an informational response as the next
// head, its body included.
func checkHead(response *http.Response) error {
	switch status := response.StatusCode; {
	case agatestage.ValidStatus(status):
		return nil
	case status == http.StatusSwitchingProtocols:
		return countBroken(errSwitched)
	case status < http.StatusContinue || status >= http.StatusOK:
		return countBroken(errStatus)
	}
	for _, length := range response.Header["Content-Length"] {
		if length != "0" {
			return countBroken(errInformationalBody)
		}
	}
	if len(response.TransferEncoding) > 0 {
		return countBroken(errInformationalBody)
	}
	return nil
}
