package store

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"
)

// errConnectionCut is the error that a client gets when the store closes its
// connection without a response.
var errConnectionCut = errors.New("connection cut by the store")

// faults are the injected faults.
type faults struct {
	down             bool
	requestDelay     time.Duration
	droppedResponses int
	// staleEntries is what reads see during stale reads, otherwise nil.
	staleEntries map[string]entry
}

// SetDown starts or ends an outage. During an outage the connection of every
// request, blocking reads included, is closed and the request has no effect.
func (s *Store) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = on
	s.wakeReaders()
}

// SetDelay delays each request by the duration before it takes effect; 0 ends the
// delay.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.requestDelay = delay
}

// DropResponses makes the next n writes take effect and closes their connections
// without a response.
func (s *Store) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.droppedResponses = n
}

// SetStaleReads makes reads return the state at this moment, or ends that. Writes
// still act on the current state.
func (s *Store) SetStaleReads(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.staleEntries = nil
	if on {
		s.faults.staleEntries = maps.Clone(s.entries)
	}
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.down
}

// awaitDelay waits for the injected delay. It returns false if the client gave up
// first.
func (s *Store) awaitDelay(r *http.Request) bool {
	s.mu.Lock()
	delay := s.faults.requestDelay
	s.mu.Unlock()
	if delay == 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Transport returns an HTTP client transport that calls the store without a
// socket, so that it can be used with testing/synctest.
func (s *Store) Transport() http.RoundTripper { return transport{s} }

type transport struct{ store *Store }

// RoundTrip handles the request in its own goroutine and returns early when the
// request's context is done, as with a socket.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	responses := make(chan *http.Response, 1)
	if r.Body == nil {
		r.Body = http.NoBody
	}
	go func() {
		defer close(responses)
		defer recoverAbort()
		w := &recorder{header: make(http.Header), status: http.StatusOK}
		t.store.ServeHTTP(w, r)
		responses <- w.response(r)
	}()
	select {
	case response, ok := <-responses:
		if !ok {
			return nil, errConnectionCut
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// recoverAbort recovers the panic by which a handler closes its connection
// without a response.
func recoverAbort() {
	if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
		panic(cause)
	}
}

// recorder is a response writer that keeps the response in memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *recorder) Header() http.Header            { return w.header }
func (w *recorder) WriteHeader(status int)         { w.status = status }
func (w *recorder) Write(data []byte) (int, error) { return w.body.Write(data) }

func (w *recorder) response(r *http.Request) *http.Response {
	return &http.Response{
		StatusCode: w.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: w.header, Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Request: r,
	}
}
