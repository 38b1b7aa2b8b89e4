package distribution

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// storeDelay is the time after the first report of a newer configuration in which a
	// node leaves the store to the nodes that watch it.
	storeDelay = time.Second
	// storeGap is the mean time between reads of the store by the nodes of a failure
	// domain that all lack a configuration. 2,200 nodes in ten failure domains read 200 a
	// second then: a link of 1 Gbit/s for configurations of 450 KB.
	storeGap = 50 * time.Millisecond
	// minStorePause and maxStorePause bound the time between two reads of a node.
	minStorePause = 2 * time.Second
	maxStorePause = 30 * time.Second
)

// storeReads is the state of a node's reads of the store.
type storeReads struct {
	reading bool
	// at is when the next read is due, or zero if that has not been decided.
	at time.Time
	// hastened is set if at was brought forward because other nodes sent nothing usable.
	hastened bool
	failures int
}

// TakeStore reports whether to read the configuration from the store now; FinishedStore must
// follow then. Otherwise wait is the time after which to ask again, or 0 if only a report can
// change that. neighbors is the number of nodes in this node's failure domain.
//
// It answers the load of a fleet in which transfers between nodes fail: the nodes that lack
// the configuration would ask the others again and again, while the store answers each. The
// store is read if what other nodes sent is not usable, or if none has sent the configuration
// for a while and no transfer is under way. Their reads are spread over a time that grows with
// their number, since the store serves all failure domains. A node that watches the store gets
// the configuration from there in any case, and reads it besides only in the first case.
func (p *Puller) TakeStore(now time.Time, have model.Revision, neighbors int, watches bool) (take bool, wait time.Duration) {
	since, behind := p.behindSince(now, have)
	if !behind {
		p.store.at, p.store.hastened, p.store.failures = time.Time{}, false, 0
		return false, 0
	}
	unusable := p.unusable >= maxUnusable
	if p.store.reading || watches && !unusable {
		return false, 0
	}
	spread := func() time.Duration { return time.Duration(p.rng.Int64N(int64(max(neighbors, 1)) * int64(storeGap))) }
	if p.store.at.IsZero() {
		p.store.at = since.Add(storeDelay).Add(spread())
	}
	if at := now.Add(spread()); unusable && !p.store.hastened && p.store.failures == 0 {
		p.store.hastened = true
		if at.Before(p.store.at) {
			p.store.at = at
		}
	}
	at := p.store.at
	for _, start := range p.active {
		if slow := start.Add(slowTransfer); slow.After(at) {
			at = slow
		}
	}
	if d := at.Sub(now); d > 0 {
		return false, d
	}
	p.store.reading = true
	return true, 0
}

// FinishedStore records the end of a read of the store. have is the revision in force then.
func (p *Puller) FinishedStore(now time.Time, have model.Revision) {
	p.store.reading = false
	if _, behind := p.behindSince(now, have); !behind {
		p.unusable, p.unusableUntil = 0, time.Time{}
		p.store.at, p.store.hastened, p.store.failures = time.Time{}, false, 0
		return
	}
	p.store.at = now.Add(p.jitter(min(minStorePause<<p.store.failures, maxStorePause)))
	p.store.failures = min(p.store.failures+1, maxHolders)
}
