package feeds

import (
	"context"
	"sync"
)

// Duty tells the feeds of a gateway whether to follow the store themselves. In a large
// fleet only some gateways do; the others get the news from them.
type Duty struct {
	mutex sync.Mutex
	on    bool
	// changed is closed when the duty begins.
	changed chan struct{}
}

// NewDuty returns a duty that is on.
func NewDuty() *Duty {
	return &Duty{on: true, changed: make(chan struct{})}
}

// Set turns the duty on or off.
func (duty *Duty) Set(on bool) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if duty.on == on {
		return
	}
	if duty.on = on; on {
		close(duty.changed)
		duty.changed = make(chan struct{})
	}
}

// On reports whether the duty is on.
func (duty *Duty) On() bool {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.on
}

// Await blocks while the duty is off, at most until ctx ends. It reports whether the duty
// was off.
func (duty *Duty) Await(ctx context.Context) (blocked bool) {
	duty.mutex.Lock()
	on, changed := duty.on, duty.changed
	duty.mutex.Unlock()
	if on {
		return false
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return true
}
