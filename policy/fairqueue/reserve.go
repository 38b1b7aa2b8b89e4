package fairqueue

import (
	"math"
	"time"
)

const (
	// lateWaitRatio is the wait, as a ratio to the service time of the call,
	// above which a call of an account within its share counts as late.
	lateWaitRatio = 0.5
	// lateStartTarget is the fraction of such calls that may start late.
	lateStartTarget = 0.05
	// reserveStep scales the change of the reserve per observed call, in
	// slots.
	reserveStep = 0.25
	// ReserveTimeConstant is the time constant of the reserve's exponential
	// decay without late calls. Without the decay, the reserve would stay high
	// when the other accounts make few calls.
	ReserveTimeConstant = 10 * time.Second
)

// Reserve is a trunk reservation: the number of slots that an account that
// uses more than its share must leave free for the others. A running call
// cannot be stopped, so an account with long calls that fills every idle slot
// would make the others wait for its calls to end.
//
// How many slots have to stay free depends on the lengths of the calls and on
// the load, so feedback sets the number: each late start of a call within its
// account's share raises it, each prompt start lowers it, in a proportion at
// which lateStartTarget of the starts are late. Against an account with short
// calls it stays small. It also decays with time.
type Reserve struct {
	slots   float64
	updated time.Time
}

// Observe records the wait of a call of an account within its share, for a slot of a
// target that runs up to limit calls.
func (r *Reserve) Observe(now time.Time, wait, service time.Duration, limit int) {
	r.slots = r.at(now)
	r.updated = now
	if wait.Seconds() > lateWaitRatio*service.Seconds() {
		r.slots = min(r.slots+reserveStep*(1-lateStartTarget), float64(max(limit-1, 0)))
		return
	}
	r.slots = max(r.slots-reserveStep*lateStartTarget, 0)
}

func (r *Reserve) at(now time.Time) float64 {
	return r.slots * math.Exp(-now.Sub(r.updated).Seconds()/ReserveTimeConstant.Seconds())
}

// Size returns the number of slots to leave free.
func (r *Reserve) Size(now time.Time) int { return int(r.at(now)) }
