package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/logs"
)

func TestLogs(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "logs")
}

// target is a log file that may be stuck.
type target struct {
	mutex sync.Mutex
	text  bytes.Buffer
	stuck chan struct{}
}

func (target *target) Write(data []byte) (int, error) {
	if target.stuck != nil {
		<-target.stuck
	}
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.text.Write(data)
}

// flood is more lines than the queue and the rate have room for.
const flood = 20_000

// write writes lines, none of which may block or fail.
func write(writer *logs.Writer, count int) {
	ginkgo.GinkgoHelper()
	for range count {
		_, err := writer.Write([]byte("a line\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

var _ = ginkgo.Describe("log lines", func() {
	ginkgo.It("are written in order", func() {
		target := &target{}
		writer := logs.New(target, agatestage.SystemClock())
		_, _ = writer.Write([]byte("one\n"))
		_, _ = writer.Write([]byte("two\n"))
		writer.Close()
		gomega.Expect(target.text.String()).To(gomega.Equal("one\ntwo\n"))
	})
	ginkgo.It("beyond the rate are dropped and counted", func() {
		target := &target{}
		writer := logs.New(target, agatestage.SystemClock())
		write(writer, flood)
		writer.Close()
		gomega.Expect(strings.Count(target.text.String(), "a line")).To(gomega.BeNumerically("<", flood/2))
	})
	ginkgo.It("never hold the process up while the target is stuck", func() {
		target := &target{stuck: make(chan struct{})}
		writer := logs.New(target, agatestage.SystemClock())
		write(writer, flood)
		close(target.stuck)
		writer.Close()
	})
})
