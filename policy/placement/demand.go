package placement

import (
	"math"
	"time"
)

const (
	// membersPerCall is the number of subset members for each call that the
	// entry has in flight on average.
	membersPerCall = 10
	// maxCallsPerMember is the number of calls in flight per member above
	// which a subset grows at once.
	maxCallsPerMember = 2
	// demandPeriod is the least time over which the calls in flight are
	// averaged.
	demandPeriod = time.Second
	// demandWeight is the weight of one period in the moving average.
	demandWeight = 1.0 / 4
)

// demand determines the subset size of one service from the calls in flight.
type demand struct {
	size         int
	unanswered   int           // calls in flight now
	busyTime     time.Duration // time spent in calls that ended in this period
	periodStart  time.Duration // start of this period
	meanInFlight float64       // average number of calls in flight
	measured     bool
}

// update adjusts the size and reports whether it changed. The size grows at
// once when calls pile up, otherwise it changes at the end of a period. It
// shrinks only by half or more, since each change opens and closes connections.
func (d *demand) update(at time.Duration, least, most int) bool {
	if d.unanswered > maxCallsPerMember*d.size && d.grow(most) {
		return true
	}
	length := at - d.periodStart
	if length < demandPeriod {
		return false
	}
	now := float64(d.busyTime) / float64(length)
	weight := demandWeight
	if !d.measured {
		weight = 1
	}
	d.measured = true
	d.meanInFlight += weight * (now - d.meanInFlight)
	d.busyTime = 0
	d.periodStart = at
	wanted := math.Ceil(membersPerCall * d.meanInFlight)
	size := min(max(int(wanted), least), most)
	if size == d.size || size < d.size && 2*size > d.size {
		return false
	}
	d.size = size
	return true
}

// grow doubles the size, up to a maximum, and reports whether it changed.
func (d *demand) grow(most int) bool {
	if d.size >= most {
		return false
	}
	d.size = min(2*d.size, most)
	return true
}
