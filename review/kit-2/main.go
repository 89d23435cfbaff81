// Command kit-2 plays the scripts of the second review: it starts the project's gateways as processes on
// loopback addresses, with stand-ins of the platform's store, of engines and of clients.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trial is one run of a case.
type trial struct {
	names   names
	record  *record
	fleet   *fleet
	client  *client
	random  *rand.Rand
	trouble bool
}

// cases are the cases by their names. A case returns whether the rule was broken.
var cases = map[string]func(*trial) (broken bool, err error){
	"rows":    rows,
	"bodies":  bodies,
	"packets": packets,
	"far":     far,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: kit-2 CASE FOLDER, in the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(name, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	run := &trial{record: record, trouble: os.Getenv("TROUBLE") != "0", random: rand.New(rand.NewPCG(1, 2))}
	record.log("case %s, with the disruption: %v", name, run.trouble)
	broken, err := run.play(cases[name], folder)
	switch {
	case err != nil:
		record.log("the case couldn't run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		record.log("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	record.log("the rule held")
	fmt.Println("held")
	return exitHeld
}

func (run *trial) play(play func(*trial) (bool, error), folder string) (broken bool, err error) {
	if play == nil {
		return false, fmt.Errorf("there is no such case")
	}
	if run.names, err = readNames(filepath.Join(folder, "names.json")); err != nil {
		return false, err
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println(temporary)
	}
	root, err := os.Getwd()
	if err != nil {
		return false, err
	}
	if run.fleet, err = newFleet(run.names, run.record, root, temporary); err != nil {
		return false, err
	}
	defer run.fleet.stop()
	run.client = newClient(run.names, run.record)
	return play(run)
}

// id returns an ID like those of the pages.
func (run *trial) id() string { return fmt.Sprintf("%016x", run.random.Uint64()) }

// deploy starts engines and gateways, one a zone by turns, and a keeper, and waits until they are ready.
func (run *trial) deploy(engines, gateways int) error {
	if err := run.fleet.configure(); err != nil {
		return err
	}
	if err := run.fleet.startEngines("llm", engines); err != nil {
		return err
	}
	if engines > 0 {
		if err := run.fleet.startEngines("app", 2); err != nil {
			return err
		}
	}
	for i := range gateways {
		zone := []string{"east-a", "east-b"}[i%2]
		if _, err := run.fleet.startMachine(fmt.Sprintf("edge-%s-%d", zone, 1+i/2), "gateway", zone); err != nil {
			return err
		}
	}
	if !run.fleet.awaitReady(10 * time.Second) {
		return fmt.Errorf("the gateways weren't ready in time")
	}
	time.Sleep(3 * time.Second)
	run.record.log("%d gateways are ready", gateways)
	return nil
}
