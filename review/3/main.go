// Command 3 shows that the last item of a job stays for good at a gateway whose region has lost
// its engines, although engines of the other region are idle.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/agatestage/agatestage/review/kit"
)

const (
	slots = 8
	pause = 20 * time.Millisecond
	// The job has jobItems items; all but the last are short.
	jobItems, bodyBytes       = 6, 15000
	shortTokens, lastTokens   = 60, 1800
	listTime                  = 6 * time.Second
	dueTime, finishTime       = 18 * time.Second, 18 * time.Second
	calmTime                  = 5 * time.Second
	heartbeat, lapsesAfter    = 1200 * time.Millisecond, 3
	readyTime                 = 15 * time.Second
	checkPeriod               = 50 * time.Millisecond
	westEngine, westGatewayAt = 5, 2
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
	west, engine := fleet.Gateways[westGatewayAt], fleet.Engines[westEngine]
	job := kit.Job("job", jobItems, bodyBytes)
	for i := range job {
		job[i].Headers[kit.Name("usage")] = fmt.Sprintf("250,%d", shortTokens)
	}
	last := &job[jobItems-1]
	last.Headers[kit.Name("usage")] = fmt.Sprintf("250,%d", lastTokens)
	submitted := time.Now()
	if fleet.Submit(west, "job", job).Status != http.StatusAccepted {
		fleet.Record.Add("can't run: the job isn't accepted")
		return kit.Failed
	}
	for {
		states, _, _ := fleet.Read(west, "job")
		if len(states) == jobItems-1 && engine.Begun(last.ID) > 0 {
			break
		}
		if len(states) == jobItems || time.Since(submitted) > listTime {
			fleet.Record.Add("can't run: %d items are listed, and the last one isn't the only one that runs", len(states))
			return kit.Failed
		}
		time.Sleep(checkPeriod)
	}
	fleet.Record.Add("client: all items but the last are listed")
	if kit.Trouble() {
		engine.Crash(lapsesAfter * heartbeat)
	}
	time.Sleep(time.Until(submitted.Add(dueTime + finishTime - calmTime)))
	return fleet.JudgeLost("job", job, fleet.Watch(calmTime))
}

// start starts three gateways, one a zone, and six engines, of which one is in scot-west.
func start(fleet *kit.Fleet) error {
	fleet.Configure(7, []string{kit.Service}, kit.BatchRoute(kit.Service), kit.StreamRoute(kit.Service))
	for i, zone := range []string{"east-a", "east-a", "east-a", "east-b", "east-b", "west-a"} {
		engine := &kit.Engine{ID: fmt.Sprintf("i-%s-%d", zone, i), Service: kit.Service, Zone: zone, Slots: slots, Version: 1, Pause: pause}
		if err := fleet.AddEngine(engine); err != nil {
			return err
		}
	}
	for _, zone := range []string{"east-a", "east-b", "west-a"} {
		if _, err := fleet.AddGateway("edge-"+zone+"-1", zone, fleet.Store.Address()); err != nil {
			return err
		}
	}
	return fleet.AwaitReady(readyTime)
}
