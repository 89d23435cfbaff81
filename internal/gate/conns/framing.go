package conns

import "net/http"

// EndsWithConnection reports whether the body has no length of its own: it ends with the
// connection, also when the target's process ends.
func (response *TargetResponse) EndsWithConnection() bool {
	httpResponse := response.httpResponse
	return httpResponse.ContentLength < 0 && len(httpResponse.TransferEncoding) == 0 && httpResponse.Body != http.NoBody
}
