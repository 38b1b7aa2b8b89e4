package sidecar

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silentStore is a store that answers no question of the operators' keys while it is silent.
type silentStore struct {
	Store
	silent *atomic.Bool
}

func (s silentStore) await(ctx context.Context) error {
	if s.silent.Load() {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (s silentStore) List(ctx context.Context, prefix string) ([]Item, Position, error) {
	items, at, err := s.Store.List(ctx, prefix)
	if prefix == (testOperators{}).Prefix() {
		if silent := s.await(ctx); silent != nil {
			return nil, Position{}, silent
		}
	}
	return items, at, err
}

func (s silentStore) Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error) {
	items, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if prefix == (testOperators{}).Prefix() {
		if silent := s.await(ctx); silent != nil {
			return nil, Position{}, silent
		}
	}
	return items, at, err
}

// TestWatchersThatHearNothingFromTheStoreAreNoticed guards against a failure domain that keeps
// a replaced configuration because its watchers go on to greet it while the store does not
// answer them: nobody tells its nodes of the newer one, and they ask nobody.
func TestWatchersThatHearNothingFromTheStoreAreNoticed(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	var silent atomic.Bool
	start := func(name string, seen Store, linkMbps float64) *testNode {
		return startNodeWith(t, seen, "a", "front", newTestTarget(t, name), freeAddr(), func(o *Options) {
			o.Settings.LinkMbps, o.Settings.ApplyTime = linkMbps, 2500*time.Millisecond
		})
	}
	var watchers []*testNode // the nodes with the widest links
	for i := range 2 {
		watchers = append(watchers, start(fmt.Sprint("watcher", i), silentStore{store, &silent}, 1000))
	}
	n := start("other", store, 10)
	for _, node := range append(watchers, n) {
		node.waitForTargets("front", 3)
	}
	eventually(t, "the node leaves the store to the watchers", func() bool { return !n.rollouts.operators.readable.Load() })
	silent.Store(true)
	store.configure(t, 2, "front")
	eventually(t, "revision 2 is in force", func() bool { return n.configuration.revision() == 2 })
	qt.Assert(t, watchers[0].fleet.follower.readable.Load(), qt.IsTrue, qt.Commentf("the watcher noticed it itself"))
}
