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
	// departuresTTL is how long a departure is kept in the store: a target that has said that
	// it leaves may serve for many seconds, and its last announcements may be late.
	departuresTTL = 2 * time.Minute
	// acknowledgementTimeout bounds the wait of a target for the acknowledgement of its
	// departure. Targets take one that is later than a second for none.
	acknowledgementTimeout = 800 * time.Millisecond
	// departuresWait is how long a node that starts waits for the departures of its
	// predecessor before it uses its target.
	departuresWait = 400 * time.Millisecond
	// departureRetryDelay is the time between two attempts to store a departure.
	departureRetryDelay = 500 * time.Millisecond
	// maxWithdrawals bounds the withdrawals that are kept.
	maxWithdrawals = 64
)

// ErrDepartureNotStored reports that the store does not have the departure of a target yet. It
// would be lost with this process, so it is not acknowledged.
var ErrDepartureNotStored = errors.New("the store does not have the departure yet; report it again")

// errLeaseEnded reports that nothing was written because the lease has ended.
var errLeaseEnded = errors.New("the lease for the departure has ended; it is written again under a new one")

// departure is a target process that has said that it leaves. The store keeps those that a
// node has acknowledged, since they bind the process that takes the node's place, too.
type departure struct {
	Target string `json:"target"`
	// LatestStartMs is the start of the process in Unix milliseconds or, if that was not
	// stated, the latest time at which it can have started.
	LatestStartMs int64 `json:"latest_start_ms"`
}

// withdrawal records that the processes of a target that started up to a time have said that
// they leave.
type withdrawal struct {
	// startedMs is that time in Unix milliseconds: the start of the process or, when it was
	// not stated, the latest time at which the process can have started.
	startedMs  int64
	recordedAt time.Time
	// storedMs is what the store has of startedMs, if isStored is set, since the era storedEra.
	storedMs  int64
	isStored  bool
	storedEra uint64
}

// covers reports whether the store has the departure of a process that started at a time.
func (w withdrawal) covers(startedMs int64) bool { return w.isStored && startedMs <= w.storedMs }

// departureKey returns the key of a departure. Each has its own: a process that does not know
// its predecessor's departures yet replaces none of them.
func (f *fleet) departureKey(d departure) string {
	return fmt.Sprintf("%s%s%016x-%d", f.entryKey(), departuresInfix, xxhash.Sum64String(d.Target), d.LatestStartMs)
}

func isDepartureKey(key string) bool { return strings.Contains(key, departuresInfix) }

// keepWithdrawal keeps the withdrawal of the processes of a target that started up to a
// time, in Unix milliseconds. The caller must hold t.mu.
func (t *target) keepWithdrawal(id string, latestStartMs int64) {
	w, known := t.withdrawals[id]
	if !known && len(t.withdrawals) >= maxWithdrawals {
		t.dropOldestWithdrawal()
	}
	if !known || w.startedMs < latestStartMs {
		w.startedMs = latestStartMs
	}
	w.recordedAt = time.Now()
	t.withdrawals[id] = w
	notify(t.departureNotice)
}

// dropOldestWithdrawal drops the withdrawal that was recorded first, but not that of the
// present target. The caller must hold t.mu.
func (t *target) dropOldestWithdrawal() {
	oldest := ""
	for id, w := range t.withdrawals {
		if id != t.id && (oldest == "" || w.recordedAt.Before(t.withdrawals[oldest].recordedAt)) {
			oldest = id
		}
	}
	delete(t.withdrawals, oldest)
}

// withdrawn reports whether the process of a target that started at a time, in Unix
// milliseconds, has said that it leaves. The caller must hold t.mu.
func (t *target) withdrawn(id string, startedMs int64) bool {
	w, ok := t.withdrawals[id]
	return ok && startedMs <= w.startedMs
}

// confirmDeparture waits until the store has the departure of a target process. Otherwise it
// returns ErrDepartureNotStored.
func (t *target) confirmDeparture(id string, startedMs int64) error {
	timer := time.NewTimer(acknowledgementTimeout)
	defer timer.Stop()
	for {
		t.mu.Lock()
		stored, changed := t.withdrawals[id].covers(startedMs), t.departureStored
		t.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			t.node.log.Warn("departure not acknowledged", "part", "target", "target", id, "born", startedMs)
			return ErrDepartureNotStored
		case <-t.node.ctx.Done():
			return ErrDepartureNotStored
		}
	}
}

