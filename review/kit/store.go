package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxEntries is how many entries a transaction may have, valueBytes how large a value
	// may be, pageItems and pageBytes how large a page, and historyTime how long the
	// history goes back.
	maxEntries  = 32
	valueBytes  = 1 << 20
	pageItems   = 500
	pageBytes   = 1 << 20
	historyTime = 20 * time.Second
	answerTime  = 4 * time.Millisecond
	firstAsOf   = 100
	leaseCheck  = 20 * time.Millisecond
	minTTL      = 1000
	maxTTL      = 600_000
)

// Item is a record of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type change struct {
	Item
	at time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is a stand-in of the platform's store.
type Store struct {
	record   *Record
	mutex    sync.Mutex
	items    map[string]Item
	history  []change
	forgot   uint64
	revision uint64
	leases   map[uint64]*lease
	next     uint64
	changed  chan struct{}
	down     bool
	rejected int
	server   *http.Server
	listener net.Listener
}

// NewStore starts a store at a free port of a loopback address.
func NewStore(ip string, record *Record) (*Store, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	store := &Store{
		record: record, items: make(map[string]Item), leases: make(map[uint64]*lease), revision: firstAsOf, forgot: firstAsOf,
		changed: make(chan struct{}), listener: listener,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", store.get)
	mux.HandleFunc(Name("range"), store.list)
	mux.HandleFunc(Name("watch"), store.watch)
	mux.HandleFunc(Name("transaction"), store.transact)
	mux.HandleFunc("POST /v1/kv-lease", store.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", store.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", store.end)
	store.server = &http.Server{Handler: store.gate(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = store.server.Serve(listener) }()
	go store.expire()
	return store, nil
}

// Address returns where the store listens.
func (store *Store) Address() string { return store.listener.Addr().String() }

// Close stops the store.
func (store *Store) Close() { _ = store.server.Close() }

// SetDown makes the store refuse all calls with 503, or serve them again. Leases pause
// meanwhile.
func (store *Store) SetDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
	if !down {
		for _, lease := range store.leases {
			lease.ends = time.Now().Add(lease.ttl)
		}
	}
}

// Rejected returns how many transactions were refused as too large.
func (store *Store) Rejected() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.rejected
}

func (store *Store) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(answerTime)
		store.mutex.Lock()
		down := store.down
		store.mutex.Unlock()
		if down {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (store *Store) expire() {
	for range time.Tick(leaseCheck) {
		store.mutex.Lock()
		now := time.Now()
		for id, lease := range store.leases {
			if !store.down && now.After(lease.ends) {
				store.dropLease(id)
			}
		}
		store.mutex.Unlock()
	}
}

// dropLease ends a lease and removes its keys; the mutex must be held.
func (store *Store) dropLease(id uint64) {
	delete(store.leases, id)
	var keys []string
	for key, item := range store.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		store.apply(nil, keys)
	}
}

// apply writes and removes records under one new revision; the mutex must be held.
func (store *Store) apply(set []Item, drop []string) uint64 {
	store.revision++
	now := time.Now()
	for _, item := range set {
		item.Revision, item.Created = store.revision, store.revision
		if before, ok := store.items[item.Key]; ok {
			item.Created = before.Created
		}
		store.items[item.Key] = item
		store.history = append(store.history, change{Item: item, at: now})
	}
	for _, key := range drop {
		if _, ok := store.items[key]; ok {
			delete(store.items, key)
			store.history = append(store.history, change{Item: Item{Key: key, Revision: store.revision, Removed: true}, at: now})
		}
	}
	for len(store.history) > 0 && now.Sub(store.history[0].at) > historyTime {
		store.forgot = store.history[0].Revision
		store.history = store.history[1:]
	}
	close(store.changed)
	store.changed = make(chan struct{})
	return store.revision
}

// Put writes a record as the operator or an engine does.
func (store *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.apply([]Item{{Key: key, Value: data}}, nil)
}

// Remove removes a record.
func (store *Store) Remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.apply(nil, []string{key})
}

