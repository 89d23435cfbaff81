package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// largeJob is the input of a job of a megabyte.
var largeJob = []Item{{ID: "item", Body: make([]byte, 1<<20)}}

// Guards against gateways that keep the inputs of jobs until they are over the memory of their hosts.
func TestCachedJobsAreBoundedByBytesAndTheLastUsedStay(t *testing.T) {
	expect, cache := gomega.NewWithT(t), newSnapshotCache()
	cache.setItems("used", largeJob)
	for i := range 1000 {
		cache.setItems(fmt.Sprint("job-", i), largeJob)
		cache.confirm(fmt.Sprint("job-", i), []Result{{ID: "item", Output: make([]byte, 1000)}}, 1, time.Unix(1000, 0))
		expect.Expect(cache.get("used").items).To(gomega.HaveLen(1))
		expect.Expect(cache.bytes).To(gomega.BeNumerically("<=", maxSnapshotBytes))
	}
	expect.Expect(len(cache.jobs)).To(gomega.BeNumerically(">", 20))
	expect.Expect(cache.order.Len()).To(gomega.Equal(len(cache.jobs)))
	expect.Expect(cache.get("job-0").items).To(gomega.BeEmpty())
	expect.Expect(cache.get("job-999").results).To(gomega.HaveLen(1))
}

func TestCachedJobsAreBoundedByNumber(t *testing.T) {
	expect, cache := gomega.NewWithT(t), newSnapshotCache()
	for i := range 2 * maxSnapshots {
		cache.setItems(fmt.Sprint("job-", i), nil)
	}
	expect.Expect(cache.jobs).To(gomega.HaveLen(maxSnapshots))
}

func TestJobThatIsLargerThanAllIsNotCached(t *testing.T) {
	expect, cache := gomega.NewWithT(t), newSnapshotCache()
	cache.setItems("huge", []Item{{Body: make([]byte, maxSnapshotBytes)}})
	expect.Expect(cache.get("huge").items).To(gomega.BeEmpty())
	expect.Expect(cache.bytes).To(gomega.BeZero())
}

func TestCachedResultsAreNotReplacedByFewer(t *testing.T) {
	expect, cache := gomega.NewWithT(t), newSnapshotCache()
	cache.confirm("job", []Result{{ID: "a"}, {ID: "b"}}, 2, time.Unix(1000, 0))
	cache.confirm("job", []Result{{ID: "a"}}, 1, time.Unix(2000, 0))
	expect.Expect(cache.get("job").results).To(gomega.HaveLen(2))
	expect.Expect(cache.get("job").confirmedAt).To(gomega.Equal(time.Unix(1000, 0)))
}
