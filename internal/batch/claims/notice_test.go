package claims

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/wire/calls"
)

var work = []calls.Work{{Model: "model"}}

// none lists the work of an entry without jobs, taken that of one whose items are all
// running or delayed, waiting that of one with waiting items.
func none(map[string]bool) []calls.Work { return nil }

func taken(also map[string]bool) []calls.Work {
	if also["model"] {
		return work
	}
	return nil
}

func waiting(map[string]bool) []calls.Work { return work }

func TestSideThatIsSentTheListWhileAllItemsRunAsksForThoseThatReturn(t *testing.T) {
	expect := gomega.NewWithT(t)
	notice := notice{}
	expect.Expect(notice.due(waiting)).To(gomega.BeTrue())
	expect.Expect(notice.sent(taken)).To(gomega.Equal(work))
	expect.Expect(notice.due(waiting)).To(gomega.BeFalse())
}

func TestWorkIsAnnouncedAgainAfterItWasWithdrawnOrASideWasSentThatThereIsNone(t *testing.T) {
	expect := gomega.NewWithT(t)
	notice := notice{}
	expect.Expect(notice.due(waiting)).To(gomega.BeTrue())
	expect.Expect(notice.sent(none)).To(gomega.BeEmpty())
	expect.Expect(notice.due(waiting)).To(gomega.BeTrue())
	expect.Expect(notice.due(taken)).To(gomega.BeTrue())
	expect.Expect(notice.sent(taken)).To(gomega.BeEmpty())
	expect.Expect(notice.due(waiting)).To(gomega.BeTrue())
}
