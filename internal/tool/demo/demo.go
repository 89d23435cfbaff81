// Package demo runs a fleet in one process with embedded stand-ins and demonstrates
// configuration, keys, online requests, a plain service and a batch job step by step.
package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/entry/reply"
	"github.com/agatestage/agatestage/internal/fake/engine"
	"github.com/agatestage/agatestage/internal/tool/client"
	"github.com/agatestage/agatestage/internal/tool/world"
)

const (
	modelName    = "wording"
	modelVersion = "1"
	serviceName  = "lamps"
	region       = "scot-east"
	slots        = 8
	organisation = "lothian"
	callerPort   = 8080
	adminPort    = 8081
	readyTimeout = 15 * time.Second
	// withdrawTimeout is the time within which a withdrawn key must stop working.
	withdrawTimeout = 5 * time.Second
	pollInterval    = 50 * time.Millisecond
	batchItems      = 40
	batchTimeout    = 60 * time.Second
)

// Run runs the demo and prints its steps. If once is set, it returns after the last
// step; otherwise the fleet keeps running until the process is interrupted.
func Run(out io.Writer, once bool) (err error) {
	folder, err := os.MkdirTemp("", "agatestage-demo-")
	if err != nil {
		return errors.Wrap(err, "create demo folder")
	}
	defer os.RemoveAll(folder)
	spec := fleet()
	if !once {
		spec.Entries[0].CallerPort, spec.Entries[0].AdminPort = callerPort, adminPort
	}
	var fleet *world.World
	if fleet, err = world.New(folder, spec); err != nil {
		_ = fleet.Stop()
		return err
	}
	script := newScript(out, fleet)
	if err = script.runSteps(); err != nil {
		_ = fleet.Stop()
		return err
	}
	if !once {
		script.keepRunning()
	}
	if err = fleet.Stop(); err != nil {
		return err
	}
	script.printStep("stopped gracefully")
	return nil
}

// fleet describes two entries, two engines and a plain service in two zones.
func fleet() world.Spec {
	first, second := world.Place{Region: region, Zone: region + "-1"}, world.Place{Region: region, Zone: region + "-2"}
	return world.Spec{
		Home:    region,
		Entries: []world.Entry{{Place: first, Name: "entry-a"}, {Place: second, Name: "entry-b"}},
		Engines: []world.Engine{
			{Place: first, Name: "engine-a", Model: modelName, Slots: slots, Timing: engine.DefaultTiming()},
			{Place: second, Name: "engine-b", Model: modelName, Slots: slots, Timing: engine.DefaultTiming()},
		},
		Services: []world.Service{{Place: first, Name: serviceName}},
	}
}

// script runs the steps of the demo.
type script struct {
	out    io.Writer
	world  *world.World
	admin  *client.Client
	caller string
	http   *http.Client
	key    admin.CreatedKey
	step   int
}

func newScript(out io.Writer, fleet *world.World) *script {
	return &script{
		out:    out,
		world:  fleet,
		admin:  client.New(fleet.AdminURL("entry-a"), fleet.Operator.Secret),
		caller: fleet.CallerURL("entry-a"),
		http:   &http.Client{},
	}
}

func (script *script) printStep(format string, args ...any) {
	script.step++
	fmt.Fprintf(script.out, "%2d. %s\n", script.step, fmt.Sprintf(format, args...))
}

