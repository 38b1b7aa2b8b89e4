package admission

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

const (
	// idleTick is the time between ticks when nothing is due.
	idleTick = time.Second
	// stallRatio is the age of a call, as a ratio to the reference latency,
	// from which on ticks watch for a collapse.
	stallRatio = 4.0
	// minTick is the least time between ticks.
	minTick = time.Millisecond
)

// Tick does what is due: it refuses calls that waited too long, lets a lapsed
// announcement go, ends a probation, and notices a target that completes
// nothing.
func (o *Owner) Tick(now time.Time) []Release {
	o.advance(now)
	return o.settle(now)
}

// advance brings the target's state up to date with the time. It starts and
// refuses nothing.
func (o *Owner) advance(now time.Time) {
	state := o.State()
	if state != model.TargetAbsent && !now.Before(o.leaseEnd) {
		o.send(eventGone)
		o.limit.close()
		return
	}
	if state == model.TargetFailing && o.circuit.remaining(now) == 0 {
		o.trial++
		o.becomeCold(now, eventTurnedCold)
	}
	o.watch(now)
}

// NextTick returns the time of the next Tick that may have work to do. It
// changes with each event.
func (o *Owner) NextTick(now time.Time) time.Time {
	next := now.Add(idleTick)
	next = earlier(next, o.nextExpiry(next))
	if state := o.State(); state != model.TargetAbsent {
		next = earlier(next, o.leaseEnd)
		if state == model.TargetFailing {
			next = earlier(next, o.circuit.until)
		}
	}
	next = earlier(next, o.nextWatch(now, next))
	if soonest := now.Add(minTick); next.Before(soonest) {
		return soonest
	}
	return next
}

func (o *Owner) nextExpiry(next time.Time) time.Time {
	o.queue.Each(func(q queued) { next = earlier(next, q.expires) })
	return next
}

// nextWatch returns when the calls in flight are old enough to look at.
func (o *Owner) nextWatch(now, next time.Time) time.Time {
	reference := o.latency.referenceTime()
	if reference <= 0 || len(o.running) == 0 {
		return next
	}
	oldest := time.Duration(math.MinInt64)
	for i := range o.running {
		oldest = max(oldest, now.Sub(o.running[i].started))
	}
	return earlier(next, now.Add(max(part(reference, stallRatio)-oldest, reference)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
