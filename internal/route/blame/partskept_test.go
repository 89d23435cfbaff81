package blame

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocks "k8s.io/utils/clock/testing"
)

func TestHarmfulPartStaysKnownAfterTheEndOfAllThatKnewIt(t *testing.T) {
	archives := newArchives(t)
	prompts := newPrompts(t, 1)
	list, archive := archives.start(0)
	prompts.lists[0] = list
	for range 4 {
		prompts.lose(prompts.call("first", "harmful"), prompts.call("first", "other"))
		list.clock.(*clocks.FakeClock).Step(commonWindow)
		prompts.complete(0, prompts.call("first"))
	}
	archives.save(archive)
	later, _ := archives.start(0)
	archives.Expect(later.Check(prompts.call("first", "harmful"))).NotTo(gomega.Succeed())
	archives.Expect(later.Check(prompts.call("first", "other"))).To(gomega.Succeed())
}

func TestHarmfulPartIsSentFewTimesThoughAllThatKnowItEndAfterEachLoss(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		t.Run(fmt.Sprint(attempts, " attempts"), func(t *testing.T) {
			archives := newArchives(t)
			prompts := newPrompts(t, 1)
			lost := 0
			for range 12 {
				list, archive := archives.start(0)
				prompts.lists[0] = list
				call := prompts.call("first", "harmful")
				prompts.complete(0, prompts.call("first"))
				for range attempts {
					if list.Admit(context.Background(), call) == nil {
						prompts.lose(call, prompts.call("first"))
						lost++
					}
				}
				list.clock.(*clocks.FakeClock).Step(checkDelay)
				archives.save(archive)
				archives.clock.Step(contactTime + checkDelay)
			}
			archives.Expect(lost).To(gomega.BeNumerically("<=", countedFrom))
		})
	}
}

func TestPartThatIsCompletedAfterOneLossIsNotKept(t *testing.T) {
	archives := newArchives(t)
	prompts := newPrompts(t, 1)
	list, archive := archives.start(0)
	prompts.lists[0] = list
	prompts.lose(prompts.call("rare"))
	archives.save(archive)
	prompts.complete(0, prompts.call("rare"))
	list.clock.(*clocks.FakeClock).Step(checkDelay)
	archives.save(archive)
	_, err := archives.store.Get(context.Background(), ArchiveKey)
	archives.Expect(err).To(gomega.HaveOccurred())
}

func TestPartsThatCallersMakeUpDoNotCrowdOutAHarmfulOneInTheStore(t *testing.T) {
	archives := newArchives(t)
	prompts := newPrompts(t, 1)
	list, archive := archives.start(0)
	prompts.lists[0] = list
	for range 3 {
		prompts.lose(prompts.call("harmful"))
		list.clock.(*clocks.FakeClock).Step(commonWindow)
	}
	for number := range 2 * maxArchived / maxStruckParts {
		var names []string
		for i := range maxStruckParts {
			names = append(names, fmt.Sprint("made-up-", number, "-", i))
		}
		prompts.lose(prompts.call(names...))
		list.clock.(*clocks.FakeClock).Step(checkDelay)
		archives.save(archive)
	}
	later, _ := archives.start(0)
	archives.Expect(later.Check(prompts.call("harmful"))).NotTo(gomega.Succeed())
}

func TestPartThatWasFreedStaysFreeAfterTheEndOfAllThatKnewIt(t *testing.T) {
	archives := newArchives(t)
	prompts := newPrompts(t, 1)
	list, archive := archives.start(0)
	prompts.lists[0] = list
	prompts.lose(prompts.call("rare"))
	prompts.lose(prompts.call("rare"))
	archives.save(archive)
	list.clock.(*clocks.FakeClock).Step(time.Second)
	prompts.complete(0, prompts.call("rare"))
	archives.save(archive)
	later, _ := archives.start(time.Second)
	archives.Expect(later.Check(prompts.call("rare"))).To(gomega.Succeed())
}