// runSteps runs the steps in order and returns the first error.
func (script *script) runSteps() error {
	script.printStep("started 2 entries, 3 sides, 2 engines, 1 plain service, a store and a host list")
	for _, step := range []func() error{
		script.configure, script.createKey, script.chat, script.callService, script.batch, script.withdraw,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// intent returns the configuration of the demo.
func intent() model.Intent {
	return model.Intent{
		Organisations: []model.Organisation{{Name: organisation, Rate: 50, Burst: 100}},
		Models:        []model.Model{{Name: modelName, Version: modelVersion}},
		Services:      []model.Service{{Name: serviceName, Idempotent: []string{http.MethodGet}}},
		Routes: []model.Route{
			{Name: "chat", Model: modelName, Batch: true, Timeout: setup.Duration{Duration: 30 * time.Second}},
			{Name: "lookup", Service: serviceName},
		},
		Targets: []model.Target{
			{Name: "engine-a", Models: []string{modelName}, Online: true, Batch: true},
			{Name: "engine-b", Models: []string{modelName}, Online: true, Batch: true},
			{Name: serviceName, Services: []string{serviceName}, Online: true},
		},
	}
}

func (script *script) configure() error {
	ctx := context.Background()
	plan, err := script.admin.Plan(ctx, intent())
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	script.printStep("planned %d changes on revision %d, digest %s", len(plan.Steps), plan.Base, plan.Digest)
	var confirmed admin.Confirmed
	if confirmed, err = script.admin.Confirm(ctx, plan.Digest); err != nil {
		return errors.Wrap(err, "confirm")
	}
	if !confirmed.Everywhere {
		return errors.New("the configuration is not in force everywhere")
	}
	script.printStep("confirmed: revision %d is in force on %d entries", confirmed.Revision, len(confirmed.Nodes))
	return nil
}

func (script *script) createKey() (err error) {
	ctx := context.Background()
	if script.key, err = script.admin.CreateKey(ctx, admin.NewKey{Organisation: organisation}); err != nil {
		return errors.Wrap(err, "create key")
	}
	if _, err = script.admin.Confirm(ctx, script.key.Plan.Digest); err != nil {
		return errors.Wrap(err, "confirm key")
	}
	script.printStep("created key %s for organisation %s", script.key.ID, organisation)
	return script.waitFor("a ready engine", readyTimeout, func() (bool, error) {
		status, _, err := script.post("/v1/completions", `{"model":"wording","prompt":"ready?","max_tokens":1}`)
		return status == http.StatusOK, err
	})
}

// waitFor polls until done returns true or an error, or the limit has passed.
func (script *script) waitFor(what string, limit time.Duration, done func() (bool, error)) error {
	deadline := script.world.Clock().Now().Add(limit)
	for script.world.Clock().Now().Before(deadline) {
		ok, err := done()
		if err != nil || ok {
			return err
		}
		<-script.world.Clock().After(pollInterval)
	}
	return errors.Errorf("timed out after %v waiting for %s", limit, what)
}

func (script *script) request(method, path, body string) (*http.Response, error) {
	request, err := http.NewRequest(method, script.caller+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+script.key.Key)
	request.Header.Set("Content-Type", "application/json")
	return script.http.Do(request)
}

func (script *script) do(method, path, body string) (int, []byte, error) {
	response, err := script.request(method, path, body)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

func (script *script) post(path, body string) (int, []byte, error) {
	return script.do(http.MethodPost, path, body)
}

func (script *script) chat() error {
	body := `{"model":"wording","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Remind Morag to replace the UVB lamp."}]}`
	response, err := script.request(http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	events, done := 0, false
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			events++
			done = data == "[DONE]"
		}
	}
	if response.StatusCode != http.StatusOK || !done {
		return errors.Errorf("chat answer incomplete: status %d after %d events", response.StatusCode, events)
	}
	script.printStep("streamed a chat answer in %d events", events)
	return nil
}

func (script *script) callService() error {
	status, data, err := script.post("/svc/"+serviceName+"/orders/uvb-12", "{}")
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("the plain service answered with status %d: %s", status, data)
	}
	script.printStep("called the plain service: %s", bytes.TrimSpace(data))
	return nil
}

// batchState holds the fields of a job's status that the demo reads.
type batchState struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// batch submits a job, waits until it is completed and reads its results.
func (script *script) batch() error {
	var lines strings.Builder
	for i := range batchItems {
		fmt.Fprintf(&lines, `{"custom_id":"label-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"wording","max_tokens":8,"messages":[{"role":"user","content":"Label for starter culture %d"}]}}`+"\n", i, i)
	}
	request, err := http.NewRequest(http.MethodPost, script.caller+"/v1/batches", strings.NewReader(lines.String()))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+script.key.Key)
	request.Header.Set("Content-Type", "application/jsonl")
	request.Header.Set("Idempotency-Key", "demo")
	response, err := script.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var state batchState
	if err = json.NewDecoder(response.Body).Decode(&state); err != nil || response.StatusCode != http.StatusOK {
		return errors.Errorf("the job was not accepted: status %d", response.StatusCode)
	}
	script.printStep("accepted job %s with %d items", state.ID, batchItems)
	err = script.waitFor("the job", batchTimeout, func() (bool, error) {
		_, data, err := script.do(http.MethodGet, "/v1/batches/"+state.ID, "")
		if err != nil {
			return false, err
		}
		return state.Status == "completed", json.Unmarshal(data, &state)
	})
	if err != nil {
		return err
	}
	_, data, err := script.do(http.MethodGet, "/v1/files/file-"+strings.TrimPrefix(state.ID, "batch_")+"-output/content", "")
	if err != nil {
		return err
	}
	results := bytes.Count(data, []byte("\n"))
	if state.Counts.Completed != batchItems || results != batchItems {
		return errors.Errorf("the job completed %d items and has %d results, want %d", state.Counts.Completed, results, batchItems)
	}
	script.printStep("job ended: %d completed, %d failed, %d results read", state.Counts.Completed, state.Counts.Failed, results)
	return nil
}

func (script *script) withdraw() error {
	ctx := context.Background()
	plan, err := script.admin.WithdrawKey(ctx, script.key.ID)
	if err != nil {
		return errors.Wrap(err, "withdraw key")
	}
	if _, err = script.admin.Confirm(ctx, plan.Digest); err != nil {
		return errors.Wrap(err, "confirm withdrawal")
	}
	var problem reply.Problem
	err = script.waitFor("the key to stop working", withdrawTimeout, func() (bool, error) {
		status, data, err := script.post("/v1/completions", `{"model":"wording","prompt":"still there?"}`)
		if err != nil || status == http.StatusOK {
			return false, err
		}
		return true, json.Unmarshal(data, &problem)
	})
	if err != nil {
		return err
	}
	if problem.Code != agatestage.CodeWithdrawn {
		return errors.Errorf("the withdrawn key was refused with %s", problem.Code)
	}
	script.printStep("withdrew the key: refused with %s, ran: %s", problem.Code, problem.Ran)
	return nil
}

// keepRunning creates a new key, prints commands that use it and waits for SIGINT or
// SIGTERM.
func (script *script) keepRunning() {
	if err := script.createKey(); err != nil {
		fmt.Fprintln(script.out, err)
		return
	}
	fmt.Fprintf(script.out, `
The fleet runs until interrupted. Try:

  curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model":"wording","stream":true,"messages":[{"role":"user","content":"Write a reminder."}]}'
  curl %[1]s/v1/models -H 'Authorization: Bearer %[2]s'
  curl -X POST %[1]s/svc/lamps/orders/uvb-13 -H 'Authorization: Bearer %[2]s'
  curl http://%[3]s/admin/v1/status -H 'Authorization: Bearer %[4]s'
  go run ./cmd/agatestage burn --metrics http://%[5]s --entry http://%[3]s --key %[4]s --html burn.html

`, script.caller, script.key.Key, script.world.Entries["entry-a"].AdminAddress(), script.world.Operator.Secret,
		script.world.Entries["entry-a"].MetricsAddress())
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	<-ctx.Done()
}
