// Package tokens provides a token bucket whose rate may change between its uses and
// whose caller passes the time. Unlike that of golang.org/x/time/rate, it tells when the
// n-th token will be there without reserving it, as the prediction of a queue needs.
package tokens

import "time"

// MaxWait is the wait for a token that never comes.
const MaxWait = time.Hour

// Bucket is a token bucket that is refilled when it is read.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// Empty returns a bucket without tokens.
func Empty(now time.Time) Bucket { return Bucket{refilledAt: now} }

// Owing returns a bucket that owes tokens.
func Owing(now time.Time, owed int) Bucket { return Bucket{tokens: -float64(owed), refilledAt: now} }

// Refill adds the tokens since the last refill, at a rate per second, up to most.
func (b *Bucket) Refill(now time.Time, rate, most float64) {
	if now.After(b.refilledAt) {
		b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*rate, most)
		b.refilledAt = now
	}
}

// Take removes one token. The bucket may owe tokens afterwards.
func (b *Bucket) Take() { b.tokens-- }

// WaitFor returns the time until the bucket has n tokens at the rate, at most MaxWait.
func (b *Bucket) WaitFor(n, rate float64) time.Duration {
	missing := n - b.tokens
	switch {
	case missing <= 0:
		return 0
	case missing >= rate*MaxWait.Seconds():
		return MaxWait
	}
	return time.Duration(missing / rate * float64(time.Second))
}
