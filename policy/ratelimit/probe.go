package ratelimit

import (
	"time"

	"golang.org/x/time/rate"
)

// ProbeLimiter limits the health and load requests to one target. Its bucket
// holds one request and starts empty, so a process that lives for a time T
// sends at most rate*T requests. Successive processes at one target, however
// often they restart, therefore stay within the rate together. It is not safe
// for concurrent use.
type ProbeLimiter struct {
	limiter *rate.Limiter
	started bool
}

// probeBurst is the number of requests that the bucket holds.
const probeBurst = 1

// NewProbeLimiter returns a limiter for the given requests per second; a rate
// of 0 or below allows none.
func NewProbeLimiter(perSecond float64) *ProbeLimiter {
	return &ProbeLimiter{limiter: rate.NewLimiter(rate.Limit(max(perSecond, 0)), probeBurst)}
}

// SetRate changes the rate. The bucket keeps its content.
func (l *ProbeLimiter) SetRate(now time.Time, perSecond float64) {
	l.limiter.SetLimitAt(now, rate.Limit(max(perSecond, 0)))
}

// Allow reports whether a request may be sent now, and takes it from the
// bucket.
func (l *ProbeLimiter) Allow(now time.Time) bool {
	if !l.started {
		l.started = true
		l.limiter.AllowN(now, probeBurst)
		return false
	}
	return l.limiter.AllowN(now, 1)
}
