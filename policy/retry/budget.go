package retry

import (
	"math/rand/v2"
	"time"
)

// Options configure a Budget. A zero value means the default; a negative
// fraction or allowance means none.
type Options struct {
	// MaxAttempts bounds the attempts of one call at this level, the first one
	// included. Default 4.
	MaxAttempts int
	// Allowance is the number of further attempts after a possible run that
	// the first caller's call is given for its whole path. Default 1.
	Allowance int
	// RetryFraction is the number of retries after a possible run that each
	// success pays for. Default 0.1.
	RetryFraction float64
	// HedgeFraction is the number of hedges that each success pays for.
	// Default 0.05.
	HedgeFraction float64
	// FailoverFraction is the number of further attempts after a certain
	// refusal that each first try pays for. Default 0.5.
	FailoverFraction float64
	// MinRefillPerSecond is the rate at which the buckets of all entries together
	// fill without any success. Default 20.
	MinRefillPerSecond float64
	// Burst is the number of retries, and of hedges, that all entries together
	// may make at once; each may make at least one. Default 200.
	Burst float64
	// Entries is the number of entries that call the service, until
	// SetEntries changes it. Default 20.
	Entries int
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
	defaultFloorPerSecond    = 20
	defaultBurst             = 200
	defaultEntries           = 20
	defaultMinRemaining      = 2 * time.Millisecond
	defaultMinRetryAfter     = 200 * time.Millisecond
	defaultMaxRetryAfter     = 30 * time.Second
	// elsewhereBurst is the number of further attempts after certain refusals
	// that one entry may make at once.
	elsewhereBurst = 10
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
	o.MaxAttempts = max(orDefault(o.MaxAttempts, defaultMaxTries), 1)
	o.Allowance = orDefault(o.Allowance, defaultAllowance)
	o.RetryFraction = orDefault(o.RetryFraction, defaultRetryFraction)
	o.HedgeFraction = orDefault(o.HedgeFraction, defaultHedgeFraction)
	o.FailoverFraction = orDefault(o.FailoverFraction, defaultElsewhereFraction)
	o.MinRefillPerSecond = orDefault(o.MinRefillPerSecond, defaultFloorPerSecond)
	o.Burst = orDefault(o.Burst, defaultBurst)
	o.Entries = max(orDefault(o.Entries, defaultEntries), 1)
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

func newBucket(burst float64) bucket { return bucket{tokens: burst, burst: burst} }

// resize changes the bucket's size and floor, and keeps its tokens if they fit.
func (b *bucket) resize(now time.Time, burst, floor float64) {
	b.fill(now)
	b.burst, b.floor = burst, floor
	b.tokens = min(b.tokens, burst)
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
	burst := opts.burst(opts.Entries)
	b := &Budget{
		opts:      opts,
		retries:   newBucket(burst),
		hedges:    newBucket(burst),
		elsewhere: newBucket(elsewhereBurst),
		jitter:    rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	b.SetEntries(time.Time{}, opts.Entries)
	return b
}

// burst is one entry's share of the burst.
func (o Options) burst(entries int) float64 { return max(o.Burst/float64(entries), 1) }

// SetEntries divides the floor and the burst by the number of entries that
// call the service, so that they do not add up in a large fleet.
func (b *Budget) SetEntries(now time.Time, entries int) {
	entries = max(entries, 1)
	burst, floor := b.opts.burst(entries), b.opts.MinRefillPerSecond/float64(entries)
	b.retries.resize(now, burst, floor)
	b.hedges.resize(now, burst, floor)
	b.elsewhere.resize(now, elsewhereBurst, floor)
}

// RecordSuccess records that a call was answered by a target, which pays for
// retries and hedges.
func (b *Budget) RecordSuccess(now time.Time) {
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

// TakeRetry takes one repeat at a target from the budget. It serves callers that
// decide themselves which failures may be repeated. When the budget is spent
// it returns false and the time until the next repeat is paid for.
func (b *Budget) TakeRetry(now time.Time) (bool, time.Duration) {
	if b.retries.take(now) {
		return true, 0
	}
	return false, b.retries.wait()
}
