package dispatch

import (
	"math"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// A target in need states how many requests a second it takes. The load that this
// answers: a third of the targets of a service, or all of them, state a part of what
// they get, while callers send as much as before.
//
// Calls start one by one at the stated rate, without a burst after a pause. A call
// that another target may take does not wait for a token. Calls that have no other
// target wait in the order of the queue as long as they can be served in time;
// the rest is refused at once, also when calls of a higher priority displace it. The
// refused get times to return that follow each other at the stated rate, so that they
// do not return together.

const (
	// healthShare is the share of a stated limit that is left for health
	// requests.
	healthShare = 1.0 / 16
	// minLimitedHealthInterval and maxLimitedHealthInterval bound the time between
	// health requests to a limited target. Only a health answer shows the end of
	// a limit that lets no call start.
	minLimitedHealthInterval = 500 * time.Millisecond
	maxLimitedHealthInterval = 2 * time.Second
	// limitCatchUp is the time by which a start that comes late, because timers
	// do, may be made up for.
	limitCatchUp = 10 * time.Millisecond
)

// RecordStatement applies a statement. It also reports whether the limit in force
// changed.
func (o *Owner) RecordStatement(now time.Time, st Statement) (changed bool, decisions []Decision) {
	wasLimited := o.limited()
	if wasLimited {
		o.refillLimit(now)
	}
	if !o.stated.record(now, st) {
		return false, nil
	}
	if !wasLimited {
		o.limitTokens, o.lastReturn = emptyBucket(now), time.Time{}
	}
	return true, o.processQueue(now)
}

// limited reports whether the target states a limit.
func (o *Owner) limited() bool { return o.stated.limit != Unlimited }

// limitedRate returns the rate of calls to a limited target, in calls per second.
func (o *Owner) limitedRate() float64 { return o.stated.limit * (1 - healthShare) }

func (o *Owner) refillLimit(now time.Time) {
	rate := o.limitedRate()
	o.limitTokens.refill(now, rate, 1+rate*limitCatchUp.Seconds())
}

// limitWait returns the time until the stated limit lets one more call start after a
// number of others.
func (o *Owner) limitWait(now time.Time, others int) time.Duration {
	if !o.limited() {
		return 0
	}
	o.refillLimit(now)
	return o.limitTokens.waitFor(float64(others+1), o.limitedRate())
}

// limitRefuses reports whether a queued call is refused because the stated limit does
// not let it start in time.
func (o *Owner) limitRefuses(now time.Time, q queuedCall) bool {
	return o.limited() && now.Add(o.predictedWait(now, q)).After(o.waitLimit(q))
}

// returnTime returns the RetryAfter of a call that a stated limit refuses and that
// has no other target: the next free time after those given to earlier calls.
func (o *Owner) returnTime(now time.Time, wait time.Duration) time.Duration {
	next := now.Add(wait)
	if o.lastReturn.After(next) {
		next = o.lastReturn
	}
	if latest := now.Add(maxRetryAfter); next.After(latest) {
		return maxRetryAfter
	}
	o.lastReturn = next.Add(min(time.Duration(float64(time.Second)/max(o.limitedRate(), 1)), maxRetryAfter))
	return max(next.Sub(now), minRetryAfter)
}

// HealthInterval returns the time until the next health request, given that to a
// target without a limit. A limited target gets health requests at a share of its
// limit only: its answers to calls state its load.
func (o *Owner) HealthInterval(usual time.Duration) time.Duration {
	if !o.limited() {
		return usual
	}
	interval := maxLimitedHealthInterval
	if rate := o.stated.limit * healthShare; rate*maxLimitedHealthInterval.Seconds() > 1 {
		interval = time.Duration(float64(time.Second) / rate)
	}
	return max(usual, interval, minLimitedHealthInterval)
}

// limitReport adds a stated limit to a report.
func (o *Owner) limitReport(now time.Time, r *model.Report) {
	if !o.limited() || r.Limit == 0 {
		return
	}
	inFlight := math.Ceil(o.limitedRate() * o.meanTime.Seconds())
	r.Limit = uint16(min(float64(r.Limit), max(inFlight, 1)))
	r.StartsIn = o.limitWait(now, len(o.queue))
}

// refuseOverload returns the refusal of a call that gets no slot in time.
func (o *Owner) refuseOverload(now time.Time, q queuedCall, wait time.Duration, detail string) *problem.Error {
	if o.limited() {
		after := min(max(wait, minRetryAfter), maxRetryAfter)
		if !q.Elsewhere {
			after = o.returnTime(now, wait)
		}
		return problem.New(problem.Overloaded, model.RunNo, "the target's stated limit is used up").After(after)
	}
	return problem.New(problem.Overloaded, model.RunNo, detail).After(o.retryAfter(wait))
}
