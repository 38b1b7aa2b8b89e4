package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's key-value store. It speaks what PROTOCOL.md says.
type store struct {
	mu sync.Mutex
	// era states how often the store has returned from a copy.
	era      uint64
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]lease
	nextID   uint64
	changed  chan struct{}
	// busy is set while the store answers each call with 503, since busySince.
	busy      bool
	busySince time.Time
	addr      string
}

type item struct {
	Key         string `json:"key"`
	Value       []byte `json:"value"`
	Revision    uint64 `json:"revision"`
	Created     uint64 `json:"created"`
	Lease       uint64 `json:"lease"`
	IsCompacted bool   `json:"is_compacted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func startStore(addr string) (*store, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &store{era: 1, revision: 10, items: map[string]item{}, leases: map[uint64]lease{}, nextID: 100, changed: make(chan struct{}), addr: addr}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// setBusy makes the store answer each call with 503, or as usual again. Leases pause meanwhile.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if busy && !s.busy {
		s.busySince = time.Now()
	}
	if !busy && s.busy {
		for id, l := range s.leases {
			l.ends = l.ends.Add(time.Since(s.busySince))
			s.leases[id] = l
		}
	}
	s.busy = busy
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			delete(s.leases, id)
			s.removeLease(id)
		}
	}
}

func (s *store) removeLease(id uint64) {
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, IsCompacted: true})
	s.notify()
}

// put writes a key and returns the revision. The caller holds s.mu.
func (s *store) put(key string, value []byte, leaseID uint64) uint64 {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
	s.notify()
	return s.revision
}

// operatorPut writes a key of the operator; the return is the acknowledgement.
func (s *store) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *store) currentEra() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.FormatUint(s.era, 10)
}

// storeCopy is what a copy of the store holds.
type storeCopy struct {
	madeAt   time.Time
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]lease
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{time.Now(), s.revision, maps.Clone(s.items), slices.Clone(s.events), maps.Clone(s.leases)}
}

// returnFrom lets a store that is down come back from a copy, in a new era.
func (s *store) returnFrom(c storeCopy) {
	s.mu.Lock()
	s.revision, s.items, s.events, s.leases = c.revision, c.items, c.events, c.leases
	for id, l := range s.leases { // they had as long to go in the copy
		l.ends = l.ends.Add(time.Since(c.madeAt))
		s.leases[id] = l
	}
	s.busy = false
	s.era++
	s.notify()
	s.mu.Unlock()
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	if s.isBusy() {
		w.Header().Set("Store-Era", s.currentEra())
		reply(w, 503, map[string]any{})
		return
	}
	w.Header().Set("Store-Era", s.currentEra())
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch {
	case r.Method == "GET" && r.URL.Path == "/v1/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		rev := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{"current_rev": rev})
			return
		}
		reply(w, 200, struct {
			item
			CurrentRev uint64 `json:"current_rev"`
		}{i, rev})
	case r.Method == "GET" && r.URL.Path == "/v1/kv-range":
		s.mu.Lock()
		out := []item{}
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				out = append(out, i)
			}
		}
		rev := s.revision
		s.mu.Unlock()
		sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
		more := len(out) > 500
		if more {
			out = out[:500]
		}
		reply(w, 200, map[string]any{"items": out, "has_more": more, "current_rev": rev})
	case r.Method == "GET" && r.URL.Path == "/v1/kv-watch":
		s.watch(w, r)
	case r.Method == "POST" && r.URL.Path == "/v1/kv-txn":
		s.txn(w, r)
	case r.Method == "POST" && r.URL.Path == "/v1/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, 400, map[string]any{})
			return
		}
		ttl := min(max(body.TTL, 1000), 600_000)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = lease{time.Duration(ttl) * time.Millisecond, time.Now().Add(time.Duration(ttl) * time.Millisecond)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl})
	case r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/v1/kv-keep/"), 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.ends = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/v1/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		delete(s.leases, id)
		s.removeLease(id)
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	expired := false
	for {
		s.mu.Lock()
		if s.busy {
			s.mu.Unlock()
			reply(w, 503, map[string]any{})
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if after > rev {
			reply(w, 410, map[string]any{"current_rev": rev})
			return
		}
		if len(events) > 0 || expired {
			reply(w, 200, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Expect)+len(body.Writes)+len(body.Remove) > 32 {
		reply(w, 400, map[string]any{"error": fmt.Sprint(err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expect {
		if s.items[e.Key].Revision != e.Revision {
			items := []item{}
			for _, e := range body.Expect {
				if i, ok := s.items[e.Key]; ok {
					items = append(items, i)
				}
			}
			reply(w, 412, map[string]any{"items": items})
			return
		}
	}
	for _, x := range body.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			reply(w, 404, map[string]any{})
			return
		}
	}
	for _, x := range body.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, k := range body.Remove {
		s.remove(k)
	}
	reply(w, 200, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
