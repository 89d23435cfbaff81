package fleet

import (
	"context"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// startWatch starts to watch a side. The caller must hold the mutex.
func (fleet *Fleet) startWatch(ctx context.Context, host agatestage.Host) {
	ctx, cancel := context.WithCancel(ctx)
	watch := &watch{host: host, cancel: cancel, wake: make(chan struct{}, 1)}
	fleet.watches[host.Name] = watch
	go fleet.watch(ctx, watch)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// runExchange runs one KindWatch exchange until it ends, and returns whether the side has
// reported in it. Policies are sent after the first report has arrived.
func (fleet *Fleet) runExchange(ctx context.Context, watch *watch) (reported bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, finish, err := fleet.node.BeginIdle(ctx, watch.host.Address, calls.KindWatch)
	if err != nil {
		return false, err
	}
	defer finish()
	firstReport := make(chan struct{})
	go func() {
		select {
		case <-firstReport:
		case <-ctx.Done():
			return
		}
		fleet.sendPolicies(ctx, watch, stream)
	}()
	for ; ; reported = true {
		var report calls.Report
		if err = stream.Receive(&report); err != nil {
			return reported, err
		}
		fleet.applyReport(watch.host, report)
		if !reported {
			close(firstReport)
		}
	}
}

// sendPolicies sends the policy now and whenever it may have changed.
func (fleet *Fleet) sendPolicies(ctx context.Context, watch *watch, stream *link.Stream) {
	for {
		if err := stream.Send(fleet.policy(watch.host.Name)); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-watch.wake:
		}
	}
}

// policy returns the part of the configuration that applies to a host's targets.
func (fleet *Fleet) policy(host string) calls.Policy {
	document := fleet.feed.Current()
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	policy := calls.Policy{Entry: fleet.name, Region: fleet.region, Address: fleet.node.Address(), Revision: document.Revision, Work: fleet.work()}
	models := make(map[string]bool)
	for name, target := range fleet.targets {
		configured, ok := document.Targets[name]
		if target.Host.Name != host || !ok {
			continue
		}
		policy.Targets = append(policy.Targets, configured)
		for _, model := range configured.Models {
			models[model] = true
		}
	}
	for name := range models {
		policy.Models = append(policy.Models, document.Models[name])
	}
	return policy
}

// applyReport updates the targets of a host from its side's report.
func (fleet *Fleet) applyReport(host agatestage.Host, report calls.Report) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if current := fleet.watches[host.Name]; current == nil || current.host != host {
		return
	}
	for _, reported := range report.Targets {
		target := fleet.targets[reported.Name]
		if target == nil || target.Host.Name != host.Name {
			target = &Target{Name: reported.Name}
			fleet.targets[reported.Name] = target
		}
		target.Host, target.Kind = host, reported.Kind
		target.holdings, target.leaving = reported.Holdings, report.Leaving || host.Leaving
		target.unreachableUntil = time.Time{}
		target.setLoad(reported.Load)
	}
	fleet.notifyWaiters()
}
