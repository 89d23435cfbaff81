package batch_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"k8s.io/klog/v2"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/batch"
)

var _ = ginkgo.Describe("heads of another writer", func() {
	ginkgo.It("are logged without long values", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		manager, _ := fixture.start(first)
		var log bytes.Buffer
		klog.LogToStderr(false)
		klog.SetOutput(&log)
		for _, value := range []string{`{"Items":` + strings.Repeat("9", 1<<20) + `}`, `{"Submitted":"` + strings.Repeat("x", 1<<20) + `"}`} {
			manager.HeadChanged(batch.Handover{Record: agatestage.Record{Key: "batch/head/odd", Value: []byte(value)}})
		}
		klog.Flush()
		klog.LogToStderr(true)
		gomega.Expect(log.String()).To(gomega.ContainSubstring("can't be decoded"))
		gomega.Expect(log.Len()).To(gomega.BeNumerically("<", 2<<10))
	})
	ginkgo.It("that are odd are no jobs, and change no other one", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		fixture.fakeRunner.hold = make(chan struct{})
		owner, _ := fixture.start(first)
		spec := fixture.spec("job", 2)
		gomega.Expect(owner.Submit(context.Background(), spec)).To(gomega.Succeed())
		gomega.Eventually(func() int { return fixture.fakeRunner.runCount("job-0") }, waitTimeout).Should(gomega.Equal(1))
		done := fmt.Sprintf(`"Owner":%q,"State":"Done"`, first.Name)
		for id, value := range map[string]string{
			"": `{}`, "empty": "", "null": "null", "bytes": "\xff\xfe", "nested": strings.Repeat("[", 1<<20), "nameless": `{"State":"Open"}`,
			"number": `{"ID":"number","Items":1e400}`, "year": `{"ID":"year","Submitted":"20000-01-01T00:00:00Z"}`,
			// The name of the running job, as if another gateway had taken it over.
			"copy": `{"ID":"job","State":"Open","Owner":"elsewhere","Epoch":9}`,
			"a/b":  `{"ID":"job","State":"Ended","Owner":"elsewhere","Epoch":9}`,
			// Counts that would be walked through when the job is removed.
			"chunks": `{"ID":"chunks","Items":1,"Results":0,"Chunks":1000000,` + done + `}`, "parts": `{"ID":"parts","Items":1,"Parts":1000000,` + done + `}`,
			"items": `{"ID":"items","Items":4611686018427387904,"Parts":4611686018427387904,` + done + `}`, "negative": `{"ID":"negative","Items":-1,` + done + `}`,
		} {
			_, err := fixture.store.Swap(context.Background(), "batch/head/"+id, 0, []byte(value), "")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		// A valid head, written last, shows that the others have been read.
		_, err := fixture.store.Swap(context.Background(), "batch/head/valid", 0, []byte(`{"ID":"valid",`+done+`}`), "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		known := func(id string) bool {
			_, known := owner.AnswerQuery(id, 0)
			return known
		}
		gomega.Eventually(func() bool { return known("valid") }, waitTimeout, 10*time.Millisecond).Should(gomega.BeTrue())
		for _, odd := range []string{"", "chunks", "parts", "items", "negative"} {
			gomega.Expect(known(odd)).To(gomega.BeFalse(), odd)
		}
		close(fixture.fakeRunner.hold)
		expectDone(owner, spec)
		for i := range spec.Items {
			gomega.Expect(fixture.fakeRunner.runCount(fmt.Sprint("job-", i))).To(gomega.Equal(1))
		}
	})
	ginkgo.It("that are open and have no input are not read again and again", func() {
		fixture := newFixture()
		fixture.fakeFleet.setAlive(first)
		_, err := fixture.store.Swap(context.Background(), "batch/head/odd", 0, []byte(`{"ID":"odd","Items":1,"Parts":1,"State":"Open"}`), "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		clock := clocktest.NewFakeClock(time.Unix(1000, 0))
		manager := batch.New(first, fixture.store, clock, fixture.fakeRunner, fixture.holder, fixture.fakeFleet, func(*agatestage.Call) uint64 { return 0 })
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(func() {
			cancel()
			manager.Close()
		})
		go func() { _ = manager.Serve(ctx) }()
		// The list of the heads and the first read of the input.
		step := func() int64 {
			clock.Step(300 * time.Millisecond)
			return fixture.store.Counts().Reads
		}
		gomega.Eventually(step, waitTimeout).Should(gomega.BeNumerically(">=", 2))
		for range 20 {
			step()
			time.Sleep(10 * time.Millisecond)
		}
		gomega.Expect(fixture.store.Counts().Reads).To(gomega.BeNumerically("<=", 2))
		gomega.Eventually(step, waitTimeout).Should(gomega.BeNumerically(">=", 4))
	})
})
