package blame

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocks "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
)

// archives plays processes that share a store and hear nothing of each other.
type archives struct {
	*gomega.WithT
	clock *clocks.FakeClock
	store *store.Store
}

func newArchives(t *testing.T) *archives {
	clock := clocks.NewFakeClock(time.Unix(1_800_000_000, 0))
	return &archives{WithT: gomega.NewWithT(t), clock: clock, store: store.New(clock)}
}

// start starts a process whose clock is ahead of the others'.
func (archives *archives) start(ahead time.Duration, options ...ArchiveOption) (*List, *Archive) {
	list := New(clocks.NewFakeClock(archives.clock.Now().Add(ahead)))
	archive := NewArchive(archives.store, list.clock, list, options...)
	archives.Expect(archive.load(context.Background())).To(gomega.Succeed())
	archives.Expect(archive.Loaded()).To(gomega.BeTrue())
	return list, archive
}

func (archives *archives) save(archive *Archive) {
	archives.Expect(archive.save(context.Background())).To(gomega.Succeed())
}

// loseTwo has two targets go down under a request, on two occasions.
func loseTwo(list *List, fingerprint uint64) {
	for _, name := range []string{"first", "second"} {
		list.Charge(&agatestage.Call{Fingerprint: fingerprint}, name+strconv.FormatUint(fingerprint, 10))
		list.clock.(*clocks.FakeClock).Step(commonWindow + time.Second)
	}
}

func (archives *archives) expectRefused(list *List, fingerprint uint64) {
	archives.Expect(list.Refuse(fingerprint)).NotTo(gomega.Succeed())
}

func (archives *archives) expectTrial(list *List, fingerprint uint64) {
	archives.Expect(list.Admit(context.Background(), &agatestage.Call{Fingerprint: fingerprint})).To(gomega.Succeed())
}

func TestHarmfulRequestStaysKnownAfterTheEndOfAllThatKnewIt(t *testing.T) {
	for _, ahead := range []time.Duration{0, 4 * time.Second, -9 * time.Second} {
		t.Run(fmt.Sprint("clock ahead by ", ahead), func(t *testing.T) {
			archives := newArchives(t)
			list, archive := archives.start(0)
			loseTwo(list, 1)
			archives.save(archive)
			later, _ := archives.start(ahead)
			archives.expectRefused(later, 1)
			later.clock.(*clocks.FakeClock).Step(barredTime + 20*time.Second)
			archives.expectTrial(later, 1)
			later.Charge(&agatestage.Call{Fingerprint: 1}, "third")
			archives.expectRefused(later, 1)
		})
	}
}

func TestFurtherLossOfATargetThatKeepsItsNameIsSaved(t *testing.T) {
	archives := newArchives(t)
	list, archive := archives.start(0)
	for _, target := range []string{"a", "b"} {
		list.Charge(&agatestage.Call{Fingerprint: 1}, target)
	}
	archives.save(archive)
	fewer, fewerArchive := archives.start(time.Second)
	list.clock.(*clocks.FakeClock).Step(firstPause)
	list.Charge(&agatestage.Call{Fingerprint: 1, Trial: true}, "a")
	archives.save(archive)
	// A process that missed the last loss has another to add.
	fewer.Charge(&agatestage.Call{Fingerprint: 1}, "c")
	archives.save(fewerArchive)
	later, _ := archives.start(firstPause + time.Second)
	lost, _ := later.Counts(1)
	archives.Expect(lost).To(gomega.Equal(4))
	archives.expectRefused(later, 1)
}

func TestSoundRequestThatWasLostWithARackStaysAdmittedAfterTheEndOfAllThatKnewIt(t *testing.T) {
	for _, othersFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("others lost first: ", othersFirst), func(t *testing.T) {
			archives := newArchives(t)
			list, archive := archives.start(0)
			loseOthers := func() {
				for _, other := range []string{"c", "d", "e"} {
					list.Add(Strike{Target: other})
				}
			}
			if othersFirst {
				loseOthers()
			}
			for _, own := range []string{"a", "b"} {
				list.Charge(&agatestage.Call{Fingerprint: 1}, own)
			}
			archives.save(archive)
			if !othersFirst {
				loseOthers()
				archives.save(archive)
			}
			later, _ := archives.start(time.Second)
			archives.expectTrial(later, 1)
		})
	}
}

func TestCompletionIsKeptWithTheLossesBeforeIt(t *testing.T) {
	archives := newArchives(t)
	list, archive := archives.start(0)
	for _, own := range []string{"a", "b"} {
		list.Charge(&agatestage.Call{Fingerprint: 1}, own)
	}
	archives.save(archive)
	list.clock.(*clocks.FakeClock).Step(firstPause)
	_, ok := list.Complete(&agatestage.Call{Fingerprint: 1})
	archives.Expect(ok).To(gomega.BeTrue())
	archives.save(archive)
	later, _ := archives.start(firstPause + time.Second)
	for range 2 {
		archives.expectTrial(later, 1)
	}
	before := archives.store.Counts().Writes
	list.clock.(*clocks.FakeClock).Step(time.Second)
	list.Complete(&agatestage.Call{Fingerprint: 1})
	archives.save(archive)
	archives.Expect(archives.store.Counts().Writes).To(gomega.Equal(before))
}

