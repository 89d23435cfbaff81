package kit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// queueLength is how many requests wait at an engine beside those that run.
	queueLength = 24
	// stride is how many tokens an event has.
	stride = 6
)

// Engine is a stand-in of a model engine.
type Engine struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Version is that of its weights.
	Version int
	// Events is the number of events of an answer, or 0 if the request says how many tokens it
	// may have, of which an event has stride. EventBytes is the size of the data of each and
	// Pause the time between two.
	Events     int
	EventBytes int
	Pause      time.Duration
	// Quiet keeps single runs out of the record.
	Quiet bool

	record   *Record
	store    *Store
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	mutex    sync.Mutex
	waiting  int
	running  map[string]int
	done     map[string]int
	begun    map[string]int
	turned   int
	crashed  bool
	born     int64
}

// Start starts the engine at a free port of a loopback address and registers it.
func (engine *Engine) Start(ip string, store *Store, record *Record) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	engine.listener, engine.store, engine.record, engine.born = listener, store, record, time.Now().UnixMilli()
	engine.slots, engine.running = make(chan struct{}, engine.Slots), make(map[string]int)
	engine.done, engine.begun = make(map[string]int), make(map[string]int)
	engine.server = &http.Server{Handler: http.HandlerFunc(engine.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = engine.server.Serve(listener) }()
	store.Put("servers/"+engine.ID, map[string]any{
		"service": engine.Service, "address": listener.Addr().String(), "zone": engine.Zone, "version": "v1", "slots": engine.Slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": engine.born,
	})
	return nil
}

// Crash ends the engine for good: its connections are reset and nothing listens. Its entry
// is removed after the given time, three heartbeat intervals.
func (engine *Engine) Crash(entryLapses time.Duration) {
	engine.record.Add("engine %s crashes for good", engine.ID)
	engine.mutex.Lock()
	engine.crashed = true
	engine.mutex.Unlock()
	engine.Close()
	time.AfterFunc(entryLapses, func() {
		engine.record.Add("store: the entry of engine %s is removed", engine.ID)
		engine.store.Remove("servers/" + engine.ID)
	})
}

// Close ends the engine.
func (engine *Engine) Close() {
	if engine.server != nil {
		_ = engine.server.Close()
	}
}

// Crashed reports whether the engine has crashed.
func (engine *Engine) Crashed() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.crashed
}

// Running returns the IDs of the requests that run or wait now.
func (engine *Engine) Running() (ids []string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for id := range engine.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Begun returns how many runs of a request have begun, Done how many have ended, and Turned
// how many requests were turned away with 421.
func (engine *Engine) Begun(id string) int { return engine.count(engine.begun, id) }

// Done returns how many runs of a request have ended with their last event.
func (engine *Engine) Done(id string) int { return engine.count(engine.done, id) }

func (engine *Engine) count(counts map[string]int, id string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return counts[id]
}

// Turned returns how many requests were turned away with 421.
func (engine *Engine) Turned() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.turned
}

func (engine *Engine) serve(writer http.ResponseWriter, request *http.Request) {
	id, header := request.Header.Get(Name("attempt")), writer.Header()
	header.Set(Name("instance"), engine.ID)
	header.Set(Name("versions"), strconv.Itoa(engine.Version))
	if request.URL.Path == "/health" {
		return
	}
	header.Set(Name("attempt"), id)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	expected, version := request.Header.Get(Name("expectInstance")), request.Header.Get(Name("expectVersion"))
	if expected != "" && expected != engine.ID || version != "" && version != strconv.Itoa(engine.Version) {
		engine.mutex.Lock()
		engine.turned++
		engine.mutex.Unlock()
		engine.record.Add("engine %s (weights %d) turns %s away with 421: expected instance %q, expected version %q", engine.ID, engine.Version, id, expected, version)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !engine.admit(request) {
		header.Set(Name("notExecuted"), "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-engine.slots }()
	engine.begin(id)
	defer engine.end(id)
	header.Set(Name("seal"), "seal."+id)
	header.Set("Content-Type", "text/event-stream")
	engine.stream(writer, request, id)
}

// admit waits for a slot in order of arrival, or refuses if the queue is full.
func (engine *Engine) admit(request *http.Request) bool {
	engine.mutex.Lock()
	if engine.waiting >= queueLength {
		engine.mutex.Unlock()
		return false
	}
	engine.waiting++
	engine.mutex.Unlock()
	defer func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		engine.waiting--
	}()
	select {
	case engine.slots <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (engine *Engine) begin(id string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.running[id]++
	engine.begun[id]++
}

func (engine *Engine) end(id string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.running[id]--; engine.running[id] <= 0 {
		delete(engine.running, id)
	}
}

func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, id string) {
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	engine.note("engine %s runs %s after event %d", engine.ID, id, after)
	controller := http.NewResponseController(writer)
	for number := after + 1; number <= engine.events(request); number++ {
		timer := time.NewTimer(engine.Pause)
		select {
		case <-timer.C:
		case <-request.Context().Done():
			timer.Stop()
			engine.note("engine %s: the run of %s is cut at event %d", engine.ID, id, number)
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, engine.data(id, number)); err != nil || controller.Flush() != nil {
			return
		}
	}
	engine.mutex.Lock()
	engine.done[id]++
	engine.mutex.Unlock()
	engine.note("engine %s has run %s to its end", engine.ID, id)
}

// note records a run.
func (engine *Engine) note(format string, args ...any) {
	if !engine.Quiet {
		engine.record.Add(format, args...)
	}
}

// Ended returns how many runs have ended with their last event.
func (engine *Engine) Ended() (count int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for _, runs := range engine.done {
		count += runs
	}
	return count
}

// events returns how many events the answer to a request has.
func (engine *Engine) events(request *http.Request) int {
	if engine.Events > 0 {
		return engine.Events
	}
	_, output, _ := strings.Cut(request.Header.Get(Name("usage")), ",")
	tokens, _ := strconv.Atoi(output)
	return max(1, tokens/stride)
}

func (engine *Engine) data(id string, number int) string {
	text := fmt.Sprintf("%s.%d.", id, number)
	return text + strings.Repeat("x", max(0, engine.EventBytes-len(text)))
}
