package whole

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/gomega"

	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/tool/client"
)

func (rig *rig) admin(entry string) *client.Client {
	return client.New(rig.adminURLs[entry], rig.operatorKey.Secret)
}

// applyIntent makes a plan of an intent and confirms it.
func (rig *rig) applyIntent(entry string, intent model.Intent) admin.Confirmed {
	ctx, cancel := context.WithTimeout(rig.ctx, eventTimeout)
	defer cancel()
	plan, err := rig.admin(entry).Plan(ctx, intent)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	confirmed, err := rig.admin(entry).Confirm(ctx, plan.Digest)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return confirmed
}

func (rig *rig) createKey(entry, organisation string) admin.CreatedKey {
	created, err := rig.admin(entry).CreateKey(rig.ctx, admin.NewKey{Organisation: organisation})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = rig.admin(entry).Confirm(rig.ctx, created.Plan.Digest)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return created
}

// baseIntent returns an intent with one organisation and a route each to the model
// and to the order service. The given engines serve the model.
func baseIntent(engines ...string) model.Intent {
	intent := model.Intent{
		Organisations: []model.Organisation{{Name: "lothian", Rate: 500, Burst: 1000}},
		Models:        []model.Model{{Name: modelName, Version: "1"}},
		Services:      []model.Service{{Name: "desk", Idempotent: []string{http.MethodGet}}},
		Routes: []model.Route{
			{Name: "chat", Model: modelName, Batch: true, FirstByte: setup.Duration{Duration: 5 * time.Second}, Between: setup.Duration{Duration: 2 * time.Second}},
			{Name: "orders", Service: "desk"},
		},
		Targets: []model.Target{{Name: "desk", Services: []string{"desk"}, Online: true}},
	}
	for _, name := range engines {
		intent.Targets = append(intent.Targets, model.Target{Name: name, Models: []string{modelName}, Online: true, Batch: true})
	}
	return intent
}

// startFleet starts two entries and, for each engine, the engine and its side. If
// there are engines, it waits until both entries answer completions.
func (rig *rig) startFleet(engines ...string) {
	for i, name := range engines {
		zone := fmt.Sprintf("east-%d", i%2+1)
		rig.side("side-"+name, zone, nil, engineTarget(name, rig.engine(name)))
	}
	rig.entry("entry-a", "east-1", nil)
	rig.entry("entry-b", "east-2", nil)
	rig.applyIntent("entry-a", baseIntent(engines...))
	rig.key = rig.createKey("entry-a", "lothian").Key
	if len(engines) > 0 {
		rig.waitReady("entry-a")
		rig.waitReady("entry-b")
	}
}

// waitReady waits until an entry answers a completion request.
func (rig *rig) waitReady(entry string) {
	gomega.Eventually(func() int {
		status, _ := rig.call(entry, http.MethodPost, "/v1/completions", `{"model":"wording","prompt":"ready","max_tokens":1}`)
		return status
	}, eventTimeout, pollInterval).Should(gomega.Equal(http.StatusOK))
}

// request returns a request that carries the rig's caller key.
func (rig *rig) request(entry, method, path, body string) *http.Request {
	request, err := http.NewRequestWithContext(rig.ctx, method, rig.callerURLs[entry]+path, strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+rig.key)
	request.Header.Set("Content-Type", "application/json")
	return request
}

// call sends a request and returns the status and body of its answer. If no
// complete answer arrives, it returns 0 and the text of the error.
func (rig *rig) call(entry, method, path, body string) (int, string) {
	return rig.do(rig.request(entry, method, path, body))
}

func (rig *rig) do(request *http.Request) (int, string) {
	response, err := rig.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var data bytes.Buffer
	if _, err = data.ReadFrom(response.Body); err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, data.String()
}

func chatBody(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, modelName, stream, tokens, text)
}
