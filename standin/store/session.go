package store

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// session is a lease: the keys acquired under it are released, or deleted,
// when it is not renewed within its time to live.
type session struct {
	ttl    time.Duration
	delete bool
	timer  *time.Timer
}

// sessionRequest is the body of a creation.
type sessionRequest struct {
	TTL      string
	Behavior string
}

// sessionAnswer names a session.
type sessionAnswer struct {
	ID  string
	TTL string `json:",omitempty"`
}

func (s *Store) handleSessionCreate(w http.ResponseWriter, r *http.Request) {
	var request sessionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(request.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "TTL must be a positive duration", http.StatusBadRequest)
		return
	}
	id := rand.Text()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[id] = &session{
		ttl:    ttl,
		delete: request.Behavior == "delete",
		timer:  time.AfterFunc(ttl, func() { s.end(id) }),
	}
	writeJSON(w, sessionAnswer{ID: id})
}

func (s *Store) handleSessionRenew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.PathValue("id")
	held, ok := s.sessions[id]
	if !ok {
		http.Error(w, "session has ended", http.StatusNotFound)
		return
	}
	held.timer.Reset(held.ttl)
	writeJSON(w, []sessionAnswer{{ID: id, TTL: held.ttl.String()}})
}

func (s *Store) handleSessionDestroy(w http.ResponseWriter, r *http.Request) {
	s.end(r.PathValue("id"))
	fmt.Fprint(w, true)
}

// end releases or deletes what the session holds.
func (s *Store) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.sessions[id]
	if !ok {
		return
	}
	held.timer.Stop()
	delete(s.sessions, id)
	for key, e := range s.entries {
		if e.session != id {
			continue
		}
		e.session = ""
		e.changed = s.touch(key)
		s.entries[key] = e
		if held.delete {
			delete(s.entries, key)
		}
	}
}

// acquire gives the lock of an entry to a session that lives, if no other
// holds it. The caller holds the lock.
func (s *Store) acquire(e *entry, id string) bool {
	if _, lives := s.sessions[id]; !lives {
		return false
	}
	if e.session != "" && e.session != id {
		return false
	}
	if e.session == "" {
		e.lockIndex++
	}
	e.session = id
	return true
}
