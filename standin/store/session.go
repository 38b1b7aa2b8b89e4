package store

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// session is a lease. When it is not renewed within its TTL, the keys acquired
// under it are released or deleted.
type session struct {
	ttl    time.Duration
	delete bool
	timer  *time.Timer
}

// sessionRequest is the body of a request to create a session.
type sessionRequest struct {
	TTL      string
	Behavior string
}

// sessionResponse identifies a session.
type sessionResponse struct {
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
		timer:  time.AfterFunc(ttl, func() { s.endSession(id) }),
	}
	writeJSON(w, sessionResponse{ID: id})
}

func (s *Store) handleSessionRenew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.PathValue("id")
	sess, ok := s.sessions[id]
	if !ok {
		http.Error(w, "session has ended", http.StatusNotFound)
		return
	}
	sess.timer.Reset(sess.ttl)
	writeJSON(w, []sessionResponse{{ID: id, TTL: sess.ttl.String()}})
}

func (s *Store) handleSessionDestroy(w http.ResponseWriter, r *http.Request) {
	s.endSession(r.PathValue("id"))
	fmt.Fprint(w, true)
}

// endSession ends a session and releases or deletes the keys that it holds.
func (s *Store) endSession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess, ok := s.sessions[id]
	if !ok {
		return
	}
	sess.timer.Stop()
	delete(s.sessions, id)
	for key, e := range s.entries {
		if e.session != id {
			continue
		}
		e.session = ""
		e.changed = s.recordChange(key)
		s.entries[key] = e
		if sess.delete {
			delete(s.entries, key)
		}
	}
}

// acquire locks an entry for a live session and reports whether it did; it fails
// if another session holds the entry. The caller holds the store's lock.
func (s *Store) acquire(e *entry, id string) bool {
	if _, live := s.sessions[id]; !live {
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
