package admission

import (
	"math"
	"time"
)

// history is what the owner remembers of an account while it is active.
type history struct {
	latency latencyHistory
	usage   usage
}

// latencyHistory is the baseline of one account's latency, in log seconds.
type latencyHistory struct {
	generation int
	count      int
	mean       float64
}

// usageTime is the time over which the use of slots is averaged.
const usageTime = 500 * time.Millisecond

// usage is the number of slots that an account held lately, averaged with
// exponentially falling weight.
type usage struct {
	mean    float64
	updated time.Time
}

// at returns the average when the number of calls has been the same since the
// last update.
func (u *usage) at(now time.Time, inFlight int) float64 {
	elapsed := now.Sub(u.updated)
	if elapsed <= 0 {
		return u.mean
	}
	keep := math.Exp(-elapsed.Seconds() / usageTime.Seconds())
	return u.mean*keep + float64(inFlight)*(1-keep)
}

// advance brings the average up to date; call it before the number changes.
func (u *usage) advance(now time.Time, inFlight int) {
	u.mean = u.at(now, inFlight)
	u.updated = now
}
