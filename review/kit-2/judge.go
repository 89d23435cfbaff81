package main

import (
	"errors"
	"time"
)

var errNotAccepted = errors.New("a job was not accepted")

// timedJob is a job and how long its items may take to end at engines.
type timedJob struct {
	job
	within time.Duration
}

// judgeListed waits until all items of the jobs have run to their end, and then for finish_s with no
// engine at work, and reports whether an item of an open job is listed neither as done nor as dead.
func (run *trial) judgeListed(jobs []timedJob) (broken bool, err error) {
	total := 0
	deadline := time.Now().Add(jobs[0].within)
	for _, job := range jobs {
		total += len(job.items)
	}
	for {
		finished, running, _ := run.fleet.engines.state()
		if finished >= total && running == 0 {
			break
		}
		if time.Now().After(deadline) {
			run.record.log("engines: %d of %d items have run to their end, engines have %d", finished, total, running)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	finished, running, _ := run.fleet.engines.state()
	run.record.log("engines: %d of %d items have run to their end, engines have %d; %v to list them begin", finished, total, running, finishTime)
	time.Sleep(finishTime)
	finished, running, since := run.fleet.engines.state()
	run.record.log("engines: %d of %d items have run to their end, engines have %d, the last one ended %.1f s ago", finished, total, running, since.Seconds())
	missing := 0
	for _, job := range jobs {
		for _, at := range run.fleet.machines {
			results, total, status, whole := run.client.readAll([]*machine{at}, job.id, 15*time.Second)
			listed := make(map[string]bool)
			wrong := 0
			for _, result := range results {
				listed[result.ID] = true
				if result.State != run.names.Completed {
					wrong++
				}
			}
			for _, item := range job.items {
				if whole && !listed[item.id] {
					missing++
				}
			}
			run.record.log("client: job %s read at %s: status %d, total %d, %d items listed, %d of them not completed; read to the end: %v", job.id, at.name, status, total, len(listed), wrong, whole)
		}
	}
	run.record.log("store: %d transactions refused by their size; %v", run.fleet.store.refused.Load(), run.fleet.store)
	for _, machine := range run.fleet.machines {
		ends, killed, peak := machine.state()
		run.record.log("platform: %s: %d ends by itself, %d for memory, peak %d MB", machine.name, ends, killed, peak)
	}
	if missing > 0 && running > 0 && since < 3*time.Second {
		run.record.log("engines are still at work: the rule says nothing")
		return false, nil
	}
	return missing > 0, nil
}
