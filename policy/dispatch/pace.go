package dispatch

import "time"

// Options configures an Owner.
type Options struct {
	// ColdOvershoot is the factor on the stated rate, and ColdSlack the
	// number of calls in addition, that may arrive in one second. An
	// overshoot below 1 counts as 1; the burst is at least one call.
	ColdOvershoot float64
	ColdSlack     float64
	// Seed is the seed of the random part of RetryAfter.
	Seed uint64
}

// LoadReading is the load that the target states.
type LoadReading struct {
	// Running counts the calls at the target from all senders.
	Running int
	// Slots is the number of calls that the target runs at once; 0 when not
	// stated.
	Slots int
	// Pace is the ratio of the current service time to the usual one, so
	// that a higher value is slower; 0 when not stated.
	Pace float64
}

// RecordLoad records a load reading.
func (o *Owner) RecordLoad(now time.Time, r LoadReading) []Decision {
	if r.Slots > 0 {
		o.slots = r.Slots
	}
	o.otherSendersCalls = max(0, r.Running-len(o.running))
	o.loadReadAt = now
	o.recordPace(now, r.Pace)
	return o.processQueue(now)
}

// recordPace records a pace; 0 means that none was stated.
func (o *Owner) recordPace(now time.Time, pace float64) {
	if pace <= 0 {
		return
	}
	o.pace, o.paceReadAt = pace, now
	switch {
	case pace < stalledPace:
		o.stalledSince = time.Time{}
	case o.stalledSince.IsZero():
		o.stalledSince = now
	}
}

// stalledFor returns how long entries should place calls elsewhere because the target is
// too slow to serve them in time: as long again as it has been, since that is the best
// estimate of how long it will last. A pace that changes within maxSlowWait is left out,
// because it has changed again before an entry can act on it.
func (o *Owner) stalledFor(now time.Time) time.Duration {
	if o.stalledSince.IsZero() || now.Sub(o.paceReadAt) > maxStallReadingAge {
		return 0
	}
	stalled := now.Sub(o.stalledSince)
	if stalled < maxSlowWait {
		return 0
	}
	return min(stalled, maxStallReport)
}

// Pace returns the ratio of the current service time to the usual one, 1 when
// unknown.
func (o *Owner) Pace(now time.Time) float64 {
	if now.Sub(o.paceReadAt) > maxPaceAge {
		return 1
	}
	return o.pace
}

// PaceAge returns the age of the last pace reading. Stated is false when the
// target has stated none.
func (o *Owner) PaceAge(now time.Time) (age time.Duration, stated bool) {
	return now.Sub(o.paceReadAt), !o.paceReadAt.IsZero()
}

// paceAllows reports whether the call may start at the current pace. A bulk call that would
// be in time at a slow pace waits nevertheless: it would hold its slot several times as long,
// while short calls need it.
func (o *Owner) paceAllows(now time.Time, q queuedCall) bool {
	pace := o.Pace(now)
	if pace < slowPace || !q.missesObjective(now, pace) && !q.Bulk {
		return true
	}
	if q.Bulk && !q.Elsewhere && now.Sub(q.offered) >= maxSlowWait && !q.missesObjective(now, pace) {
		return true
	}
	return !q.Elsewhere && now.Sub(q.offered) >= maxSlowWait && now.Add(q.expectedAtPace(pace)).Before(q.Deadline)
}

// WaitingForPace reports whether a queued call waits only for the pace to improve, so that
// it is worth a health request. To a limited target it never is.
func (o *Owner) WaitingForPace(now time.Time) bool {
	return len(o.queue) > 0 && !o.limiter.Limited() && o.Pace(now) >= slowPace && len(o.running) < o.limit(now)
}

// RecordPace records the slots and the pace of a reading, but not its running
// calls. An answer states the load at its own end, so its count differs from
// the calls in flight here.
func (o *Owner) RecordPace(now time.Time, r LoadReading) []Decision {
	if r.Slots > 0 {
		o.slots = r.Slots
	}
	o.recordPace(now, r.Pace)
	return o.processQueue(now)
}
