// Command 1 shows that one caller's expected version of weights takes all engines of a service
// out of use, so that the items of an accepted batch job never run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/agatestage/agatestage/review/kit"
)

const (
	// weights is the version of the engines' weights, expectedVersion that which a client expects.
	weights, expectedVersion = 1, 2
	slots                    = 8
	events                   = 60
	pause                    = 20 * time.Millisecond
	// jobItems and bodyBytes are about those of the site's centre-batch.
	jobItems, bodyBytes = 10, 15000
	// dueTime is result_deadline_ms of the route, finishTime finish_s of the site.
	dueTime, finishTime = 18 * time.Second, 18 * time.Second
	// calmTime is the span before the end in which engines are looked at.
	calmTime = 5 * time.Second
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
	if !fleet.Finishes("first", fleet.Gateways[0], jobItems, bodyBytes, dueTime) {
		fleet.Record.Add("can't run: the job before the disruption isn't done")
		return kit.Failed
	}
	headers := map[string]string{}
	if kit.Trouble() {
		headers[kit.Name("expectVersion")] = strconv.Itoa(expectedVersion)
	}
	// Each request is sent once more at another node after a 503, as the sheet says.
	ask(fleet, "expecting-1", headers, fleet.Gateways[0], fleet.Gateways[1])
	ask(fleet, "expecting-2", headers, fleet.Gateways[2], fleet.Gateways[0])
	for i, gateway := range fleet.Gateways {
		ask(fleet, fmt.Sprintf("other-%d", i), nil, gateway)
	}
	job := kit.Job("second", jobItems, bodyBytes)
	accepted := false
	for _, gateway := range fleet.Gateways {
		if accepted = fleet.Submit(gateway, "second", job).Status == http.StatusAccepted; accepted {
			break
		}
	}
	if !accepted {
		fleet.Record.Add("can't run: the job isn't accepted")
		return kit.Failed
	}
	time.Sleep(dueTime + finishTime - calmTime)
	calm := fleet.Watch(calmTime)
	for i, gateway := range fleet.Gateways {
		ask(fleet, fmt.Sprintf("late-%d", i), nil, gateway)
	}
	return fleet.JudgeLost("second", job, calm)
}

// start starts three gateways, one a zone, and two engines beside each.
func start(fleet *kit.Fleet) error {
	fleet.Configure(7, []string{kit.Service}, kit.BatchRoute(kit.Service), kit.StreamRoute(kit.Service))
	for _, zone := range []string{"east-a", "east-b", "west-a"} {
		for i := range 2 {
			engine := &kit.Engine{ID: fmt.Sprintf("i-%s-%d", zone, i), Service: kit.Service, Zone: zone, Slots: slots, Version: weights, Events: events, Pause: pause}
			if err := fleet.AddEngine(engine); err != nil {
				return err
			}
		}
		if _, err := fleet.AddGateway("edge-"+zone+"-1", zone, fleet.Store.Address()); err != nil {
			return err
		}
	}
	return fleet.AwaitReady(15 * time.Second)
}

// ask sends a stream request, at the next gateway after each answer that promises that it
// hasn't run.
func ask(fleet *kit.Fleet, id string, headers map[string]string, gateways ...*kit.Gateway) {
	all := map[string]string{kit.Name("model"): "m", kit.Name("usage"): "540,60", kit.Name("deadline"): "5000"}
	for name, value := range headers {
		all[name] = value
	}
	for i, gateway := range gateways {
		attempt := fmt.Sprintf("%s-%d", id, i)
		answer := fleet.Call(gateway, http.MethodPost, kit.StreamPrefix+id, attempt, all, []byte("{}"), 6*time.Second)
		fleet.Record.Add("client: %s at %s with %v: %d %s", attempt, gateway.Name, headers, answer.Status, answer.Text())
		if answer.Status != http.StatusServiceUnavailable && answer.Status != http.StatusMisdirectedRequest {
			return
		}
	}
}
