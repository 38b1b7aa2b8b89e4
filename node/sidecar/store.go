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
	"zinniafall/policy/rollout"
	"zinniafall/policy/routing"
	"zinniafall/policy/storeera"
)

// Item is a key of the store with its value, or the removal of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Position is a revision of the store in an era.
type Position = storeera.Position

// Lease identifies a lease of the store in the era in which it was granted. The zero
// value means none.
type Lease struct {
	Era, ID uint64
}

var (
	// ErrHistoryLost reports that the store no longer has the changes since a
	// position, that they are too many for one answer, or that it has begun a new era;
	// the keys must be listed again.
	ErrHistoryLost = errors.New("the store no longer has this history; list the keys again")
	// ErrEarlierEra reports an answer from before the store returned from a copy.
	ErrEarlierEra = errors.New("the answer is older than the store's return from a copy; ask again")
)

// Store is the platform's key-value store. It begins a new era when it returns from an
// older copy; see package storeera. Answers of earlier eras are errors.
type Store interface {
	// Era returns the newest era that is known, or 0 if none was stated, and a channel
	// that is closed when a newer one becomes known. Any answer may state it.
	Era() (era uint64, changed <-chan struct{})
	// LearnEra records an era that another node stated.
	LearnEra(era uint64)
	// Problems returns a channel of the first problem with a response that was ignored.
	Problems() <-chan error
	// List returns the keys with the prefix and a position that they include.
	List(ctx context.Context, prefix string) ([]Item, Position, error)
	// Watch returns the changes after the position as soon as there are any, or none
	// when the wait ends, and the position to continue from. It returns
	// ErrHistoryLost once the store is in another era than that of the position.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease. It returns false if the lease has ended. Renew, Write and
	// End make no call for a lease of an earlier era, which has ended for its owner.
	Renew(ctx context.Context, lease Lease) (bool, error)
	// Write sets a key. It returns false if the lease has ended.
	Write(ctx context.Context, key string, value []byte, lease Lease) (bool, error)
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease Lease) error
	// Get returns a key. The second result is false if it does not exist.
	Get(ctx context.Context, key string) (Item, bool, error)
	// Swap writes all values in one transaction if all expectations hold, and returns
	// whether it did. After an error the transaction may have been executed, or may be
	// later.
	Swap(ctx context.Context, expect []Expectation, writes []KeyValue) (swapped bool, err error)
}

// Expectation is the condition that a key has the revision, or does not exist if that is 0.
type Expectation struct {
	Key      string
	Revision uint64
}

// KeyValue is a key to write without a lease.
type KeyValue struct {
	Key   string
	Value []byte
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
	// Rollout returns the order of a rollout that a key holds. ok is false for other
	// keys. The service follows from the key alone, also after an error.
	Rollout(key string, value []byte) (service model.Service, order rollout.Order, ok bool, err error)
	// RolloutStatus returns the key and the value that report a rollout to the operators.
	RolloutStatus(state rollout.State) (key string, value []byte)
}

const (
	// operatorWatchDelay is the pause after a change before the watch
	// continues, so that changes in quick succession cost one call.
	operatorWatchDelay = 150 * time.Millisecond
	// operatorWatchTimeout bounds how long a watch of the operators' keys can
	// miss changes unnoticed, and fleetWatchTimeout does so for the nodes'
	// entries, which the nodes also exchange directly. The former is below the
	// time for which other nodes rely on an answer; see roster.WatchPolicy.
	operatorWatchTimeout = 1250 * time.Millisecond
	// secondWatchTimeout takes its place on a watcher that hears from another one.
	secondWatchTimeout = 2500 * time.Millisecond
	fleetWatchTimeout  = 10 * time.Second
	// minWatch is the shortest watch.
	minWatch = 100 * time.Millisecond
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
	// firstWatchDelay returns how long the first watch is left to others. It may be nil.
	firstWatchDelay func() time.Duration
	// otherListed is closed when another follower has listed its keys, which
	// may show that this one is not needed. If it is nil, there is no wait.
	otherListed <-chan struct{}
	listed      chan struct{}
	listedOnce  sync.Once
	// maxWatch returns a further limit on the duration of a watch, and onAsk is called
	// before each call of the store. Both may be nil.
	maxWatch func() time.Duration
	onAsk    func()
	// onAnswer is called after an answer of the store has been applied, with the earliest
	// time at which the store can have given it. changed reports whether it showed any keys.
	// It may be nil.
	onAnswer func(answeredAt time.Time, changed bool)
	// onList and onChange are called with the time at which the store was asked.
	onList   func(asked time.Time, items []Item, at Position)
	onChange func(asked time.Time, items []Item, at Position)
	readable atomic.Bool
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
		delay := f.retryDelay
		f.retryDelay = min(2*delay, maxRetryDelay)
		f.backOff(ctx, delay)
	}
	for ctx.Err() == nil {
		if !f.waitUntilNeeded(ctx) {
			return
		}
		asked := f.ask()
		items, at, err := f.store.List(ctx, f.prefix)
		if err != nil {
			failed(err)
			continue
		}
		f.markReadable(at)
		f.onList(asked, items, at)
		f.answered(asked, true)
		first := false
		f.listedOnce.Do(func() { close(f.listed); first = true })
		f.waitForOtherList(ctx)
		if first && f.firstWatchDelay != nil {
			f.leaveToOthers(ctx, f.firstWatchDelay())
		}
		f.watch(ctx, at, failed)
	}
}

