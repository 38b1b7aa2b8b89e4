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

// countingStore counts the list calls. Closing newEra shows that an era has begun.
type countingStore struct {
	*memoryStore
	lists  atomic.Int64
	newEra chan struct{}
}

func (s *countingStore) Era() (uint64, <-chan struct{}) {
	select {
	case <-s.newEra:
		return 2, nil
	default:
		return 1, s.newEra
	}
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]Item, Position, error) {
	s.lists.Add(1)
	return s.memoryStore.List(ctx, prefix)
}

// startFollower starts a follower of a store that is down.
func startFollower(limit *atomic.Int64, needed *atomic.Bool) (store *countingStore, f *follower, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	store = &countingStore{memoryStore: newMemoryStore(), newEra: make(chan struct{})}
	store.setDown(true)
	needed.Store(true)
	f = &follower{
		store: store, log: events.New(io.Discard, "n"), name: "test", watchTimeout: time.Second, needed: needed.Load,
		standInDelay:    func() time.Duration { return 0 },
		retryDelayLimit: func() time.Duration { return time.Duration(limit.Load()) },
		listed:          make(chan struct{}), onList: func(time.Time, []Item, Position) {}, onChange: func(time.Time, []Item, Position) {},
	}
	go f.run(ctx)
	return store, f, func() {
		cancel()
		synctest.Wait()
		f.log.Close()
	}
}

func TestFollowerBacksOffUpToTheRetryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		var needed atomic.Bool
		limit.Store(int64(5 * time.Second))
		store, _, end := startFollower(&limit, &needed)
		defer end()
		time.Sleep(10 * time.Second) // the delay grows to its limit
		before := store.lists.Load()
		time.Sleep(100 * time.Second)
		lists := store.lists.Load() - before
		qt.Assert(t, lists >= 16 && lists <= 27, qt.IsTrue, qt.Commentf("%d", lists)) // one every 3.75 to 6.25 s
		// When the limit drops because the node no longer receives greetings of
		// others, the wait in progress is shortened.
		limit.Store(int64(maxRetryDelay))
		before = store.lists.Load()
		time.Sleep(maxRetryDelay*5/4 + idlePollInterval)
		qt.Assert(t, store.lists.Load() > before, qt.IsTrue)
	})
}

// The nodes that share the attempts would all list at once.
func TestNewEraEndsBackoffOfANodeThatDoesNotShareAttempts(t *testing.T) {
	for _, test := range []struct {
		limit time.Duration
		lists int64
	}{{maxRetryDelay, 1}, {5 * time.Second, 0}} {
		synctest.Test(t, func(t *testing.T) {
			var limit atomic.Int64
			var needed atomic.Bool
			limit.Store(int64(test.limit))
			store, _, end := startFollower(&limit, &needed)
			defer end()
			for before := int64(0); before < 10; before = store.lists.Load() {
				time.Sleep(idlePollInterval)
			}
			before := store.lists.Load()
			close(store.newEra)
			synctest.Wait()
			qt.Assert(t, store.lists.Load()-before, qt.Equals, test.lists)
		})
	}
}

func TestFollowerStopsReadingWhenNotNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		var needed atomic.Bool
		limit.Store(int64(5 * time.Second))
		store, f, end := startFollower(&limit, &needed)
		defer end()
		time.Sleep(20 * time.Second)
		needed.Store(false)
		time.Sleep(2 * idlePollInterval)
		before := store.lists.Load()
		store.setDown(false)
		time.Sleep(20 * time.Second)
		qt.Assert(t, store.lists.Load(), qt.Equals, before)
		needed.Store(true)
		time.Sleep(2 * idlePollInterval)
		qt.Assert(t, f.readable.Load(), qt.IsTrue)
	})
}

func TestCallsOfTheStoreAreCounted(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	eventually(t, "the entry of the node is in the store", func() bool { return store.has(n.fleet.entryKey()) })
	eventually(t, "the store is followed", n.fleet.follower.readable.Load)
	for _, line := range []string{`zinniafall_store_calls_total{call="list",result="ok"} `, `zinniafall_store_calls_total{call="write",result="ok"} `, "zinniafall_store_followed 1\n"} {
		eventually(t, "the metrics have "+line, func() bool {
			w := httptest.NewRecorder()
			n.serveMetrics(w, nil)
			return strings.Contains(w.Body.String(), line)
		})
	}
}
