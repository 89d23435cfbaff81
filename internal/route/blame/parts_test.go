package blame

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	clocks "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
)

const (
	// maxLatePartSends is how many sends of a harmful part the users allow later than
	// contactTime after it has taken down countedFrom targets.
	maxLatePartSends, countedFrom = 3, 5
	// partStep is the time between two rounds of requests, partPlay how long they come.
	partStep, partPlay = 100 * time.Millisecond, 100 * time.Second
)

// prompts plays processes that tell each other of all strikes, and requests of prompts.
type prompts struct {
	*gomega.WithT
	clock    *clocks.FakeClock
	lists    []*List
	requests uint64
	targets  int
	// ended counts the targets that each harmful part has taken down, late its late sends, and
	// countedAt is when it had taken down countedFrom.
	ended, late map[string]int
	countedAt   map[string]time.Time
	refused     map[string]int
}

func newPrompts(t *testing.T, count int) *prompts {
	prompts := &prompts{
		WithT: gomega.NewWithT(t), clock: clocks.NewFakeClock(time.Unix(1_800_000_000, 0)),
		ended: make(map[string]int), late: make(map[string]int), countedAt: make(map[string]time.Time), refused: make(map[string]int),
	}
	for range count {
		prompts.lists = append(prompts.lists, prompts.newList())
	}
	return prompts
}

// newList starts a process that knows nothing. The first permits trials.
func (prompts *prompts) newList() *List {
	list := New(prompts.clock)
	list.SetPermit(func(_ context.Context, inquiry Inquiry) bool { return prompts.lists[0].PermitTrial(inquiry) })
	list.SetReport(func(strike Strike) { go prompts.tell(strike) })
	return list
}

func (prompts *prompts) tell(strike Strike) {
	for _, list := range prompts.lists {
		list.Add(strike)
	}
}

// call returns a request of its own with the parts.
func (prompts *prompts) call(names ...string) *agatestage.Call {
	prompts.requests++
	call := &agatestage.Call{ID: fmt.Sprint(prompts.requests), Fingerprint: prompts.requests}
	for _, name := range names {
		call.Parts = append(call.Parts, agatestage.NewPart(name))
	}
	return call
}

// admit asks a process to admit a request with the parts.
func (prompts *prompts) admit(list int, names ...string) (*agatestage.Call, bool) {
	call := prompts.call(names...)
	return call, prompts.lists[list%len(prompts.lists)].Admit(context.Background(), call) == nil
}

// complete has a target complete a call that a process has sent.
func (prompts *prompts) complete(list int, call *agatestage.Call) {
	if completion, ok := prompts.lists[list%len(prompts.lists)].Complete(call); ok {
		prompts.tell(completion)
	}
}

// lose has a target go down that runs calls of different processes.
func (prompts *prompts) lose(calls ...*agatestage.Call) {
	prompts.targets++
	for i, call := range calls {
		prompts.tell(prompts.lists[i%len(prompts.lists)].Charge(call, fmt.Sprint("target-", prompts.targets)))
	}
}

// sendHarmful sends a request with a harmful part at a process, which takes down its target
// beside sound calls. It is sent once more if it is admitted.
func (prompts *prompts) sendHarmful(list int, harmful string, beside []*agatestage.Call, names ...string) {
	call := prompts.call(names...)
	for range 2 {
		if prompts.lists[list%len(prompts.lists)].Admit(context.Background(), call) != nil {
			prompts.refused[harmful]++
			return
		}
		if at, ok := prompts.countedAt[harmful]; ok && prompts.clock.Since(at) > contactTime {
			prompts.late[harmful]++
		}
		prompts.lose(append([]*agatestage.Call{call}, beside...)...)
		if prompts.ended[harmful]++; prompts.ended[harmful] == countedFrom {
			prompts.countedAt[harmful] = prompts.clock.Now()
		}
		prompts.clock.Step(time.Millisecond)
	}
}

func (prompts *prompts) expectFewSends() {
	for name, late := range prompts.late {
		prompts.Expect(late).To(gomega.BeNumerically("<=", maxLatePartSends), "late sends of %s; ended %v", name, prompts.ended)
	}
}

