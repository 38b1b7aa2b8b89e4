package world

import (
	"encoding/json"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store in the platform's JSON form.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Compacted bool   `json:"is_compacted,omitempty"`
}

// Store is a stand-in of the platform's metadata store. It never fails.
type Store struct {
	Addr string

	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision uint64
	oldest   uint64 // watches from an earlier revision, or from a later one, get 410
	leases   map[uint64]*lease
	last     uint64
	changed  chan struct{}
	server   *http.Server
	// OnWrite is called with each key that a node writes, while the store is locked. It may
	// be nil.
	OnWrite func(key string, value []byte)
	// Era is what the header Store-Era states in all answers.
	Era uint64

	away bool
	copy *storeCopy
}

// storeCopy is a copy of what the store holds.
type storeCopy struct {
	items    map[string]Item
	revision uint64
	leases   map[uint64]lease
	last     uint64
}

// KeepCopy makes the copy from which Return brings the store back.
func (s *Store) KeepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &storeCopy{items: maps.Clone(s.items), revision: s.revision, leases: map[uint64]lease{}, last: s.last}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	s.copy = c
}

// GoAway ends all answers: connections are closed without one.
func (s *Store) GoAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// Return brings the store back from its copy, in the next era. The time of leases did not run
// while it was away.
func (s *Store) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copy
	s.items, s.revision, s.last, s.history = c.items, c.revision, c.last, nil
	s.leases = map[uint64]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, end: time.Now().Add(l.ttl)}
	}
	s.oldest = s.revision
	s.away = false
	s.Era++
	s.wake()
}

func (s *Store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// serve answers a request, unless the store is away.
func (s *Store) serve(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isAway() {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.FormatUint(s.Era, 10))
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// StartStore serves a store at a free port of the address.
func StartStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: l.Addr().String(), items: map[string]Item{}, leases: map[uint64]*lease{}, revision: 100, Era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: s.serve(mux), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

// Put writes a key for the operator. Its return is the acknowledgement.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Item{Key: key, Value: value})
}

func (s *Store) write(i Item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Compacted: true})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	for now := range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if s.away {
				l.end = l.end.Add(100 * time.Millisecond)
			} else if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []Item{}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []Item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed, away := s.revision, s.changed, s.away
		gone := after < s.oldest || after > s.revision
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		if gone {
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
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
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	status, body := http.StatusOK, map[string]any{}
	var now []Item
	for _, e := range t.Expect {
		now = append(now, s.items[e.Key])
		if s.items[e.Key].Revision != e.Revision {
			status = http.StatusPreconditionFailed
		}
	}
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil && status == http.StatusOK {
			status = http.StatusNotFound
		}
	}
	if status == http.StatusOK {
		for _, x := range t.Writes {
			s.write(Item{Key: x.Key, Value: x.Value, Lease: x.Lease})
			if s.OnWrite != nil {
				s.OnWrite(x.Key, x.Value)
			}
		}
		for _, key := range t.Remove {
			s.remove(key)
		}
		body["revision"] = s.revision
	}
	if status == http.StatusPreconditionFailed {
		body["items"] = now
	}
	s.mu.Unlock()
	reply(w, status, body)
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := time.Duration(t.TTL) * time.Millisecond
	s.mu.Lock()
	s.last++
	id := s.last
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": t.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}
