package plans_test

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/conf/plans"
	"github.com/agatestage/agatestage/internal/fake/store"
)

// racing is a store in which something happens just after the head was read first.
type racing struct {
	agatestage.Store
	happen func()
}

// Get implements agatestage.Store.
func (racing *racing) Get(ctx context.Context, key string) (agatestage.Record, error) {
	record, err := racing.Store.Get(ctx, key)
	if happen := racing.happen; key == plans.HeadKey && happen != nil {
		racing.happen = nil
		happen()
	}
	return record, err
}

// organisation is an intent on one organisation.
func organisation(rate float64) model.Intent {
	return model.Intent{Organisations: []model.Organisation{{Name: "crock", Rate: rate, Burst: 5}}}
}

func TestConfirm(t *testing.T) {
	ctx := context.Background()
	for _, race := range []struct {
		name string
		// same says that the other operator confirms the same plan.
		same bool
	}{{"of another plan names what has moved", false}, {"of the same plan returns its revision", true}} {
		t.Run("that loses a race while it reads, "+race.name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			clock := agatestage.SystemClock()
			stand := store.New(clock)
			first := plans.New(stand, clock)
			mine, err := first.Propose(ctx, organisation(1))
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			other, err := first.Propose(ctx, organisation(2))
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			if race.same {
				other = mine
			}
			second := plans.New(&racing{Store: stand, happen: func() {
				_, confirmErr := first.Confirm(ctx, other.Digest)
				expect.Expect(confirmErr).NotTo(gomega.HaveOccurred())
			}}, clock)
			revision, err := second.Confirm(ctx, mine.Digest)
			if race.same {
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				expect.Expect(revision).To(gomega.Equal(mine.Base + 1))
				return
			}
			expect.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring("StalePlan"), gomega.ContainSubstring(`Organisation "crock"`))))
		})
	}
}
