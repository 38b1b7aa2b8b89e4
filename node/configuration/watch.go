package configuration

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/config"
)

// watchLoop watches the store's head while this node is selected to do so.
func (a *Applier) watchLoop(ctx context.Context) error {
	for a.awaitWatching(ctx, true) {
		watching, cancel := context.WithCancel(ctx)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			a.watch(watching)
		}()
		a.awaitWatching(ctx, false)
		cancel()
		<-stopped
	}
	return ctx.Err()
}

// awaitWatching waits until SetWatching is called with the wanted value. It
// returns false when the context ends first.
func (a *Applier) awaitWatching(ctx context.Context, want bool) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case on := <-a.watching:
			if on == want {
				return true
			}
		}
	}
}

// watch reads the head repeatedly. Reads that find no newer head are at least
// PollInterval apart, and failures are retried with backoff.
func (a *Applier) watch(ctx context.Context) {
	index := uint64(0)
	failures := 0
	for ctx.Err() == nil {
		startedAt := time.Now()
		next, status, err := a.poll(ctx, index)
		if ctx.Err() != nil {
			return
		}
		index = next
		a.report(startedAt, status, err)
		if err != nil {
			failures++
			klog.V(1).Infof("configuration: watching the store: %v", err)
			sleep(ctx, a.backoff(failures))
			continue
		}
		failures = 0
		if status != config.HeadNewer {
			sleep(ctx, a.options.PollInterval-time.Since(startedAt))
		}
	}
}

// poll performs one read and returns the index for the next one to wait on.
func (a *Applier) poll(ctx context.Context, index uint64) (uint64, config.HeadStatus, error) {
	entry, err := a.options.Store.Watch(ctx, config.HeadKey, index)
	if err != nil {
		return index, config.HeadStale, err
	}
	status, err := a.applyEntry(ctx, entry)
	if err != nil {
		return 0, status, err // the next read returns at once instead of waiting for a change
	}
	return entry.Index, status, nil
}

// report passes the outcome of a read to OnPoll. An outdated or unreadable head
// confirms nothing. An invalid head confirms the revision in force here: the
// head is the store's latest, and the revision in force is the latest valid
// one.
func (a *Applier) report(startedAt time.Time, status config.HeadStatus, err error) {
	if status == config.HeadStale && err == nil {
		a.counters.stale.Inc()
	}
	var invalid *config.InvalidError
	poll := Poll{StartedAt: startedAt, Reachable: errors.As(err, &invalid) || (err == nil && status != config.HeadStale)}
	if poll.Reachable {
		poll.Confirmed = a.Current().Revision
	}
	a.options.OnPoll(poll)
}
