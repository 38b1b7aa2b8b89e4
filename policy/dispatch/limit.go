package dispatch

import (
	"math"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/statedlimit"
)

// A call that another target may take does not wait for a limited one. Calls that have
// no other target wait in the order of the queue as long as they can be served in time;
// the rest is refused at once, also when calls of a higher priority displace it.

// RecordStatement applies what an answer states about the limit of the target. It also
// reports whether the limit in force changed.
func (o *Owner) RecordStatement(now time.Time, st statedlimit.Statement) (changed bool, decisions []Decision) {
	if !o.limiter.Record(now, st) {
		return false, nil
	}
	return true, o.processQueue(now)
}

// StatedLimit returns the limit in force, in requests per second, or
// statedlimit.Unlimited.
func (o *Owner) StatedLimit() float64 { return o.limiter.Limit() }

// ForgetStatements drops what a former process of the target has stated.
func (o *Owner) ForgetStatements() { o.limiter, o.warmStarts = statedlimit.Limiter{}, nil }

// HealthInterval returns the time until the next health request, given that to a
// target without a limit.
func (o *Owner) HealthInterval(usual time.Duration) time.Duration {
	return o.limiter.HealthInterval(usual)
}

// limitRefuses reports whether a queued call is refused because the stated limit does
// not let it start in time.
func (o *Owner) limitRefuses(now time.Time, q queuedCall) bool {
	return o.limiter.Limited() && now.Add(o.predictedWait(now, q)).After(o.waitLimit(q))
}

// limitReport adds a stated limit to a report.
func (o *Owner) limitReport(now time.Time, r *model.Report) {
	if !o.limiter.Limited() || r.Limit == 0 {
		return
	}
	inFlight := math.Ceil(o.limiter.Rate() * o.meanTime.Seconds())
	r.Limit = uint16(min(float64(r.Limit), max(inFlight, 1)))
	r.StartsIn = o.limiter.Wait(now, len(o.queue))
}

// refuseOverload returns the refusal of a call that gets no slot in time.
func (o *Owner) refuseOverload(now time.Time, q queuedCall, wait time.Duration, detail string) *problem.Error {
	after := o.retryAfter(wait)
	if o.limiter.Limited() {
		detail = "the target's stated limit is used up"
		after = min(max(wait, minRetryAfter), maxRetryAfter)
		if !q.Elsewhere {
			after = o.limiter.ReturnAfter(now, wait, minRetryAfter, maxRetryAfter)
		}
	}
	if q.beyondShare() {
		return o.shareRefusal(q, after, "the account is beyond its share of the target's slots")
	}
	return problem.New(problem.Overloaded, model.RunNo, detail).After(o.shareDelay(q, after))
}
