// Package super runs the services of a process in a supervisor tree.
//
// A Tree is an ordered list of stages. Each stage supervises its services and
// restarts failed ones with back-off. Stages start in the order in which they are
// added and stop in reverse order, so that caller-facing services stop before the
// services they depend on.
package super

import (
	"context"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
)

const (
	// failureThreshold is the number of recent failures above which a stage waits
	// failureBackoff before it restarts services.
	failureThreshold = 5
	failureBackoff   = 2 * time.Second
	// stopTimeout limits how long a stage waits for its services to return.
	stopTimeout = 10 * time.Second
)

// Service is a component that runs until its context ends. Its supervisor restarts
// it after an error or a panic.
type Service interface {
	Serve(ctx context.Context) error
	String() string
}

// Tree is a supervisor tree.
type Tree struct {
	name   string
	mutex  sync.Mutex
	stages []*stage
}

// stage is a running supervisor.
type stage struct {
	name       string
	supervisor *suture.Supervisor
	cancel     context.CancelFunc
	done       <-chan error
}

// New returns an empty tree.
func New(name string) *Tree {
	return &Tree{name: name}
}

// Start adds a stage with the services and runs them.
func (tree *Tree) Start(name string, services ...Service) {
	tree.mutex.Lock()
	defer tree.mutex.Unlock()
	supervisor := suture.New(tree.name+"/"+name, suture.Spec{
		EventHook:        logEvent,
		FailureThreshold: failureThreshold,
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
	})
	for _, service := range services {
		supervisor.Add(service)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tree.stages = append(tree.stages, &stage{
		name:       name,
		supervisor: supervisor,
		cancel:     cancel,
		done:       supervisor.ServeBackground(ctx),
	})
}

// Stop stops the stages in reverse order and waits for each.
func (tree *Tree) Stop() {
	tree.mutex.Lock()
	defer tree.mutex.Unlock()
	for i := len(tree.stages) - 1; i >= 0; i-- {
		stage := tree.stages[i]
		stage.cancel()
		<-stage.done
		klog.V(1).InfoS("stage stopped", "tree", tree.name, "stage", stage.name)
	}
	tree.stages = nil
}

// logEvent logs the events of a supervisor.
func logEvent(event suture.Event) {
	if event.Type() == suture.EventTypeStopTimeout {
		klog.ErrorS(nil, "service did not stop in time", "event", event.String())
		return
	}
	klog.InfoS("supervisor event", "event", event.String())
}

// Func returns a Service with the given name that runs a function.
func Func(name string, serve func(ctx context.Context) error) Service {
	return function{name: name, serve: serve}
}

// function is a Service that runs a function.
type function struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve implements Service. An error that the function returns after the end of its
// context isn't a failure.
func (function function) Serve(ctx context.Context) error {
	if err := function.serve(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return suture.ErrDoNotRestart
}

// String implements Service.
func (function function) String() string {
	return function.name
}
