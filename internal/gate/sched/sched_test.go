package sched_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/sched"
)

func TestSched(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sched")
}

const (
	service = "service"
	slots   = 4
	// patience is how long the calls of these tests may wait.
	patience = 200 * time.Millisecond
)

// endpoint makes a target.
func endpoint(id, region, zone string) agatestage.Endpoint {
	return agatestage.Endpoint{ID: id, Service: service, Region: region, Zone: zone, Slots: slots}
}

// play is a scheduler in zone "a" of region "near" whose targets are local-0 to
// local-1 in its zone, which are its home, region-0 in zone "b", and remote-0 in
// the other region.
type play struct {
	*sched.Scheduler
	clock *clocktest.FakeClock
	down  []string
}

func newPlay(options ...sched.Option) *play {
	play := &play{clock: clocktest.NewFakeClock(time.Unix(1000, 0))}
	play.Scheduler = sched.New(play.clock, "near", "a", append(options, sched.WithDown(func(endpoint agatestage.Endpoint) {
		play.down = append(play.down, endpoint.ID)
	}))...)
	play.Apply([]agatestage.Endpoint{
		endpoint("local-0", "near", "a"), endpoint("local-1", "near", "a"), endpoint("region-0", "near", "b"), endpoint("remote-0", "far", "c"),
	})
	play.SetHomes(map[string]bool{"local-0": true, "local-1": true})
	return play
}

// online takes a slot for an online call.
func (play *play) online(exclude ...string) *sched.Ticket {
	ginkgo.GinkgoHelper()
	ticket, err := play.Acquire(context.Background(), sched.Ask{Service: service, Patience: patience, Exclude: exclude})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return ticket
}

// batch takes a slot for a batch call, or returns nil if there is none now.
func (play *play) batch() *sched.Ticket {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ticket, err := play.Acquire(ctx, sched.Ask{Service: service, Batch: true})
	if err != nil {
		return nil
	}
	return ticket
}

// fill takes slots for batch calls until there is none left, and returns how many
// each target got.
func (play *play) fill() (tickets []*sched.Ticket, counts map[string]int) {
	counts = make(map[string]int)
	for ticket := play.batch(); ticket != nil; ticket = play.batch() {
		tickets = append(tickets, ticket)
		counts[ticket.Target.ID]++
	}
	return tickets, counts
}

// yielded counts the calls that must give way.
func yielded(tickets []*sched.Ticket) (count int) {
	for _, ticket := range tickets {
		select {
		case <-ticket.Yield():
			count++
		default:
		}
	}
	return count
}

// expectRefused checks that a call gets no slot, and returns its refusal.
func (play *play) expectRefused(ask sched.Ask, code agatestage.Code) *agatestage.Refusal {
	ginkgo.GinkgoHelper()
	ask.Service = service
	_, err := play.Acquire(context.Background(), ask)
	var refusal *agatestage.Refusal
	gomega.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
	gomega.Expect(refusal.Code).To(gomega.Equal(code))
	gomega.Expect(refusal.Ran).To(gomega.Equal(agatestage.RanNo))
	gomega.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	return refusal
}

