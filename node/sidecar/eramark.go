package sidecar

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"zinniafall/policy/proof"
)

const (
	// eraMarkKey is the key of the mark of the store's era; see proof.Mark. It is among those
	// of the nodes, which they list anyway.
	eraMarkKey = nodePrefix + "era"
	// maxMarkDelay bounds the delay of a mark: of the nodes that are to write it, one does.
	maxMarkDelay = 500 * time.Millisecond
)

// readMark records the mark of the store's era among the keys of the nodes and returns the
// others. whole is true if the keys are all that there are.
func (p *proofs) readMark(items []Item, at Position, whole bool) []Item {
	mark := proof.Mark{Read: whole, ReadIn: at.Era}
	var others []Item
	for _, item := range items {
		if item.Key != eraMarkKey {
			others = append(others, item)
			mark.Preceded = mark.Preceded || whole && p.node.fleet.isOfPredecessor(item)
			continue
		}
		era, err := strconv.ParseUint(string(item.Value), 10, 64)
		if err != nil && !item.Removed {
			p.node.log.Warn("era mark unreadable", "part", "store", "key", item.Key, "error", err.Error())
		}
		mark.Read, mark.Found, mark.Era = true, err == nil && !item.Removed, era
	}
	if mark.Read {
		p.mu.Lock()
		p.tracker.MarkRead(mark)
		p.mu.Unlock()
	}
	return others
}

// unmarked returns the era that this node is to mark in the store. ok is false if there is none.
// The mark does not wait for accounts: a copy of the store that has them should have it too.
func (p *proofs) unmarked() (era uint64, ok bool) {
	if !p.node.live.Load().StrictRevocation || !p.node.fleet.isWatcher() {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Unmarked()
}

// markEra marks the era in which the answers of the store count, if no other node does.
func (p *proofs) markEra(ctx context.Context) {
	if _, ok := p.unmarked(); !ok {
		return
	}
	sleep(ctx, rand.N(maxMarkDelay))
	era, ok := p.unmarked()
	if !ok || ctx.Err() != nil {
		return
	}
	// A mark that is written late is of an earlier era, and shows nothing.
	value := strconv.AppendUint(nil, era, 10)
	if _, err := p.node.store.Swap(ctx, nil, []KeyValue{{Key: eraMarkKey, Value: value}}); err != nil {
		p.node.log.Info("era not marked", "part", "store", "store_era", era, "error", err.Error())
		return
	}
	p.readMark([]Item{{Key: eraMarkKey, Value: value}}, Position{Era: era}, false)
}
