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

// Item is a key of the store with its value, or the removal of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Lease identifies a lease of the store; 0 means none.
type Lease uint64

// ErrHistoryLost reports that the store no longer has the changes since a
// revision; the keys must be listed again.
var ErrHistoryLost = errors.New("the store no longer has this history; list the keys again")

// Store is the platform's key-value store.
type Store interface {
	// List returns the keys with the prefix and a revision that they include.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch returns the changes after the revision as soon as there are any, or
	// none when the wait ends, and the revision to continue from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease. It returns false if the lease has ended.
	Renew(ctx context.Context, lease Lease) (bool, error)
	// Write sets a key. It returns false if the lease has ended.
	Write(ctx context.Context, key string, value []byte, lease Lease) (bool, error)
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease Lease) error
}

// OperatorKeys interprets the keys that operators write in the store.
type OperatorKeys interface {
	// Prefix returns the prefix of the operators' keys.
	Prefix() string
	// IsConfiguration reports whether the key holds the configuration.
	IsConfiguration(key string) bool
	// EvacuatedDomain returns the failure domain that a key takes out of
	// service. The second result is false if the key takes none out.
	EvacuatedDomain(key string) (model.Domain, bool)
	// Decode decodes a configuration.
	Decode(document []byte) (*routing.Table, error)
}

const (
	// operatorWatchDelay is the pause after a change before the watch
	// continues, so that changes in quick succession cost one call.
	operatorWatchDelay = 150 * time.Millisecond
	// operatorWatchTimeout bounds how long a watch of the operators' keys can
	// miss changes unnoticed, and fleetWatchTimeout does so for the nodes'
	// entries, which the nodes also exchange directly.
	operatorWatchTimeout = 2500 * time.Millisecond
	fleetWatchTimeout    = 10 * time.Second
	// otherListTimeout bounds how long one follower waits for the first list of
	// the other.
	otherListTimeout = 300 * time.Millisecond
	// idlePollInterval is the time between checks whether the store must be
	// followed.
	idlePollInterval = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call of a
	// node that does not share the attempts with others.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// follower keeps a copy of the keys with one prefix.
type follower struct {
	store        Store
	log          *events.Log
	name         string
	prefix       string
	watchDelay   time.Duration
	watchTimeout time.Duration // maximum duration of one watch call
	// needed reports whether this node follows the store itself; otherwise
	// other nodes send it the changes.
	needed func() bool
	// standInDelay returns how long a node that starts to follow the store
	// leaves it to others, and retryDelayLimit the longest delay after a failed
	// call.
	standInDelay, retryDelayLimit func() time.Duration
	// otherListed is closed when another follower has listed its keys, which
	// may show that this one is not needed. If it is nil, there is no wait.
	otherListed <-chan struct{}
	listed      chan struct{}
	listedOnce  sync.Once
	onList      func(items []Item, revision uint64)
	onChange    func(items []Item, revision uint64)
	readable    atomic.Bool
	// retryDelay is the delay after the next failed call. Only the run
	// goroutine accesses it.
	retryDelay time.Duration
}

// run follows the prefix until the context ends.
func (f *follower) run(ctx context.Context) {
	f.retryDelay = minRetryDelay
	failed := func(err error) {
		if f.readable.Swap(false) || f.retryDelay == minRetryDelay {
			f.log.Warn("dependency lost", "part", "store", "watch", f.name, "error", err.Error())
		}
		f.backOff(ctx, f.retryDelay)
		f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
	}
	for ctx.Err() == nil {
		if !f.waitUntilNeeded(ctx) {
			return
		}
		items, revision, err := f.store.List(ctx, f.prefix)
		if err != nil {
			failed(err)
			continue
		}
		f.markReadable(revision)
		f.onList(items, revision)
		f.listedOnce.Do(func() { close(f.listed) })
		f.waitForOtherList(ctx)
		f.watch(ctx, revision, failed)
	}
}

// waitForOtherList gives the other follower up to otherListTimeout to list its
// keys.
func (f *follower) waitForOtherList(ctx context.Context) {
	if f.otherListed == nil {
		return
	}
	timer := time.NewTimer(otherListTimeout)
	defer timer.Stop()
	select {
	case <-f.otherListed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitUntilNeeded waits until the store must be followed. It returns false if
// the context ended.
func (f *follower) waitUntilNeeded(ctx context.Context) bool {
	for !f.needed() {
		if f.readable.Swap(false) {
			f.log.Info("store left to the watchers", "part", "store", "watch", f.name)
		}
		sleep(ctx, idlePollInterval)
		if ctx.Err() != nil {
			return false
		}
		if f.needed() {
			sleep(ctx, f.standInDelay())
		}
	}
	return true
}

// backOff waits after a failed call. A node that shares the attempts leaves
// frequent ones to the watchers. The limit of the delay and whether the store
// is needed are checked again during the wait, since both may change.
func (f *follower) backOff(ctx context.Context, delay time.Duration) {
	fraction := jitter(time.Second).Seconds()
	began := time.Now()
	for ctx.Err() == nil && f.needed() {
		limit := f.retryDelayLimit()
		if limit <= maxRetryDelay {
			limit = min(delay, limit)
		}
		remaining := time.Duration(float64(limit)*fraction) - time.Since(began)
		if remaining <= 0 {
			return
		}
		sleep(ctx, min(remaining, idlePollInterval))
	}
}

// markReadable resets the retry delay and logs if the store is readable again.
func (f *follower) markReadable(revision uint64) {
	f.retryDelay = minRetryDelay
	if !f.readable.Swap(true) {
		f.log.Info("dependency regained", "part", "store", "watch", f.name, "store_revision", revision)
	}
}

// watch applies changes until the keys must be listed again.
func (f *follower) watch(ctx context.Context, revision uint64, failed func(error)) {
	failures := 0
	for ctx.Err() == nil && f.needed() {
		// Watches that end at the same time on all nodes would miss the same
		// changes, so the duration varies.
		items, next, err := f.store.Watch(ctx, f.prefix, revision, f.watchTimeout-rand.N(f.watchTimeout/4))
		switch {
		case errors.Is(err, ErrHistoryLost):
			f.log.Info("store history lost", "part", "store", "watch", f.name, "store_revision", revision)
			return
		case err != nil:
			failures++
			if failures > 1 {
				failed(err)
			}
			continue
		}
		failures = 0
		f.markReadable(next)
		revision = max(revision, next)
		f.onChange(items, next)
		if len(items) > 0 {
			sleep(ctx, f.watchDelay)
		}
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
