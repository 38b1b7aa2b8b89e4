package placement

import (
	"math"
	"time"
)

const (
	// targetsPerCall is the number of targets in a subset for each call that
	// the entry has in flight on average.
	targetsPerCall = 10
	// pileUp is the number of calls in flight for each member above which a
	// subset grows at once.
	pileUp = 2
	// demandPeriod is the time over which the calls in flight are averaged.
	demandPeriod = time.Second
	// demandWeight is the share of one period in the average.
	demandWeight = 1.0 / 4
)

// demand sizes the subset of one service.
type demand struct {
	size     int
	calls    int           // calls in flight now
	busy     time.Duration // time spent in calls that ended in this period
	began    time.Duration // start of this period
	inFlight float64       // average number of calls in flight
	measured bool
}

// assess reports whether the size changed. It grows at once when calls pile
// up, else at the end of a period. It shrinks only by half or more, since each
// change costs connections.
func (d *demand) assess(at time.Duration, least, most int) bool {
	if d.calls > pileUp*d.size && d.widen(most) {
		return true
	}
	length := at - d.began
	if length < demandPeriod {
		return false
	}
	now := float64(d.busy) / float64(length)
	weight := demandWeight
	if !d.measured {
		weight = 1
	}
	d.measured = true
	d.inFlight += weight * (now - d.inFlight)
	d.busy = 0
	d.began = at
	wanted := math.Ceil(targetsPerCall * d.inFlight)
	size := min(max(int(wanted), least), most)
	if size == d.size || size < d.size && 2*size > d.size {
		return false
	}
	d.size = size
	return true
}

// widen doubles the size and reports whether that changed it.
func (d *demand) widen(most int) bool {
	if d.size >= most {
		return false
	}
	d.size = min(2*d.size, most)
	return true
}