func TestHarmfulPartIsSentThreeTimesAtMostAfterTheFifthLoss(t *testing.T) {
	for _, lists := range []int{1, 4, 30} {
		for _, others := range []int{0, 1, 3} {
			for harmful := 1; harmful <= 2; harmful++ {
				for _, rounds := range []int{1, 8, 40} {
					t.Run(fmt.Sprintf("%d gateways, beside %d losses, %d parts, each %d rounds", lists, others, harmful, rounds), func(t *testing.T) {
						playHarmfulParts(newPrompts(t, lists), others, harmful, rounds)
					})
				}
			}
		}
	}
}

// playHarmfulParts sends requests with harmful parts every few rounds, sound ones in each, and
// has other targets go down each 3 s.
func playHarmfulParts(prompts *prompts, others, harmful, rounds int) {
	sound, served := 0, 0
	for round := range int(partPlay / partStep) {
		rare := fmt.Sprint("rare-", round%60)
		var running []*agatestage.Call
		for i := range 4 {
			sound++
			if call, ok := prompts.admit(round+i, "first", rare); ok {
				served++
				running = append(running, call)
			}
		}
		half := len(running) / 2
		for number := range harmful {
			if round > 20 && round%rounds == 0 {
				name := fmt.Sprint("harmful-", number)
				prompts.sendHarmful(round+number, name, running[:half], "first", name, rare)
			}
		}
		if others > 0 && round%30 == 0 {
			for range others {
				prompts.lose(running[:half]...)
			}
		}
		prompts.clock.Step(partStep)
		for i, call := range running[half:] {
			prompts.complete(round+i, call)
		}
	}
	prompts.expectFewSends()
	for number := range harmful {
		prompts.Expect(prompts.refused[fmt.Sprint("harmful-", number)]).To(gomega.BeNumerically(">", 0))
	}
	prompts.Expect(float64(served)).To(gomega.BeNumerically(">=", 0.9*float64(sound)), "sound requests admitted")
}

func TestPartsAndRequestsBesideAHarmfulPartAreNotBlamed(t *testing.T) {
	prompts := newPrompts(t, 4)
	repeated := prompts.call("first", "rare")
	for range 6 {
		prompts.lose(prompts.call("first", "harmful"), repeated, prompts.call("first", "other"))
		prompts.clock.Step(3 * time.Second)
	}
	_, ok := prompts.admit(0, "first", "harmful")
	prompts.Expect(ok).To(gomega.BeFalse())
	for list := range prompts.lists {
		prompts.Expect(prompts.lists[list].Admit(context.Background(), repeated)).To(gomega.Succeed())
		for _, part := range []string{"rare", "other"} {
			_, ok = prompts.admit(list, "first", part)
			prompts.Expect(ok).To(gomega.BeTrue(), part)
		}
	}
}

func TestFirstPartMayBeTheHarmfulOne(t *testing.T) {
	prompts := newPrompts(t, 4)
	for i := range 3 {
		prompts.lose(prompts.call("harmful", fmt.Sprint("document-", i)))
	}
	_, ok := prompts.admit(0, "harmful", "document-0")
	prompts.Expect(ok).To(gomega.BeFalse())
	_, ok = prompts.admit(0, "sound", "document-0")
	prompts.Expect(ok).To(gomega.BeTrue())
}

func TestPartThatOthersCompleteIsNotBarred(t *testing.T) {
	prompts := newPrompts(t, 3)
	// Only the last process has seen the part completed.
	completed, _ := prompts.admit(2, "rare")
	prompts.complete(2, completed)
	prompts.clock.Step(time.Second)
	for range 4 {
		prompts.lose(prompts.call("rare"), prompts.call("rare"))
	}
	for list := range prompts.lists {
		prompts.Eventually(func() bool {
			_, ok := prompts.admit(list, "rare")
			return ok
		}).Should(gomega.BeTrue())
	}
}

