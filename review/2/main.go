// Command 2 shows that a gateway that starts again in the region without the store takes back
// the jobs it ran, reads the input of all of them at the same time over the line between the
// regions, gives each read up after the same time, and begins again for good.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/agatestage/agatestage/review/kit"
)

const (
	slots, events = 8, 371
	pause         = 22 * time.Millisecond
	// jobItems is the site's mean, bodyBytes less than its largest body, 290,000 bytes.
	jobItems, bodyBytes = 10, 100_000
	// Before the burst, a job comes each usualGap at the gateway of scot-west, as 0.303 a
	// second do; in the burst six times as many, for burstTime.
	usualGap, usualJobs = 3300 * time.Millisecond, 3
	burstGap, burstJobs = 550 * time.Millisecond, 6
	regionRate          = 30
	regionDelay         = 30 * time.Millisecond
	restartAfter        = time.Second
	dueTime, finishTime = 18 * time.Second, 18 * time.Second
	calmTime            = 5 * time.Second
	readyTime           = 15 * time.Second
	enginesPerZone      = 6
	west                = 3
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, folder string) int {
	fleet, err := kit.NewFleet(root, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kit.Failed
	}
	defer fleet.Stop()
	if err = start(fleet); err != nil {
		fleet.Record.Add("can't run: %v", err)
		return kit.Failed
	}
	accepted := submitAll(fleet)
	if kit.Trouble() {
		gateway := fleet.Gateways[west]
		gateway.Kill()
		time.Sleep(restartAfter)
		if err = gateway.Start(); err != nil {
			return kit.Failed
		}
	}
	time.Sleep(dueTime + finishTime - calmTime)
	calm := fleet.Watch(calmTime)
	code := kit.Held
	for _, job := range accepted {
		code = max(code, fleet.JudgeLost(job.id, job.items, calm))
	}
	return code
}

type accepted struct {
	id    string
	items []kit.BatchItem
}

// submitAll submits the usual jobs and then the burst, at each gateway.
func submitAll(fleet *kit.Fleet) (all []accepted) {
	var mutex sync.Mutex
	var clients sync.WaitGroup
	submit := func(gateway *kit.Gateway, name string) {
		id := fmt.Sprintf("%s-%s", gateway.Name, name)
		job := kit.Job(id, jobItems, bodyBytes)
		if fleet.Submit(gateway, id, job).Status == http.StatusAccepted {
			mutex.Lock()
			defer mutex.Unlock()
			all = append(all, accepted{id, job})
		}
	}
	for _, gateway := range fleet.Gateways {
		clients.Go(func() {
			var calls sync.WaitGroup
			for i := range usualJobs {
				calls.Go(func() { submit(gateway, fmt.Sprint("usual-", i)) })
				time.Sleep(usualGap)
			}
			for i := range burstJobs {
				calls.Go(func() { submit(gateway, fmt.Sprint("burst-", i)) })
				time.Sleep(burstGap)
			}
			calls.Wait()
		})
	}
	clients.Wait()
	return all
}

// start starts the site's four gateways and eighteen engines.
func start(fleet *kit.Fleet) error {
	fleet.Configure(7, []string{kit.Service}, kit.BatchRoute(kit.Service), kit.StreamRoute(kit.Service))
	for _, zone := range []string{"east-a", "east-b", "west-a"} {
		for i := range enginesPerZone {
			engine := &kit.Engine{ID: fmt.Sprintf("i-%s-%d", zone, i), Service: kit.Service, Zone: zone, Slots: slots, Version: 1, Events: events, EventBytes: 60, Pause: pause}
			if err := fleet.AddEngine(engine); err != nil {
				return err
			}
		}
	}
	link, err := kit.NewLink(fleet.IP(), fleet.Store.Address(), regionRate, regionDelay)
	if err != nil {
		return err
	}
	for i, zone := range []string{"east-a", "east-a", "east-b", "west-a"} {
		address := fleet.Store.Address()
		if zone == "west-a" {
			address = link.Address()
		}
		if _, err = fleet.AddGateway(fmt.Sprintf("edge-%s-%d", zone, i), zone, address); err != nil {
			return err
		}
	}
	return fleet.AwaitReady(readyTime)
}