func reply(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	writer.WriteHeader(status)
	// A caller that has left doesn't matter.
	_, _ = writer.Write(data)
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	item, ok := store.items[request.FormValue("key")]
	asOf := store.revision
	store.mutex.Unlock()
	if !ok {
		reply(writer, http.StatusNotFound, map[string]uint64{"as_of": asOf})
		return
	}
	reply(writer, http.StatusOK, struct {
		Item
		AsOf uint64 `json:"as_of"`
	}{item, asOf})
}

func (store *Store) list(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.FormValue("path_prefix"), request.FormValue("after")
	store.mutex.Lock()
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, more := []Item{}, 0, false
	for _, key := range keys {
		item := store.items[key]
		if size += len(item.Value); len(page) == pageItems || (len(page) > 0 && size > pageBytes) {
			more = true
			break
		}
		page = append(page, item)
	}
	asOf := store.revision
	store.mutex.Unlock()
	reply(writer, http.StatusOK, map[string]any{"items": page, "has_more": more, "as_of": asOf})
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request) {
	prefix := request.FormValue("path_prefix")
	after, _ := strconv.ParseUint(request.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(request.FormValue("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		store.mutex.Lock()
		if after < store.forgot {
			store.mutex.Unlock()
			reply(writer, http.StatusGone, struct{}{})
			return
		}
		events := []Item{}
		for _, change := range store.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
				events = append(events, change.Item)
			}
		}
		asOf, changed, down := store.revision, store.changed, store.down
		store.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || expired {
			reply(writer, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expect"`
	Set []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"set_keys"`
	Drop []string `json:"drop"`
}

func (store *Store) transact(writer http.ResponseWriter, request *http.Request) {
	var body transaction
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var set []Item
	large := false
	for _, row := range body.Set {
		set = append(set, Item{Key: row.Key, Value: row.Value, Lease: row.Lease})
		large = large || len(row.Value) > valueBytes
		if strings.HasPrefix(row.Key, "op/") || strings.HasPrefix(row.Key, "servers/") {
			reply(writer, http.StatusForbidden, struct{}{})
			return
		}
	}
	if entries := len(body.Expect) + len(body.Set) + len(body.Drop); entries > maxEntries || large {
		store.rejected++
		store.record.Add("store: a transaction of %d entries is refused with 400", entries)
		reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	for _, item := range set {
		if item.Lease != 0 && store.leases[item.Lease] == nil {
			reply(writer, http.StatusNotFound, struct{}{})
			return
		}
	}
	current, failed := []Item{}, false
	for _, row := range body.Expect {
		item, ok := store.items[row.Key]
		if ok {
			current = append(current, item)
		}
		failed = failed || item.Revision != row.Revision
	}
	if failed {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	reply(writer, http.StatusOK, map[string]uint64{"revision": store.apply(set, body.Drop)})
}

func (store *Store) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := min(max(body.TTL, minTTL), maxTTL)
	store.mutex.Lock()
	store.next++
	id := store.next
	store.leases[id] = &lease{ttl: time.Duration(ttl) * time.Millisecond, ends: time.Now().Add(time.Duration(ttl) * time.Millisecond)}
	store.mutex.Unlock()
	reply(writer, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl})
}

func (store *Store) keep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	lease := store.leases[id]
	if lease == nil {
		reply(writer, http.StatusNotFound, struct{}{})
		return
	}
	lease.ends = time.Now().Add(lease.ttl)
	reply(writer, http.StatusOK, map[string]any{"lease": id, "ttl_ms": lease.ttl.Milliseconds()})
}

func (store *Store) end(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.leases[id] == nil {
		reply(writer, http.StatusNotFound, struct{}{})
		return
	}
	store.dropLease(id)
	reply(writer, http.StatusOK, struct{}{})
}

// Keys returns the keys with a prefix, for the record.
func (store *Store) Keys(prefix string) (keys []string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for key := range store.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Value returns the value of a key.
func (store *Store) Value(key string) []byte {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.items[key].Value
}
