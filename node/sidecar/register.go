package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/storeera"
)

// renderEntry encodes the entry for the store. It omits the state, which nodes
// exchange directly, so that only a new target changes the entry. Except in
// newFleet, the caller must hold f.mu.
func (f *fleet) renderEntry() {
	entry := f.self
	entry.State = model.TargetAbsent
	text, err := json.Marshal(entry)
	if err != nil {
		f.node.log.Error("node entry not encoded", "part", "fleet", "error", err.Error())
		return
	}
	f.ownEntry = text
	notify(f.entryNotice)
}

// checkOwnEntry requests a rewrite of this node's entry if it vanished or is
// not the newest, which a delayed write can cause.
func (f *fleet) checkOwnEntry(item Item) {
	f.mu.Lock()
	outdated := item.Removed || !bytes.Equal(item.Value, f.ownEntry)
	f.mu.Unlock()
	if outdated {
		notify(f.entryNotice)
	}
}

func (f *fleet) entryKey() string { return nodePrefix + string(f.node.self) }

// register keeps this node's entry in the store until the context ends, and then
// ends the lease, which removes the entry. A lapsed lease is replaced at once.
func (f *fleet) register(ctx context.Context) {
	var lease Lease
	written := []byte(nil)
	backoff := minRenewBackoff
	restoring := false // the entry may be missing since the store's return from a copy
	f.awaitTarget(ctx)
	for ctx.Err() == nil {
		era, eraChanged := f.node.store.Era()
		if lease != (Lease{}) && lease.Era != era {
			lease, written, backoff, restoring = Lease{}, nil, minRenewBackoff, true
			sleep(ctx, f.entryDelay())
		}
		f.mu.Lock()
		desired := f.ownEntry
		f.mu.Unlock()
		delay := renewInterval
		var err error
		if lease == (Lease{}) {
			lease, err = f.node.store.Grant(ctx, leaseTTL)
			written = nil
		}
		switch {
		case err != nil:
		case !bytes.Equal(written, desired):
			f.clearEntryNotice() // this write handles the notice
			var held bool
			if held, err = f.node.store.Write(ctx, f.entryKey(), desired, lease); err == nil && held {
				written = desired
				if restoring {
					restoring = false
					entriesRestored.Inc()
				}
			} else if err == nil {
				lease, delay = Lease{}, 0
			}
		default:
			var held bool
			if held, err = f.node.store.Renew(ctx, lease); err == nil && !held {
				f.node.log.Info("lease lapsed", "part", "fleet", "lease", lease.ID, "store_era", lease.Era)
				lease, delay = Lease{}, 0
			}
		}
		if err != nil {
			delay, backoff = backoff, min(2*backoff, renewInterval)
		} else {
			backoff = minRenewBackoff
		}
		f.logStoreStatus(err)
		notices := f.entryNotice
		if err != nil {
			notices = nil // the watchers repeat them, and the next attempt handles them
		}
		if waitForEntryNotice(ctx, delay, notices, eraChanged) && !f.verifyEntry(ctx, written) {
			written = nil
		}
	}
	if lease != (Lease{}) {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseEndTimeout)
		defer cancel()
		if err := f.node.store.End(end, lease); err != nil {
			f.node.log.Info("lease not ended", "part", "fleet", "error", err.Error())
		}
	}
}

// logStoreStatus logs when the registration loses and regains the store: nodes
// that leave watching to others have no other sign of it.
func (f *fleet) logStoreStatus(err error) {
	switch {
	case err != nil && !f.registrationFailing:
		f.registrationFailing = true
		f.node.log.Warn("dependency lost", "part", "store", "watch", "registration", "error", err.Error())
	case err == nil && f.registrationFailing:
		f.registrationFailing = false
		f.node.log.Info("dependency regained", "part", "store", "watch", "registration")
	}
}

// entryDelay returns how long this node waits before it restores its entry, so that all
// nodes together keep to the store's rates.
func (f *fleet) entryDelay() time.Duration {
	return storeera.EntryDelay(f.size(), rand.Float64())
}

// verifyEntry reads this node's entry after a notice that it is missing or
// outdated, and reports whether it is as written. The notice may be older than
// the write, and a read costs less than a write that wakes all watchers.
func (f *fleet) verifyEntry(ctx context.Context, written []byte) bool {
	sleep(ctx, verifyDelay)
	f.clearEntryNotice() // this read handles the notice, too
	items, _, err := f.node.store.List(ctx, f.entryKey())
	if err != nil {
		return false
	}
	for _, item := range items {
		if item.Key == f.entryKey() {
			return bytes.Equal(item.Value, written)
		}
	}
	return false
}

// clearEntryNotice discards a pending notice that this node's entry is missing
// or outdated.
func (f *fleet) clearEntryNotice() {
	select {
	case <-f.entryNotice:
	default:
	}
}

// awaitTarget waits up to maxTargetWait until the target is known. A node that knows no
// other of its failure domain does not wait: when a fleet starts, nodes find the watchers
// by their entries.
func (f *fleet) awaitTarget(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil && time.Since(began) < maxTargetWait {
		f.mu.Lock()
		known := f.self.Slots > 0 || f.isListed() && len(f.watchers.Watchers()) == 0
		f.mu.Unlock()
		if known {
			return
		}
		sleep(ctx, idlePollInterval)
	}
}

// isListed reports whether the fleet has been listed since the start.
func (f *fleet) isListed() bool {
	select {
	case <-f.follower.listed:
		return true
	default:
		return false
	}
}

// waitForEntryNotice waits for the delay or for a notice that this node's entry
// is missing or outdated, and reports whether there was one. A new era of the store ends
// the wait.
func waitForEntryNotice(ctx context.Context, d time.Duration, notices, eraChanged <-chan struct{}) bool {
	timer := time.NewTimer(jitter(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-eraChanged:
	case <-notices:
		return true
	}
	return false
}