func TestPartThatIsCompletedAfterALossIsFree(t *testing.T) {
	prompts := newPrompts(t, 3)
	running, _ := prompts.admit(1, "rare")
	for range 3 {
		prompts.lose(prompts.call("rare"), prompts.call("rare"))
	}
	_, ok := prompts.admit(0, "rare")
	prompts.Expect(ok).To(gomega.BeFalse())
	prompts.complete(1, running)
	for list := range prompts.lists {
		_, ok = prompts.admit(list, "rare")
		prompts.Expect(ok).To(gomega.BeTrue())
	}
}

func TestPartsOfOneRequestAreNotBlamedForIt(t *testing.T) {
	prompts := newPrompts(t, 3)
	harmful := prompts.call("first", "document")
	for range 4 {
		prompts.lose(harmful, prompts.call("first"))
		prompts.clock.Step(3 * time.Second)
	}
	prompts.Expect(prompts.lists[0].Refuse(harmful.Fingerprint)).NotTo(gomega.Succeed())
	_, ok := prompts.admit(0, "first", "document")
	prompts.Expect(ok).To(gomega.BeTrue())
}

func TestItemsBlamePartsAndWaitForThem(t *testing.T) {
	prompts := newPrompts(t, 3)
	item := func() *agatestage.Call {
		call := prompts.call("harmful")
		call.Batch = true
		return call
	}
	owed := item()
	for range 3 {
		prompts.lose(owed)
	}
	prompts.Expect(prompts.lists[0].Admit(context.Background(), owed)).To(gomega.Succeed(), "an item alone is owed whatever it met")
	prompts.lose(item())
	prompts.Expect(prompts.lists[1].Admit(context.Background(), owed)).NotTo(gomega.Succeed())
	_, ok := prompts.admit(0, "harmful")
	prompts.Expect(ok).To(gomega.BeFalse())
	prompts.clock.Step(firstPause)
	prompts.Expect(prompts.lists[1].Admit(context.Background(), owed)).To(gomega.Succeed())
	prompts.Expect(owed.Trial).To(gomega.BeTrue())
	prompts.complete(1, owed)
	_, ok = prompts.admit(0, "harmful")
	prompts.Expect(ok).To(gomega.BeTrue())
}

func TestItemWithAHarmfulPartIsSentFewTimesAndStaysOwed(t *testing.T) {
	prompts := newPrompts(t, 3)
	item := prompts.call("first", "harmful")
	item.Batch = true
	lost, owed := 0, false
	for range int(partPlay / time.Second) {
		prompts.complete(0, prompts.call("first"))
		if owed = prompts.lists[lost%3].Admit(context.Background(), item) != nil; !owed {
			prompts.lose(item, prompts.call("first"))
			lost++
		}
		prompts.clock.Step(time.Second)
	}
	prompts.Expect(lost).To(gomega.BeNumerically("<=", countedFrom))
	prompts.Expect(owed).To(gomega.BeTrue())
	prompts.clock.Step(barredTime)
	prompts.Expect(prompts.lists[1].Admit(context.Background(), item)).To(gomega.Succeed())
}

func TestItemWithASoundPartThatIsUnluckyIsRunWithoutAPause(t *testing.T) {
	prompts := newPrompts(t, 3)
	item := prompts.call("shared")
	item.Batch = true
	for i := range 10 {
		prompts.Expect(prompts.lists[i%3].Admit(context.Background(), item)).To(gomega.Succeed())
		prompts.lose(item)
		prompts.complete(i, prompts.call("shared"))
		prompts.clock.Step(2 * time.Second)
	}
}

func TestSoundPartOfLongRunsIsFreeSoonAfterManyCrashes(t *testing.T) {
	// Items run for 6 s. Three bursts of crashes, 6 s apart, end all of them; a target that
	// has written for SurvivalTime shows their part to be sound.
	const period, bursts = 6 * time.Second, 3
	prompts := newPrompts(t, 4)
	for range bursts {
		var running []*agatestage.Call
		for i := range 8 {
			call := prompts.call("shared")
			if call.Batch = true; prompts.lists[i%4].Admit(context.Background(), call) == nil {
				running = append(running, call)
			}
		}
		prompts.clock.Step(SurvivalTime)
		for i, call := range running[:min(2, len(running))] {
			if survival, ok := prompts.lists[i%4].Survive(call); ok {
				prompts.tell(survival)
			}
		}
		prompts.clock.Step(period - SurvivalTime)
		for i := range 5 {
			prompts.lose(running[i%max(1, len(running)):]...)
			prompts.lose(prompts.call(fmt.Sprint("other-", i)))
			prompts.clock.Step(400 * time.Millisecond)
		}
	}
	call := prompts.call("shared")
	call.Batch = true
	prompts.Expect(prompts.lists[0].Admit(context.Background(), call)).To(gomega.Succeed())
}

