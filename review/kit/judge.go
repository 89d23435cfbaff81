package kit

import (
	"net/http"
	"strings"
	"time"
)

// checkPeriod is how often engines and jobs are looked at.
const checkPeriod = 100 * time.Millisecond

// Finishes submits a job and reports whether all its items are done in time.
func (fleet *Fleet) Finishes(id string, gateway *Gateway, items, bodyBytes int, within time.Duration) bool {
	if fleet.Submit(gateway, id, Job(id, items, bodyBytes)).Status != http.StatusAccepted {
		return false
	}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(checkPeriod) {
		if states, total, answer := fleet.Read(gateway, id); answer.Status == http.StatusOK && len(states) == total {
			fleet.Record.Add("client: all %d items of job %s are listed", total, id)
			return true
		}
	}
	return false
}

// Calm is what was seen of the engines for some seconds.
type Calm struct {
	// Busy holds items that engines had, and Crowded is true if the engines were half full
	// or more at some moment.
	Busy    map[string]bool
	Crowded bool
	// Engines is the number of engines.
	Engines int
}

// Watch looks at all engines that run for a time.
func (fleet *Fleet) Watch(length time.Duration) Calm {
	calm := Calm{Busy: make(map[string]bool)}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(checkPeriod) {
		running, slots := 0, 0
		calm.Engines = 0
		for _, engine := range fleet.Engines {
			if engine.Crashed() {
				continue
			}
			calm.Engines++
			slots += engine.Slots
			for _, id := range engine.Running() {
				running++
				calm.Busy[id] = true
			}
		}
		calm.Crowded = calm.Crowded || 2*running >= slots
	}
	return calm
}

// JudgeLost checks the rule LOST for items of open batch jobs after finish_s: it is broken
// if an item is listed neither as completed nor as given up, though no engine had an
// unlisted item of the job in the last 5 s and the engines were under half full. It returns
// the exit code.
func (fleet *Fleet) JudgeLost(id string, job []BatchItem, calm Calm) int {
	listed, read := make(map[string]string), false
	for _, gateway := range fleet.Gateways {
		states, total, answer := fleet.Read(gateway, id)
		fleet.Record.Add("client: job %s read at %s: status %d, %d of %d items listed", id, gateway.Name, answer.Status, len(states), total)
		if answer.Status != http.StatusOK {
			continue
		}
		read = true
		for item, state := range states {
			listed[item] = state
		}
	}
	var missing []string
	busy := false
	for _, item := range job {
		if listed[item.ID] == "" {
			missing = append(missing, item.ID)
			busy = busy || calm.Busy[item.ID]
		}
	}
	fleet.Record.Add("judge: job %s: %d of %d items listed; missing: %s; engines that run: %d; one had a missing item in the last %v: %t; half full: %t",
		id, len(job)-len(missing), len(job), strings.Join(missing, " "), calm.Engines, calmSpan, busy, calm.Crowded)
	switch {
	case !read:
		fleet.Record.Add("judge: no gateway answers for the job")
		return Failed
	case len(missing) > 0 && !busy && !calm.Crowded:
		fleet.Record.Add("judge: LOST is broken")
		return Broken
	}
	fleet.Record.Add("judge: LOST held")
	return Held
}

// calmSpan is the span before the end that the rule names.
const calmSpan = 5 * time.Second
