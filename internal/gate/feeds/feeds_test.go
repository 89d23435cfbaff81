package feeds_test

import (
	"context"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

func TestFeeds(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "feeds")
}

const (
	prefix = "targets/"
	// grace is longer than entries that lapsed may take to come back.
	grace = 3 * time.Second
)

// play is a list of targets on a clock of its own.
type play struct {
	*feeds.Targets
	clock   *clocktest.FakeClock
	contact *feeds.Contact
	mutex   sync.Mutex
	listed  []string
}

func newPlay() *play {
	play := &play{clock: clocktest.NewFakeClock(time.Unix(1000, 0))}
	play.contact = feeds.NewContact(play.clock)
	play.Targets = feeds.NewTargets(store.New(play.clock), play.clock, prefix, decode, play.contact, play.apply)
	play.contact.Heard()
	return play
}

// decode reads an entry: "ready", "draining", or what names no target.
func decode(record agatestage.Record) (agatestage.Endpoint, error) {
	state := string(record.Value)
	if state != "ready" && state != "draining" {
		return agatestage.Endpoint{}, errors.New("not a target")
	}
	return agatestage.Endpoint{ID: record.Key[len(prefix):], Draining: state == "draining"}, nil
}

func (play *play) apply(endpoints []agatestage.Endpoint) {
	play.mutex.Lock()
	defer play.mutex.Unlock()
	play.listed = nil
	for _, endpoint := range endpoints {
		name := endpoint.ID
		if endpoint.Draining {
			name += " draining"
		}
		play.listed = append(play.listed, name)
	}
	sort.Strings(play.listed)
}

func entry(name, state string, version uint64) agatestage.Record {
	return agatestage.Record{Key: prefix + name, Value: []byte(state), Version: version}
}

func removed(name string, version uint64) agatestage.Record {
	return agatestage.Record{Key: prefix + name, Version: version, Deleted: true}
}

// expect checks the list.
func (play *play) expect(names ...string) {
	ginkgo.GinkgoHelper()
	play.mutex.Lock()
	defer play.mutex.Unlock()
	gomega.Expect(play.listed).To(gomega.Equal(names))
}

