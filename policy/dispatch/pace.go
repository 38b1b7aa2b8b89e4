package dispatch

import (
	"time"
)

// Options tell what a cold target bears beyond its stated rate.
type Options struct {
	// ColdOvershoot is the factor on the rate, and ColdSlack the number of
	// calls on top of that, that may arrive in one second. Below 1 and 0 the
	// rate itself and one call are used.
	ColdOvershoot float64
	ColdSlack     float64
}

// SetCold says for how long the target stays cold. A target that turns cold
// starts with an empty burst.
func (o *Owner) SetCold(now time.Time, left time.Duration) {
	wasCold := o.Cold(now)
	if left <= 0 {
		o.coldUntil = time.Time{}
		return
	}
	o.coldUntil = now.Add(left)
	if !wasCold {
		o.tokens, o.filled = 0, now
	}
}

// ColdLeft returns how long the target stays cold.
func (o *Owner) ColdLeft(now time.Time) time.Duration { return max(o.coldUntil.Sub(now), 0) }

// Cold reports whether the target is cold.
func (o *Owner) Cold(now time.Time) bool { return now.Before(o.coldUntil) }

// Reading is the load that the target stated.
type Reading struct {
	// Running counts the calls at the target, from whatever sender.
	Running int
	// Slots is the number of calls that it runs at once; 0 when not stated.
	Slots int
	// Pace is how long work takes now relative to usual; 0 when not stated.
	Pace float64
}

// Read takes in a load reading.
func (o *Owner) Read(now time.Time, r Reading) []Release {
	if r.Slots > 0 {
		o.slots = r.Slots
	}
	o.foreign = max(0, r.Running-len(o.running))
	o.readAt = now
	if r.Pace > 0 {
		o.pace, o.pacedAt = r.Pace, now
	}
	return o.settle(now)
}

// Pace returns the factor on the usual time of work, as far as it is known.
func (o *Owner) Pace(now time.Time) float64 {
	if now.Sub(o.pacedAt) > paceAge {
		return 1
	}
	return o.pace
}

// PaceAge returns the age of the last pace reading; stated is false when the
// target states none.
func (o *Owner) PaceAge(now time.Time) (age time.Duration, stated bool) {
	return now.Sub(o.pacedAt), !o.pacedAt.IsZero()
}

// paced reports whether the call may start at the present pace.
func (o *Owner) paced(now time.Time, q queued) bool {
	pace := o.Pace(now)
	if pace < slowPace || !q.late(now, pace) {
		return true
	}
	return !q.Elsewhere && now.Sub(q.offered) >= maxSlowWait && now.Add(q.at(pace)).Before(q.Deadline)
}

// Held reports whether a call waits for a better pace only.
func (o *Owner) Held(now time.Time) bool {
	return len(o.queue) > 0 && o.Pace(now) >= slowPace && len(o.running) < o.limit(now)
}

// coldPace returns the rate at which a cold target gets calls, in calls a
// second, and the calls that may come at once.
func (o *Owner) coldPace() (rate, burst float64) {
	rate = o.coldRate * (1 + coldShare*max(o.options.ColdOvershoot-1, 0))
	return rate, max(coldBurst*o.options.ColdSlack, 1)
}

// fill adds the cold rate's tokens.
func (o *Owner) fill(now time.Time) {
	if now.After(o.filled) {
		rate, burst := o.coldPace()
		o.tokens = min(o.tokens+now.Sub(o.filled).Seconds()*rate, burst)
		o.filled = now
	}
}

// coldLimit returns the calls that the cold rate keeps in flight.
func (o *Owner) coldLimit(limit uint16) uint16 {
	rate, _ := o.coldPace()
	inFlight := rate * o.service.Seconds()
	return min(limit, uint16(max(inFlight, 1)))
}

// SetColdRate sets the rate that the target bears while it is cold.
func (o *Owner) SetColdRate(rate float64) {
	if rate > 0 {
		o.coldRate = rate
	}
}

// ReadPace takes in the part of a reading that does not depend on which calls
// it counts: an answer states the load at its own end.
func (o *Owner) ReadPace(now time.Time, r Reading) []Release {
	if r.Slots > 0 {
		o.slots = r.Slots
	}
	if r.Pace > 0 {
		o.pace, o.pacedAt = r.Pace, now
	}
	return o.settle(now)
}
