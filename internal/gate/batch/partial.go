package batch

import "sync"

// maxPartialBytes bounds what is kept of all inputs whose reading broke off: a part of each of
// the jobs that are read at a time.
const maxPartialBytes = 2 * transferBytes

// partialInput is the first parts of a job's input.
type partialInput struct {
	digest string
	parts  int
	bytes  int
	items  []Item
}

// partialInputs keeps what has been read of inputs whose reading broke off, by job. The parts of
// an input never change.
type partialInputs struct {
	mutex sync.Mutex
	jobs  map[string]partialInput
	bytes int
}

// take removes what is kept of a job's input.
func (partialInputs *partialInputs) take(head Head) partialInput {
	partialInputs.mutex.Lock()
	defer partialInputs.mutex.Unlock()
	kept, known := partialInputs.jobs[head.ID]
	if known {
		partialInputs.remove(head.ID)
	}
	if !known || kept.digest != head.Digest {
		return partialInput{digest: head.Digest}
	}
	return kept
}

// keep keeps what has been read of a job's input, unless that would be too much in all.
func (partialInputs *partialInputs) keep(head Head, read partialInput) {
	partialInputs.mutex.Lock()
	defer partialInputs.mutex.Unlock()
	partialInputs.remove(head.ID)
	if read.parts == 0 || partialInputs.bytes+read.bytes > maxPartialBytes {
		return
	}
	partialInputs.jobs[head.ID] = read
	partialInputs.bytes += read.bytes
}

// retain forgets the inputs of all jobs but those that are wanted.
func (partialInputs *partialInputs) retain(wanted func(id string) bool) {
	partialInputs.mutex.Lock()
	defer partialInputs.mutex.Unlock()
	for id := range partialInputs.jobs {
		if !wanted(id) {
			partialInputs.remove(id)
		}
	}
}

// remove forgets a job's input; the mutex must be held.
func (partialInputs *partialInputs) remove(id string) {
	partialInputs.bytes -= partialInputs.jobs[id].bytes
	delete(partialInputs.jobs, id)
}
