package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// itemsPerJob is the size of one batch job; an organisation's jobs run one after
	// another.
	itemsPerJob  = 2000
	pollInterval = 250 * time.Millisecond
)

// jobState holds the fields of a job's status that the load run reads.
type jobState struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// batchLoad keeps batch jobs running and checks that each item has one result.
type batchLoad struct {
	caller     *caller
	profile    Profile
	mutex      sync.Mutex
	ended      int
	lost       int
	duplicated int
	errs       []error
}

// run runs one job of an organisation after another until ctx ends. It then cancels
// the last job and checks the results that it has.
func (batchLoad *batchLoad) run(ctx context.Context, organisation string, entry int) {
	for number := 0; ctx.Err() == nil; number++ {
		if err := batchLoad.job(ctx, organisation, entry, number); err != nil && ctx.Err() == nil {
			batchLoad.mutex.Lock()
			batchLoad.errs = append(batchLoad.errs, err)
			batchLoad.mutex.Unlock()
			return
		}
	}
}

// job submits one job and polls it until it ends; it cancels the job if ctx ends.
func (batchLoad *batchLoad) job(ctx context.Context, organisation string, entry, number int) error {
	var lines strings.Builder
	for i := range itemsPerJob {
		body := chatBody(batchLoad.caller.prefixes[organisation], promptText(fmt.Sprintf("item %d of %d", i, number), batchLoad.profile.PromptWords), batchLoad.profile.BatchTokens, false)
		fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", i, body)
	}
	var job jobState
	if err := batchLoad.sendJSON(organisation, entry, http.MethodPost, "/v1/batches", lines.String(), &job); err != nil {
		return err
	}
	counted := 0
	for job.Status != "completed" && job.Status != "cancelled" {
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			if err := batchLoad.sendJSON(organisation, entry, http.MethodPost, "/v1/batches/"+job.ID+"/cancel", "", &job); err != nil {
				return err
			}
		case <-timer.C:
			if err := batchLoad.sendJSON(organisation, entry, http.MethodGet, "/v1/batches/"+job.ID, "", &job); err != nil {
				return err
			}
		}
		if ctx.Err() == nil {
			ended := job.Counts.Completed + job.Counts.Failed
			batchLoad.addEnded(ended - counted)
			counted = max(counted, ended)
		}
	}
	return batchLoad.checkResults(organisation, entry, job)
}

func (batchLoad *batchLoad) addEnded(items int) {
	batchLoad.mutex.Lock()
	defer batchLoad.mutex.Unlock()
	batchLoad.ended += max(0, items)
}

func (batchLoad *batchLoad) endedItems() int {
	batchLoad.mutex.Lock()
	defer batchLoad.mutex.Unlock()
	return batchLoad.ended
}

// checkResults compares a job's results with its counts and adds up the lost and
// duplicated ones.
func (batchLoad *batchLoad) checkResults(organisation string, entry int, job jobState) error {
	data, err := batchLoad.send(organisation, entry, http.MethodGet, "/v1/files/file-"+strings.TrimPrefix(job.ID, "batch_")+"-output/content", "")
	if err != nil {
		return err
	}
	resultCounts := make(map[string]int)
	for _, line := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
		var result struct {
			CustomID string `json:"custom_id"`
		}
		if json.Unmarshal(line, &result) == nil && result.CustomID != "" {
			resultCounts[result.CustomID]++
		}
	}
	batchLoad.mutex.Lock()
	defer batchLoad.mutex.Unlock()
	for _, count := range resultCounts {
		batchLoad.duplicated += count - 1
	}
	batchLoad.lost += max(0, job.Counts.Completed+job.Counts.Failed-len(resultCounts))
	return nil
}

func (batchLoad *batchLoad) sendJSON(organisation string, entry int, method, path, body string, answer any) error {
	data, err := batchLoad.send(organisation, entry, method, path, body)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, answer), "decode answer")
}

func (batchLoad *batchLoad) send(organisation string, entry int, method, path, body string) ([]byte, error) {
	request, err := http.NewRequest(method, batchLoad.caller.entries[entry]+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+batchLoad.caller.keys[organisation])
	request.Header.Set("Content-Type", "application/jsonl")
	var response *http.Response
	if response, err = batchLoad.caller.http.Do(request); err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, data)
	}
	return data, err
}
