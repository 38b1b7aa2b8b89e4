package callkey

import (
	"time"

	"zinniafall/policy/model"
)

// claimTable holds the claims in buckets by the time of issue of their keys,
// so that expiry drops whole buckets.
type claimTable struct {
	ttl     time.Duration
	width   time.Duration
	max     int
	count   int
	held    map[model.Account]int
	buckets map[int64]map[uint64]*claim
	// floor is the first bucket that was never dropped. Keys issued before
	// it are refused whatever the clock says.
	floor int64
}

func newClaimTable(ttl time.Duration, limit int) claimTable {
	return claimTable{
		ttl:     ttl,
		width:   max(ttl/buckets, time.Millisecond),
		max:     limit,
		held:    make(map[model.Account]int),
		buckets: make(map[int64]map[uint64]*claim),
	}
}

func (t *claimTable) bucket(issued time.Duration) int64 { return int64(issued / t.width) }

// expired reports whether a key may no longer be used at the time now, both
// counted from the issuer's epoch.
func (t *claimTable) expired(key ParsedKey, now time.Duration) bool {
	return t.bucket(key.Issued) < t.floor || now-key.Issued >= t.ttl
}

// hasRoom applies a dynamic threshold: an account may hold at most as many
// claims as are free, so that one account never takes the last ones.
func (t *claimTable) hasRoom(account model.Account) bool {
	return t.held[account] < t.max-t.count
}

func (t *claimTable) find(key ParsedKey) *claim {
	return t.buckets[t.bucket(key.Issued)][key.Serial]
}

func (t *claimTable) add(c *claim) {
	b := t.bucket(c.issued)
	if t.buckets[b] == nil {
		t.buckets[b] = make(map[uint64]*claim)
	}
	t.buckets[b][c.key] = c
	t.count++
	t.held[c.account]++
}

func (t *claimTable) remove(c *claim) {
	delete(t.buckets[t.bucket(c.issued)], c.key)
	t.release(c)
}

func (t *claimTable) release(c *claim) {
	t.count--
	t.held[c.account]--
	if t.held[c.account] == 0 {
		delete(t.held, c.account)
	}
}

// expire drops the buckets whose every key is past its time to live, and
// returns their claims.
func (t *claimTable) expire(now time.Duration) []*claim {
	if now < t.ttl {
		return nil
	}
	floor := t.bucket(now - t.ttl)
	var dropped []*claim
	for b, claims := range t.buckets {
		if b >= floor {
			continue
		}
		for _, c := range claims {
			t.release(c)
			dropped = append(dropped, c)
		}
		delete(t.buckets, b)
	}
	t.floor = max(t.floor, floor)
	return dropped
}
