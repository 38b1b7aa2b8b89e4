package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// pair is the JSON form of an entry; Value is base64 by encoding/json.
type pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if r.URL.Query().Has("index") && !s.wait(r, key) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	found, ok := s.visible()[key]
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

// visible returns what reads see. The caller holds the lock.
func (s *Store) visible() map[string]entry {
	if s.faults.past != nil {
		return s.faults.past
	}
	return s.entries
}

// wait blocks until the key has changed past the caller's index, the wait has
// passed or the store goes down; it reports whether to answer.
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
		next.changed = s.touch(key)
		if !exists {
			next.created = next.changed
		}
		s.entries[key] = next
	}
	s.answer(w, ok)
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
		s.touch(key)
	}
	s.answer(w, ok)
}

// casMatches compares the key's index with the one that the writer expects;
// 0 expects that the key is absent.
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

// answer ends a write that has taken effect. The caller holds the lock.
func (s *Store) answer(w http.ResponseWriter, ok bool) {
	if s.faults.loseAnswers > 0 {
		s.faults.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, ok)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
