package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"zinniafall/node/events"
	"zinniafall/policy/model"
	"zinniafall/policy/routing"
)

// Item is one key of the store, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Lease names a lease of the store; 0 is none.
type Lease uint64

// ErrHistoryLost reports that the store no longer has the changes since a
// revision; the keys must be listed anew.
var ErrHistoryLost = errors.New("the store no longer has this history; list the keys again")

// Store is the platform's key-value service.
type Store interface {
	// List returns the keys with the prefix and a revision that they include.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch returns the changes after the revision as soon as there are any,
	// or none at the end of the wait, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease; false when it has ended.
	Renew(ctx context.Context, lease Lease) (bool, error)
	// Write sets a key; false when the lease has ended.
	Write(ctx context.Context, key string, value []byte, lease Lease) (bool, error)
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease Lease) error
}

// OperatorKeys reads what operators keep in the store.
type OperatorKeys interface {
	// Prefix of the operators' keys.
	Prefix() string
	// IsConfiguration reports whether the key holds the configuration.
	IsConfiguration(key string) bool
	// EvacuatedDomain returns the failure domain that a key takes out of service.
	EvacuatedDomain(key string) (model.Domain, bool)
	// Decode reads a configuration.
	Decode(document []byte) (*routing.Table, error)
}

const (
	// settleTime is the pause after a change before the watch goes on, so that
	// changes in quick succession cost one call.
	settleTime = 150 * time.Millisecond
	// operatorWait bounds the time for which a watch of the operators' keys can
	// be deaf without notice, and fleetWait that of the nodes' entries, of which
	// the nodes also tell each other.
	operatorWait = 2500 * time.Millisecond
	fleetWait    = 10 * time.Second
	// awaitTime bounds the wait of one follower for the first list of another.
	awaitTime = 300 * time.Millisecond
	// idlePause is the time between looks whether the store has to be followed.
	idlePause = 100 * time.Millisecond
	// firstPause and longestPause bound the wait after a failed call of a node
	// that shares the tries with no other.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
)

// follower keeps a copy of the keys with one prefix.
type follower struct {
	store  Store
	log    *events.Log
	name   string
	prefix string
	settle time.Duration
	wait   time.Duration // the longest that the store holds a watch
	// needed reports whether this node follows the store itself; otherwise
	// others tell it what changes.
	needed func() bool
	// turn is how long a node that begins to follow the store leaves it to
	// others, and retryPause the longest wait after a failed call.
	turn, retryPause func() time.Duration
	// after is closed when another follower has listed its keys, which may show
	// that this one is not needed; nil waits for none.
	after    <-chan struct{}
	listed   chan struct{}
	once     sync.Once
	all      func(items []Item, revision uint64)
	change   func(items []Item, revision uint64)
	readable atomic.Bool
	// pause is the wait after the next failed call; only run reads it.
	pause time.Duration
}

// run follows the prefix until the context ends.
func (f *follower) run(ctx context.Context) {
	f.pause = firstPause
	failed := func(err error) {
		if f.readable.Swap(false) || f.pause == firstPause {
			f.log.Warn("dependency lost", "part", "store", "watch", f.name, "error", err.Error())
		}
		f.rest(ctx, f.pause)
		f.pause = min(2*f.pause, longestPause)
	}
	for ctx.Err() == nil {
		if !f.idle(ctx) {
			return
		}
		items, revision, err := f.store.List(ctx, f.prefix)
		if err != nil {
			failed(err)
			continue
		}
		f.regained(revision)
		f.all(items, revision)
		f.once.Do(func() { close(f.listed) })
		f.await(ctx)
		f.watch(ctx, revision, failed)
	}
}

// await gives the other follower a short time to list its keys.
func (f *follower) await(ctx context.Context) {
	if f.after == nil {
		return
	}
	timer := time.NewTimer(awaitTime)
	defer timer.Stop()
	select {
	case <-f.after:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// idle waits until the store has to be followed; false when the context ended.
func (f *follower) idle(ctx context.Context) bool {
	for !f.needed() {
		if f.readable.Swap(false) {
			f.log.Info("store left to the watchers", "part", "store", "watch", f.name)
		}
		sleep(ctx, idlePause)
		if ctx.Err() != nil {
			return false
		}
		if f.needed() {
			sleep(ctx, f.turn())
		}
	}
	return true
}

// rest waits after a failed call. A node that shares the tries leaves the quick
// ones to the watchers. What it waits for may change meanwhile.
func (f *follower) rest(ctx context.Context, pause time.Duration) {
	share := jitter(time.Second).Seconds()
	began := time.Now()
	for ctx.Err() == nil && f.needed() {
		most := f.retryPause()
		if most <= longestPause {
			most = min(pause, most)
		}
		left := time.Duration(float64(most)*share) - time.Since(began)
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, idlePause))
	}
}

func (f *follower) regained(revision uint64) {
	f.pause = firstPause
	if !f.readable.Swap(true) {
		f.log.Info("dependency regained", "part", "store", "watch", f.name, "store_revision", revision)
	}
}

// watch returns when the keys have to be listed anew.
func (f *follower) watch(ctx context.Context, revision uint64, failed func(error)) {
	cuts := 0
	for ctx.Err() == nil && f.needed() {
		// Watches that end together would miss the same things together.
		items, next, err := f.store.Watch(ctx, f.prefix, revision, f.wait-rand.N(f.wait/4))
		switch {
		case errors.Is(err, ErrHistoryLost):
			f.log.Info("store history lost", "part", "store", "watch", f.name, "store_revision", revision)
			return
		case err != nil:
			cuts++
			if cuts > 1 {
				failed(err)
			}
			continue
		}
		cuts = 0
		f.regained(next)
		revision = max(revision, next)
		f.change(items, next)
		if len(items) > 0 {
			sleep(ctx, f.settle)
		}
	}
}

// sleep waits, or returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
