package admission

import (
	"math"
	"time"
)

// accountState is the owner's state of an account. It is lost when the fair
// queue evicts the account's flow.
type accountState struct {
	latency   latencyBaseline
	slotUsage slotUsage
}

// latencyBaseline is the mean latency of one account, as the logarithm of
// seconds.
type latencyBaseline struct {
	generation int
	count      int
	mean       float64
}

// usageTimeConstant is the time constant of the moving average of the slots in
// use.
const usageTimeConstant = 500 * time.Millisecond

// slotUsage is the number of slots that an account held recently, as an
// exponentially weighted moving average.
type slotUsage struct {
	mean    float64
	updated time.Time
}

// at returns the average at a time, given the number of calls in flight since
// the last update.
func (u *slotUsage) at(now time.Time, inFlight int) float64 {
	elapsed := now.Sub(u.updated)
	if elapsed <= 0 {
		return u.mean
	}
	keep := math.Exp(-elapsed.Seconds() / usageTimeConstant.Seconds())
	return u.mean*keep + float64(inFlight)*(1-keep)
}

// advance brings the average up to date. It must be called before the number of
// calls in flight changes.
func (u *slotUsage) advance(now time.Time, inFlight int) {
	u.mean = u.at(now, inFlight)
	u.updated = now
}
