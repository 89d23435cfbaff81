package kit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Answer is what a client got. Status is 0 if the connection ended without an answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Call sends a request on a connection of its own.
func (fleet *Fleet) Call(gateway *Gateway, method, path, id string, header map[string]string, body []byte, timeout time.Duration) (answer Answer) {
	request, err := http.NewRequest(method, "http://"+gateway.Front+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host, request.Close = Host, true
	request.Header.Set("X-Api-Key", Key)
	if id != "" {
		request.Header.Set(Name("attempt"), id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	answer = Answer{Status: response.StatusCode, Header: response.Header}
	if answer.Body, answer.Err = io.ReadAll(response.Body); answer.Err != nil {
		answer.Status = 0
	}
	return answer
}

// BatchItem is an item of a batch job.
type BatchItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"token_count"`
}

// Job returns a batch job of so many items with bodies of so many bytes.
func Job(id string, items, bodyBytes int) (list []BatchItem) {
	for i := range items {
		body := bytes.Repeat([]byte{byte('a' + i%26)}, bodyBytes)
		list = append(list, BatchItem{
			ID: fmt.Sprintf("%s-%d", id, i), Path: BatchPrefix + strconv.Itoa(i), Body: body, Tokens: 940,
			Headers: map[string]string{Name("model"): "m", Name("usage"): "540,400", Name("prefix"): fmt.Sprintf("9c2e41:300,%x:240", i+1)},
		})
	}
	return list
}

// Submit sends a batch job to a gateway.
func (fleet *Fleet) Submit(gateway *Gateway, id string, items []BatchItem) Answer {
	body := JSON(map[string]any{"items": items})
	answer := fleet.Call(gateway, http.MethodPost, BatchPrefix+id, id, map[string]string{"Content-Type": "application/json"}, body, 5500*time.Millisecond)
	fleet.Record.Add("client: batch job %s with %d items, %d bytes, at %s: %d %s", id, len(items), len(body), gateway.Name, answer.Status, answer.text())
	return answer
}

// Results is a page of results.
type Results struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// Read reads the states of a batch job's listed items, from the start.
func (fleet *Fleet) Read(gateway *Gateway, id string) (states map[string]string, total int, answer Answer) {
	states = make(map[string]string)
	for after := 0; ; {
		answer = fleet.Call(gateway, http.MethodGet, fmt.Sprintf("%s%s?after=%d", Name("jobs"), id, after), "", nil, nil, 5*time.Second)
		if answer.Status != http.StatusOK {
			return states, total, answer
		}
		var page Results
		if err := json.Unmarshal(answer.Body, &page); err != nil {
			answer.Err = err
			return states, total, answer
		}
		total = page.Total
		for _, result := range page.Results {
			states[result.ID] = result.State
		}
		if len(page.Results) == 0 || page.Next >= page.Total {
			return states, total, answer
		}
		after = page.Next
	}
}

func (answer Answer) text() string {
	if answer.Err != nil {
		return answer.Err.Error()
	}
	if answer.Status >= http.StatusBadRequest {
		return string(answer.Body[:min(len(answer.Body), 200)])
	}
	return ""
}

// Text describes an answer that is no success.
func (answer Answer) Text() string { return answer.text() }
