// Package feeds brings what the platform's store says into force: the
// configuration and the list of targets. While the store is silent to this
// process, both come from other gateways that hear it.
package feeds

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
)

// overdueAfter is how long the store may go unheard before it counts as silent
// though no call has failed: a poll and the pause between two take less. Longer
// ones are those of a machine that was suspended.
const overdueAfter = pollWait + time.Second

// Contact is when this process last heard the store, over all its feeds.
type Contact struct {
	clock agatestage.Clock
	mutex sync.Mutex
	heard time.Time
	// lost is when the store fell silent, regained when it was heard again.
	lost     time.Time
	regained time.Time
}

// NewContact returns a contact that has heard nothing yet.
func NewContact(clock agatestage.Clock) *Contact {
	return &Contact{clock: clock}
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
		contact.lost = contact.clock.Now()
		klog.InfoS("store lost", "lastHeard", contact.clock.Since(contact.heard), "error", err.Error())
	}
}

// Silent returns for how long the store has failed or an answer is overdue, zero
// while it answers.
func (contact *Contact) Silent() time.Duration {
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