func TestProcessesAddToWhatOthersHaveSaved(t *testing.T) {
	archives := newArchives(t)
	first, firstArchive := archives.start(0)
	second, secondArchive := archives.start(3 * time.Second)
	loseTwo(first, 1)
	archives.save(firstArchive)
	loseTwo(second, 2)
	// Both know one loss of the same request by themselves and the other's by its report.
	first.Charge(&agatestage.Call{Fingerprint: 3}, "a")
	second.Charge(&agatestage.Call{Fingerprint: 3}, "b")
	first.Add(Strike{Fingerprint: 3, Target: "b"})
	second.Add(Strike{Fingerprint: 3, Target: "a"})
	archives.save(secondArchive)
	archives.save(firstArchive)
	later, _ := archives.start(6 * time.Second)
	for fingerprint := range uint64(3) {
		archives.expectRefused(later, fingerprint+1)
	}
	lost, _ := later.Counts(3)
	archives.Expect(lost).To(gomega.Equal(2))
}

func TestManyProcessesSaveAtATimeWithFewCalls(t *testing.T) {
	const processes, requests = 60, 4
	archives := newArchives(t)
	clock := agatestage.SystemClock()
	var saves sync.WaitGroup
	for number := range processes {
		list := New(clock)
		archive := NewArchive(archives.store, clock, list)
		for _, target := range []string{"a", "b"} {
			list.Charge(&agatestage.Call{Fingerprint: 1 + uint64(number%requests)}, target)
		}
		saves.Go(func() { archive.persist(context.Background(), "save", archive.save) })
	}
	saves.Wait()
	stored, _, err := NewArchive(archives.store, clock, New(clock)).read(context.Background())
	archives.Expect(err).NotTo(gomega.HaveOccurred())
	archives.Expect(stored).To(gomega.HaveLen(requests))
	counts := archives.store.Counts()
	// A write fails only if another one has succeeded, and each request needs one that does.
	archives.Expect(counts.Reads + counts.Writes).To(gomega.BeNumerically("<=", 2*(requests+1)*processes))
}

func TestOnlyTheOwnerSavesWhatItHasOnlyHeard(t *testing.T) {
	for _, owned := range []bool{true, false} {
		t.Run(fmt.Sprint("owner: ", owned), func(t *testing.T) {
			archives := newArchives(t)
			list, archive := archives.start(0, WithOwned(func(uint64) bool { return owned }))
			list.Add(Strike{Fingerprint: 1, Target: "a", Age: 3 * time.Second})
			list.Add(Strike{Fingerprint: 1, Target: "b"})
			archives.save(archive)
			later, _ := archives.start(0)
			archives.Expect(later.Refuse(1) != nil).To(gomega.Equal(owned))
		})
	}
}

func TestLossesDuringAnOutageOfTheStoreAreSavedAfterIt(t *testing.T) {
	archives := newArchives(t)
	list, _ := archives.start(0)
	retry := make(chan struct{})
	archive := NewArchive(archives.store, list.clock, list, WithRetryWait(func(ctx context.Context) {
		select {
		case <-retry:
		case <-ctx.Done():
		}
	}))
	archives.store.SetFaults(store.Faults{Outage: true})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- archive.Serve(ctx) }()
	loseTwo(list, 1)
	retry <- struct{}{}
	archives.store.SetFaults(store.Faults{})
	retry <- struct{}{}
	archives.Eventually(func() error {
		_, err := archives.store.Get(ctx, ArchiveKey)
		return err
	}, time.Minute).Should(gomega.Succeed())
	cancel()
	archives.Expect(<-ended).To(gomega.MatchError(context.Canceled))
	later, _ := archives.start(7 * time.Second)
	archives.expectRefused(later, 1)
}

func TestArchiveKeepsTheLatestRequestsAndNoneThatNoLongerCounts(t *testing.T) {
	archives := newArchives(t)
	list, archive := archives.start(0)
	loseTwo(list, 1)
	archives.save(archive)
	list.clock.(*clocks.FakeClock).Step(repeatedLife)
	for fingerprint := range uint64(2 * maxArchived) {
		loseTwo(list, 10+fingerprint)
	}
	archives.save(archive)
	stored, _, err := archive.read(context.Background())
	archives.Expect(err).NotTo(gomega.HaveOccurred())
	archives.Expect(stored).To(gomega.HaveLen(maxArchived))
	archives.Expect(stored).To(gomega.HaveKey(Name(9 + 2*maxArchived)))
	archives.Expect(stored).NotTo(gomega.HaveKey(Name(1)))
}

func TestRequestsWhoseTargetsHaveLongNamesAreSaved(t *testing.T) {
	archives := newArchives(t)
	list, archive := archives.start(0)
	for fingerprint := range uint64(maxArchived) {
		for number := range maxArchivedLosses {
			list.Charge(&agatestage.Call{Fingerprint: 1 + fingerprint}, fmt.Sprint(number, strings.Repeat("x", 1000)))
			list.clock.(*clocks.FakeClock).Step(time.Millisecond)
		}
	}
	archives.save(archive)
	stored, _, err := archive.read(context.Background())
	archives.Expect(err).NotTo(gomega.HaveOccurred())
	archives.Expect(stored).To(gomega.HaveKey(Name(maxArchived)))
}

func TestRecordOfAnotherWriterIsReplaced(t *testing.T) {
	for name, value := range map[string]string{
		"not JSON": "\xff", "another type": `[]`, "a request without losses": `{"1":{}}`, "a name that is none": `{"x":{"Losses":[{"Target":"a"}]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			archives := newArchives(t)
			_, err := archives.store.Swap(context.Background(), ArchiveKey, 0, []byte(value), "")
			archives.Expect(err).NotTo(gomega.HaveOccurred())
			list, archive := archives.start(0)
			loseTwo(list, 1)
			archives.save(archive)
			later, _ := archives.start(7 * time.Second)
			archives.expectRefused(later, 1)
		})
	}
}
