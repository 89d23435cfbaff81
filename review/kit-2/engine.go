package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots = 8
	engineQueue = 24
	// beatPeriod is how often an engine writes its entry.
	beatPeriod = 1200 * time.Millisecond
)

// work is what an engine is to do for a request, as the request's body states it: a stream of so
// many events with so many bytes of data each, and a pause before each of them.
type work struct {
	Events  int `json:"events"`
	Bytes   int `json:"bytes"`
	PauseUS int `json:"pause_us"`
}

// eventData returns the data of an event, which names its request and its number.
func eventData(id string, number, bytes int) string {
	data := fmt.Sprintf("%s.%d.", id, number)
	if len(data) < bytes {
		data += strings.Repeat("x", bytes-len(data))
	}
	return data
}

// engines are the engines of a deployment, and what they have run.
type engines struct {
	names  names
	record *record
	store  *store
	mutex  sync.Mutex
	// begun and finished hold how often each request began and ended with its last event, last when
	// one last did the latter, and running those that an engine has now, queued ones too.
	begun, finished map[string]int
	last            time.Time
	running         map[string]int
}

// engine is one engine.
type engine struct {
	*engines
	id      string
	slots   chan struct{}
	waiting chan struct{}
}

func newEngines(names names, record *record, store *store) *engines {
	return &engines{names: names, record: record, store: store, begun: make(map[string]int), finished: make(map[string]int), running: make(map[string]int)}
}

// start starts an engine of a service in a zone.
func (engines *engines) start(id, service, zone, ip string) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	engine := &engine{engines: engines, id: id, slots: make(chan struct{}, engineSlots), waiting: make(chan struct{}, engineQueue)}
	server := &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	born := time.Now().UnixMilli()
	entry := func(sequence int) {
		data, _ := json.Marshal(map[string]any{
			"service": service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": born, "stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "lora_adapters": []any{}}},
		})
		engines.store.put(engines.names.Servers+id, data)
	}
	entry(1)
	go func() {
		sequence := 1
		for range time.Tick(beatPeriod) {
			if sequence++; !engines.store.down.Load() {
				entry(sequence)
			}
		}
	}()
	return nil
}

// add changes how many engines have a request.
func (engines *engines) add(id string, count int) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	if engines.running[id] += count; engines.running[id] == 0 {
		delete(engines.running, id)
	}
}

// ServeHTTP implements http.Handler.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	names := engine.names
	id := request.Header.Get(names.Attempt)
	writer.Header().Set(names.Attempt, id)
	if request.URL.Path == "/health" {
		writer.Header().Set(names.Instance, engine.id)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get(names.Expect); expected != "" && expected != engine.id {
		writer.Header().Set(names.Instance, engine.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		writer.Header().Set(names.NotExecuted, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx := request.Context()
	if limit, err := strconv.Atoi(request.Header.Get(names.Deadline)); err == nil && limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(limit)*time.Millisecond)
		defer cancel()
	}
	engine.add(id, 1)
	defer engine.add(id, -1)
	select {
	case engine.slots <- struct{}{}:
	default:
		select {
		case engine.waiting <- struct{}{}:
		default:
			writer.Header().Set(names.NotExecuted, "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case engine.slots <- struct{}{}:
			<-engine.waiting
		case <-ctx.Done():
			<-engine.waiting
			writer.Header().Set(names.NotExecuted, "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	defer func() { <-engine.slots }()
	engine.run(ctx, writer, request, id, body)
}

// run runs a request in a slot.
func (engine *engine) run(ctx context.Context, writer http.ResponseWriter, request *http.Request, id string, body []byte) {
	engine.mutex.Lock()
	engine.begun[id]++
	engine.mutex.Unlock()
	var asked work
	if len(body) > 0 {
		_ = json.Unmarshal([]byte(strings.TrimRight(string(body), " ")), &asked)
	}
	after, _ := strconv.Atoi(request.Header.Get(engine.names.LastEvent))
	writer.Header().Set(engine.names.Seal, "seal-"+id)
	if asked.Events == 0 {
		time.Sleep(time.Duration(asked.PauseUS) * time.Microsecond)
		_, _ = io.WriteString(writer, "done "+id)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	began := time.Now()
	for number := after + 1; number <= asked.Events; number++ {
		timer := time.NewTimer(time.Until(began.Add(time.Duration((number-after)*asked.PauseUS) * time.Microsecond)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, eventData(id, number, asked.Bytes)); err != nil || controller.Flush() != nil {
			return
		}
	}
	engine.finish(id)
}

// finish notes that a request has run to its end.
func (engines *engines) finish(id string) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.finished[id]++
	engines.last = time.Now()
}

// state returns how many requests have run to their end, how many engines have now, and how long
// ago the last one ended.
func (engines *engines) state() (finished, running int, since time.Duration) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	return len(engines.finished), len(engines.running), time.Since(engines.last)
}
