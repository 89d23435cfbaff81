package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The store's limits, which are those of the pages and of a small site.
const (
	storeAnswerTime  = 4 * time.Millisecond
	storeTxnEntries  = 32
	storeValueBytes  = 1 << 20
	storePageItems   = 500
	storePageBytes   = 1 << 20
	storeKeyBytes    = 200
	storeMaxWait     = 30 * time.Second
	storeLeaseMin    = time.Second
	storeLeaseMax    = 10 * time.Minute
	storeLeasePeriod = 50 * time.Millisecond
)

// storeItem is an item of the store, or the removal of one in a watch.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	names    names
	record   *record
	address  string
	listener net.Listener
	// down makes it answer 503 to all calls: nothing is done then.
	down    atomic.Bool
	mutex   sync.Mutex
	items   map[string]storeItem
	history []storeItem
	leases  map[uint64]*storeLease
	// revision is that of the last change, changed is closed with the next one.
	revision  uint64
	nextLease uint64
	changed   chan struct{}
	downSince time.Time
	// refused counts the transactions that were refused by their size.
	refused atomic.Int64
}

// newStore starts a store at an address of the loopback interface.
func newStore(names names, record *record, ip string) (*store, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	store := &store{
		names: names, record: record, address: listener.Addr().String(), listener: listener, items: make(map[string]storeItem),
		leases: make(map[uint64]*storeLease), revision: 1, changed: make(chan struct{}),
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go store.endLeases()
	return store, nil
}

// setDown takes the store down, or up again. Leases pause meanwhile.
func (store *store) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if down {
		store.downSince = time.Now()
	} else {
		for _, lease := range store.leases {
			lease.ends = lease.ends.Add(time.Since(store.downSince))
		}
	}
	store.down.Store(down)
}

// endLeases removes the items of leases that have ended.
func (store *store) endLeases() {
	for range time.Tick(storeLeasePeriod) {
		store.mutex.Lock()
		now := time.Now()
		for id, lease := range store.leases {
			if now.After(lease.ends) && !store.down.Load() {
				store.endLease(id)
			}
		}
		store.mutex.Unlock()
	}
}

// endLease ends a lease and removes its items; the mutex must be held.
func (store *store) endLease(id uint64) {
	delete(store.leases, id)
	var gone []string
	for key, item := range store.items {
		if item.Lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) > 0 {
		store.apply(nil, gone)
	}
}

// apply makes one change; the mutex must be held.
func (store *store) apply(set []storeItem, drop []string) uint64 {
	store.revision++
	for _, item := range set {
		item.Revision = store.revision
		if item.Created = store.items[item.Key].Created; item.Created == 0 {
			item.Created = store.revision
		}
		store.items[item.Key] = item
		store.history = append(store.history, item)
	}
	for _, key := range drop {
		if _, ok := store.items[key]; ok {
			delete(store.items, key)
			store.history = append(store.history, storeItem{Key: key, Revision: store.revision, Removed: true})
		}
	}
	close(store.changed)
	store.changed = make(chan struct{})
	return store.revision
}

