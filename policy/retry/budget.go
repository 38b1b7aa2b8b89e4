package retry

import (
	"math/rand/v2"
	"time"
)

// Options configure a Budget. A zero value means the default; a negative
// fraction or allowance means none.
type Options struct {
	// MaxTries bounds the attempts of one call at this level, the first one
	// included. Default 4.
	MaxTries int
	// Allowance is the number of further attempts after a possible run that
	// the first caller's call is given for its whole path. Default 1.
	Allowance int
	// RetryFraction is the number of retries after a possible run that each
	// success pays for. Default 0.1.
	RetryFraction float64
	// HedgeFraction is the number of hedges that each success pays for.
	// Default 0.05.
	HedgeFraction float64
	// ElsewhereFraction is the number of further attempts after a certain
	// refusal that each first try pays for. Default 0.5.
	ElsewhereFraction float64
	// FloorPerSecond is the rate at which each bucket fills without any
	// success. Default 1.
	FloorPerSecond float64
	// Burst is the number of tokens that a bucket holds. Default 10.
	Burst float64
	// MinRemaining is the time that must be left before the deadline for
	// another attempt. Default 2 ms.
	MinRemaining time.Duration
	// MinRetryAfter and MaxRetryAfter bound the wait that a refused caller is
	// told. Default 200 ms and 30 s.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Seed of the jitter on the wait that a refused caller is told.
	Seed uint64
}

const (
	defaultMaxTries          = 4
	defaultAllowance         = 1
	defaultRetryFraction     = 0.1
	defaultHedgeFraction     = 0.05
	defaultElsewhereFraction = 0.5
	defaultFloorPerSecond    = 1
	defaultBurst             = 10
	defaultMinRemaining      = 2 * time.Millisecond
	defaultMinRetryAfter     = 200 * time.Millisecond
	defaultMaxRetryAfter     = 30 * time.Second
)

func orDefault[T int | float64 | time.Duration](value, standard T) T {
	switch {
	case value == 0:
		return standard
	case value < 0:
		return 0
	}
	return value
}

func (o Options) withDefaults() Options {
	o.MaxTries = max(orDefault(o.MaxTries, defaultMaxTries), 1)
	o.Allowance = orDefault(o.Allowance, defaultAllowance)
	o.RetryFraction = orDefault(o.RetryFraction, defaultRetryFraction)
	o.HedgeFraction = orDefault(o.HedgeFraction, defaultHedgeFraction)
	o.ElsewhereFraction = orDefault(o.ElsewhereFraction, defaultElsewhereFraction)
	o.FloorPerSecond = orDefault(o.FloorPerSecond, defaultFloorPerSecond)
	o.Burst = orDefault(o.Burst, defaultBurst)
	o.MinRemaining = orDefault(o.MinRemaining, defaultMinRemaining)
	o.MinRetryAfter = orDefault(o.MinRetryAfter, defaultMinRetryAfter)
	o.MaxRetryAfter = max(orDefault(o.MaxRetryAfter, defaultMaxRetryAfter), o.MinRetryAfter)
	return o
}

// bucket is a token bucket that fills with events and with time.
type bucket struct {
	tokens float64
	burst  float64
	floor  float64
	filled time.Time
}

func newBucket(o Options) bucket {
	return bucket{tokens: o.Burst, burst: o.Burst, floor: o.FloorPerSecond}
}

// fill adds what the time since the last call has earned.
func (b *bucket) fill(now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.add(now.Sub(b.filled).Seconds() * b.floor)
	}
	if now.After(b.filled) {
		b.filled = now
	}
}

func (b *bucket) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait is the time until the floor alone has filled one token.
func (b *bucket) wait() time.Duration {
	if b.tokens >= 1 || b.floor <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.floor * float64(time.Second))
}

// Budget pays for the further attempts of one entry at one service. It is not
// safe for concurrent use; its Attempts are used under the same lock.
type Budget struct {
	opts      Options
	retries   bucket
	hedges    bucket
	elsewhere bucket
	jitter    *rand.Rand
}

// NewBudget returns a budget with full buckets.
func NewBudget(opts Options) *Budget {
	opts = opts.withDefaults()
	return &Budget{
		opts:      opts,
		retries:   newBucket(opts),
		hedges:    newBucket(opts),
		elsewhere: newBucket(opts),
		jitter:    rand.New(rand.NewPCG(opts.Seed, 0)),
	}
}

// Succeeded records that a call was answered by a target, which pays for
// retries and hedges.
func (b *Budget) Succeeded(now time.Time) {
	b.retries.fill(now)
	b.retries.add(b.opts.RetryFraction)
	b.hedges.fill(now)
	b.hedges.add(b.opts.HedgeFraction)
}

// retryAfter is what a refused caller is told: at least the given wait, with
// up to a quarter of jitter so that callers do not come back together.
func (b *Budget) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, b.opts.MinRetryAfter), b.opts.MaxRetryAfter)
	return wait + time.Duration(b.jitter.Int64N(int64(wait/4)+1))
}
