// Package store simulates the platform's key-value service. It implements the
// part of Consul's published HTTP API that the system uses: /v1/kv with
// compare-and-swap, deletion and blocking reads, and /v1/session for leases.
// Transactions are left out, since the platform does not guarantee them.
//
// Every change takes the next index of one counter. A blocking read waits until
// its key has changed after the index that the client knows, or until the wait
// has passed. Methods inject faults. Every request is counted, a blocking read as
// one.
package store

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// MaxValueBytes is the size of the largest value that is accepted.
const MaxValueBytes = 1 << 20

// maxWait is the longest that one blocking read waits.
const maxWait = 10 * time.Minute

// entry is the value of one key. Of a deleted key, only the index of its last
// change remains, in Store.changed.
type entry struct {
	value            []byte
	created, changed uint64 // indexes of the first and the last change
	lockIndex        uint64
	session          string
}

// Counts are the numbers of requests that a store has received, failed ones
// included.
type Counts struct {
	// Reads counts plain reads.
	Reads int
	// Watches counts blocking reads, each as one request.
	Watches int
	// Writes counts puts, deletions, acquisitions and releases.
	Writes int
	// Sessions counts requests that create, renew or destroy a session.
	Sessions int
}

// Total returns the number of requests of all kinds.
func (c Counts) Total() int { return c.Reads + c.Watches + c.Writes + c.Sessions }

// Store is a running simulated store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	index    uint64 // of the last change
	entries  map[string]entry
	changed  map[string]uint64 // index of each key's last change, deletions included
	sessions map[string]*session
	wake     chan struct{} // closed and replaced on every change, to wake blocking reads
	faults   faults
	counts   Counts

	mux      *http.ServeMux
	server   *http.Server
	listener net.Listener
}

// New returns a store that does not listen on an address; clients use Transport.
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

// URL returns the base URL for clients, without a trailing slash. For a store
// without a listener it returns a placeholder, whose host Transport ignores.
func (s *Store) URL() string {
	if s.listener == nil {
		return "http://store.invalid"
	}
	return "http://" + s.listener.Addr().String()
}

// Close closes all connections and stops the timers of all sessions.
func (s *Store) Close() {
	s.mu.Lock()
	for _, sess := range s.sessions {
		sess.timer.Stop()
	}
	s.mu.Unlock()
	if s.server != nil {
		// The server does not know its listener until its goroutine has called Serve.
		_ = s.listener.Close()
		_ = s.server.Close()
	}
}

// Counts returns the number of requests since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP handles one request, subject to the injected faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count(r)
	if !s.awaitDelay(r) || s.isDown() {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	s.mux.ServeHTTP(w, r)
}

// count adds a request to the counts.
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

// recordChange assigns the next index to a change of the key and wakes blocking
// reads. It returns the index. The caller holds the lock.
func (s *Store) recordChange(key string) uint64 {
	s.index++
	s.changed[key] = s.index
	s.wakeReaders()
	return s.index
}

func (s *Store) wakeReaders() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// readValue reads the body of a write. It responds with an error and returns
// false if the body is too large or incomplete.
func readValue(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "value is larger than 1 MB or was cut off", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return value, true
}
