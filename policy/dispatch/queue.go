package dispatch

import (
	"slices"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

type queuedCall struct {
	Call
	offered time.Time
	// work is the expected service time at the usual pace.
	work time.Duration
	// account is the state of the call's account, nil if it has none.
	account *flow
	// withinShare, noSlot and contended are what held when the call was offered: its
	// account was within its share, no slot was free, an account was beyond its share.
	withinShare, noSlot, contended bool
	// arrived reports whether the body of a bulk call was awaited and has arrived.
	arrived bool
}

// missesObjective reports whether the call would miss its objective if it
// started at the given time and pace.
func (q queuedCall) missesObjective(start time.Time, pace float64) bool {
	return start.Add(q.expectedAtPace(pace)).After(q.Objective)
}

// expectedAtPace returns the expected service time at a pace.
func (q queuedCall) expectedAtPace(pace float64) time.Duration {
	return time.Duration(float64(q.work) * pace)
}

// minRemaining returns the time before the deadline that the call needs to be
// worth starting. A bulk call costs its body and a long run, so it has to have all of
// its expected time.
func (q queuedCall) minRemaining() time.Duration {
	if q.Bulk {
		return q.work
	}
	return q.expectedAtPace(minRemainingShare)
}

// rejects reports whether to refuse a call that cannot start now instead of
// queuing it.
func (o *Owner) rejects(now time.Time, q queuedCall, wait time.Duration) bool {
	start := now.Add(wait)
	switch {
	case len(o.queue) >= maxQueued && !q.arrived, !start.Add(q.minRemaining()).Before(q.Deadline):
		return true
	case q.arrived:
		return false
	case q.Elsewhere && o.limiter.Wait(now, 0) > 0:
		return true
	case q.Elsewhere:
		return !start.Before(o.waitLimit(q))
	case q.missesObjective(start, 1):
		waiting := o.countLate(now)
		return waiting >= o.slots || wait > maxLateWait || waiting >= maxLateProbes && o.lateStartShare < minLateStartShare
	}
	return false
}

// countLate returns the number of queued calls that will miss their objective.
func (o *Owner) countLate(now time.Time) int {
	n := 0
	for _, q := range o.queue {
		if q.missesObjective(now, 1) {
			n++
		}
	}
	return n
}

// retryAfter returns the RetryAfter of a refusal. While late calls get no slot
// the overload persists, and a caller that retries at once would be refused
// again.
func (o *Owner) retryAfter(wait time.Duration) time.Duration {
	if o.lateStartShare < minLateStartShare {
		return maxRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (q queuedCall) deadlineProblem(now time.Time) *problem.Error {
	if now.Add(q.minRemaining()).Before(q.Deadline) {
		return nil
	}
	return deadlineProblem()
}

func deadlineProblem() *problem.Error {
	return problem.New(problem.DeadlineExceeded, model.RunNo, "the call cannot be answered before its deadline")
}

// latestStart returns the latest start at which the call meets its objective.
func (q queuedCall) latestStart() time.Time { return q.Objective.Add(-q.work) }

// predictedWait returns the expected time until the call would start.
func (o *Owner) predictedWait(now time.Time, c queuedCall) time.Duration {
	ahead, work := 0, time.Duration(0)
	for _, q := range o.queue {
		if q.Ticket != c.Ticket && !q.missesObjective(now, 1) && !o.precedes(now, c, q) || q.Priority < c.Priority {
			ahead++
			work += q.work
		}
	}
	limit := max(o.limit(now), 1)
	wait := time.Duration(0)
	if len(o.running) >= limit {
		wait = (o.meanRunningTime() + work) / time.Duration(limit)
	}
	return max(wait, o.tokenWait(now, ahead), o.shareWait(now, c))
}

// meanRunningTime returns the mean expected service time of the calls in
// flight.
func (o *Owner) meanRunningTime() time.Duration {
	sum := time.Duration(0)
	for _, r := range o.running {
		work, ok := o.classTimes[r.class]
		if !ok {
			work = o.meanTime
		}
		sum += work
	}
	return sum / time.Duration(max(len(o.running), 1))
}

// Abandon removes a queued call. It does nothing for a call in flight, which
// Finish ends.
func (o *Owner) Abandon(now time.Time, t Ticket) []Decision {
	delete(o.bulk.awaited, t)
	o.queue = slices.DeleteFunc(o.queue, func(q queuedCall) bool {
		if q.Ticket != t {
			return false
		}
		o.leaveQueue(q)
		return true
	})
	return o.processQueue(now)
}

// leaveQueue updates the counts of a call that leaves the queue.
func (o *Owner) leaveQueue(q queuedCall) {
	o.shares.dequeue(q.account, q.Ticket)
	if q.arrived {
		o.bulk.arrived--
	}
}

// processQueue refuses the queued calls that must not run and starts those that
// can.
func (o *Owner) processQueue(now time.Time) []Decision {
	if len(o.queue) == 0 {
		return nil
	}
	o.updateShares(now, nil)
	out := o.refuseQueued(now, nil)
	for o.canStart(now) {
		at := o.nextToStart(now)
		if at < 0 {
			break
		}
		q := o.queue[at]
		o.queue = slices.Delete(o.queue, at, at+1)
		o.leaveQueue(q)
		o.observeWait(now, q)
		if q.missesObjective(now, 1) {
			o.recordLateEnd(1)
		}
		o.start(now, q)
		o.updateShares(now, nil)
		out = append(out, Decision{Ticket: q.Ticket})
	}
	if o.Closed(GateRollout) { // the last start may have closed it
		out = o.refuseQueued(now, out)
	}
	return out
}

// refuseQueued refuses the queued calls that must not run or wait. It returns the
// decisions added to out.
func (o *Owner) refuseQueued(now time.Time, out []Decision) []Decision {
	closed := o.blockedProblem()
	o.queue = slices.DeleteFunc(o.queue, func(q queuedCall) bool {
		refusal := closed
		if refusal == nil {
			refusal = o.waitProblem(now, q)
		}
		if refusal != nil {
			if !q.Elsewhere && q.missesObjective(now, 1) {
				o.recordLateEnd(0)
			}
			o.leaveQueue(q)
			o.observeWait(now, q)
			out = append(out, Decision{Ticket: q.Ticket, Refusal: refusal})
		}
		return refusal != nil
	})
	if closed == nil {
		out = o.refuseDisplaced(now, out)
	}
	return out
}

// refuseDisplaced refuses the queued calls that calls of other accounts displaced, one by
// one, so that a refused call does not count as ahead of the next.
func (o *Owner) refuseDisplaced(now time.Time, out []Decision) []Decision {
	for at := len(o.queue) - 1; at >= 0; at-- {
		q := o.queue[at]
		if !o.shareRefuses(now, q) || o.queuedMayStart(now, q) {
			continue
		}
		refusal := o.refuseOverload(now, q, o.predictedWait(now, q), "the target had no slot in time")
		o.queue = slices.Delete(o.queue, at, at+1)
		o.leaveQueue(q)
		o.observeWait(now, q)
		out = append(out, Decision{Ticket: q.Ticket, Refusal: refusal})
	}
	return out
}

// queuedMayStart reports whether a queued call is not refused because it may start now.
func (o *Owner) queuedMayStart(now time.Time, q queuedCall) bool {
	return o.canStart(now) && o.shareAllows(now, q) && (!q.Elsewhere || o.paceAllows(now, q))
}

// recordLateEnd records whether a late call was started (1) or refused (0).
func (o *Owner) recordLateEnd(started float64) {
	o.lateStartShare += lateStartWeight * (started - o.lateStartShare)
}

// nextToStart returns the index of the queued call to start next, or -1. The
// queue is in order of arrival.
func (o *Owner) nextToStart(now time.Time) int {
	best := -1
	for i, q := range o.queue {
		if o.paceAllows(now, q) && o.shareAllows(now, q) && (best < 0 || o.precedes(now, q, o.queue[best])) {
			best = i
		}
	}
	return best
}

// precedes reports whether a call starts before one that arrived earlier.
func (o *Owner) precedes(now time.Time, q, earlier queuedCall) bool {
	if q.Priority != earlier.Priority {
		return q.Priority < earlier.Priority
	}
	late, otherLate := q.missesObjective(now, 1), earlier.missesObjective(now, 1)
	if late || otherLate {
		return otherLate && !late
	}
	beyond, otherBeyond := q.beyondShare(), earlier.beyondShare()
	switch {
	case beyond != otherBeyond:
		return otherBeyond
	case beyond && q.account != earlier.account:
		return q.account.StartTag() < earlier.account.StartTag()
	}
	return q.latestStart().Before(earlier.latestStart())
}

// waitLimit returns the time until which a queued call may wait. A call with
// another target waits only if it asks to be held, for a short time, and leaves in
// time to go there. Any other call waits until its latest start, or its arrival if that is
// later, and maxLateWait beyond.
func (o *Owner) waitLimit(q queuedCall) time.Time {
	if q.Elsewhere && !q.Hold {
		return q.offered
	}
	if q.Elsewhere {
		hold := max(q.Objective.Sub(q.offered), 0) / holdDivisor
		if q.Bulk {
			hold = maxBulkHold
		}
		return earlier(q.Objective.Add(-q.expectedAtPace(holdMargin)-holdTravelTime), q.offered.Add(hold))
	}
	inTime := q.latestStart()
	if inTime.Before(q.offered) {
		inTime = q.offered
	}
	return inTime.Add(maxLateWait)
}

func (o *Owner) waitProblem(now time.Time, q queuedCall) *problem.Error {
	if p := q.deadlineProblem(now); p != nil {
		return p
	}
	if now.Before(o.waitLimit(q)) && !o.limitRefuses(now, q) || o.queuedMayStart(now, q) {
		return nil
	}
	return o.refuseOverload(now, q, o.predictedWait(now, q), "the target had no slot in time")
}
