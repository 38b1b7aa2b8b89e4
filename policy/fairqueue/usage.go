package fairqueue

import (
	"math"
	"time"
)

// Usage is the number of slots that an account held recently, as an exponentially
// weighted moving average. A caller passes the same time constant to all methods.
type Usage struct {
	mean    float64
	updated time.Time
}

// At returns the average at a time, given the number of calls in flight since the last
// update.
func (u *Usage) At(now time.Time, inFlight int, timeConstant time.Duration) float64 {
	elapsed := now.Sub(u.updated)
	if elapsed <= 0 {
		return u.mean
	}
	keep := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	return u.mean*keep + float64(inFlight)*(1-keep)
}

// Advance brings the average up to date. It must be called before the number of calls in
// flight changes.
func (u *Usage) Advance(now time.Time, inFlight int, timeConstant time.Duration) {
	u.mean = u.At(now, inFlight, timeConstant)
	u.updated = now
}
