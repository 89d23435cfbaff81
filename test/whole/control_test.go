package whole

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/fake/fault"
	"github.com/agatestage/agatestage/internal/fake/store"
)

// withdrawalBound is the guaranteed time within which every entry refuses a
// withdrawn key.
const withdrawalBound = 5 * time.Second

// withdrawKey makes a plan that withdraws a key and confirms it.
func (rig *rig) withdrawKey(entry, id string) admin.Confirmed {
	plan, err := rig.admin(entry).WithdrawKey(rig.ctx, id)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	confirmed, err := rig.admin(entry).Confirm(rig.ctx, plan.Digest)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return confirmed
}

// refusal returns a function that requests a completion with the rig's caller key
// and returns the body of the refusal or the text of the error, or "" if the
// request was answered.
func (rig *rig) refusal(entry string) func() string {
	return func() string {
		status, body := rig.call(entry, http.MethodPost, "/v1/completions", `{"model":"wording","prompt":"x","max_tokens":1}`)
		if status == http.StatusOK {
			return ""
		}
		return body
	}
}

var _ = ginkgo.Describe("the withdrawal of a key", func() {
	ginkgo.It("takes effect at every entry, also at one that cannot reach the store", func() {
		rig := newRig()
		relay := rig.tcpRelay(netip.MustParseAddrPort(strings.TrimPrefix(rig.store, "http://")))
		rig.side("side-a", "east-1", nil, engineTarget("engine-a", rig.engine("engine-a")))
		rig.entry("entry-a", "east-1", nil)
		rig.entry("entry-b", "east-2", func(settings *setup.Settings) {
			settings.Platform.Store = "http://" + relay.Address().String()
		})
		rig.applyIntent("entry-a", baseIntent("engine-a"))
		created := rig.createKey("entry-a", "lothian")
		rig.key = created.Key
		rig.waitReady("entry-a")
		rig.waitReady("entry-b")
		relay.Set(fault.Faults{Cut: true})
		rig.withdrawKey("entry-a", created.ID)
		for _, entry := range []string{"entry-a", "entry-b"} {
			gomega.Eventually(rig.refusal(entry), withdrawalBound, pollInterval).Should(gomega.Or(
				gomega.ContainSubstring(string(agatestage.CodeWithdrawn)), gomega.ContainSubstring(string(agatestage.CodeNotFresh))))
		}
		gomega.Consistently(rig.refusal("entry-b"), time.Second, pollInterval).ShouldNot(gomega.BeEmpty())
	})

	ginkgo.It("is ensured at an entry that reaches neither the store nor its peers, which refuses all keys", func() {
		rig := newRig()
		relay := rig.tcpRelay(netip.MustParseAddrPort(strings.TrimPrefix(rig.store, "http://")))
		rig.side("side-a", "east-1", nil, engineTarget("engine-a", rig.engine("engine-a")))
		rig.entry("entry-a", "east-1", nil)
		rig.entry("entry-b", "east-2", func(settings *setup.Settings) {
			settings.Platform.Store = "http://" + relay.Address().String()
			settings.Platform.Hosts = "http://" + rig.tcpRelay(netip.MustParseAddrPort(strings.TrimPrefix(rig.hosts, "http://"))).Address().String()
		})
		rig.applyIntent("entry-a", baseIntent("engine-a"))
		rig.key = rig.createKey("entry-a", "lothian").Key
		rig.waitReady("entry-b")
		relay.Set(fault.Faults{Cut: true})
		rig.processes["entry-a"].kill()
		gomega.Eventually(rig.refusal("entry-b"), eventTimeout, pollInterval).Should(gomega.ContainSubstring(string(agatestage.CodeNotFresh)))
		relay.Set(fault.Faults{})
		gomega.Eventually(rig.refusal("entry-b"), eventTimeout, pollInterval).Should(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("the configuration", func() {
	ginkgo.It("never returns to an older revision, even if an entry restarts during a store outage", func() {
		rig := newRig()
		rig.startFleet("engine-a")
		before := rig.applyIntent("entry-a", model.Intent{Organisations: []model.Organisation{{Name: "crock", Rate: 5, Burst: 5}}})
		gomega.Expect(before.Everywhere).To(gomega.BeTrue())
		rig.setStoreFaults(store.Faults{Outage: true})
		rig.restart("entry-b", "east-2")
		gomega.Eventually(func() uint64 {
			var status admin.Status
			_ = rig.admin("entry-b").Call(rig.ctx, http.MethodGet, "/status", nil, &status)
			return status.Revision
		}, eventTimeout, pollInterval).Should(gomega.Equal(before.Revision))
		// All entries report the store outage, so requests with a key are still
		// admitted.
		gomega.Eventually(rig.refusal("entry-a"), eventTimeout, pollInterval).Should(gomega.BeEmpty())
		gomega.Eventually(rig.refusal("entry-b"), eventTimeout, pollInterval).Should(gomega.BeEmpty())
		rig.setStoreFaults(store.Faults{})
		after := rig.applyIntent("entry-b", model.Intent{Organisations: []model.Organisation{{Name: "crock", Rate: 6, Burst: 5}}})
		gomega.Expect(after.Revision).To(gomega.Equal(before.Revision + 1))
	})

	ginkgo.It("accepts one of two concurrent plans, and names the changed object when it refuses the other", func() {
		rig := newRig()
		rig.startFleet("engine-a")
		digests := make([]string, 2)
		for i := range digests {
			plan, err := rig.admin("entry-a").Plan(rig.ctx, model.Intent{Organisations: []model.Organisation{{Name: "crock", Rate: float64(i + 1), Burst: 5}}})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			digests[i] = plan.Digest
		}
		errs := make([]error, 2)
		var group sync.WaitGroup
		for i, entry := range []string{"entry-a", "entry-b"} {
			group.Go(func() { _, errs[i] = rig.admin(entry).Confirm(rig.ctx, digests[i]) })
		}
		group.Wait()
		lost := errs[0]
		if lost == nil {
			lost = errs[1]
		} else {
			gomega.Expect(errs[1]).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(lost).To(gomega.MatchError(gomega.And(gomega.ContainSubstring("StalePlan"), gomega.ContainSubstring(`Organisation "crock"`))))
	})

	ginkgo.It("is changed once by a plan that is confirmed twice, even if replies of the store are lost", func() {
		rig := newRig()
		rig.startFleet("engine-a")
		for lost := 1; lost <= 3; lost++ {
			plan, err := rig.admin("entry-a").Plan(rig.ctx, model.Intent{Organisations: []model.Organisation{{Name: "crock", Rate: float64(10 + lost), Burst: 5}}})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			rig.setStoreFaults(store.Faults{LoseReplies: lost})
			first, err := rig.admin("entry-a").Confirm(rig.ctx, plan.Digest)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			second, err := rig.admin("entry-b").Confirm(rig.ctx, plan.Digest)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(second.Revision).To(gomega.Equal(first.Revision))
			gomega.Expect(first.Revision).To(gomega.Equal(plan.Base + 1))
		}
	})
})

var _ = ginkgo.Describe("a rate", func() {
	ginkgo.It("limits the requests of all entries together, even if one of them is killed", func() {
		rig := newRig()
		rig.startFleet("engine-a", "engine-b")
		rig.entry("entry-c", "east-3", nil)
		const rate, burst = 20, 10
		rig.applyIntent("entry-a", model.Intent{Organisations: []model.Organisation{{Name: "crock", Rate: rate, Burst: burst}}})
		rig.key = rig.createKey("entry-a", "crock").Key
		rig.waitReady("entry-c")
		var mutex sync.Mutex
		admitted := 0
		stop := make(chan struct{})
		var callers sync.WaitGroup
		began := time.Now()
		for caller := range 12 {
			entry := []string{"entry-a", "entry-b", "entry-c"}[caller%3]
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if status, _ := rig.call(entry, http.MethodPost, "/v1/completions", `{"model":"wording","prompt":"x","max_tokens":1}`); status == http.StatusOK {
						mutex.Lock()
						admitted++
						mutex.Unlock()
					} else if !rig.processes[entry].running() {
						return
					}
				}
			})
		}
		admittedCount := func() int {
			mutex.Lock()
			defer mutex.Unlock()
			return admitted
		}
		gomega.Eventually(admittedCount, eventTimeout, pollInterval).Should(gomega.BeNumerically(">", 60))
		rig.processes["entry-b"].kill()
		gomega.Eventually(admittedCount, eventTimeout, pollInterval).Should(gomega.BeNumerically(">", 250))
		close(stop)
		callers.Wait()
		gomega.Expect(float64(admittedCount())).To(gomega.BeNumerically("<=", rate*time.Since(began).Seconds()+burst), fmt.Sprintf("over %v", time.Since(began)))
	})
})

// leavingBound is the guaranteed time within which entries learn that a target is
// leaving.
const leavingBound = 3 * time.Second

var _ = ginkgo.Describe("a leaving host", func() {
	ginkgo.It("gets no new requests once the entries have read that from the host list", func() {
		rig := newRig()
		rig.startFleet("engine-a", "engine-b")
		url := "http://" + rig.processes["engine-b"].waitOutput(`(127\.0\.0\.1:\d+)`)
		requestCount := func() int {
			var seen []string
			response, err := rig.http.Get(url + "/seen")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Body.Close()
			gomega.Expect(json.NewDecoder(response.Body).Decode(&seen)).To(gomega.Succeed())
			return len(seen)
		}
		complete := func(entry string) {
			status, body := rig.call(entry, http.MethodPost, "/v1/completions", `{"model":"wording","prompt":"x","max_tokens":1}`)
			gomega.Expect(status).To(gomega.Equal(http.StatusOK), body)
		}
		gomega.Eventually(func() int { complete("entry-b"); return requestCount() }, eventTimeout, pollInterval).Should(gomega.BeNumerically(">", 0))
		address := netip.MustParseAddrPort(rig.processes["side-engine-b"].waitOutput(`side serves" peer="([^"]+)"`))
		rig.setHost(agatestage.Host{Name: "side-engine-b", Role: agatestage.RoleSide, Region: "east", Zone: "east-2", Address: address, Leaving: true})
		leavingEverywhere := func() bool {
			for _, entry := range []string{"entry-a", "entry-b"} {
				var status admin.Status
				gomega.Expect(rig.admin(entry).Call(rig.ctx, http.MethodGet, "/status", nil, &status)).To(gomega.Succeed())
				for _, target := range status.Targets {
					if target.Target == "engine-b" && !target.Leaving {
						return false
					}
				}
			}
			return true
		}
		gomega.Eventually(leavingEverywhere, leavingBound, pollInterval).Should(gomega.BeTrue())
		before := requestCount()
		for range 20 {
			complete("entry-a")
			complete("entry-b")
		}
		gomega.Expect(requestCount()).To(gomega.Equal(before))
	})
})
