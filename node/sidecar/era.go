package sidecar

import (
	"context"
	"time"
)

// eraLogDelay is how long the log line about a new era waits for a position of it.
const eraLogDelay = time.Second

// followEra reports each return of the store from an older copy in the log and, on a node
// that follows the store for its failure domain, to the nodes there. The other background
// tasks follow the era themselves. It returns when the context ends.
func (n *Node) followEra(ctx context.Context) {
	era, changed := n.store.Era()
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-n.store.Problems():
			n.log.Warn("store answer not understood", "part", "store", "error", err.Error())
			continue
		case <-changed:
		}
		before := era
		era, changed = n.store.Era()
		if before == 0 && !n.fleet.isListed() {
			continue // the first era that was stated
		}
		n.fleet.greetPartners()
		last := n.configuration.currentEvacuation().Position()
		n.goBackground(func() { n.logEra(ctx, before, era, last) })
	}
}

// logEra logs a change of the era, with the first position in it that becomes known soon.
func (n *Node) logEra(ctx context.Context, before, era uint64, last Position) {
	next := n.configuration.currentEvacuation().Position()
	for began := time.Now(); next.Era < era && time.Since(began) < eraLogDelay && ctx.Err() == nil; {
		sleep(ctx, idlePollInterval)
		next = n.configuration.currentEvacuation().Position()
	}
	action := "takes a new lease and writes its entry"
	if n.fleet.followsStore() {
		action = "lists all keys, takes a new lease and writes its entry"
	}
	n.log.Warn("store returned from an older copy", "part", "store", "era_before", before, "store_era", era,
		"revision_before", last.Revision, "store_revision", next.Revision, "action", action)
}
