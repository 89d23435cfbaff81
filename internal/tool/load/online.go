package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/entry/reply"
)

const (
	// Histograms cover 1 µs to 1 min with three significant digits.
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	// drainTimeout bounds the wait for answers after the last arrival.
	drainTimeout = 30 * time.Second
)

// outcome is how one request ended.
type outcome struct {
	arrival arrival
	// admitted is when the answer began, relative to the start of the phase; 0 if
	// the request was not admitted.
	admitted time.Duration
	answered bool
	code     agatestage.Code
}

// phase collects the outcomes and latencies of one phase of a run.
type phase struct {
	mutex         sync.Mutex
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	outcomes      []outcome
}

func newPhase() *phase {
	return &phase{
		firstToken:    hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		betweenTokens: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

func (phase *phase) addOutcome(outcome outcome) {
	phase.mutex.Lock()
	defer phase.mutex.Unlock()
	phase.outcomes = append(phase.outcomes, outcome)
}

// record adds a latency to a histogram, clamped to the histogram's range.
func (phase *phase) record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	phase.mutex.Lock()
	defer phase.mutex.Unlock()
	_ = histogram.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, latency.Microseconds())))
}

// count returns the number of requests that have ended and of those that were
// answered.
func (phase *phase) count() (ended, answered int) {
	phase.mutex.Lock()
	defer phase.mutex.Unlock()
	for _, outcome := range phase.outcomes {
		if outcome.answered {
			answered++
		}
	}
	return len(phase.outcomes), answered
}

// caller sends the requests of a run.
type caller struct {
	http     *http.Client
	entries  []string
	keys     map[string]string
	prefixes map[string]string
}

// run sends each request at its scheduled time and waits for the answers.
func (caller *caller) run(ctx context.Context, arrivals []arrival, progress func(phase *phase)) *phase {
	phase := newPhase()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var requests sync.WaitGroup
	start := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for _, next := range arrivals {
		for time.Since(start) < next.at {
			timer := time.NewTimer(next.at - time.Since(start))
			select {
			case <-ticker.C:
				progress(phase)
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
			if ctx.Err() != nil {
				return phase
			}
		}
		requests.Go(func() { caller.send(ctx, phase, start, next) })
	}
	done := make(chan struct{})
	go func() {
		requests.Wait()
		close(done)
	}()
	limit := time.NewTimer(drainTimeout)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		cancel()
		<-done
	}
	return phase
}

// send sends one request and records its outcome.
func (caller *caller) send(ctx context.Context, phase *phase, start time.Time, next arrival) {
	due := start.Add(next.at)
	result := outcome{arrival: next}
	defer func() { phase.addOutcome(result) }()
	response, err := caller.http.Do(caller.request(ctx, next))
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var problem reply.Problem
		if json.NewDecoder(response.Body).Decode(&problem) == nil {
			result.code = problem.Code
		}
		return
	}
	result.admitted = time.Since(start)
	if next.lookup {
		result.answered = true
		return
	}
	result.answered = caller.readStream(phase, response, due)
}

func (caller *caller) request(ctx context.Context, next arrival) *http.Request {
	url := caller.entries[next.entry]
	method, body := http.MethodGet, ""
	if next.lookup {
		url += "/svc/" + serviceName + "/orders/lamp"
	} else {
		url += "/v1/chat/completions"
		method, body = http.MethodPost, chatBody(caller.prefixes[next.organisation], next.prompt, next.tokens, true)
	}
	// The method and URL are valid, so this can't fail.
	request, _ := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+caller.keys[next.organisation])
	request.Header.Set("Content-Type", "application/json")
	return request
}

func chatBody(prefix, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`,
		modelName, stream, tokens, prefix, prompt)
}

// readStream reads the events of an answer, records their latencies and reports
// whether the answer was complete.
func (caller *caller) readStream(phase *phase, response *http.Response, due time.Time) bool {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 16<<10), 1<<20)
	last := time.Time{}
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return true
		}
		now := time.Now()
		if last.IsZero() {
			phase.record(phase.firstToken, now.Sub(due))
		} else {
			phase.record(phase.betweenTokens, now.Sub(last))
		}
		last = now
	}
	return false
}
