package main

import (
	"fmt"
	"time"
)

// The numbers of the case.
const (
	// Clients read about twice a second, allow a wait of 1 s and wait 1.5 s longer than that.
	farPatience, farPause = 2500 * time.Millisecond, 500 * time.Millisecond
	// farLook is how long the job is read at the gateway of the other region, again after each failure.
	farLook = 45 * time.Second
)

// far has a job read in the region without the store.
func far(run *trial) (broken bool, err error) {
	run.fleet.zones = map[string]string{"east-a": "scot-east", "east-b": "scot-east", "west-a": "scot-west"}
	line, err := newLine(run.fleet.address(), run.fleet.store.address, run.trouble)
	if err != nil {
		return false, err
	}
	run.fleet.lines = map[string]string{"west-a": line.address}
	if err = run.deploy(18, 2); err != nil {
		return false, err
	}
	west, err := run.fleet.startMachine("edge-west-a-1", "gateway", "west-a")
	if err != nil {
		return false, err
	}
	if !run.fleet.awaitReady(10 * time.Second) {
		return false, fmt.Errorf("the gateway of the other region wasn't ready in time")
	}
	time.Sleep(3 * time.Second)
	east := run.fleet.machines[0]
	job := job{id: run.id()}
	for range rowsItems {
		job.items = append(job.items, item{id: run.id(), work: work{Events: rowsEvents, Bytes: rowsBytes, PauseUS: rowsPauseUS}})
	}
	if !run.client.submit(job, run.fleet.machines[:2], 10*time.Second) {
		return false, errNotAccepted
	}
	for deadline := time.Now().Add(25 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		page, status := run.client.read(east, job.id, rowsItems-1, 5*time.Second)
		if status == 200 && len(page.Results) == 1 {
			break
		}
		if time.Now().After(deadline) {
			return false, errNotAccepted
		}
	}
	run.record.log("client: all items of job %s are listed, as read at %s", job.id, east.name)
	time.Sleep(finishTime)
	var counts tally
	read, began := 0, time.Now()
	for tries := 0; time.Since(began) < farLook && read < rowsItems; tries++ {
		page, status := run.client.read(west, job.id, read, farPatience)
		counts.add(status)
		read += len(page.Results)
		if tries < 5 || status == 200 && tries%20 == 0 {
			run.record.log("client: read at %s from position %d: status %d, %d results", west.name, read-len(page.Results), status, len(page.Results))
		}
		if status != 200 {
			time.Sleep(farPause)
		}
	}
	run.record.log("client: read at %s in %.1f s: %d of %d results; statuses (0: no answer in %v): %v", west.name, time.Since(began).Seconds(), read, rowsItems, farPatience, &counts)
	results, total, status, whole := run.client.readAll([]*machine{east}, job.id, 20*time.Second)
	run.record.log("client: read at %s: status %d, %d of %d results, to the end: %v", east.name, status, len(results), total, whole)
	run.ends()
	return read < rowsItems, nil
}
