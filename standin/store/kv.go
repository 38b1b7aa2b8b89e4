package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// pair is an entry as the API encodes it in JSON; encoding/json writes Value in
// base64.
type pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// handleGet serves a read, which blocks if the client states an index.
func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if r.URL.Query().Has("index") && !s.wait(r, key) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	found, ok := s.readableEntries()[key]
	index := max(s.changed[key], 1)
	if ok {
		index = found.changed
	}
	s.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []pair{{
		LockIndex: found.lockIndex, Key: key, Value: found.value,
		CreateIndex: found.created, ModifyIndex: found.changed, Session: found.session,
	}})
}

// readableEntries returns the entries that reads see. The caller holds the lock.
func (s *Store) readableEntries() map[string]entry {
	if s.faults.staleEntries != nil {
		return s.faults.staleEntries
	}
	return s.entries
}

// wait blocks until the key has changed after the client's index, the requested
// wait has passed, the store goes down or the client gives up. It reports whether
// to respond.
func (s *Store) wait(r *http.Request, key string) bool {
	known, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 || wait > maxWait {
		wait = maxWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		wake, changed, down := s.wake, max(s.changed[key], 1) > known, s.faults.down
		s.mu.Unlock()
		if changed || down {
			return !down
		}
		select {
		case <-wake:
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

// handlePut serves a write, which may be conditional, or acquire or release the
// key for a session.
func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	value, ok := readValue(w, r)
	if !ok {
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.PathValue("key")
	old, exists := s.entries[key]
	next := entry{value: value, created: old.created, lockIndex: old.lockIndex, session: old.session}
	switch {
	case query.Has("cas"):
		ok = casMatches(query.Get("cas"), old, exists)
	case query.Has("acquire"):
		ok = s.acquire(&next, query.Get("acquire"))
	case query.Has("release"):
		ok = old.session != "" && old.session == query.Get("release")
		next.session = ""
	}
	if ok {
		next.changed = s.recordChange(key)
		if !exists {
			next.created = next.changed
		}
		s.entries[key] = next
	}
	s.respondToWrite(w, ok)
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.PathValue("key")
	old, exists := s.entries[key]
	ok := true
	if query := r.URL.Query(); query.Has("cas") {
		ok = casMatches(query.Get("cas"), old, exists)
	}
	if ok && exists {
		delete(s.entries, key)
		s.recordChange(key)
	}
	s.respondToWrite(w, ok)
}

// casMatches reports whether the key's modification index is the one that the
// writer expects; 0 means that the key must not exist.
func casMatches(text string, old entry, exists bool) bool {
	expected, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return false
	}
	if expected == 0 {
		return !exists
	}
	return exists && old.changed == expected
}

// respondToWrite writes the result of a write, or drops the response if that
// fault is injected. The caller holds the lock.
func (s *Store) respondToWrite(w http.ResponseWriter, ok bool) {
	if s.faults.droppedResponses > 0 {
		s.faults.droppedResponses--
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, ok)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
