package frame

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
)

// block returns a block of one successful and one failed result.
func block() agatestage.Block {
	return agatestage.Block{Lines: []agatestage.Line{{Item: 3, Body: []byte(`{"a":1}`)}, {Item: 7, Failed: true, Body: []byte(`{}`)}}}
}

func TestFrameRoundTrip(t *testing.T) {
	expect := gomega.NewWithT(t)
	data, err := Append(nil, block())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	blocks, err := Blocks(bytes.NewReader(data), int64(len(data)))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(blocks).To(gomega.Equal([]agatestage.Block{block()}))
	header, index, err := ReadIndex(bytes.NewReader(data), 0)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(header.Size()).To(gomega.Equal(int64(len(data))))
	expect.Expect(index).To(gomega.Equal(Index{Items: []int{3, 7}, Failed: 1}))
}

// TestTornAndCorruptedFramesAreDetected truncates the second of two frames at each
// byte and flips a bit in each of its bytes: only the first frame may be valid.
func TestTornAndCorruptedFramesAreDetected(t *testing.T) {
	expect := gomega.NewWithT(t)
	first, err := Append(nil, block())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	both, err := Append(bytes.Clone(first), block())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	for cut := len(first); cut < len(both); cut++ {
		expect.Expect(ValidEnd(bytes.NewReader(both[:cut]), 0)).To(gomega.Equal(int64(len(first))), "cut at %d", cut)
	}
	for i := len(first); i < len(both); i++ {
		flipped := bytes.Clone(both)
		flipped[i] ^= 0x40
		expect.Expect(ValidEnd(bytes.NewReader(flipped), 0)).To(gomega.Equal(int64(len(first))), "flipped at %d", i)
	}
}

func FuzzRead(f *testing.F) {
	data, err := Append(nil, block())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{1, 0, 0, 0, 255, 255, 255, 255, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		end := ValidEnd(bytes.NewReader(data), 0)
		if end < 0 || end > int64(len(data)) {
			t.Fatalf("valid prefix of %d bytes in %d bytes", end, len(data))
		}
		// Frames with a valid checksum may hold arbitrary content; decoding them
		// must not panic.
		_, _ = Blocks(bytes.NewReader(data[:end]), end)
		_, _, _ = ReadIndex(bytes.NewReader(data), 0)
	})
}
