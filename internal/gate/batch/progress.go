package batch

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Progress is what there is of an unfinished item: the data of its events up to
// a number, and how often targets have failed it. It is written beside results, when
// there is much more of it than the store has, and when a job is handed over.
type Progress struct {
	ID     string   `cbor:"1,keyasint"`
	Number int64    `cbor:"2,keyasint,omitempty"`
	Text   [][]byte `cbor:"3,keyasint,omitempty"`
	Failed int      `cbor:"4,keyasint,omitempty"`
}

// size returns about what the progress takes, in bytes.
func (progress Progress) size() (size int) {
	for _, line := range progress.Text {
		size += len(line)
	}
	return size
}

// encodeProgress encodes progress into one record: all counts of failures, and as
// many events as fit.
func encodeProgress(all []Progress) ([]byte, error) {
	fitting := make([]Progress, 0, len(all))
	size := 0
	for _, progress := range all {
		if size += progress.size(); size >= partBytes {
			progress.Number, progress.Text = 0, nil
		}
		fitting = append(fitting, progress)
	}
	data, err := cbor.Marshal(fitting)
	return data, errors.Wrap(err, "encode progress")
}

// failures returns how often targets have failed an item, here or at former
// owners.
func (job *job) failures(item string) int {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.failed[item]
}

// noteFailure remembers how often targets have failed an item, so that the next
// owner goes on counting.
func (job *job) noteFailure(item string, count int) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.failed[item], job.unwritten = count, true
	job.rouse()
}

// progress returns what there is of unfinished items.
func (job *job) progress() []Progress {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.unfinishedProgress()
}

// unfinishedProgress returns what there is of unfinished items; the mutex is held.
func (job *job) unfinishedProgress() (all []Progress) {
	for _, item := range job.items {
		sink := job.sinks[item.ID]
		if job.done[item.ID] || sink == nil {
			continue
		}
		progress := Progress{ID: item.ID, Failed: job.failed[item.ID]}
		if progress.Number, progress.Text = sink.snapshot(); progress.Number > 0 || progress.Failed > 0 {
			all = append(all, progress)
		}
	}
	return all
}

// eventsOf counts the events in progress.
func eventsOf(all []Progress) (count int64) {
	for _, progress := range all {
		count += progress.Number
	}
	return count
}

// worthSaving marks the job to be written if its unfinished items have so many
// events more than the store has that their loss would cost more than a write.
func (job *job) worthSaving() bool {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if eventsOf(job.unfinishedProgress()) >= job.saved+saveEvents {
		job.unwritten = true
	}
	return job.unwritten
}

// resume takes what former owners have written of unfinished items.
func (job *job) resume(all []Progress) {
	job.saved = eventsOf(all)
	for _, progress := range all {
		job.sinks[progress.ID] = &collector{text: progress.Text, number: progress.Number}
		if progress.Failed > 0 && !job.done[progress.ID] {
			job.failed[progress.ID] = progress.Failed
		}
	}
}
