package callkey

import (
	"time"

	"zinniafall/policy/model"
)

// claimTable holds the claims in buckets by the time of issue of their keys, so
// that expiry drops whole buckets.
type claimTable struct {
	ttl        time.Duration
	width      time.Duration
	max        int
	count      int
	perAccount map[model.Account]int
	buckets    map[int64]map[uint64]*claim
	// firstBucket is the first bucket that was never dropped. Keys issued
	// before it are refused whatever the clock says.
	firstBucket int64
}

func newClaimTable(ttl time.Duration, limit int) claimTable {
	return claimTable{
		ttl:        ttl,
		width:      max(ttl/buckets, time.Millisecond),
		max:        limit,
		perAccount: make(map[model.Account]int),
		buckets:    make(map[int64]map[uint64]*claim),
	}
}

func (t *claimTable) bucket(issued time.Duration) int64 { return int64(issued / t.width) }

// expired reports whether the key may no longer be used at the given time,
// which like the key's time of issue is counted from the issuer's epoch.
func (t *claimTable) expired(key ParsedKey, now time.Duration) bool {
	return t.bucket(key.Issued) < t.firstBucket || now-key.Issued >= t.ttl
}

// hasRoom reports whether the account may add a claim. The limit is a dynamic
// threshold: an account may hold at most as many claims as are free, so that
// one account never takes the last ones.
func (t *claimTable) hasRoom(account model.Account) bool {
	return t.perAccount[account] < t.max-t.count
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
	t.perAccount[c.account]++
}

func (t *claimTable) remove(c *claim) {
	delete(t.buckets[t.bucket(c.issued)], c.key)
	t.uncount(c)
}

// uncount removes a claim from the counts.
func (t *claimTable) uncount(c *claim) {
	t.count--
	t.perAccount[c.account]--
	if t.perAccount[c.account] == 0 {
		delete(t.perAccount, c.account)
	}
}

// expire drops the buckets in which every key is past its time to live, and
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
			t.uncount(c)
			dropped = append(dropped, c)
		}
		delete(t.buckets, b)
	}
	t.firstBucket = max(t.firstBucket, floor)
	return dropped
}
