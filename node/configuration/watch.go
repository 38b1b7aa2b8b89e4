package configuration

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/config"
)

// watchDuty watches the store's head while this node is picked to.
func (a *Applier) watchDuty(ctx context.Context) error {
	for a.untilTold(ctx, true) {
		watching, cancel := context.WithCancel(ctx)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			a.watch(watching)
		}()
		a.untilTold(ctx, false)
		cancel()
		<-stopped
	}
	return ctx.Err()
}

// untilTold waits until this node is told to watch or not to; false when the
// context ended first.
func (a *Applier) untilTold(ctx context.Context, want bool) bool {
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

// watch reads the head again and again. Reads that bring nothing new are
// paced, and failures are spread out.
func (a *Applier) watch(ctx context.Context) {
	index := uint64(0)
	failures := 0
	for ctx.Err() == nil {
		began := time.Now()
		next, step, err := a.poll(ctx, index)
		if ctx.Err() != nil {
			return
		}
		index = next
		a.report(began, step, err)
		if err != nil {
			failures++
			klog.V(1).Infof("configuration: watching the store: %v", err)
			pause(ctx, a.backoff(failures))
			continue
		}
		failures = 0
		if step != config.HeadNewer {
			pause(ctx, a.options.PollInterval-time.Since(began))
		}
	}
}

// poll makes one read and returns the index to wait from next.
func (a *Applier) poll(ctx context.Context, index uint64) (uint64, config.HeadStatus, error) {
	entry, err := a.options.Store.Watch(ctx, config.HeadKey, index)
	if err != nil {
		return index, config.HeadStale, err
	}
	step, err := a.takeEntry(ctx, entry)
	if err != nil {
		return 0, step, err // the head is read again at once, not at its next change
	}
	return entry.Index, step, nil
}

// report tells the outcome of a read. A head from the past, or one that can't
// be read, confirms nothing. An invalid one does: it is the store's latest, and
// the configuration in force here is the latest valid one.
func (a *Applier) report(began time.Time, step config.HeadStatus, err error) {
	if step == config.HeadStale && err == nil {
		a.counters.stale.Inc()
	}
	var invalid *config.InvalidError
	poll := Poll{StartedAt: began, Reachable: errors.As(err, &invalid) || (err == nil && step != config.HeadStale)}
	if poll.Reachable {
		poll.Confirmed = a.Current().Revision
	}
	a.options.OnPoll(poll)
}
