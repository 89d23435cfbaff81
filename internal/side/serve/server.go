// Package serve is the side's end of its links to entries: it runs their calls
// on its targets, reports its state to them and takes their policies.
package serve

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/side/exec"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// Server is a side's calls and targets.
//
// Invariants: a call is answered with exactly one End unless its link is lost;
// after Drain has returned no call is running; the policy never goes back to a
// lower revision.
type Server struct {
	clock    agatestage.Clock
	targets  map[string]*state.Target
	mutex    sync.Mutex
	leaving  bool
	running  int
	idle     chan struct{}
	revision uint64
	models   map[string]model.Model
	watchers map[chan struct{}]struct{}
	policies []func(calls.Policy)
	changes  []func()
}

// New returns a server without targets.
func New(clock agatestage.Clock) *Server {
	return &Server{
		clock:    clock,
		targets:  make(map[string]*state.Target),
		models:   make(map[string]model.Model),
		watchers: make(map[chan struct{}]struct{}),
	}
}

// Add adds a target; all are added before the server serves.
func (server *Server) Add(target *state.Target) {
	server.targets[target.Name] = target
}

// Targets returns the targets by name.
func (server *Server) Targets() map[string]*state.Target {
	return server.targets
}

// OnPolicy registers a function that is called with each newer policy.
func (server *Server) OnPolicy(follow func(calls.Policy)) {
	server.policies = append(server.policies, follow)
}

// OnChange registers a function that is called after the load has changed.
func (server *Server) OnChange(changed func()) {
	server.changes = append(server.changes, changed)
}

// Register makes the node serve the exchanges of a side.
func (server *Server) Register(node *link.Node) {
	node.Handle(calls.KindCall, server.call)
	node.Handle(calls.KindWatch, server.watch)
}

// enter counts a call unless the side is leaving.
func (server *Server) enter() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.leaving {
		return false
	}
	server.running++
	return true
}

func (server *Server) leave() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.running--; server.running == 0 && server.idle != nil {
		close(server.idle)
		server.idle = nil
	}
}

// Drain makes the side take nothing new and waits for the calls in flight, for
// at most the limit.
func (server *Server) Drain(limit time.Duration) {
	server.mutex.Lock()
	server.leaving = true
	idle := make(chan struct{})
	if server.running == 0 {
		close(idle)
	} else {
		server.idle = idle
	}
	server.mutex.Unlock()
	server.Changed()
	timer := server.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C():
		klog.InfoS("calls cut off at the drain limit", "limit", limit)
	}
}

// call serves one KindCall exchange.
func (server *Server) call(ctx context.Context, peer certs.Identity, stream *link.Stream) error {
	var request calls.Request
	if err := stream.Receive(&request); err != nil {
		return err
	}
	end := calls.End{}
	target := server.targets[request.Target]
	if peer.Role != agatestage.RoleEntry {
		end.Refusal = agatestage.Refuse(agatestage.CodeForbidden, "only entries may send calls")
	} else if target == nil {
		end.Refusal = agatestage.Refuse(agatestage.CodeNoTarget, "no target %s on this host", request.Target)
	} else if !server.enter() {
		end.Refusal = agatestage.Refuse(agatestage.CodeStopping, "the side of target %s is stopping", request.Target)
	} else {
		defer server.leave()
		end = exec.Run(ctx, target, &request.Call, &relay{stream: stream, id: request.Call.ID})
	}
	if target != nil {
		end.Load = target.Load()
	}
	return stream.Send(calls.AnswerPart{ID: request.Call.ID, End: &end})
}

// relay sends an answer to the entry.
type relay struct {
	stream *link.Stream
	id     string
}

// Head implements exec.Sink.
func (relay *relay) Head(status int, header http.Header) error {
	return relay.stream.Send(calls.AnswerPart{ID: relay.id, Head: &calls.Head{Status: status, Header: header}})
}

// Data implements exec.Sink.
func (relay *relay) Data(data []byte) error {
	return relay.stream.Send(calls.AnswerPart{Data: data})
}
