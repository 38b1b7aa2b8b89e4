package dispatch

import "time"

// maxWait is the predicted wait for a token that never comes.
const maxWait = time.Hour

// bucket is a token bucket that is refilled when it is read.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// emptyBucket returns a bucket without tokens.
func emptyBucket(now time.Time) bucket { return bucket{refilledAt: now} }

// refill adds the tokens since the last refill, at a rate per second, up to most.
func (b *bucket) refill(now time.Time, rate, most float64) {
	if now.After(b.refilledAt) {
		b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*rate, most)
		b.refilledAt = now
	}
}

// waitFor returns the time until the bucket has n tokens, at most maxWait.
func (b *bucket) waitFor(n, rate float64) time.Duration {
	missing := n - b.tokens
	switch {
	case missing <= 0:
		return 0
	case missing >= rate*maxWait.Seconds():
		return maxWait
	}
	return time.Duration(missing / rate * float64(time.Second))
}
