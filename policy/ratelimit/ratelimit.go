// Package ratelimit holds token buckets over explicit time: one for each
// client account at an entry, and one for the requests that measuring sends
// to a target. The buckets are those of golang.org/x/time/rate; this package
// bounds how many there are and how they start.
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

// Options tunes Accounts. A zero field takes its default.
type Options struct {
	// BurstTime is the time whose worth of calls an account that was idle
	// may send at once (1 s).
	BurstTime time.Duration
	// MaxBuckets bounds the accounts that are remembered (16384). Beyond it
	// the account whose last call is the oldest is forgotten, which gives it
	// a full bucket back.
	MaxBuckets int
}

// AccountLimiter limits the rate of calls of each account at one entry. It is not
// safe for concurrent use.
type AccountLimiter struct {
	options Options
	buckets *simplelru.LRU[model.Account, *bucket]
}

type bucket struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

// NewAccountLimiter returns a limiter that remembers no account.
func NewAccountLimiter(options Options) *AccountLimiter {
	if options.BurstTime <= 0 {
		options.BurstTime = DefaultBurstTime
	}
	if options.MaxBuckets <= 0 {
		options.MaxBuckets = DefaultMaxBuckets
	}
	buckets, err := simplelru.NewLRU[model.Account, *bucket](options.MaxBuckets, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &AccountLimiter{options: options, buckets: buckets}
}

// Allow spends one call of the account's budget, in calls a second; a rate of
// 0 or below sets no bound. When the budget is spent it returns false and the
// time after which a call of the account would pass.
func (a *AccountLimiter) Allow(now time.Time, account model.Account, perSecond float64) (bool, time.Duration) {
	if perSecond <= 0 {
		a.buckets.Remove(account)
		return true, 0
	}
	a.forget(now)
	b := a.bucket(now, account, perSecond)
	b.lastUsed = now
	if b.limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - b.limiter.TokensAt(now)
	return false, time.Duration(missing / perSecond * float64(time.Second))
}

// Len returns the number of accounts that are remembered.
func (a *AccountLimiter) Len() int { return a.buckets.Len() }

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

// forget drops the bucket that was not used for the longest time if it has
// filled up since: a full bucket is the same as none.
func (a *AccountLimiter) forget(now time.Time) {
	account, b, ok := a.buckets.GetOldest()
	if !ok {
		return
	}
	fill := time.Duration(float64(b.limiter.Burst()) / float64(b.limiter.Limit()) * float64(time.Second))
	if now.Sub(b.lastUsed) > fill {
		a.buckets.Remove(account)
	}
}
