package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"zinniafall/policy/model"
)

// render prepares the entry for the store. Its state is left to direct
// contact, so that only a new target changes the entry.
func (f *fleet) render() {
	entry := f.self
	entry.State = model.TargetAbsent
	text, err := json.Marshal(entry)
	if err != nil {
		f.node.log.Error("node entry not encoded", "part", "fleet", "error", err.Error())
		return
	}
	f.stored = text
	poke(f.poke)
}

// ownEntry writes this node's entry again when it vanished or is not the
// newest, which a late write can bring about.
func (f *fleet) ownEntry(item Item) {
	f.mu.Lock()
	lost := item.Removed || !bytes.Equal(item.Value, f.stored)
	f.mu.Unlock()
	if lost {
		poke(f.poke)
	}
}

func (f *fleet) key() string { return nodePrefix + string(f.node.self) }

// register keeps this node's entry in the store.
func (f *fleet) register(ctx context.Context) {
	var lease Lease
	written := []byte(nil)
	retry := renewRetry
	f.awaitTarget(ctx)
	for ctx.Err() == nil {
		f.mu.Lock()
		want := f.stored
		f.mu.Unlock()
		pause := renewPause
		var err error
		if lease == 0 {
			lease, err = f.node.store.Grant(ctx, leaseTime)
			written = nil
		}
		switch {
		case err != nil:
		case !bytes.Equal(written, want):
			f.answerPoke() // by the write
			var held bool
			if held, err = f.node.store.Write(ctx, f.key(), want, lease); err == nil && held {
				written = want
			} else if err == nil {
				lease, pause = 0, 0
			}
		default:
			var held bool
			if held, err = f.node.store.Renew(ctx, lease); err == nil && !held {
				f.node.log.Info("lease lapsed", "part", "fleet", "lease", uint64(lease))
				lease, pause = 0, 0
			}
		}
		if err != nil {
			pause, retry = retry, min(2*retry, renewPause)
		} else {
			retry = renewRetry
		}
		f.noteStore(err)
		if f.pause(ctx, pause) && !f.verify(ctx, written) {
			written = nil
		}
	}
	if lease != 0 {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
		defer cancel()
		if err := f.node.store.End(end, lease); err != nil {
			f.node.log.Info("lease not ended", "part", "fleet", "error", err.Error())
		}
	}
}

// noteStore logs when the store is lost to the registration and regained: nodes
// that leave the watching to others have no other sign of it.
func (f *fleet) noteStore(err error) {
	switch {
	case err != nil && !f.unregistered:
		f.unregistered = true
		f.node.log.Warn("dependency lost", "part", "store", "watch", "registration", "error", err.Error())
	case err == nil && f.unregistered:
		f.unregistered = false
		f.node.log.Info("dependency regained", "part", "store", "watch", "registration")
	}
}

// verify reads the own entry, of which there was word that it is missing or
// old, and reports whether it is as written. The word may be from before the
// write, and a read costs less than a change that wakes all watchers.
func (f *fleet) verify(ctx context.Context, written []byte) bool {
	sleep(ctx, verifyPause)
	f.answerPoke() // by this look, too
	items, _, err := f.node.store.List(ctx, f.key())
	if err != nil {
		return false
	}
	for _, item := range items {
		if item.Key == f.key() {
			return bytes.Equal(item.Value, written)
		}
	}
	return false
}

// answerPoke drops word that the own entry is missing or old.
func (f *fleet) answerPoke() {
	select {
	case <-f.poke:
	default:
	}
}

// awaitTarget waits a short time for the target to be known.
func (f *fleet) awaitTarget(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil && time.Since(began) < firstEntryPause {
		f.mu.Lock()
		known := f.self.Slots > 0
		f.mu.Unlock()
		if known {
			return
		}
		sleep(ctx, idlePause)
	}
}

// pause waits and reports whether the entry has to be written again.
func (f *fleet) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(jitter(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.poke:
		return true
	}
	return false
}
