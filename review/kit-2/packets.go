package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The numbers of the case.
const (
	packetEngines, packetGateways = 53, 4
	// A burst has so many calls, each of which takes a while. The next one comes after a pause in which
	// the gateway has no calls.
	packetCalls, packetWorkUS = 300, 200_000
	packetPause               = 200 * time.Millisecond
	// freezeTime is how long a machine stands still, and wakeTime how long it runs until the next freeze.
	freezeTime, wakeTime = 3200 * time.Millisecond, time.Second
	// freezes is how often one of the machines stands still.
	freezes = 25
)

// packets has machines stand still while calls come in bursts at another one. Datagrams are lost when a
// machine wakes and finds many of them.
func packets(run *trial) (broken bool, err error) {
	if err = run.fleet.configure(); err != nil {
		return false, err
	}
	for i := range packetEngines {
		if err = run.fleet.engines.start(fmt.Sprintf("i-%08x", run.random.Uint32()), "app", []string{"east-a", "east-b"}[i%2], run.fleet.address()); err != nil {
			return false, err
		}
	}
	if err = run.deploy(0, packetGateways); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var counts tally
	done := make(chan struct{})
	go func() {
		defer close(done)
		run.bursts(ctx, run.fleet.machines[0], &counts)
	}()
	for n := range freezes {
		time.Sleep(wakeTime)
		// One machine at a time, two of them by turns.
		frozen := run.fleet.machines[1+n%2]
		if run.trouble {
			frozen.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if run.trouble {
			frozen.signal(syscall.SIGCONT)
			run.record.log("platform: %s has stood still for %v and wakes", frozen.name, freezeTime)
		}
	}
	time.Sleep(wakeTime)
	cancel()
	<-done
	run.record.log("callers: statuses of calls, sent to %s: %v", run.fleet.machines[0].name, &counts)
	for _, machine := range run.fleet.machines {
		run.record.panics(machine)
	}
	_, often := run.ends()
	return often >= 2, nil
}

// bursts sends bursts of calls to a machine until ctx ends.
func (run *trial) bursts(ctx context.Context, at *machine, counts *tally) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2 * packetCalls, DisableCompression: true}}
	for n := 0; ctx.Err() == nil; {
		var all sync.WaitGroup
		for range packetCalls {
			n++
			id := fmt.Sprintf("%016x", 0xb000000000000000+uint64(n))
			all.Go(func() {
				request, _ := http.NewRequest(http.MethodPost, "http://"+at.callers+"/plain/"+id, bytes.NewReader(fmt.Appendf(nil, `{"pause_us":%d}`, packetWorkUS)))
				request.Host = caseHost
				request.Header.Set(run.names.Key, caseKey)
				request.Header.Set(run.names.Attempt, id)
				request.Header.Set(run.names.Deadline, "1500")
				response, err := client.Do(request)
				if err != nil {
					counts.add(0)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				counts.add(response.StatusCode)
			})
		}
		all.Wait()
		time.Sleep(packetPause)
	}
}
