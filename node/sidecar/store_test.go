package sidecar

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/events"
)

// countingStore fails and counts the tries.
type countingStore struct {
	*memoryStore
	lists atomic.Int64
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	s.lists.Add(1)
	return s.memoryStore.List(ctx, prefix)
}

// startFollower runs a follower of a store that is down.
func startFollower(pause *atomic.Int64, needed *atomic.Bool) (store *countingStore, f *follower, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	store = &countingStore{memoryStore: newMemoryStore()}
	store.setDown(true)
	needed.Store(true)
	f = &follower{
		store: store, log: events.New(io.Discard, "n"), name: "test", wait: time.Second, needed: needed.Load,
		turn:       func() time.Duration { return 0 },
		retryPause: func() time.Duration { return time.Duration(pause.Load()) },
		listed:     make(chan struct{}), all: func([]Item, uint64) {}, change: func([]Item, uint64) {},
	}
	go f.run(ctx)
	return store, f, func() {
		cancel()
		synctest.Wait()
		f.log.Close()
	}
}

func TestFollowerSharesTheTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pause atomic.Int64
		var needed atomic.Bool
		pause.Store(int64(5 * time.Second))
		store, _, end := startFollower(&pause, &needed)
		defer end()
		time.Sleep(10 * time.Second) // the pause grows to its bound
		before := store.lists.Load()
		time.Sleep(100 * time.Second)
		tries := store.lists.Load() - before
		qt.Assert(t, tries >= 16 && tries <= 27, qt.IsTrue, qt.Commentf("%d", tries)) // 3.75 to 6.25 s each
		// A node that no longer hears the others does not wait out its pause.
		pause.Store(int64(longestPause))
		before = store.lists.Load()
		time.Sleep(longestPause*5/4 + idlePause)
		qt.Assert(t, store.lists.Load() > before, qt.IsTrue)
	})
}

func TestFollowerLeavesTheStoreWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pause atomic.Int64
		var needed atomic.Bool
		pause.Store(int64(5 * time.Second))
		store, f, end := startFollower(&pause, &needed)
		defer end()
		time.Sleep(20 * time.Second)
		needed.Store(false)
		time.Sleep(2 * idlePause)
		before := store.lists.Load()
		store.setDown(false)
		time.Sleep(20 * time.Second)
		qt.Assert(t, store.lists.Load(), qt.Equals, before)
		needed.Store(true)
		time.Sleep(2 * idlePause)
		qt.Assert(t, f.readable.Load(), qt.IsTrue)
	})
}

func TestCallsOfTheStoreAreCounted(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	until(t, "the node is entered", func() bool { return store.has(n.fleet.key()) })
	until(t, "the store is followed", n.fleet.follower.readable.Load)
	for _, line := range []string{`zinniafall_store_calls_total{call="list",result="ok"} `, `zinniafall_store_calls_total{call="write",result="ok"} `, "zinniafall_store_followed 1\n"} {
		until(t, "the metrics have "+line, func() bool {
			w := httptest.NewRecorder()
			n.serveMetrics(w, nil)
			return strings.Contains(w.Body.String(), line)
		})
	}
}
