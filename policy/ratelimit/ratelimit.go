// Package ratelimit provides token buckets whose callers pass the time: one for
// each client account at an entry, and one for the health and load requests to
// a target. The buckets are those of golang.org/x/time/rate; this package
// limits their number and sets their initial content.
package ratelimit

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"zinniafall/policy/model"
)

// The defaults of Options.
const (
	DefaultBurstTime  = time.Second
	DefaultMaxBuckets = 16384
)

// Options configures an AccountLimiter. A zero field means the default.
type Options struct {
	// BurstTime sets the burst: an idle account may send as many calls at once
	// as its rate allows in this time. Default 1 s.
	BurstTime time.Duration
	// MaxBuckets limits the number of accounts with a bucket. Beyond it the
	// least recently used bucket is evicted, so that its account starts with a
	// full bucket again. Default 16384.
	MaxBuckets int
}

// AccountLimiter limits the call rate of each account at one entry. It is not
// safe for concurrent use.
type AccountLimiter struct {
	options Options
	buckets *simplelru.LRU[model.Account, *bucket]
}

// bucket is the token bucket of one account.
type bucket struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

// NewAccountLimiter returns a limiter without buckets.
func NewAccountLimiter(options Options) *AccountLimiter {
	if options.BurstTime <= 0 {
		options.BurstTime = DefaultBurstTime
	}
	if options.MaxBuckets <= 0 {
		options.MaxBuckets = DefaultMaxBuckets
	}
	buckets, err := simplelru.NewLRU[model.Account, *bucket](options.MaxBuckets, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size that is not positive.
	}
	return &AccountLimiter{options: options, buckets: buckets}
}

// Allow takes one call from the account's bucket, which refills at the given
// calls per second; a rate of 0 or below sets no limit. If the bucket is empty,
// Allow returns false and the time until it holds a call again.
func (a *AccountLimiter) Allow(now time.Time, account model.Account, perSecond float64) (bool, time.Duration) {
	if perSecond <= 0 {
		a.buckets.Remove(account)
		return true, 0
	}
	a.evictOldestFull(now)
	b := a.bucket(now, account, perSecond)
	b.lastUsed = now
	if b.limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - b.limiter.TokensAt(now)
	return false, time.Duration(missing / perSecond * float64(time.Second))
}

// Len returns the number of accounts with a bucket.
func (a *AccountLimiter) Len() int { return a.buckets.Len() }

// bucket returns the account's bucket with the given rate, and creates it if
// necessary.
func (a *AccountLimiter) bucket(now time.Time, account model.Account, perSecond float64) *bucket {
	burst := a.burst(perSecond)
	b, ok := a.buckets.Get(account)
	if !ok {
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
		a.buckets.Add(account, b)
		return b
	}
	if b.limiter.Limit() != rate.Limit(perSecond) {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
		b.limiter.SetBurstAt(now, burst)
	}
	return b
}

func (a *AccountLimiter) burst(perSecond float64) int {
	return max(1, int(perSecond*a.options.BurstTime.Seconds()))
}

// evictOldestFull drops the least recently used bucket if it has refilled
// completely, since an account without a bucket starts with a full one.
func (a *AccountLimiter) evictOldestFull(now time.Time) {
	account, b, ok := a.buckets.GetOldest()
	if !ok {
		return
	}
	refillTime := time.Duration(float64(b.limiter.Burst()) / float64(b.limiter.Limit()) * float64(time.Second))
	if now.Sub(b.lastUsed) > refillTime {
		a.buckets.Remove(account)
	}
}
