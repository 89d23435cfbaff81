package ledger

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/frame"
)

func TestLedger(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ledger")
}

var segment = agatestage.Segment{Job: "job1", Name: "result-1-0"}

func frames(items ...int) []byte {
	ginkgo.GinkgoHelper()
	var block agatestage.Block
	for _, item := range items {
		block.Lines = append(block.Lines, agatestage.Line{Item: item, Body: []byte("{}")})
	}
	data, err := frame.Append(nil, block)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return data
}

func open(folder string, limit int64) *Ledger {
	ginkgo.GinkgoHelper()
	opened, err := New(folder, limit)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return opened
}

var _ = ginkgo.Describe("a ledger", func() {
	ctx := context.Background()
	var folder string
	var ledger *Ledger
	ginkgo.BeforeEach(func() {
		folder = ginkgo.GinkgoT().TempDir()
		ledger = open(folder, 1<<30)
	})
	add := func(epoch uint64, offset int64, data []byte) (int64, error) {
		return ledger.Append(ctx, segment, epoch, offset, data)
	}

	ginkgo.It("preserves acknowledged frames over a restart and truncates a torn one", func() {
		acknowledged := frames(1, 2)
		end, err := add(1, 0, acknowledged)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		path := filepath.Join(folder, jobsFolder, segment.Job, segment.Name+suffix)
		file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = file.Write(frames(3)[:9])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(file.Close()).To(gomega.Succeed())
		ledger = open(folder, 1<<30)
		lengths, err := ledger.Fence(ctx, segment.Job, 1)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(lengths).To(gomega.Equal([]agatestage.Length{{Segment: segment, Bytes: end}}))
		data, err := ledger.Read(ctx, segment, 0, 1<<20)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(bytes.Equal(data, acknowledged)).To(gomega.BeTrue())
		_, err = add(1, end, frames(3))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	ginkgo.It("refuses epochs below the fence, also after a restart", func() {
		_, err := ledger.Fence(ctx, segment.Job, 5)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ledger = open(folder, 1<<30)
		_, err = add(4, 0, frames(1))
		gomega.Expect(err).To(gomega.MatchError(agatestage.ErrFenced))
		_, err = ledger.Fence(ctx, segment.Job, 4)
		gomega.Expect(err).To(gomega.MatchError(agatestage.ErrFenced))
		_, err = add(5, 0, frames(1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	ginkgo.It("refuses appends at an offset other than the end, and incomplete frames", func() {
		end, err := add(1, 0, frames(1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = add(1, 0, frames(2))
		gomega.Expect(err).To(gomega.MatchError(agatestage.ErrOffset))
		_, err = add(1, end, frames(2)[1:])
		gomega.Expect(err).To(gomega.MatchError(frame.ErrTorn))
	})

	ginkgo.It("refuses appends at its size limit and still reads", func() {
		ledger = open(folder, 10)
		_, err := add(1, 0, frames(1, 2, 3))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = ledger.Append(ctx, agatestage.Segment{Job: "job2", Name: "input-0"}, 0, 0, frames(1))
		gomega.Expect(err).To(gomega.MatchError(agatestage.ErrFull))
		summaries, err := ledger.Scan(ctx, segment, 0, 10)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(summaries).To(gomega.HaveLen(1))
		gomega.Expect(ledger.Remove(ctx, segment.Job)).To(gomega.Succeed())
		_, err = ledger.Append(ctx, agatestage.Segment{Job: "job2", Name: "input-0"}, 0, 0, frames(1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	ginkgo.It("refuses names that would escape its folder", func() {
		_, err := ledger.Append(ctx, agatestage.Segment{Job: "../x", Name: "input-0"}, 0, 0, nil)
		gomega.Expect(err).To(gomega.HaveOccurred())
		_, err = ledger.Append(ctx, agatestage.Segment{Job: "job1", Name: "a/b"}, 0, 0, nil)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
