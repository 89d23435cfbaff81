package start

import (
	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/gate/sched"
	"github.com/agatestage/agatestage/internal/gate/share"
)

// useShares lets organisations share slots by their configured rates if the settings turn it on.
// It returns the option of the scheduler.
func (clusterView *clusterView) useShares(settings setup.Settings, clock agatestage.Clock, holder *rules.Holder) sched.Option {
	if !settings.Sharing {
		return func(*sched.Scheduler) {}
	}
	clusterView.shares = share.New(clock, func(organisation string) float64 {
		rate, _ := holder.Rate(organisation)
		return rate.PerSecond
	})
	share.RegisterMetrics(clusterView.shares)
	return sched.WithShares(clusterView.shares)
}

// Shares implements gossip.Source.
func (clusterView *clusterView) Shares() *share.Report {
	if clusterView.shares == nil {
		return nil
	}
	return clusterView.shares.Report()
}

// ReceiveShares implements gossip.Source. While a setting is being changed, other gateways may
// report to one that doesn't share.
func (clusterView *clusterView) ReceiveShares(gateway string, report share.Report) {
	if clusterView.shares != nil {
		clusterView.shares.Receive(gateway, report)
	}
}
