package store

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"
)

// errCut is what a client sees of a connection that was cut.
var errCut = errors.New("connection cut by the store")

// faults are the failures that are switched on.
type faults struct {
	down        bool
	slow        time.Duration
	loseAnswers int
	past        map[string]entry
}

// SetDown switches an outage on or off. During one, each call's connection is
// cut without effect, waiting reads included.
func (s *Store) SetDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = on
	s.wakeAll()
}

// SetDelay delays each call by the duration before it takes effect; 0 ends it.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slow = delay
}

// DropResponses lets the next n writes take effect and cuts their answers.
func (s *Store) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// SetStaleReads freezes what reads see at the present state, or ends that.
// Writes still act on the true state.
func (s *Store) SetStaleReads(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.past = nil
	if on {
		s.faults.past = maps.Clone(s.entries)
	}
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.down
}

// sleep waits as long as the store is slow; false when the caller left.
func (s *Store) sleep(r *http.Request) bool {
	s.mu.Lock()
	delay := s.faults.slow
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

// Transport returns a client's transport that reaches the store without a
// socket, so that it can be used under testing/synctest.
func (s *Store) Transport() http.RoundTripper { return transport{s} }

type transport struct{ store *Store }

// RoundTrip runs the call in its own goroutine and returns early when the
// caller gives up, as a socket would.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	answered := make(chan *http.Response, 1)
	if r.Body == nil {
		r.Body = http.NoBody
	}
	go func() {
		defer close(answered)
		defer recoverCut()
		w := &recorder{header: make(http.Header), status: http.StatusOK}
		t.store.ServeHTTP(w, r)
		answered <- w.response(r)
	}()
	select {
	case response, ok := <-answered:
		if !ok {
			return nil, errCut
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// recoverCut ends a call whose connection was cut; it has no answer.
func recoverCut() {
	if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
		panic(cause)
	}
}

// recorder keeps an answer in memory.
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