var _ = ginkgo.Describe("the list of targets", func() {
	ginkgo.It("follows entries, and those of other writers name none", func() {
		play := newPlay()
		play.Offer([]agatestage.Record{entry("a", "ready", 1), entry("b", "?", 2)}, true)
		play.expect("a")
		play.Offer([]agatestage.Record{entry("a", "draining", 3)}, false)
		play.expect("a draining")
		play.Offer([]agatestage.Record{removed("a", 4)}, false)
		gomega.Expect(play.listed).To(gomega.BeEmpty())
	})
	ginkgo.It("never takes an older entry", func() {
		play := newPlay()
		play.Offer([]agatestage.Record{entry("a", "draining", 5)}, true)
		play.Offer([]agatestage.Record{entry("a", "ready", 4)}, false)
		play.expect("a draining")
	})
	ginkgo.It("keeps what lapsed while the store was away until it must be back", func() {
		play := newPlay()
		play.Offer([]agatestage.Record{entry("a", "ready", 1), entry("b", "ready", 2)}, true)
		play.contact.Failed(errors.New("out"))
		play.clock.Step(time.Minute)
		play.contact.Heard()
		play.Offer(nil, true)
		play.expect("a", "b")
		play.Offer([]agatestage.Record{entry("a", "ready", 7)}, false)
		play.clock.Step(grace)
		play.Sweep()
		play.expect("a")
	})
	ginkgo.It("drops at once what goes while the store is there, and what was leaving", func() {
		play := newPlay()
		play.Offer([]agatestage.Record{entry("a", "ready", 1), entry("b", "draining", 2)}, true)
		play.Offer([]agatestage.Record{entry("b", "draining", 2)}, true)
		play.expect("b draining")
		play.contact.Failed(errors.New("out"))
		play.contact.Heard()
		play.Offer(nil, true)
		gomega.Expect(play.listed).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("contact with the store", func() {
	ginkgo.It("is lost with the first failure and regained with the first answer", func() {
		clock := clocktest.NewFakeClock(time.Unix(1000, 0))
		contact := feeds.NewContact(clock)
		gomega.Expect(contact.Age()).To(gomega.BeNumerically(">", time.Hour))
		contact.Heard()
		contact.Failed(errors.New("out"))
		clock.Step(time.Second)
		contact.Failed(errors.New("out"))
		gomega.Expect([]time.Duration{contact.StoreOutage(), contact.Age()}).To(gomega.Equal([]time.Duration{time.Second, time.Second}))
		contact.Heard()
		gomega.Expect([]time.Duration{contact.StoreOutage(), contact.Age()}).To(gomega.Equal([]time.Duration{0, 0}))
	})
})

var _ = ginkgo.Describe("a store that is lost", func() {
	// tried plays five seconds of a lost store and returns when it is called.
	tried := func(lot float64) (tries []time.Duration, contact *feeds.Contact) {
		clock := clocktest.NewFakeClock(time.Unix(1000, 0))
		contact = feeds.NewContact(clock, feeds.WithLot(func() float64 { return lot }))
		contact.Heard()
		gomega.Expect(contact.MayTry()).To(gomega.BeTrue())
		contact.Failed(errors.New("out"))
		for length := time.Duration(0); length < 5*time.Second; length += 50 * time.Millisecond {
			for range 4 {
				if contact.MayTry() {
					tries = append(tries, length)
					contact.Failed(errors.New("out"))
				}
			}
			clock.Step(50 * time.Millisecond)
		}
		return tries, contact
	}
	ginkgo.It("is tried by one call in a while, and by all once it is regained", func() {
		tries, contact := tried(0)
		gomega.Expect(tries[0]).To(gomega.Equal(200 * time.Millisecond))
		gomega.Expect(len(tries)).To(gomega.BeNumerically("<=", 8))
		gomega.Expect(tries[len(tries)-1]).To(gomega.BeNumerically(">", 4*time.Second))
		contact.Heard()
		gomega.Expect([]bool{contact.MayTry(), contact.MayTry()}).To(gomega.Equal([]bool{true, true}))
	})
	ginkgo.It("is tried at other moments by other gateways", func() {
		first, _ := tried(0.1)
		second, _ := tried(0.9)
		gomega.Expect(second[1:4]).NotTo(gomega.Equal(first[1:4]))
	})
	ginkgo.It("is tried at once when it answers another gateway again", func() {
		_, contact := tried(0)
		gomega.Expect(contact.MayTry()).To(gomega.BeFalse())
		contact.Hint()
		gomega.Expect([]bool{contact.MayTry(), contact.MayTry()}).To(gomega.Equal([]bool{true, false}))
	})
})

var _ = ginkgo.Describe("contact with the store of a machine that was suspended", func() {
	ginkgo.It("is lost until the store is heard again, though no call has failed", func() {
		clock := clocktest.NewFakeClock(time.Unix(1000, 0))
		contact := feeds.NewContact(clock)
		gomega.Expect(contact.StoreOutage()).To(gomega.BeZero())
		contact.Heard()
		clock.Step(4 * time.Second)
		gomega.Expect(contact.StoreOutage()).To(gomega.BeZero())
		clock.Step(time.Minute)
		gomega.Expect(contact.StoreOutage()).To(gomega.BeNumerically(">", 30*time.Second))
		contact.Heard()
		gomega.Expect(contact.StoreOutage()).To(gomega.BeZero())
	})
})

var _ = ginkgo.Describe("the configuration", func() {
	ginkgo.It("comes from the store or another gateway, never back, and never unreadable", func() {
		clock := agatestage.SystemClock()
		stand := store.New(clock)
		holder := rules.NewHolder()
		config := feeds.NewConfig(stand, clock, "config", func(data []byte) (*rules.Snapshot, error) {
			if data[0] < '0' || data[0] > '9' {
				return nil, errors.New("not a version")
			}
			return rules.New(rules.Content{Version: uint64(data[0] - '0')}), nil
		}, holder, feeds.NewContact(clock))
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go func() { _ = config.Serve(ctx) }()
		version, err := stand.Swap(ctx, "config", 0, []byte("3"), "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(holder.Version, time.Minute).Should(gomega.Equal(uint64(3)))
		config.Offer([]byte("5"), "gateway")
		config.Offer([]byte("4"), "gateway")
		config.Offer([]byte("x"), "gateway")
		gomega.Expect(holder.Version()).To(gomega.Equal(uint64(5)))
		gomega.Expect(string(config.Raw())).To(gomega.Equal("5"))
		_, err = stand.Swap(ctx, "config", version, []byte("6"), "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(holder.Version, time.Minute).Should(gomega.Equal(uint64(6)))
	})
})
