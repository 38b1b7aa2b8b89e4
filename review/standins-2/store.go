package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the metadata store as PROTOCOL.md shows it.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Compacted bool   `json:"is_compacted,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// metadataStore is a stand-in for the platform's metadata store.
type metadataStore struct {
	addr     string
	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision uint64
	leases   map[uint64]*storeLease
	changed  chan struct{}
}

func startStore(addr string) (*metadataStore, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &metadataStore{addr: l.Addr().String(), items: map[string]storeItem{}, revision: 100, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.leaseEnd)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(4 * time.Millisecond)
			w.Header().Set("Store-Era", "1")
			w.Header().Set("Content-Type", "application/json")
			mux.ServeHTTP(w, r)
		}))
	}()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// put writes a key as the operator does, without a lease.
func (s *metadataStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.wake()
}

// keys returns the number of keys with a prefix.
func (s *metadataStore) keys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func (s *metadataStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets a key at the present revision. The caller holds the lock.
func (s *metadataStore) write(key string, value []byte, lease uint64) {
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

// remove removes a key at the present revision. The caller holds the lock.
func (s *metadataStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Compacted: true})
	}
}

func (s *metadataStore) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.wake()
}

func (s *metadataStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *metadataStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, 404, map[string]any{"current_rev": s.revision})
		return
	}
	answer(w, 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "current_rev": s.revision})
}

func (s *metadataStore) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	answer(w, 200, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *metadataStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			answer(w, 200, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metadataStore) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present, holds := []storeItem{}, true
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		if ok {
			present = append(present, i)
		}
	}
	if !holds {
		answer(w, 412, map[string]any{"items": present})
		return
	}
	for _, x := range t.Writes {
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			answer(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, x := range t.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.wake()
	answer(w, 200, map[string]any{"revision": s.revision})
}

func (s *metadataStore) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	ttl := time.Duration(max(b.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(70000 + s.revision*1000 + uint64(len(s.leases)))
	for s.leases[id] != nil {
		id++
	}
	s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *metadataStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, 404, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *metadataStore) leaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, 404, map[string]any{})
		return
	}
	s.endLease(id)
	answer(w, 200, map[string]any{})
}
