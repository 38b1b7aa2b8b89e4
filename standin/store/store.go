// Package store is a stand-in for the platform's key-value service. It speaks
// the part of Consul's published HTTP API that the system uses: /v1/kv with
// compare-and-swap, deletion and blocking reads, and /v1/session for leases.
// Transactions are left out, since the platform promises none.
//
// Every change takes the next index of one counter. A blocking read waits
// until its key has changed past the index that the reader knows, or until the
// wait has passed. Faults are switched on by methods, and every call is
// counted, a waiting read as one.
package store

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// MaxValueBytes is the size in bytes of the largest value that is accepted.
const MaxValueBytes = 1 << 20

// maxWait bounds one blocking read.
const maxWait = 10 * time.Minute

// entry is one key's value. A deleted key keeps its last change in
// Store.changed only.
type entry struct {
	value            []byte
	created, changed uint64
	lockIndex        uint64
	session          string
}

// Counts are the calls that a store has answered or failed to answer.
type Counts struct {
	// Reads counts plain reads.
	Reads int
	// Watches counts blocking reads, each as one call.
	Watches int
	// Writes counts puts, deletions and acquisitions.
	Writes int
	// Sessions counts creations, renewals and ends of sessions.
	Sessions int
}

// Total is the number of calls of every sort.
func (c Counts) Total() int { return c.Reads + c.Watches + c.Writes + c.Sessions }

// Store is one running stand-in. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	index    uint64
	entries  map[string]entry
	changed  map[string]uint64
	sessions map[string]*session
	wake     chan struct{} // closed and replaced whenever anything changes
	faults   faults
	counts   Counts

	mux      *http.ServeMux
	server   *http.Server
	listener net.Listener
}

// New returns a store that listens on no address; Transport reaches it.
func New() *Store {
	s := &Store{
		index:    1,
		entries:  make(map[string]entry),
		changed:  make(map[string]uint64),
		sessions: make(map[string]*session),
		wake:     make(chan struct{}),
		mux:      http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.handleGet)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.handlePut)
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.handleDelete)
	s.mux.HandleFunc("PUT /v1/session/create", s.handleSessionCreate)
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.handleSessionRenew)
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.handleSessionDestroy)
	return s
}

// Start returns a store that serves on the address, such as "127.0.0.1:0".
func Start(addr string) (*Store, error) {
	s := New()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL is the address to give to clients, without a trailing slash.
func (s *Store) URL() string {
	if s.listener == nil {
		return "http://store.invalid"
	}
	return "http://" + s.listener.Addr().String()
}

// Close cuts all connections and ends all leases' timers.
func (s *Store) Close() {
	s.mu.Lock()
	for _, held := range s.sessions {
		held.timer.Stop()
	}
	s.mu.Unlock()
	if s.server != nil {
		// The server knows its listener only once its goroutine has begun.
		_ = s.listener.Close()
		_ = s.server.Close()
	}
}

// Counts returns the calls counted since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP answers one call, or fails it as the faults say.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count(r)
	if !s.sleep(r) || s.isDown() {
		panic(http.ErrAbortHandler) // cuts the connection without an answer
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Store) count(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(r.URL.Path) > len("/v1/session") && r.URL.Path[:len("/v1/session")] == "/v1/session":
		s.counts.Sessions++
	case r.Method != http.MethodGet:
		s.counts.Writes++
	case r.URL.Query().Has("index"):
		s.counts.Watches++
	default:
		s.counts.Reads++
	}
}

// touch records a change of the key and wakes the waiting reads. The caller
// holds the lock.
func (s *Store) touch(key string) uint64 {
	s.index++
	s.changed[key] = s.index
	s.wakeAll()
	return s.index
}

func (s *Store) wakeAll() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// readValue reads a bounded body; ok is false when it was too large or cut.
func readValue(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "value is larger than 1 MB or was cut off", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return value, true
}
