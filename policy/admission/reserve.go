package admission

import (
	"math"
	"time"
)

const (
	// lateShare is the wait, as a part of a call's own service time, from
	// which on an account within its share was kept waiting too long.
	lateShare = 0.5
	// lateTarget is the part of the calls that may wait so long.
	lateTarget = 0.05
	// reserveStep is the change in slots for one call.
	reserveStep = 0.25
	// reserveTime is the time in which the reserve falls to a third when no
	// call is late, so that few calls of the others do not hold it up.
	reserveTime = 10 * time.Second
)

// reserve is a trunk reservation: the slots that an account beyond its share
// must leave free for the others. A running call cannot be stopped, so an
// account with long calls that fills every idle slot would make the others
// wait for its calls to end. How much has to stay free depends on the lengths
// of the calls and on the load, so it is set by feedback: each late start of a
// call within its account's share raises it, each prompt one lowers it, in a
// proportion that makes lateTarget of the starts late. Against an account with
// short calls it stays small. It also falls with time.
type reserve struct {
	slots   float64
	updated time.Time
}

// observe takes in how long a call within its account's share waited.
func (r *reserve) observe(now time.Time, wait, service time.Duration, limit int) {
	r.slots = r.at(now)
	r.updated = now
	if wait > part(service, lateShare) {
		r.slots = min(r.slots+reserveStep*(1-lateTarget), float64(limit-1))
		return
	}
	r.slots = max(r.slots-reserveStep*lateTarget, 0)
}

func (r *reserve) at(now time.Time) float64 {
	return r.slots * math.Exp(-now.Sub(r.updated).Seconds()/reserveTime.Seconds())
}

// size returns the slots to leave free.
func (r *reserve) size(now time.Time) int { return int(r.at(now)) }