// ask returns the time at which the store is about to be called.
func (f *follower) ask() time.Time {
	if f.onAsk != nil {
		f.onAsk()
	}
	return time.Now()
}

// answered reports an answer of the store that has been applied.
func (f *follower) answered(answeredAt time.Time, changed bool) {
	if f.onAnswer != nil {
		f.onAnswer(answeredAt, changed)
	}
}

// leaveToOthers waits until the store need not be followed, up to a time.
func (f *follower) leaveToOthers(ctx context.Context, limit time.Duration) {
	for began := time.Now(); ctx.Err() == nil && f.needed() && time.Since(began) < limit; {
		sleep(ctx, min(idlePollInterval, limit))
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
// is needed are checked again during the wait, since both may change. A limit
// above maxRetryDelay takes the place of the delay. A new era of the store ends the wait
// of a node that does not share the attempts, since the store has answered then.
func (f *follower) backOff(ctx context.Context, delay time.Duration) {
	fraction := jitter(time.Second).Seconds()
	began := time.Now()
	_, eraChanged := f.store.Era()
	for ctx.Err() == nil && f.needed() {
		limit := f.retryDelayLimit()
		if limit <= maxRetryDelay {
			limit = min(delay, limit)
		}
		remaining := time.Duration(float64(limit)*fraction) - time.Since(began)
		if remaining <= 0 {
			return
		}
		timer := time.NewTimer(min(remaining, idlePollInterval))
		select {
		case <-eraChanged:
			eraChanged = nil
			if limit <= maxRetryDelay {
				f.retryDelay = minRetryDelay
				return
			}
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

// markReadable resets the retry delay and logs if the store is readable again.
func (f *follower) markReadable(at Position) {
	f.retryDelay = minRetryDelay
	if !f.readable.Swap(true) {
		f.log.Info("dependency regained", "part", "store", "watch", f.name, "store_revision", at.Revision)
	}
}

// watch applies changes until the keys must be listed again, the store need not be
// followed or the context ends. The first of consecutive failures is retried at
// once, without a call of failed.
func (f *follower) watch(ctx context.Context, at Position, failed func(error)) {
	failures := 0
	answeredAt := time.Now()
	for ctx.Err() == nil && f.needed() {
		// Watches that end at the same time on all nodes would miss the same
		// changes, so the duration varies.
		asked, wait := f.ask(), f.watchTimeout
		if f.maxWatch != nil {
			// An answer with changes counts from its question on: the next one makes up for it.
			wait = max(min(wait, f.maxWatch()-asked.Sub(answeredAt)), minWatch)
		}
		wait -= rand.N(wait / 4)
		items, next, err := f.store.Watch(ctx, f.prefix, at, wait)
		switch {
		case errors.Is(err, ErrHistoryLost):
			f.log.Info("store history lost", "part", "store", "watch", f.name, "store_era", at.Era, "store_revision", at.Revision)
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
		if at.Before(next) {
			at = next
		}
		answeredAt = asked
		if len(items) == 0 && time.Since(asked) >= wait {
			answeredAt = asked.Add(wait) // the store showed no change until then
		}
		f.onChange(asked, items, next)
		f.answered(answeredAt, len(items) > 0)
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
