package batch

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Progress is the partial output of an unfinished item: the data of its events up to
// Number, and how often targets have failed the item. It is written together with
// results, when many events are unsaved, and when a job is handed over.
type Progress struct {
	ID     string   `cbor:"1,keyasint"`
	Number int64    `cbor:"2,keyasint,omitempty"`
	Text   [][]byte `cbor:"3,keyasint,omitempty"`
	Failed int      `cbor:"4,keyasint,omitempty"`
}

// size returns the size of the encoded progress, at most.
func (progress Progress) size() int {
	size := fieldOverhead + textBytes(len(progress.ID))
	for _, line := range progress.Text {
		size += textBytes(len(line))
	}
	return size
}

// encodeProgress encodes progress into one record: the failure counts first, then the events
// of as many items as fit.
func encodeProgress(all []Progress) ([]byte, error) {
	fitting := make([]Progress, len(all))
	size := 0
	fit := func(i int, progress Progress) {
		if size+progress.size() < maxRecordBytes {
			size += progress.size()
			fitting[i] = progress
		}
	}
	for i, progress := range all {
		if progress.Failed > 0 {
			fit(i, Progress{ID: progress.ID, Failed: progress.Failed})
		}
	}
	for i, progress := range all {
		if progress.Number > 0 {
			fit(i, progress)
		}
	}
	data, err := cbor.Marshal(slices.DeleteFunc(fitting, func(progress Progress) bool { return progress.ID == "" }))
	return data, errors.Wrap(err, "encode progress")
}

// failureCount returns how often targets have failed an item, here or at previous
// owners.
func (job *job) failureCount(item string) int {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.failureCounts[item]
}

// recordFailure sets how often targets have failed an item and has it written, so
// that the next owner continues the count.
func (job *job) recordFailure(item string, count int) {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.failureCounts[item], job.progressDirty = count, true
	job.wakeCommitter()
}

// restart removes all events of an item, also from the written progress: the target that
// sends more than an item's output may have may never end, and none of it can be trusted.
func (job *job) restart(item *Item, sink *collector) {
	klog.InfoS("item runs from its beginning", "job", job.head.ID, "item", item.ID, "events", sink.lastEvent())
	sink.reset()
	job.mutex.Lock()
	defer job.mutex.Unlock()
	job.progressDirty = true
	job.wakeCommitter()
}

// progress returns the progress of unfinished items.
func (job *job) progress() []Progress {
	job.mutex.Lock()
	defer job.mutex.Unlock()
	return job.progressLocked()
}

// progressLocked returns the progress of unfinished items; the mutex must be held.
func (job *job) progressLocked() (all []Progress) {
	for _, item := range job.items {
		sink := job.sinks[item.ID]
		if job.completed[item.ID] || sink == nil {
			continue
		}
		progress := Progress{ID: item.ID, Failed: job.failureCounts[item.ID]}
		if progress.Number, progress.Text = sink.snapshot(); progress.Number > 0 || progress.Failed > 0 {
			all = append(all, progress)
		}
	}
	return all
}

// countEvents returns the number of events in all progress.
func countEvents(all []Progress) (count int64) {
	for _, progress := range all {
		count += progress.Number
	}
	return count
}

// shouldSaveProgress reports whether the progress must be written. It sets
// progressDirty if losing what is unsaved would cost targets as much as a whole item does,
// or if that isn't known yet.
func (job *job) shouldSaveProgress() bool {
	wholeItem := job.manager.itemEvents()
	job.mutex.Lock()
	defer job.mutex.Unlock()
	if unsaved := countEvents(job.progressLocked()) - job.savedEvents; unsaved > 0 && float64(unsaved) >= wholeItem {
		job.progressDirty = true
	}
	return job.progressDirty
}

// restoreProgress restores the progress that previous owners have written, which may include
// items whose results were written after it.
func (job *job) restoreProgress(all []Progress) {
	for _, progress := range all {
		if job.completed[progress.ID] {
			continue
		}
		job.savedEvents += progress.Number
		job.sinks[progress.ID] = &collector{eventData: progress.Text, number: progress.Number}
		if progress.Failed > 0 {
			job.failureCounts[progress.ID] = progress.Failed
		}
	}
}
