// Package serve handles the exchanges that entries open to a side: it runs their
// calls on the side's targets, reports its state to them and applies their
// policies.
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

// Server serves the calls and watches of entries on a side's targets.
//
// Invariants: a call is answered with exactly one End unless its link is lost;
// after Drain has returned, no new call starts, and unless the limit was reached none runs
// and every entry has received the ends of its calls; the revision of the policy never
// decreases.
type Server struct {
	clock agatestage.Clock
	// notice is how long a side that leaves waits for calls that are on their way.
	notice          time.Duration
	targets         map[string]*state.Target
	mutex           sync.Mutex
	leaving         bool
	running         int
	idle            chan struct{}
	revision        uint64
	models          map[string]model.Model
	watchers        map[chan struct{}]struct{}
	policyListeners []func(calls.Policy)
	changeListeners []func()
}

// New returns a server without targets; see Add.
func New(clock agatestage.Clock, options ...Option) *Server {
	server := &Server{
		clock:    clock,
		targets:  make(map[string]*state.Target),
		models:   make(map[string]model.Model),
		watchers: make(map[chan struct{}]struct{}),
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Option configures a Server.
type Option func(*Server)

// WithNotice sets how long a side that leaves refuses calls at least: an entry that hasn't
// heard of it yet must learn that its call has not run.
func WithNotice(notice time.Duration) Option {
	return func(server *Server) { server.notice = notice }
}

// Add adds a target. All targets must be added before Register is called.
func (server *Server) Add(target *state.Target) {
	server.targets[target.Name] = target
}

// Targets returns the targets by name.
func (server *Server) Targets() map[string]*state.Target {
	return server.targets
}

// OnPolicy registers a function that is called with each newer policy.
func (server *Server) OnPolicy(follow func(calls.Policy)) {
	server.policyListeners = append(server.policyListeners, follow)
}

// OnChange registers a function that is called after the state of a target, its
// load or the policy has changed.
func (server *Server) OnChange(changed func()) {
	server.changeListeners = append(server.changeListeners, changed)
}

// Register registers the exchanges of a side with the node.
func (server *Server) Register(node *link.Node) {
	node.Handle(calls.KindCall, server.call)
	node.Handle(calls.KindWatch, server.watch)
}

// beginCall counts a call whose entry hasn't received its end. It returns false if the side
// is leaving, so that the call must be refused.
func (server *Server) beginCall() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.running++
	return !server.leaving
}

func (server *Server) endCall() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.running--; server.running == 0 && server.idle != nil {
		close(server.idle)
		server.idle = nil
	}
}

// Drain makes the side refuse new calls and waits until the running ones have finished,
// their ends have been received and the notice has passed, but no longer than limit.
func (server *Server) Drain(limit time.Duration) {
	server.mutex.Lock()
	server.leaving = true
	// The notice counts as a call.
	server.running++
	idle := make(chan struct{})
	server.idle = idle
	server.mutex.Unlock()
	server.Changed()
	notice := server.clock.NewTimer(server.notice)
	go func() {
		<-notice.C()
		server.endCall()
	}()
	timer := server.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C():
		klog.InfoS("drain limit reached with calls still running", "limit", limit)
	}
}

// call serves one KindCall exchange.
func (server *Server) call(ctx context.Context, peer certs.Identity, stream *link.Stream) error {
	var request calls.Request
	if err := stream.Receive(&request); err != nil {
		return err
	}
	accepted := server.beginCall()
	defer server.endCall()
	end := calls.End{}
	target := server.targets[request.Target]
	if peer.Role != agatestage.RoleEntry {
		end.Refusal = agatestage.Refuse(agatestage.CodeForbidden, "only entries may send calls")
	} else if target == nil {
		end.Refusal = agatestage.Refuse(agatestage.CodeNoTarget, "no target %s on this host", request.Target)
	} else if !accepted {
		end.Refusal = agatestage.Refuse(agatestage.CodeStopping, "the side of target %s is stopping", request.Target)
	} else {
		end = exec.Run(ctx, target, &request.Call, &linkSink{stream: stream, id: request.Call.ID})
	}
	if target != nil {
		end.Load = target.Load()
	}
	if err := stream.Send(calls.AnswerPart{ID: request.Call.ID, End: &end}); err != nil {
		return err
	}
	return stream.CloseAndAwait()
}

// linkSink sends the answer to a call to the entry.
type linkSink struct {
	stream *link.Stream
	id     string
}

// Head implements exec.Sink.
func (linkSink *linkSink) Head(status int, header http.Header) error {
	return linkSink.stream.Send(calls.AnswerPart{ID: linkSink.id, Head: &calls.Head{Status: status, Header: header}})
}

// Data implements exec.Sink.
func (linkSink *linkSink) Data(_ context.Context, data []byte) error {
	return linkSink.stream.Send(calls.AnswerPart{Data: data})
}