var _ = ginkgo.Describe("an online call", func() {
	ginkgo.It("goes to the least loaded target of its zone, then to its region, then further", func() {
		play := newPlay()
		counts := make(map[string]int)
		for range 2 * slots {
			counts[play.online().Target.ID]++
		}
		gomega.Expect(counts).To(gomega.Equal(map[string]int{"local-0": slots, "local-1": slots}))
		gomega.Expect(play.online().Target.ID).To(gomega.Equal("region-0"))
		// Three slots stay free, as what others have there is known late.
		for range slots - 3 {
			gomega.Expect(play.online().Target.ID).To(gomega.Equal("region-0"))
		}
		gomega.Expect(play.online().Target.ID).To(gomega.Equal("remote-0"))
	})
	ginkgo.It("ends a batch call at home rather than wait or leave its region", func() {
		play := newPlay()
		tickets, counts := play.fill()
		gomega.Expect(counts["local-0"] + counts["local-1"]).To(gomega.Equal(2*slots - 1))
		local := play.online()
		gomega.Expect(local.Target.Zone).To(gomega.Equal("a"))
		yielded := 0
		next := play.online()
		for _, ticket := range tickets {
			select {
			case <-ticket.Yield():
				yielded++
				gomega.Expect(ticket.Target.ID).To(gomega.Equal(next.Target.ID))
			default:
			}
		}
		gomega.Expect(yielded).To(gomega.Equal(1))
	})
	ginkgo.It("takes the slot of another gateway's batch call, whose gateway hears of it at once", func() {
		guests := make(map[string]sched.Held)
		play := newPlay(sched.WithGuest(func(target string, held sched.Held) { guests[target] = held }))
		for range 2 * slots {
			play.online()
		}
		gomega.Expect(guests).To(gomega.BeEmpty())
		play.Hear("other", map[string]sched.Held{"region-0": {Batch: slots}})
		ticket := play.online()
		gomega.Expect([]any{ticket.Target.ID, ticket.Way}).To(gomega.Equal([]any{"region-0", sched.WayClaimed}))
		gomega.Expect(guests).To(gomega.Equal(map[string]sched.Held{"region-0": {Online: 1}}))
	})
	ginkgo.It("never goes to a target that leaves, is down or was excluded", func() {
		play := newPlay()
		leaving := endpoint("local-0", "near", "a")
		leaving.Draining = true
		play.Apply([]agatestage.Endpoint{leaving, endpoint("local-1", "near", "a"), endpoint("region-0", "near", "b")})
		play.Down("local-1")
		gomega.Expect(play.down).To(gomega.Equal([]string{"local-1"}))
		gomega.Expect(play.online().Target.ID).To(gomega.Equal("region-0"))
		play.expectRefused(sched.Ask{Patience: patience, Exclude: []string{"region-0"}}, agatestage.CodeNoTarget)
		play.Up("local-1")
		gomega.Expect(play.online().Target.ID).To(gomega.Equal("local-1"))
	})
	ginkgo.It("is refused at once when the queue is longer than its patience", func() {
		play := newPlay()
		for range 4 * slots {
			play.online()
		}
		waiting := 0
		for ; waiting < 100; waiting++ {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan error, 1)
			before := play.Waiting(service)
			go func() {
				_, err := play.Acquire(ctx, sched.Ask{Service: service, Patience: patience})
				done <- err
			}()
			var refused error
			gomega.Eventually(func() bool {
				select {
				case refused = <-done:
					return true
				default:
					return play.Waiting(service) > before
				}
			}).Should(gomega.BeTrue())
			if refused != nil {
				break
			}
		}
		gomega.Expect(waiting).To(gomega.BeNumerically(">", 0))
		gomega.Expect(waiting).To(gomega.BeNumerically("<", 3*slots))
		refusal := play.expectRefused(sched.Ask{Patience: patience}, agatestage.CodeBusy)
		gomega.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", patience))
	})
	ginkgo.It("gets the slot that is given back before one of lower rank that waits longer", func() {
		play := newPlay()
		held := make([]*sched.Ticket, 0, 4*slots)
		for range 4 * slots {
			held = append(held, play.online())
		}
		order := make(chan int, 2)
		for _, priority := range []int{2, 0} {
			before := play.Waiting(service)
			go func() {
				defer ginkgo.GinkgoRecover()
				_, err := play.Acquire(context.Background(), sched.Ask{Service: service, Priority: priority, Patience: time.Hour})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				order <- priority
			}()
			gomega.Eventually(func() int { return play.Waiting(service) }).Should(gomega.Equal(before + 1))
		}
		held[0].Release(false)
		gomega.Expect(<-order).To(gomega.Equal(0))
		held[1].Release(false)
		gomega.Expect(<-order).To(gomega.Equal(2))
	})
	ginkgo.It("doesn't go to a target that has fallen silent to all its calls while that is examined", func() {
		play := newPlay()
		first, second, third := play.online(), play.online(), play.online()
		gomega.Expect([]string{first.Target.ID, third.Target.ID}).To(gomega.HaveEach(first.Target.ID))
		first.Sign()
		third.Sign()
		second.Sign()
		play.clock.Step(time.Second)
		second.Sign()
		stalled := play.Stalled()
		gomega.Expect(stalled).To(gomega.HaveLen(1))
		gomega.Expect(stalled[0].ID).To(gomega.Equal(first.Target.ID))
		play.Suspect(first.Target.ID)
		gomega.Expect(play.Stalled()).To(gomega.BeEmpty())
		gomega.Expect(play.online().Target.ID).To(gomega.Equal(second.Target.ID))
		play.Clear(first.Target.ID)
		gomega.Expect(play.online().Target.ID).To(gomega.Equal(first.Target.ID))
		gomega.Expect(play.Stalled()).To(gomega.BeEmpty())
	})
	ginkgo.It("avoids a target that fails its calls", func() {
		play := newPlay()
		for range 10 {
			ticket := play.online("local-1", "region-0", "remote-0")
			ticket.Release(true)
		}
		for range slots {
			gomega.Expect(play.online().Target.ID).To(gomega.Equal("local-1"))
		}
	})
})