// put writes an item as the operator or an engine does.
func (store *store) put(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.apply([]storeItem{{Key: key, Value: value}}, nil)
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	time.Sleep(storeAnswerTime)
	if store.down.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	names, path := store.names, request.URL.Path
	switch {
	case path == names.KVKey && request.Method == http.MethodGet:
		store.get(writer, request)
	case path == names.KVRange && request.Method == http.MethodGet:
		store.list(writer, request)
	case path == names.KVWatch && request.Method == http.MethodGet:
		store.watch(writer, request)
	case path == names.KVTxn && request.Method == http.MethodPost:
		store.commit(writer, body)
	case path == names.KVLease && request.Method == http.MethodPost:
		store.grant(writer, body)
	case strings.HasPrefix(path, names.KVKeep) && request.Method == http.MethodPost:
		store.renew(writer, strings.TrimPrefix(path, names.KVKeep), true)
	case strings.HasPrefix(path, names.KVLeaseEnd) && request.Method == http.MethodDelete:
		store.renew(writer, strings.TrimPrefix(path, names.KVLeaseEnd), false)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// reply writes a JSON body.
func reply(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	item, ok := store.items[request.FormValue("key")]
	revision := store.revision
	store.mutex.Unlock()
	if !ok {
		reply(writer, http.StatusNotFound, map[string]any{"as_of": revision})
		return
	}
	reply(writer, http.StatusOK, struct {
		storeItem
		AsOf uint64 `json:"as_of"`
	}{item, revision})
}

func (store *store) list(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.FormValue("path_prefix"), request.FormValue("after")
	store.mutex.Lock()
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, size, more := []storeItem{}, 0, false
	for _, key := range keys {
		if size += len(store.items[key].Value); len(page) == storePageItems || size > storePageBytes && len(page) > 0 {
			more = true
			break
		}
		page = append(page, store.items[key])
	}
	revision := store.revision
	store.mutex.Unlock()
	reply(writer, http.StatusOK, map[string]any{"items": page, "has_more": more, "as_of": revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	prefix := request.FormValue("path_prefix")
	after, _ := strconv.ParseUint(request.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(request.FormValue("wait_ms"))
	timer := time.NewTimer(min(storeMaxWait, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	for {
		store.mutex.Lock()
		first, _ := slices.BinarySearchFunc(store.history, after+1, func(item storeItem, revision uint64) int {
			return int(int64(item.Revision) - int64(revision))
		})
		events := []storeItem{}
		for _, item := range store.history[first:] {
			if strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				ended = true
			case <-request.Context().Done():
				return
			}
		}
		if len(events) > 0 || ended {
			if store.down.Load() {
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			reply(writer, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
	}
}

// transaction is the body of a transaction.
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

func (store *store) commit(writer http.ResponseWriter, body []byte) {
	var txn transaction
	if err := json.Unmarshal(body, &txn); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if entries := len(txn.Expect) + len(txn.Set) + len(txn.Drop); entries > storeTxnEntries {
		if store.refused.Add(1) <= 5 {
			store.record.log("store: a transaction with %d entries (%d expect, %d set_keys, %d drop; %d bytes, first key %q) is refused with 400: it accepts at most %d",
				entries, len(txn.Expect), len(txn.Set), len(txn.Drop), len(body), txn.Set[0].Key, storeTxnEntries)
		}
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range txn.Set {
		if len(row.Value) > storeValueBytes || len(row.Key) > storeKeyBytes {
			store.record.log("store: a transaction is refused with 400: key %q of %d bytes, value of %d bytes", row.Key, len(row.Key), len(row.Value))
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		if strings.HasPrefix(row.Key, "op/") || strings.HasPrefix(row.Key, store.names.Servers) {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
	}
	store.mutex.Lock()
	current, failed := []storeItem{}, false
	for _, row := range txn.Expect {
		item, ok := store.items[row.Key]
		if ok {
			current = append(current, item)
		}
		failed = failed || item.Revision != row.Revision
	}
	if failed {
		store.mutex.Unlock()
		reply(writer, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	var set []storeItem
	for _, row := range txn.Set {
		if _, ok := store.leases[row.Lease]; row.Lease != 0 && !ok {
			store.mutex.Unlock()
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		set = append(set, storeItem{Key: row.Key, Value: row.Value, Lease: row.Lease})
	}
	revision := store.apply(set, txn.Drop)
	store.mutex.Unlock()
	reply(writer, http.StatusOK, map[string]any{"revision": revision})
}

func (store *store) grant(writer http.ResponseWriter, body []byte) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(storeLeaseMax, max(storeLeaseMin, time.Duration(call.TTL)*time.Millisecond))
	store.mutex.Lock()
	store.nextLease++
	id := store.nextLease
	store.leases[id] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	store.mutex.Unlock()
	reply(writer, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

// renew renews or ends a lease.
func (store *store) renew(writer http.ResponseWriter, text string, keep bool) {
	id, _ := strconv.ParseUint(text, 10, 64)
	store.mutex.Lock()
	lease, ok := store.leases[id]
	if ok && keep {
		lease.ends = time.Now().Add(lease.ttl)
	} else if ok {
		store.endLease(id)
	}
	store.mutex.Unlock()
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	reply(writer, http.StatusOK, map[string]any{"lease": id})
}

// String describes the state of the store.
func (store *store) String() string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	bytes := 0
	for _, item := range store.items {
		bytes += len(item.Value)
	}
	return fmt.Sprintf("%d items, %d bytes, revision %d", len(store.items), bytes, store.revision)
}
