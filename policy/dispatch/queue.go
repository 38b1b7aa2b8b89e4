package dispatch

import (
	"slices"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

type queued struct {
	Call
	offered time.Time
	// work is the expected time of the call at the usual pace.
	work time.Duration
}

// late reports whether the call would miss its objective if it started then,
// at a pace.
func (q queued) late(start time.Time, pace float64) bool {
	return start.Add(q.at(pace)).After(q.Objective)
}

// at returns the expected time of the call at a pace.
func (q queued) at(pace float64) time.Duration { return time.Duration(float64(q.work) * pace) }

// needed is the time that must be left for the call to be worth starting.
func (q queued) needed() time.Duration { return q.at(finishShare) }

// turnsAway reports whether a call that cannot start now is refused.
func (o *Owner) turnsAway(now time.Time, q queued, wait time.Duration) bool {
	start := now.Add(wait)
	switch {
	case len(o.queue) >= maxQueued, !start.Add(q.needed()).Before(q.Deadline):
		return true
	case q.Elsewhere:
		return !start.Before(o.patience(q))
	case q.late(start, 1):
		waiting := o.lateQueued(now)
		return waiting >= o.slots || wait > maxLateWait || waiting >= lateProbes && o.lateStarts < leastLateStarts
	}
	return false
}

// lateQueued counts the queued calls that will miss their objective.
func (o *Owner) lateQueued(now time.Time) int {
	n := 0
	for _, q := range o.queue {
		if q.late(now, 1) {
			n++
		}
	}
	return n
}

// advice returns when a refused caller should come back. While late calls get
// no slot the load is lasting, and a caller that comes back at once is only
// refused again.
func (o *Owner) advice(wait time.Duration) time.Duration {
	if o.lateStarts < leastLateStarts {
		return maxRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (q queued) hopeless(now time.Time) *problem.Error {
	if now.Add(q.needed()).Before(q.Deadline) {
		return nil
	}
	return problem.New(problem.DeadlineExceeded, model.RunNo, "the call cannot be answered before its deadline")
}

// latestStart is when the call has to start to be answered within its objective.
func (q queued) latestStart() time.Time { return q.Objective.Add(-q.work) }

// predictedWait returns the time until a call would start.
func (o *Owner) predictedWait(now time.Time, c queued) time.Duration {
	ahead, work := 0, time.Duration(0)
	for _, q := range o.queue {
		if q.Ticket != c.Ticket && !q.late(now, 1) && !o.before(now, c, q) || q.Priority < c.Priority {
			ahead++
			work += q.work
		}
	}
	limit := max(o.limit(now), 1)
	wait := time.Duration(0)
	if len(o.running) >= limit {
		wait = (o.meanRunning() + work) / time.Duration(limit)
	}
	if o.Cold(now) && o.coldRate > 0 {
		o.fill(now)
		short := max(float64(ahead+1)-o.tokens, 0)
		rate, _ := o.coldPace()
		wait = max(wait, time.Duration(short/rate*float64(time.Second)))
	}
	return wait
}

// meanRunning returns the mean expected time of the calls in flight.
func (o *Owner) meanRunning() time.Duration {
	sum := time.Duration(0)
	for _, r := range o.running {
		work, ok := o.classes[r.class]
		if !ok {
			work = o.service
		}
		sum += work
	}
	return sum / time.Duration(max(len(o.running), 1))
}

// Abandon drops a call that waits. It does nothing for one in flight, which
// Finish ends.
func (o *Owner) Abandon(now time.Time, t Ticket) []Release {
	o.queue = slices.DeleteFunc(o.queue, func(q queued) bool { return q.Ticket == t })
	return o.settle(now)
}

// settle refuses the queued calls that must not run and starts those that can.
func (o *Owner) settle(now time.Time) []Release {
	if len(o.queue) == 0 {
		return nil
	}
	var out []Release
	closed := o.closed()
	o.queue = slices.DeleteFunc(o.queue, func(q queued) bool {
		refusal := closed
		if refusal == nil {
			refusal = o.overdue(now, q)
		}
		if refusal != nil {
			if !q.Elsewhere && q.late(now, 1) {
				o.lateEnded(0)
			}
			out = append(out, Release{Ticket: q.Ticket, Refusal: refusal})
		}
		return refusal != nil
	})
	for o.free(now) {
		at := o.first(now)
		if at < 0 {
			break
		}
		q := o.queue[at]
		o.queue = slices.Delete(o.queue, at, at+1)
		if q.late(now, 1) {
			o.lateEnded(1)
		}
		o.start(now, q.Call)
		out = append(out, Release{Ticket: q.Ticket})
	}
	return out
}

// lateEnded learns what waiting is worth to a call that has become late.
func (o *Owner) lateEnded(started float64) {
	o.lateStarts += lateWeight * (started - o.lateStarts)
}

// first returns the place of the queued call that starts next, -1 for none.
// The queue is in the order of arrival.
func (o *Owner) first(now time.Time) int {
	best := -1
	for i, q := range o.queue {
		if o.paced(now, q) && (best < 0 || o.before(now, q, o.queue[best])) {
			best = i
		}
	}
	return best
}

// before reports whether a call goes before one that came earlier.
func (o *Owner) before(now time.Time, q, earlier queued) bool {
	if q.Priority != earlier.Priority {
		return q.Priority < earlier.Priority
	}
	late, otherLate := q.late(now, 1), earlier.late(now, 1)
	if late || otherLate {
		return otherLate && !late
	}
	return q.latestStart().Before(earlier.latestStart())
}

// patience returns how long a queued call waits at the longest: as its entry
// says if it can go elsewhere, otherwise until it would miss its objective and
// a short time beyond.
func (o *Owner) patience(q queued) time.Time {
	if q.Elsewhere && !q.Hold {
		return q.offered
	}
	if q.Elsewhere {
		return q.Objective.Add(-q.at(holdMargin) - holdTrip)
	}
	inTime := q.latestStart()
	if inTime.Before(q.offered) {
		inTime = q.offered
	}
	return inTime.Add(maxLateWait)
}

func (o *Owner) overdue(now time.Time, q queued) *problem.Error {
	if p := q.hopeless(now); p != nil {
		return p
	}
	if now.Before(o.patience(q)) || o.free(now) && (!q.Elsewhere || o.paced(now, q)) {
		return nil
	}
	wait := o.predictedWait(now, q)
	return problem.New(problem.Overloaded, model.RunNo, "the target had no slot in time").After(o.advice(wait))
}