var _ = ginkgo.Describe("a batch call", func() {
	ginkgo.It("keeps to the homes of its gateway", func() {
		_, counts := newPlay().fill()
		gomega.Expect(counts).To(gomega.HaveLen(2))
		gomega.Expect(counts["local-0"] + counts["local-1"]).To(gomega.Equal(2*slots - 1))
	})
	ginkgo.It("of a gateway without a home leaves room elsewhere, and gives way where there is none left", func() {
		play := newPlay()
		play.SetHomes(nil)
		tickets, counts := play.fill()
		gomega.Expect(tickets).NotTo(gomega.BeEmpty())
		gomega.Expect(counts["region-0"]).To(gomega.BeNumerically("<", slots))
		gomega.Expect(counts).NotTo(gomega.HaveKey("remote-0"))
		play.Hear("other", map[string]sched.Held{"region-0": {Online: slots}, "local-0": {Online: slots}, "local-1": {Online: slots}})
		for _, ticket := range tickets {
			gomega.Expect(ticket.Yield()).To(gomega.BeClosed())
		}
	})
	ginkgo.It("goes elsewhere if it can't use any home of its gateway", func() {
		play := newPlay()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		ticket, err := play.Acquire(ctx, sched.Ask{Service: service, Batch: true, Exclude: []string{"local-0", "local-1"}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(ticket.Target.ID).To(gomega.Equal("region-0"))
	})
	ginkgo.It("gives way at home to another gateway's call, and only as many as are too many", func() {
		play := newPlay()
		tickets, counts := play.fill()
		play.HearGuest("other", "local-0", sched.Held{Online: slots - counts["local-0"] + 1})
		gomega.Expect(yielded(tickets)).To(gomega.Equal(1))
	})
	ginkgo.It("gives way for its part only where several gateways have too many", func() {
		play := newPlay()
		play.SetHomes(nil)
		tickets, counts := play.fill()
		mine := counts["local-0"]
		play.HearGuest("other", "local-0", sched.Held{Batch: slots - mine + 2})
		gomega.Expect(yielded(tickets)).To(gomega.BeNumerically("<=", 2))
	})
	ginkgo.It("goes by its due time, and behind all others once that can't be kept", func() {
		play := newPlay()
		held := make([]*sched.Ticket, 0, 4*slots)
		for range 4 * slots {
			held = append(held, play.online())
		}
		order := make(chan string, 3)
		for i, due := range []time.Duration{time.Second, time.Minute, time.Minute / 2} {
			go func() {
				defer ginkgo.GinkgoRecover()
				_, err := play.Acquire(context.Background(), sched.Ask{Service: service, Batch: true, Due: play.clock.Now().Add(due), Need: 4 * time.Second})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				order <- due.String()
			}()
			gomega.Eventually(func() int { return play.Waiting(service) }).Should(gomega.Equal(i + 1))
		}
		for _, want := range []string{"30s", "1m0s", "1s"} {
			for before := play.Waiting(service); play.Waiting(service) == before; held = held[1:] {
				held[0].Release(false)
			}
			gomega.Eventually(order).Should(gomega.Receive(gomega.Equal(want)))
		}
	})
	ginkgo.It("gives way last if it can only just be done in time, and first if it can't", func() {
		play := newPlay()
		play.Apply([]agatestage.Endpoint{endpoint("local-0", "near", "a")})
		names := make(map[*sched.Ticket]string)
		for _, left := range []time.Duration{time.Second, time.Minute, 5 * time.Second} {
			ticket, err := play.Acquire(context.Background(), sched.Ask{Service: service, Batch: true, Due: play.clock.Now().Add(left), Need: 4 * time.Second})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			names[ticket] = left.String()
		}
		play.online()
		for _, want := range []string{"1s", "1m0s", "5s"} {
			play.online()
			for ticket, name := range names {
				if yielded([]*sched.Ticket{ticket}) == 1 {
					gomega.Expect(name).To(gomega.Equal(want))
					delete(names, ticket)
				}
			}
		}
		gomega.Expect(names).To(gomega.BeEmpty())
	})
	ginkgo.It("waits while online calls wait", func() {
		play := newPlay()
		for range 4 * slots {
			play.online()
		}
		waiting := make(chan error, 1)
		go func() {
			_, err := play.Acquire(context.Background(), sched.Ask{Service: service, Patience: patience})
			waiting <- err
		}()
		gomega.Eventually(func() int { return play.Waiting(service) }).Should(gomega.Equal(1))
		gomega.Expect(play.batch()).To(gomega.BeNil())
		play.clock.Step(time.Second)
		gomega.Expect(<-waiting).To(gomega.HaveOccurred())
	})
})

var _ = ginkgo.Describe("what other gateways tell", func() {
	ginkgo.It("counts while it is fresh", func() {
		play := newPlay()
		full := map[string]sched.Held{"local-0": {Online: slots}, "local-1": {Online: slots}}
		play.Hear("other", full)
		gomega.Expect(play.online().Target.ID).To(gomega.Equal("region-0"))
		play.clock.Step(time.Minute)
		gomega.Expect(play.online().Target.Zone).To(gomega.Equal("a"))
	})
	ginkgo.It("includes what this one tells", func() {
		play := newPlay()
		ticket := play.online()
		gomega.Expect(play.Held()).To(gomega.Equal(map[string]sched.Held{ticket.Target.ID: {Online: 1}}))
		ticket.Release(false)
		ticket.Release(false)
		gomega.Expect(play.Held()).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("a new incarnation", func() {
	ginkgo.It("starts without the calls of the one before", func() {
		play := newPlay()
		for range slots {
			play.online("local-1", "region-0", "remote-0")
		}
		again := endpoint("local-0", "near", "a")
		again.Started = time.Unix(2000, 0)
		play.Apply([]agatestage.Endpoint{again})
		gomega.Expect(play.Held()).To(gomega.BeEmpty())
		gomega.Expect(play.online().Target.Started).To(gomega.Equal(again.Started))
	})
	ginkgo.It("is looked at less and less often while it is down", func() {
		gomega.Expect(sched.Backoff(0)).To(gomega.BeNumerically("<", sched.Backoff(2)))
		gomega.Expect(sched.Backoff(100)).To(gomega.Equal(sched.Backoff(50)), fmt.Sprint(sched.Backoff(50)))
	})
})
