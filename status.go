package agatestage

import "net/http"

// maxStatus is the largest status of a response.
const maxStatus = 599

// ValidStatus reports whether a response that answers a call may have the status. Informational
// ones don't answer it, and switching to another protocol is never asked for.
func ValidStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}
