package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	caseHost = "case.example"
	caseKey  = "2b9wu3fexd9dnn2ctnfz"
)

// item is an item of a job and what it is to do.
type item struct {
	id   string
	work work
	// padding is how many bytes its body has beyond its work.
	padding int
}

func (item item) body() []byte {
	data, _ := json.Marshal(item.work)
	return append(data, bytes.Repeat([]byte(" "), item.padding)...)
}

// job is a batch job.
type job struct {
	id    string
	items []item
}

// client is a client of the fleet, whose calls each come on a new connection.
type client struct {
	names  names
	record *record
	http   *http.Client
}

func newClient(names names, record *record) *client {
	return &client{names: names, record: record, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// call makes one call and returns its status and body. The status is 0 if there was no whole answer.
func (client *client) call(method, address, path string, header map[string]string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = caseHost
	request.Header.Set(client.names.Key, caseKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// encode returns the body of a job's submission.
func (client *client) encode(job job) []byte {
	var list []map[string]any
	for _, item := range job.items {
		list = append(list, map[string]any{
			"id": item.id, "path": "/jobs/3/" + item.id, "body": base64.StdEncoding.EncodeToString(item.body()), "token_count": 250 + item.work.Events,
			"headers": map[string]string{client.names.Model: "m", client.names.Tokens: fmt.Sprintf("250,%d", item.work.Events), client.names.Prefix: "9c2e41:100," + item.id[:8] + ":150"},
		})
	}
	data, _ := json.Marshal(map[string]any{"items": list})
	return data
}

// submit submits a job until it is accepted, at one gateway after the other.
func (client *client) submit(job job, machines []*machine, timeout time.Duration) bool {
	body, deadline := client.encode(job), time.Now().Add(timeout)
	for try := 0; time.Now().Before(deadline); try++ {
		at := machines[try%len(machines)]
		status, _ := client.call(http.MethodPost, at.callers, "/jobs/"+job.id, map[string]string{client.names.Attempt: job.id, "Content-Type": "application/json"}, body, 5*time.Second)
		client.record.log("client: job %s (%d items, %d bytes) sent to %s: %d", job.id, len(job.items), len(body), at.name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// result is one result of a job.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// page is one page of results.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next_token"`
	Results []result `json:"results"`
}

// read reads a page of a job's results.
func (client *client) read(at *machine, id string, after int, timeout time.Duration) (page page, status int) {
	status, data := client.call(http.MethodGet, at.callers, fmt.Sprintf("%s%s?after=%d", client.names.Lots, id, after), map[string]string{client.names.Wait: "500"}, nil, timeout)
	if status != http.StatusOK {
		return page, status
	}
	if err := json.Unmarshal(data, &page); err != nil {
		return page, 0
	}
	return page, status
}

// readAll reads a job's results from the start, and again after each failure, until it gets no more or
// the time is over. It returns the results, the total, the last status, and whether there were no more.
func (client *client) readAll(machines []*machine, id string, timeout time.Duration) (results []result, total, last int, whole bool) {
	deadline := time.Now().Add(timeout)
	for try := 0; time.Now().Before(deadline); {
		page, status := client.read(machines[try%len(machines)], id, len(results), 5*time.Second)
		if last = status; status != http.StatusOK {
			try++
			time.Sleep(300 * time.Millisecond)
			continue
		}
		results, total = append(results, page.Results...), page.Total
		if len(results) >= total || len(page.Results) == 0 {
			return results, total, last, true
		}
	}
	return results, total, last, false
}

// tally counts statuses.
type tally struct {
	mutex  sync.Mutex
	counts map[int]int
}

func (tally *tally) add(status int) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	if tally.counts == nil {
		tally.counts = make(map[int]int)
	}
	tally.counts[status]++
}

func (tally *tally) String() string {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	return fmt.Sprint(tally.counts)
}

// callers sends plain requests at a steady rate, each to the next gateway that is ready, until ctx ends.
func (client *client) callers(ctx context.Context, machines []*machine, perSecond int, counts *tally) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		go func() {
			id := fmt.Sprintf("%016x", 0xa000000000000000+uint64(n))
			status, _ := client.call(http.MethodPost, machines[n%len(machines)].callers, "/plain/"+id, map[string]string{client.names.Attempt: id, client.names.Deadline: "1500"}, []byte(`{"pause_us":20000}`), 2*time.Second)
			counts.add(status)
		}()
	}
}
