package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/dispatch"
)

const (
	// departuresInfix follows the key of a node's entry in the keys of its departures.
	departuresInfix = "/departures/"
	// departuresTTL is how long departures are kept in the store: a target that has said that
	// it leaves may serve for many seconds, and its last announcements may be late.
	departuresTTL = 2 * time.Minute
	// departuresWait is how long the acknowledgement of a departure waits until the store has
	// it, and how long a node that starts waits for those of its predecessor before it uses
	// its target.
	departuresWait = 400 * time.Millisecond
	// departuresRetries is the number of further attempts to write departures, and
	// departuresRetryDelay the time between them.
	departuresRetries    = 20
	departuresRetryDelay = time.Second
)

// errLeaseEnded reports that nothing was written because the lease has ended.
var errLeaseEnded = errors.New("the lease for the departures has ended; they are written again under a new one")

// departure is a target process that has said that it leaves. The store keeps those that a
// node has acknowledged, since they bind the process that takes the node's place, too.
type departure struct {
	Target string `json:"target"`
	// LatestStartMs is the start of the process in Unix milliseconds or, if that was not
	// stated, the latest time at which it can have started.
	LatestStartMs int64 `json:"latest_start_ms"`
}

// departureKey returns the key of a departure. Each has its own: a process that does not know
// its predecessor's departures yet replaces none of them.
func (f *fleet) departureKey(d departure) string {
	return fmt.Sprintf("%s%s%016x-%d", f.entryKey(), departuresInfix, xxhash.Sum64String(d.Target), d.LatestStartMs)
}

func isDepartureKey(key string) bool { return strings.Contains(key, departuresInfix) }

// departures returns the departures of this node's targets that are known.
func (t *target) departures() []departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []departure
	for id, w := range t.withdrawals {
		out = append(out, departure{id, w.startedMs})
	}
	return out
}

// keepDepartures writes the departures to the store. It returns once that has succeeded, and
// after departuresWait at the latest: the target waits for the acknowledgement, and the
// attempts go on. A lease that is not renewed removes them later.
func (t *target) keepDepartures() {
	done := make(chan struct{})
	t.node.goBackground(func() {
		defer close(done)
		for range departuresRetries {
			if t.node.ctx.Err() != nil || t.writeDepartures(t.node.ctx) == nil {
				return
			}
			sleep(t.node.ctx, departuresRetryDelay)
		}
	})
	timer := time.NewTimer(departuresWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		t.node.log.Warn("departure not stored yet", "part", "target")
	case <-t.node.ctx.Done():
	}
}

func (t *target) writeDepartures(ctx context.Context) error {
	for _, d := range t.departures() {
		value, err := json.Marshal(d)
		if err != nil {
			return err
		}
		lease, err := t.node.store.Grant(ctx, departuresTTL)
		if err != nil {
			return err
		}
		held, err := t.node.store.Write(ctx, t.node.fleet.departureKey(d), value, lease)
		if err == nil && !held {
			err = errLeaseEnded
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitDepartures lets the target be used once the departures that a predecessor of this
// process has acknowledged are known, or cannot be read in time.
func (t *target) awaitDepartures(ctx context.Context) {
	timer := time.NewTimer(departuresWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.node.fleet.follower.listed:
	case <-timer.C:
	}
	t.mu.Lock()
	t.departuresAwaited = false
	known := t.id != ""
	t.mu.Unlock()
	if known {
		t.applyState(0)
	}
}

// learnDeparture records a departure that the store keeps for this node.
func (t *target) learnDeparture(item Item) {
	var d departure
	if err := json.Unmarshal(item.Value, &d); err != nil {
		t.node.log.Warn("departure unreadable", "part", "target", "key", item.Key, "error", err.Error())
		return
	}
	t.mu.Lock()
	if !t.withdrawn(d.Target, d.LatestStartMs) {
		t.keepWithdrawal(d.Target, d.LatestStartMs)
	}
	left := t.id != "" && !t.leaving && t.hasLeft()
	if left {
		t.leaving = true
		t.node.owner.setGate(dispatch.GateDraining, true)
	}
	id := t.id
	t.mu.Unlock()
	if left {
		t.node.log.Info("target left before this node started", "part", "target", "target", id)
		t.publishState()
	}
}

// hasLeft reports whether the present process of the target has said that it leaves. One that
// is known by its health answers only may be a successor under the same ID: its announcement
// shows that. The caller must hold t.mu.
func (t *target) hasLeft() bool {
	if t.foundByHealth {
		_, left := t.withdrawals[t.id]
		return left
	}
	return t.withdrawn(t.id, t.startedMs)
}

// applyDepartures handles the departures among the keys of the fleet and returns the others.
func (f *fleet) applyDepartures(items []Item) []Item {
	var entries []Item
	for _, item := range items {
		switch {
		case !isDepartureKey(item.Key):
			entries = append(entries, item)
		case strings.HasPrefix(item.Key, f.entryKey()+departuresInfix) && !item.Removed:
			f.node.target.learnDeparture(item)
		}
	}
	return entries
}
