package admission

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

const (
	// maxTickInterval is the time between ticks when nothing is due.
	maxTickInterval = time.Second
	// watchAgeRatio is the age of a call, as a ratio to the reference latency,
	// from which on ticks check its latency.
	watchAgeRatio = 4.0
	// minTickInterval is the minimum time between ticks.
	minTickInterval = time.Millisecond
)

// Tick does the work that is due: it refuses calls that waited too long,
// removes a target whose announcement expired, retries a failing target, and
// detects a target that completes nothing.
func (o *Owner) Tick(now time.Time) []Release {
	o.advance(now)
	return o.processQueue(now)
}

// advance brings the state of the target up to date. It starts and refuses no
// calls.
func (o *Owner) advance(now time.Time) {
	state := o.State()
	if state != model.TargetAbsent && !now.Before(o.leaseEnd) {
		o.sendEvent(eventGone)
		o.limit.close()
		return
	}
	if state == model.TargetFailing && o.breaker.remaining(now) == 0 {
		o.trial++
		o.becomeCold(now, eventTurnedCold)
	}
	o.checkLatency(now)
}

// NextTick returns the time of the next Tick that may have work to do. The
// time can change with each event.
func (o *Owner) NextTick(now time.Time) time.Time {
	next := now.Add(maxTickInterval)
	next = earlier(next, o.nextExpiry(next))
	if state := o.State(); state != model.TargetAbsent {
		next = earlier(next, o.leaseEnd)
		if state == model.TargetFailing {
			next = earlier(next, o.breaker.openUntil)
		}
	}
	if wait := o.stated.Wait(now, 0); wait > 0 && o.queue.Len() > 0 {
		next = earlier(next, now.Add(wait))
	}
	next = earlier(next, o.nextLatencyCheck(now, next))
	if soonest := now.Add(minTickInterval); next.Before(soonest) {
		return soonest
	}
	return next
}

func (o *Owner) nextExpiry(next time.Time) time.Time {
	o.queue.Each(func(q queuedCall) { next = earlier(next, q.expires) })
	return next
}

// nextLatencyCheck returns when the oldest call in flight should be checked.
func (o *Owner) nextLatencyCheck(now, next time.Time) time.Time {
	reference := o.latency.referenceLatency()
	if reference <= 0 || len(o.running) == 0 {
		return next
	}
	oldest := time.Duration(math.MinInt64)
	for i := range o.running {
		oldest = max(oldest, now.Sub(o.running[i].started))
	}
	return earlier(next, now.Add(max(scale(reference, watchAgeRatio)-oldest, reference)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
