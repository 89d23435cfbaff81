package inlet

import "net/http"

// beginAnswer notes that the answer to the request isn't finished until the returned
// function is called. Before HTTP/1.1, an answer of unknown length ends with its
// connection; only a reset distinguishes one that isn't finished.
func beginAnswer(request *http.Request) (finish func()) {
	conn, ok := request.Context().Value(connKey{}).(*conn)
	if !ok || request.ProtoAtLeast(1, 1) {
		return func() {}
	}
	conn.unfinished.Store(true)
	return func() { conn.unfinished.Store(false) }
}
