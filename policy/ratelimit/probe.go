package ratelimit

import (
	"time"

	"golang.org/x/time/rate"
)

// ProbeLimiter is the budget of health and load requests that one target gets. Its
// bucket holds one request and starts empty. A process that lives for a time
// T therefore sends at most rate*T requests, so that processes which follow
// each other at one target, however often they restart, together send at most
// the rate times the whole time. It is not safe for concurrent use.
type ProbeLimiter struct {
	limiter *rate.Limiter
	started bool
}

// measureBurst is the number of requests that the bucket holds.
const measureBurst = 1

// NewProbeLimiter returns a budget in requests a second; 0 or below allows none.
func NewProbeLimiter(perSecond float64) *ProbeLimiter {
	return &ProbeLimiter{limiter: rate.NewLimiter(rate.Limit(max(perSecond, 0)), measureBurst)}
}

// SetRate changes the budget. What the bucket holds stays.
func (m *ProbeLimiter) SetRate(now time.Time, perSecond float64) {
	m.limiter.SetLimitAt(now, rate.Limit(max(perSecond, 0)))
}

// Allow spends one request if the budget has it.
func (m *ProbeLimiter) Allow(now time.Time) bool {
	if !m.started {
		m.started = true
		m.limiter.AllowN(now, measureBurst)
		return false
	}
	return m.limiter.AllowN(now, 1)
}
