package sidecar

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/rollout"
)

// writeFault is what happens to the write of a state.
type writeFault int

const (
	writeWorks writeFault = iota
	// writeLost is not executed, writeUnanswered is, and writeLate is some seconds later. The
	// caller gets an error.
	writeLost
	writeUnanswered
	writeLate
)

// rolloutStore is a memoryStore with eras and with faults in what controllers write.
type rolloutStore struct {
	*memoryStore
	t          testing.TB
	era        uint64
	eraChanged chan struct{}
	// fault returns what happens to the write of a state by a node.
	fault func(ctx context.Context, node string, s rollout.State) writeFault
	// refused is the node that the store turns away.
	refused string
	// written are the states that were written.
	written []rollout.State
	// onStatus is called with the lock held when a status is written, and onDrain before
	// the first state that opens all owners of the new version.
	onStatus func(status string)
	onDrain  func()
}

func newRolloutStore(t testing.TB) *rolloutStore {
	return &rolloutStore{memoryStore: newMemoryStore(), t: t, era: 1, eraChanged: make(chan struct{})}
}

func (s *rolloutStore) Era() (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.eraChanged
}

// returnFrom replaces the keys by those of a copy and begins a new era.
func (s *rolloutStore) returnFrom(keys map[string]Item, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys, s.revision, s.history = keys, revision, nil
	s.era++
	close(s.eraChanged)
	close(s.changed)
	s.eraChanged, s.changed = make(chan struct{}), make(chan struct{})
}

// lastWritten returns the newest state that was written.
func (s *rolloutStore) lastWritten() rollout.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.written) == 0 {
		return rollout.State{}
	}
	return s.written[len(s.written)-1]
}

func (s *rolloutStore) status() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.keys["status/shop"].Value)
}

func (s *rolloutStore) order(version string, duration time.Duration) {
	raw, err := json.Marshal(rollout.Order{Version: version, Duration: duration})
	qt.Assert(s.t, err, qt.IsNil)
	s.put("ops/rollout/shop", raw, false)
}

// nodeStore is the store as one node sees it.
type nodeStore struct {
	*rolloutStore
	node string
}

func (s nodeStore) isRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused == s.node
}

func (s nodeStore) List(ctx context.Context, prefix string) ([]Item, Position, error) {
	if s.isRefused() {
		return nil, Position{}, errDown
	}
	items, at, err := s.rolloutStore.List(ctx, prefix)
	at.Era, _ = s.Era()
	return items, at, err
}

func (s nodeStore) Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error) {
	if era, _ := s.Era(); after.Era != era {
		return nil, Position{}, ErrHistoryLost
	}
	items, at, err := s.rolloutStore.Watch(ctx, prefix, after, min(wait, 200*time.Millisecond))
	if s.isRefused() {
		return nil, Position{}, errDown
	}
	at.Era = after.Era
	return items, at, err
}

func (s nodeStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := s.rolloutStore.Grant(ctx, ttl)
	lease.Era, _ = s.Era()
	return lease, err
}

func (s nodeStore) Renew(ctx context.Context, lease Lease) (bool, error) {
	return s.rolloutStore.Renew(ctx, Lease{ID: lease.ID})
}

func (s nodeStore) Write(ctx context.Context, key string, value []byte, lease Lease) (bool, error) {
	return s.rolloutStore.Write(ctx, key, value, Lease{ID: lease.ID})
}

func (s nodeStore) Get(ctx context.Context, key string) (Item, bool, error) {
	if s.isRefused() {
		return Item{}, false, errDown
	}
	return s.rolloutStore.Get(ctx, key)
}

func (s nodeStore) Swap(ctx context.Context, expect []Expectation, writes []KeyValue) (bool, error) {
	state, err := rollout.DecodeState(writes[0].Value)
	qt.Check(s.t, err, qt.IsNil)
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	what := writeWorks
	if fault != nil {
		what = fault(ctx, s.node, state)
	}
	execute := func() (bool, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down || s.refused == s.node {
			return false, errDown
		}
		if s.onDrain != nil && state.Phase == rollout.Drain {
			s.onDrain()
		}
		swapped := s.swap(expect, writes)
		if swapped {
			s.written = append(s.written, state)
			if s.onStatus != nil {
				s.onStatus(string(writes[1].Value))
			}
		}
		return swapped, nil
	}
	switch what {
	case writeLost:
		return false, errDown
	case writeLate:
		time.AfterFunc(1200*time.Millisecond, func() { _, _ = execute() })
		return false, errDown
	case writeUnanswered:
		_, _ = execute()
		return false, errDown
	}
	return execute()
}
