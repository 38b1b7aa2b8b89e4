package retry

import (
	"math/rand/v2"
	"time"
)

// Options configure a Budget. A zero value means the default; a negative
// fraction or allowance means none.
type Options struct {
	// MaxAttempts limits the attempts of one call at this nesting level,
	// including the first. Default 4.
	MaxAttempts int
	// Allowance is the number of further attempts after a possible run that a
	// first caller's call gets for its whole path. Default 1.
	Allowance int
	// RetryFraction is the number of retry tokens that each success adds.
	// Default 0.1.
	RetryFraction float64
	// HedgeFraction is the number of hedge tokens that each success adds.
	// Default 0.05.
	HedgeFraction float64
	// FailoverFraction is the number of failover tokens that each first
	// attempt adds. Default 0.5.
	FailoverFraction float64
	// MinRefillPerSecond is the rate at which the buckets of all entries
	// together refill without any success. Default 20.
	MinRefillPerSecond float64
	// RerunPart is the part of the retries that may be of calls that ran or may have run.
	// Calls that such a run makes count against the budgets of the services that they go to.
	// Default 1.
	RerunPart float64
	// Burst is the number of retries, and of hedges, that all entries together
	// may make at once. Each entry may make at least one. Default 200.
	Burst float64
	// Entries is the initial number of entries that call the service; see
	// SetEntries. Default 20.
	Entries int
	// MinRemaining is the least time before the deadline at which another
	// attempt may start. Default 2 ms.
	MinRemaining time.Duration
	// MinRetryAfter and MaxRetryAfter bound the wait that is reported to a
	// refused caller. Default 200 ms and 30 s.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Seed is the seed of the jitter on the reported wait.
	Seed uint64
}

const (
	defaultMaxAttempts        = 4
	defaultAllowance          = 1
	defaultRetryFraction      = 0.1
	defaultHedgeFraction      = 0.05
	defaultFailoverFraction   = 0.5
	defaultMinRefillPerSecond = 20
	defaultRerunPart          = 1.0
	defaultBurst              = 200
	defaultEntries            = 20
	defaultMinRemaining       = 2 * time.Millisecond
	defaultMinRetryAfter      = 200 * time.Millisecond
	defaultMaxRetryAfter      = 30 * time.Second
	// failoverBurst is the number of failovers that one entry may make at once.
	failoverBurst = 10
)

// orDefault returns the default for zero, 0 for a negative value, and any
// other value as it is.
func orDefault[T int | float64 | time.Duration](value, defaultValue T) T {
	switch {
	case value == 0:
		return defaultValue
	case value < 0:
		return 0
	}
	return value
}

func (o Options) withDefaults() Options {
	o.MaxAttempts = max(orDefault(o.MaxAttempts, defaultMaxAttempts), 1)
	o.Allowance = orDefault(o.Allowance, defaultAllowance)
	o.RetryFraction = orDefault(o.RetryFraction, defaultRetryFraction)
	o.HedgeFraction = orDefault(o.HedgeFraction, defaultHedgeFraction)
	o.FailoverFraction = orDefault(o.FailoverFraction, defaultFailoverFraction)
	o.MinRefillPerSecond = orDefault(o.MinRefillPerSecond, defaultMinRefillPerSecond)
	o.RerunPart = orDefault(o.RerunPart, defaultRerunPart)
	o.Burst = orDefault(o.Burst, defaultBurst)
	o.Entries = max(orDefault(o.Entries, defaultEntries), 1)
	o.MinRemaining = orDefault(o.MinRemaining, defaultMinRemaining)
	o.MinRetryAfter = orDefault(o.MinRetryAfter, defaultMinRetryAfter)
	o.MaxRetryAfter = max(orDefault(o.MaxRetryAfter, defaultMaxRetryAfter), o.MinRetryAfter)
	return o
}

// bucket is a token bucket that events and elapsed time refill.
type bucket struct {
	tokens     float64
	burst      float64
	minRefill  float64
	lastRefill time.Time
}

func newBucket(burst float64) bucket { return bucket{tokens: burst, burst: burst} }

// resize changes the bucket's capacity and its minimum refill rate, and keeps
// as many of its tokens as fit.
func (b *bucket) resize(now time.Time, burst, minRefill float64) {
	b.refill(now)
	b.burst, b.minRefill = burst, minRefill
	b.tokens = min(b.tokens, burst)
}

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.add(now.Sub(b.lastRefill).Seconds() * b.minRefill)
	}
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}

func (b *bucket) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

// take takes one token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// timeToToken returns the time until the minimum refill rate alone has
// completed one token, and 0 if a token is there or the rate is 0.
func (b *bucket) timeToToken() time.Duration {
	if b.tokens >= 1 || b.minRefill <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.minRefill * float64(time.Second))
}

// Budget limits the further attempts that one entry makes at one service. It
// is not safe for concurrent use; its Attempts must be used under the same
// lock.
type Budget struct {
	opts    Options
	retries bucket
	// reruns limits the retries of calls that may have run, which take a token of retries, too.
	reruns    bucket
	hedges    bucket
	failovers bucket
	jitter    *rand.Rand
	accounts  accountUse
}

// NewBudget returns a budget with full buckets.
func NewBudget(opts Options) *Budget {
	opts = opts.withDefaults()
	burst := opts.burst(opts.Entries)
	b := &Budget{
		opts:      opts,
		retries:   newBucket(burst),
		reruns:    newBucket(max(burst*opts.RerunPart, 1)),
		hedges:    newBucket(burst),
		failovers: newBucket(failoverBurst),
		jitter:    rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	b.SetEntries(time.Time{}, opts.Entries)
	return b
}

// burst returns one entry's share of the burst, which is at least 1.
func (o Options) burst(entries int) float64 { return max(o.Burst/float64(entries), 1) }

// SetEntries divides the minimum refill rate and the burst of retries and hedges
// by the number of entries (nodes that accept callers' calls) that call the
// service, so that the totals do not grow with the fleet. The burst of failovers
// is not divided.
func (b *Budget) SetEntries(now time.Time, entries int) {
	entries = max(entries, 1)
	burst, minRefill := b.opts.burst(entries), b.opts.MinRefillPerSecond/float64(entries)
	b.retries.resize(now, burst, minRefill)
	b.reruns.resize(now, max(burst*b.opts.RerunPart, 1), minRefill*b.opts.RerunPart)
	b.hedges.resize(now, burst, minRefill)
	b.failovers.resize(now, failoverBurst, minRefill)
}

// RecordSuccess records that a target answered a call, which adds retry and
// hedge tokens.
func (b *Budget) RecordSuccess(now time.Time) {
	b.retries.refill(now)
	b.retries.add(b.opts.RetryFraction)
	b.reruns.refill(now)
	b.reruns.add(b.opts.RetryFraction * b.opts.RerunPart)
	b.hedges.refill(now)
	b.hedges.add(b.opts.HedgeFraction)
}

// retryAfter returns the wait to report to a refused caller: the given wait
// within its bounds, plus up to a quarter of jitter so that callers do not
// retry at the same time.
func (b *Budget) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, b.opts.MinRetryAfter), b.opts.MaxRetryAfter)
	return wait + time.Duration(b.jitter.Int64N(int64(wait/4)+1))
}

// TakeRetry takes one retry token. It is for callers that decide themselves
// which failures may be retried. Without a token it returns false and the time
// until the next one.
func (b *Budget) TakeRetry(now time.Time) (bool, time.Duration) {
	if b.retries.take(now) {
		return true, 0
	}
	return false, b.retries.timeToToken()
}
