package batch

import (
	"slices"
	"time"
)

const (
	// noteTime is how long a job's owner is part of this gateway's messages, several of
	// which may be lost.
	noteTime = 2 * time.Second
	// maxOwners bounds the announced owners that are remembered.
	maxOwners = 20_000
)

// Note announces which gateway owns a job, so that a gateway which is asked for the job's
// results need not look it up in the store. It is only a hint.
type Note struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Owner string
}

// ownNote is a note of this gateway and when it was made.
type ownNote struct {
	Note
	at time.Time
}

// announcedOwner is the owner of a job as announced, and when.
type announcedOwner struct {
	owner string
	at    time.Time
}

// noteOwner announces the owner of a job that this gateway has accepted, taken over or
// handed over; the mutex must be held.
func (manager *Manager) noteOwner(head Head) {
	if head.Owner != "" {
		manager.ownNotes = slices.DeleteFunc(manager.ownNotes, func(note ownNote) bool { return note.Job == head.ID })
		manager.ownNotes = append(manager.ownNotes, ownNote{Note: Note{Job: head.ID, Owner: head.Owner}, at: manager.clock.Now()})
	}
}

// Notes returns what this gateway has to announce now.
func (manager *Manager) Notes() (notes []Note) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	now := manager.clock.Now()
	manager.ownNotes = slices.DeleteFunc(manager.ownNotes, func(note ownNote) bool { return now.Sub(note.at) > noteTime })
	for _, note := range manager.ownNotes {
		notes = append(notes, note.Note)
	}
	return notes
}

// ReceiveNotes records what another gateway has announced. A job that runs here and is
// announced to run elsewhere must be confirmed.
func (manager *Manager) ReceiveNotes(notes []Note) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	now := manager.clock.Now()
	for _, note := range notes {
		if owned := manager.jobs[note.Job]; owned != nil && note.Owner != manager.name {
			owned.doubt()
		}
		if len(manager.owners) < maxOwners {
			manager.owners[note.Job] = announcedOwner{owner: note.Owner, at: now}
		}
	}
}

// announcedOwner returns the owner of a job as announced, or "".
func (manager *Manager) announcedOwner(id string) string {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	return manager.owners[id].owner
}

// forgetOwners forgets the owners of jobs whose records are no longer kept; the mutex
// must be held.
func (manager *Manager) forgetOwners(now time.Time) {
	for id, announced := range manager.owners {
		if now.Sub(announced.at) > retention {
			delete(manager.owners, id)
		}
	}
}