func TestPartThatOthersExplainEachTimeIsOnTrialAfterAShortPause(t *testing.T) {
	prompts := newPrompts(t, 2)
	for range 4 {
		prompts.lose(prompts.call("rare"))
		prompts.lose(prompts.call("rare"))
		for i := range 3 {
			prompts.lose(prompts.call(fmt.Sprint("other-", i)))
		}
		prompts.clock.Step(commonWindow + time.Second)
	}
	prompts.clock.Step(firstPause)
	call, ok := prompts.admit(1, "rare")
	prompts.Expect(ok).To(gomega.BeTrue())
	survival, ok := prompts.lists[1].Survive(call)
	prompts.Expect(ok).To(gomega.BeTrue())
	prompts.tell(survival)
	_, ok = prompts.admit(0, "rare")
	prompts.Expect(ok).To(gomega.BeTrue())
}

func TestProcessThatStartsLaterIsToldOfHarmfulParts(t *testing.T) {
	prompts := newPrompts(t, 3)
	for range 4 {
		prompts.lose(prompts.call("harmful"), prompts.call("other"))
	}
	later := prompts.newList()
	known := prompts.lists[1].Known()
	prompts.Expect(len(known)).To(gomega.BeNumerically("<=", maxKnown))
	for _, strike := range known {
		later.Add(strike)
	}
	prompts.Expect(later.Check(prompts.call("harmful"))).NotTo(gomega.Succeed())
}

func TestPartsThatCallersMakeUpDoNotCrowdOutAHarmfulOne(t *testing.T) {
	expect := gomega.NewWithT(t)
	prompts := newPrompts(t, 1)
	list := prompts.lists[0]
	for number := range 3 * maxParts / maxStruckParts {
		var names []string
		for i := range 4 * maxStruckParts {
			names = append(names, fmt.Sprint("made-up-", number, "-", i))
		}
		prompts.lose(prompts.call(names...))
		if number%100 == 0 {
			prompts.clock.Step(commonWindow)
			prompts.lose(prompts.call("harmful"))
			prompts.clock.Step(commonWindow)
		}
		expect.Expect(list.parts).To(gomega.BeNumerically("<=", maxParts))
		expect.Expect(len(list.losses)).To(gomega.BeNumerically("<=", maxAllLosses))
	}
	expect.Expect(list.Check(prompts.call("harmful"))).NotTo(gomega.Succeed())
}

func TestCompletedPartsAreBounded(t *testing.T) {
	expect := gomega.NewWithT(t)
	var completions completions
	at := time.Unix(1_800_000_000, 0)
	for part := range uint64(3 * maxCompletions) {
		completions.add(part, at)
		expect.Expect(len(completions.newer) + len(completions.older)).To(gomega.BeNumerically("<=", maxCompletions))
	}
	expect.Expect(completions.get(3*maxCompletions - 1)).NotTo(gomega.BeNil())
	expect.Expect(completions.get(0)).To(gomega.BeNil())
}

func TestSoundPartSurvivesTheLossOfARack(t *testing.T) {
	prompts := newPrompts(t, 4)
	for range 2 {
		prompts.lose(prompts.call("rare"))
		prompts.lose(prompts.call("other"))
	}
	prompts.lose(prompts.call("third"))
	call, ok := prompts.admit(1, "rare")
	prompts.Expect(ok).To(gomega.BeTrue())
	prompts.complete(1, call)
	_, ok = prompts.admit(2, "rare")
	prompts.Expect(ok).To(gomega.BeTrue())
}