// storeDepartures writes the departures of this node's targets to the store until the context
// ends, and again when the store has returned from a copy that may lack them.
func (t *target) storeDepartures(ctx context.Context) {
	for ctx.Err() == nil {
		era, eraChanged := t.node.store.Era()
		var retry <-chan time.Time
		for _, d := range t.departuresToStore(era) {
			if err := t.storeDeparture(ctx, d); err != nil {
				t.node.log.Warn("departure not stored", "part", "target", "target", d.Target, "error", err.Error())
				retry = time.After(departureRetryDelay)
			}
		}
		select {
		case <-ctx.Done():
		case <-t.departureNotice:
		case <-eraChanged:
		case <-retry:
		}
	}
}

// departuresToStore returns the departures that the store may lack in an era.
func (t *target) departuresToStore(era uint64) []departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []departure
	for id, w := range t.withdrawals {
		if time.Since(w.recordedAt) < departuresTTL && !(w.covers(w.startedMs) && w.storedEra == era) {
			out = append(out, departure{id, w.startedMs})
		}
	}
	return out
}

// storeDeparture writes a departure under a lease of its own, which is not renewed.
func (t *target) storeDeparture(ctx context.Context, d departure) error {
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
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordStored(d, lease.Era)
	return nil
}

// recordStored records that the store has a departure. The caller must hold t.mu.
func (t *target) recordStored(d departure, era uint64) {
	w, ok := t.withdrawals[d.Target]
	if !ok {
		return // dropped meanwhile
	}
	w.isStored, w.storedMs, w.storedEra = true, d.LatestStartMs, era
	t.withdrawals[d.Target] = w
	close(t.departureStored)
	t.departureStored = make(chan struct{})
}

// awaitDepartures learns the departures that a predecessor of this process has acknowledged,
// and lets the target be used once they are known or departuresWait has passed. The list of
// the fleet has them, but a node that hears from others may do without that list.
func (t *target) awaitDepartures(ctx context.Context) {
	listed := t.node.fleet.follower.listed
	timer := time.NewTimer(departuresWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-listed:
		t.departuresLearned(true)
		return
	case <-timer.C:
		t.departuresLearned(false)
	}
	for ctx.Err() == nil {
		items, _, err := t.node.store.List(ctx, t.node.fleet.entryKey()+departuresInfix)
		if err == nil {
			t.node.fleet.applyDepartures(items)
			t.departuresLearned(true)
			return
		}
		select {
		case <-listed:
			t.departuresLearned(true)
			return
		case <-ctx.Done():
		case <-time.After(departureRetryDelay):
		}
	}
}

// departuresLearned lets the target be used, unless it has left. known reports whether the
// store has been read.
func (t *target) departuresLearned(known bool) {
	t.mu.Lock()
	t.departuresAwaited, t.departuresKnown = false, known
	announced := t.id != ""
	t.mu.Unlock()
	if announced {
		t.applyState(0)
	}
}

// mayHaveLeft reports whether an unhealthy process of the target may be one whose departure a
// predecessor of this node has acknowledged: an announcement that says otherwise may be late.
// The caller must hold t.mu.
func (t *target) mayHaveLeft(id string) bool {
	return !t.departuresKnown && t.lastUnhealthy.id == id && t.lastUnhealthy.isRecent()
}

// closeIfMayHaveLeft closes the gate of the present target if it may have left. It reports
// whether the gate was open. The caller must hold t.mu.
func (t *target) closeIfMayHaveLeft() bool {
	if t.id == "" || t.leaving || !t.mayHaveLeft(t.id) {
		return false
	}
	t.leaving = true
	t.node.owner.setGate(dispatch.GateDraining, true)
	return true
}

// learnDeparture records a departure that the store keeps for this node.
func (t *target) learnDeparture(item Item) {
	var d departure
	if err := json.Unmarshal(item.Value, &d); err != nil {
		t.node.log.Warn("departure unreadable", "part", "target", "key", item.Key, "error", err.Error())
		return
	}
	era, _ := t.node.store.Era()
	t.mu.Lock()
	if !t.withdrawn(d.Target, d.LatestStartMs) {
		t.keepWithdrawal(d.Target, d.LatestStartMs)
		t.recordStored(d, era)
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
