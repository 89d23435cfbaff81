package exec

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

func TestStreamThatEndsWithinAnEventIsPartial(t *testing.T) {
	for text, partial := range map[string]bool{
		"": false, "\n": false, ": comment\n\n": false, "data: a\n\n": false, "data: a\r\n\r\n": false, "data: a\n\ndata: b\n\n\n": false,
		"data: a\n\n ": false, "d": true, "data: a": true, "data: a\n": true, "data: a\r\n": true, "data: a\n\ndata: b": true, "data: a\n\nid: 2\n": true,
	} {
		for size := 1; size <= max(1, len(text)); size++ {
			t.Run(fmt.Sprintf("%q in pieces of %d", text, size), func(t *testing.T) {
				stream := newStreamEnd(http.StatusOK, http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}})
				for i := 0; i < len(text); i += size {
					stream.add([]byte(text[i:min(len(text), i+size)]))
				}
				gomega.NewWithT(t).Expect(stream.partial()).To(gomega.Equal(partial))
			})
		}
	}
}

func TestOtherAnswersAreNeverPartial(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, stream := range []*streamEnd{
		newStreamEnd(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}), newStreamEnd(http.StatusOK, http.Header{}),
		newStreamEnd(http.StatusBadRequest, http.Header{"Content-Type": {"text/event-stream"}}),
	} {
		stream.add([]byte("data: a"))
		expect.Expect(stream.partial()).To(gomega.BeFalse())
	}
}
