package serve

import (
	"context"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

const (
	// minReportInterval is the minimum time between two reports to one entry.
	minReportInterval = 100 * time.Millisecond
	// reportLoadStep is the change of load, as a fraction of the slots, that
	// triggers a report; smaller changes are only sent with the replies to calls.
	reportLoadStep = 0.25
)

// Changed calls the registered functions and triggers reports to all entries.
func (server *Server) Changed() {
	for _, changed := range server.changeListeners {
		changed()
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for watcher := range server.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}

// watch serves one KindWatch exchange.
func (server *Server) watch(ctx context.Context, peer certs.Identity, stream *link.Stream) error {
	if peer.Role != agatestage.RoleEntry {
		return agatestage.Refuse(agatestage.CodeForbidden, "only entries may watch a side")
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		server.receivePolicies(stream)
	}()
	watcher := make(chan struct{}, 1)
	server.mutex.Lock()
	server.watchers[watcher] = struct{}{}
	server.mutex.Unlock()
	defer func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		delete(server.watchers, watcher)
	}()
	return server.report(ctx, watcher, stream)
}

// receivePolicies applies the entry's policies until the exchange ends.
func (server *Server) receivePolicies(stream *link.Stream) {
	for {
		var policy calls.Policy
		if err := stream.Receive(&policy); err != nil {
			return
		}
		server.applyPolicy(policy)
	}
}

// applyPolicy applies a policy unless its revision is lower than the one in force.
func (server *Server) applyPolicy(policy calls.Policy) {
	server.mutex.Lock()
	if policy.Revision < server.revision {
		server.mutex.Unlock()
		return
	}
	newer := policy.Revision > server.revision
	server.revision = policy.Revision
	for _, model := range policy.Models {
		server.models[model.Name] = model
	}
	server.mutex.Unlock()
	configured := make(map[string]model.Target)
	for _, target := range policy.Targets {
		configured[target.Name] = target
	}
	for name, target := range server.targets {
		// A target that is not in the policy gets an empty one and accepts no
		// calls.
		target.SetPolicy(configured[name])
	}
	for _, applyPolicy := range server.policyListeners {
		applyPolicy(policy)
	}
	if newer {
		server.Changed()
	}
}

// Report returns the state of the side and its targets.
func (server *Server) Report() calls.Report {
	server.mutex.Lock()
	report := calls.Report{Leaving: server.leaving, Revision: server.revision}
	server.mutex.Unlock()
	for _, target := range server.targets {
		report.Targets = append(report.Targets, target.Report())
	}
	return report
}

// report sends the state to one entry whenever it has changed significantly.
func (server *Server) report(ctx context.Context, watcher <-chan struct{}, stream *link.Stream) error {
	var last calls.Report
	for {
		if current := server.Report(); significant(last, current) {
			if err := stream.Send(current); err != nil {
				return err
			}
			last = current
		}
		timer := server.clock.NewTimer(minReportInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C():
		}
		select {
		case <-ctx.Done():
			return nil
		case <-watcher:
		}
	}
}

// significant reports whether the change warrants a report to entries.
func significant(last, current calls.Report) bool {
	if last.Leaving != current.Leaving || last.Revision != current.Revision || len(last.Targets) != len(current.Targets) {
		return true
	}
	before := make(map[string]calls.TargetReport, len(last.Targets))
	for _, target := range last.Targets {
		before[target.Name] = target
	}
	for _, target := range current.Targets {
		if differs(before[target.Name], target) {
			return true
		}
	}
	return false
}

func differs(a, b calls.TargetReport) bool {
	if a.Load.Ready != b.Load.Ready || len(a.Holdings) != len(b.Holdings) {
		return true
	}
	for i := range a.Holdings {
		if a.Holdings[i] != b.Holdings[i] {
			return true
		}
	}
	step := int(reportLoadStep*float64(b.Load.Slots)) + 1
	change := a.Load.Online + a.Load.Waiting - b.Load.Online - b.Load.Waiting
	return change >= step || -change >= step
}
