package relay

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// scanned is what a scanner makes of a stream.
type scanned struct {
	forwarded string
	last      int64
	failed    bool
}

// scan gives a stream to a scanner in pieces of the given size.
func scan(stream []byte, piece int, resumable bool) (scanned scanned) {
	scanner := newScanner(resumable, 0)
	for len(stream) > 0 && !scanned.failed {
		n := min(piece, len(stream))
		events, err := scanner.add(stream[:n])
		scanned.forwarded += string(events)
		scanned.failed, stream = err != nil, stream[n:]
	}
	scanned.last = scanner.last
	return scanned
}

// FuzzScanner checks that the forwarded part of a stream consists of whole events from its
// beginning and doesn't depend on how the stream arrives.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{
		"", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\n", ": comment\n\nretry: 5\n\nid:1\ndata\n\n", "data: a\n\ndata: b\n\n",
		"id: 1\ndata: a\n\nHTTP/1.1 500 X\r\n\r\n", "id: 1\nid: 2\n\n", "id: 9223372036854775807\n\nid: -1\n\n", "id: 1\n\n\n\n\nid: 3\n\n", "id: 1\ndata: half",
		"version: 3\nid: 1\ndata: a\n\n", "\r\n\r\nid: 1\n\r\n",
	} {
		f.Add([]byte(seed), uint8(1), true)
		f.Add([]byte(seed), uint8(7), false)
	}
	f.Fuzz(func(t *testing.T, stream []byte, piece uint8, resumable bool) {
		expect := gomega.NewWithT(t)
		whole := scan(stream, max(1, len(stream)), resumable)
		expect.Expect(scan(stream, max(1, int(piece)), resumable)).To(gomega.Equal(whole))
		expect.Expect(bytes.HasPrefix(stream, []byte(whole.forwarded))).To(gomega.BeTrue())
		if whole.forwarded != "" {
			lines := bytes.Split([]byte(whole.forwarded), []byte("\n"))
			last := lines[len(lines)-2]
			expect.Expect(string(bytes.TrimSuffix(last, []byte("\r")))).To(gomega.BeEmpty(), "the last event isn't whole")
		}
		again := scan([]byte(whole.forwarded), max(1, len(whole.forwarded)), resumable)
		expect.Expect(again).To(gomega.Equal(scanned{forwarded: whole.forwarded, last: whole.last}))
		if resumable {
			next := fmt.Appendf([]byte(whole.forwarded), "id: %d\n\n", whole.last+2)
			expect.Expect(scan(next, len(next), true).failed).To(gomega.BeTrue(), "a gap in the numbers is accepted")
		}
	})
}
