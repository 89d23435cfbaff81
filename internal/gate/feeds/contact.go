// Package feeds brings what the platform's store says into force: the
// configuration and the list of targets. While the store is silent to this
// process, both come from other gateways that hear it.
package feeds

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

// overdueAfter is how long the store may go unheard before it counts as silent
// though no call has failed: a poll and the pause between two take less. Longer
// ones are those of a machine that was suspended.
const overdueAfter = pollWait + time.Second

const (
	// firstRetry is the time between the failure by which the store is lost and the
	// next call to it, and the least pause of a feed after a failure. The pauses
	// double up to lastRetry, which a configuration's few seconds leave room for.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
	// retryLook is how often a feed that waits looks whether it may go on.
	retryLook = 50 * time.Millisecond
	// retrySpread is the part by which pauses differ between gateways that have lost
	// the store at the same moment, so that the first of them soon sees its return
	// and tells the others.
	retrySpread = 0.5
)

// Contact is when this process last heard the store, over all its feeds. While
// the store is lost, it lets one feed at a time try it: refused calls are paid, and
// the answer to one tells of all.
type Contact struct {
	clock agatestage.Clock
	mutex sync.Mutex
	heard time.Time
	// lost is when the store fell silent, regained when it was heard again.
	lost     time.Time
	regained time.Time
	// tries counts the calls since the store was lost; next is when another may be
	// made.
	tries int
	next  time.Time
	// lot draws a number from 0 to 1 for the pauses.
	lot func() float64
}

// ContactOption changes how a contact is built.
type ContactOption func(*Contact)

// WithLot sets what draws the numbers from 0 to 1 by which pauses differ.
func WithLot(lot func() float64) ContactOption {
	return func(contact *Contact) { contact.lot = lot }
}

// NewContact returns a contact that has heard nothing yet.
func NewContact(clock agatestage.Clock, options ...ContactOption) *Contact {
	contact := &Contact{clock: clock, lot: rand.Float64}
	for _, option := range options {
		option(contact)
	}
	return contact
}

// Heard notes an answer of the store.
func (contact *Contact) Heard() {
	contact.mutex.Lock()
	defer contact.mutex.Unlock()
	now := contact.clock.Now()
	if !contact.lost.IsZero() {
		klog.InfoS("store regained", "silent", now.Sub(contact.lost))
		contact.lost, contact.regained = time.Time{}, now
	}
	contact.heard = now
}

// Failed notes a call that the store didn't answer or refused.
func (contact *Contact) Failed(err error) {
	contact.mutex.Lock()
	defer contact.mutex.Unlock()
	if contact.lost.IsZero() {
		contact.lost, contact.tries = contact.clock.Now(), 0
		contact.next = contact.lost.Add(firstRetry)
		klog.InfoS("store lost", "lastHeard", contact.clock.Since(contact.heard), "error", err.Error())
	}
}

// Retry waits after a failure until the store may be called again: once it is
// regained, or as the one call that tries whether it is.
func (contact *Contact) Retry(ctx context.Context) {
	ticks.Wait(ctx, contact.clock, firstRetry)
	for ctx.Err() == nil && !contact.MayTry() {
		ticks.Wait(ctx, contact.clock, retryLook)
	}
}

// Await waits until the store isn't lost.
func (contact *Contact) Await(ctx context.Context) {
	for ctx.Err() == nil && contact.StoreOutage() > 0 {
		ticks.Wait(ctx, contact.clock, retryLook)
	}
}

// MayTry reports whether a call may be made now. While the store is lost, it says
// so once in a while.
func (contact *Contact) MayTry() bool {
	contact.mutex.Lock()
	defer contact.mutex.Unlock()
	now := contact.clock.Now()
	if contact.lost.IsZero() {
		return true
	}
	if now.Before(contact.next) {
		return false
	}
	contact.tries++
	pause := min(lastRetry, firstRetry<<min(contact.tries, 8))
	contact.next = now.Add(pause - time.Duration(float64(pause)*retrySpread*contact.lot()))
	return true
}

// Hint says that the store answers another gateway again, so that it is worth trying
// at once.
func (contact *Contact) Hint() {
	contact.mutex.Lock()
	defer contact.mutex.Unlock()
	if !contact.lost.IsZero() {
		contact.next = contact.clock.Now()
	}
}

// Silent returns for how long the store has failed or an answer is overdue, zero
// while it answers.
func (contact *Contact) StoreOutage() time.Duration {
	contact.mutex.Lock()
	defer contact.mutex.Unlock()
	switch {
	case !contact.lost.IsZero():
		return contact.clock.Since(contact.lost)
	case contact.heard.IsZero():
		return 0
	}
	return max(0, contact.clock.Since(contact.heard)-overdueAfter)
}

// Age returns how long ago the store was last heard.
func (contact *Contact) Age() time.Duration {
	contact.mutex.Lock()
	defer contact.mutex.Unlock()
	if contact.heard.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return contact.clock.Since(contact.heard)
}

// settling returns what is left of the time after the store's return in which
// records that lapsed while it was away may still come back.
func (contact *Contact) settling(grace time.Duration) time.Duration {
	contact.mutex.Lock()
	defer contact.mutex.Unlock()
	if !contact.lost.IsZero() {
		return grace
	}
	if contact.regained.IsZero() {
		return 0
	}
	return max(0, grace-contact.clock.Since(contact.regained))
}
