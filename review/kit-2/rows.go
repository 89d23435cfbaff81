package main

import "time"

// The numbers of the case.
const (
	// A job has the most items that one may have, each with a long text: 371 events of 350 bytes, which an
	// engine makes in 1.6 s.
	rowsItems, rowsEvents, rowsBytes, rowsPauseUS = 200, 371, 350, 4300
	// storeDown is how long the store is down, and downAfter when after the job's acceptance.
	storeDown, downAfter = 6 * time.Second, 300 * time.Millisecond
	finishTime           = 18 * time.Second
)

// rows has the store go down for some seconds while the items of a job end.
func rows(run *trial) (broken bool, err error) {
	if err = run.deploy(18, 2); err != nil {
		return false, err
	}
	job := job{id: run.id()}
	for range rowsItems {
		job.items = append(job.items, item{id: run.id(), work: work{Events: rowsEvents, Bytes: rowsBytes, PauseUS: rowsPauseUS}})
	}
	if !run.client.submit(job, run.fleet.machines, 10*time.Second) {
		return false, errNotAccepted
	}
	time.Sleep(downAfter)
	if run.trouble {
		run.record.log("store: down, it answers 503 to all calls")
		run.fleet.store.setDown(true)
		time.Sleep(storeDown)
		run.fleet.store.setDown(false)
		run.record.log("store: up again, after %v", storeDown)
	} else {
		time.Sleep(storeDown)
	}
	return run.judgeListed([]timedJob{{job, 60 * time.Second}})
}
