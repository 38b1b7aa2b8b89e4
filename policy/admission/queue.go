package admission

import (
	"time"

	"zinniafall/policy/fairqueue"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

const (
	// minTimeShare is the part of the expected service time that must remain
	// until the deadline for a call to be worth starting.
	minTimeShare = 0.5
	// standingTarget is the least wait that a standing queue may cause.
	standingTarget = 2 * time.Millisecond
)

// flow is the state of an account at the owner.
type flow = fairqueue.Flow[queued, history]

// queued is a call that waits for a slot.
type queued struct {
	Call
	concurrency int
	offered     time.Time
	expires     time.Time
	// withinShare is true for a call that the reserve is there for.
	withinShare bool
}

func (c Call) expired(now time.Time) bool {
	return !c.Deadline.IsZero() && !now.Before(c.Deadline)
}

// expiry returns the time at which a call that waits is refused.
func (o *Owner) expiry(now time.Time, c Call) time.Time {
	latest := now.Add(o.options.MaxWait)
	if !c.Deadline.IsZero() && c.Deadline.Before(latest) {
		return c.Deadline
	}
	return latest
}

// cannotFinish reports whether the call would not finish in time even if it
// started now. With nothing in flight the call runs all the same: otherwise an
// estimate that is too high could turn everything away and never be corrected.
func (o *Owner) cannotFinish(now time.Time, f *flow, c Call) bool {
	if c.Deadline.IsZero() || len(o.running) == 0 {
		return false
	}
	return c.Deadline.Sub(now) < part(f.Estimate(), minTimeShare)
}

// startable reports whether the call may take a slot now.
func (o *Owner) startable(f *flow, q queued) bool {
	free := o.limit.limit - len(o.running)
	if free <= 0 {
		return false
	}
	if q.Isolated && o.isolated > 0 {
		return false
	}
	if q.concurrency > 0 && f.InFlight() >= q.concurrency {
		return false
	}
	return free > o.reserved(o.now, f)
}

// reserved returns the number of slots that must stay free when the account
// starts a call: none while it is within its share.
func (o *Owner) reserved(now time.Time, f *flow) int {
	share := o.share(f)
	if float64(f.InFlight()+1) <= max(share, 1) || o.withinShare(now, f) {
		return 0
	}
	return o.reserve.size(now)
}

// share returns the account's part of the slots among the accounts that had a
// call lately.
func (o *Owner) share(f *flow) float64 {
	return float64(o.limit.limit) * f.Weight() / o.queue.TotalWeight()
}

// withinShare reports whether the account asks for no more than its share: it
// has held no more slots lately, and has no standing queue.
func (o *Owner) withinShare(now time.Time, f *flow) bool {
	return f.BacklogAge(now) < o.options.MaxWait && f.State.usage.at(now, f.InFlight()) <= max(o.share(f), 1)
}

// enqueue lets the call wait if it can be served in time.
func (o *Owner) enqueue(now time.Time, f *flow, q queued) Decision {
	wait := o.predictedWait(f, q)
	if wait > o.allowedWait(now, f) {
		return refuse(o.tooBusy(f, q, wait))
	}
	if !q.Deadline.IsZero() && now.Add(wait+part(f.Estimate(), minTimeShare)).After(q.Deadline) {
		return refuse(o.tooBusy(f, q, wait))
	}
	q.withinShare = o.withinShare(now, f)
	if !o.queue.Push(now, f, q) {
		return refuse(o.tooBusy(f, q, wait))
	}
	return Decision{Verdict: Wait}
}

// predictedWait returns the time until a call queued now would start, at the
// part of the slots that its account gets while the others keep waiting.
func (o *Owner) predictedWait(f *flow, q queued) time.Duration {
	slots := float64(o.limit.limit) * o.queue.Share(f)
	if q.concurrency > 0 {
		slots = min(slots, float64(q.concurrency))
	}
	if slots <= 0 {
		return o.options.MaxWait
	}
	return part(f.Estimate(), float64(f.Queued()+1)/slots)
}

// allowedWait returns the longest wait that a new call of the account may
// expect. An account whose queue was not empty for MaxWait has a standing
// queue, which adds delay and no throughput; it may keep only about one
// service time of it.
func (o *Owner) allowedWait(now time.Time, f *flow) time.Duration {
	if f.BacklogAge(now) < o.options.MaxWait {
		return o.options.MaxWait
	}
	return min(max(standingTarget, f.Estimate()), o.options.MaxWait)
}

func (o *Owner) tooBusy(f *flow, q queued, wait time.Duration) *problem.Error {
	if q.concurrency > 0 && f.InFlight() >= q.concurrency {
		return problem.New(problem.AccountLimit, model.RunNo, "the account has as many calls in flight at the target as it may have").After(wait)
	}
	return problem.New(problem.Overloaded, model.RunNo, "the target's queue would hold the call for too long").After(wait)
}

func expiredProblem() *problem.Error {
	return problem.New(problem.DeadlineExceeded, model.RunNo, "the call cannot be answered before its deadline")
}

// settle does what an event made possible: it ends the wait of calls that
// must not run, and starts queued calls in the free slots.
func (o *Owner) settle(now time.Time) []Release {
	o.now = now
	o.queue.EvictIdle(now)
	if o.queue.Len() == 0 {
		return nil
	}
	if p := o.closed(now); p != nil {
		return o.refuseQueue(p)
	}
	return o.startQueued(now, o.expire(now))
}

func (o *Owner) refuseQueue(p *problem.Error) []Release {
	var out []Release
	o.queue.Drop(
		func(queued) bool { return true },
		func(q queued) { out = append(out, Release{Ticket: q.Ticket, Refusal: p}) },
	)
	return out
}

func (o *Owner) expire(now time.Time) []Release {
	var out []Release
	o.queue.Drop(
		func(q queued) bool { return !now.Before(q.expires) },
		func(q queued) {
			o.observeWait(now, q, o.queue.MeanCost())
			out = append(out, Release{Ticket: q.Ticket, Refusal: o.waitedTooLong(now, q)})
		},
	)
	return out
}

func (o *Owner) waitedTooLong(now time.Time, q queued) *problem.Error {
	if q.expired(now) {
		return expiredProblem()
	}
	return problem.New(problem.Overloaded, model.RunNo, "the call waited for a slot as long as the queue allows").After(o.options.MaxWait)
}

func (o *Owner) startQueued(now time.Time, out []Release) []Release {
	for len(o.running) < o.limit.limit {
		f, q, ok := o.queue.Next(o.startable)
		if !ok {
			break
		}
		if o.cannotFinish(now, f, q.Call) {
			f.DecayEstimate()
			out = append(out, Release{Ticket: q.Ticket, Refusal: expiredProblem()})
			continue
		}
		o.observeWait(now, q, f.Estimate())
		o.start(now, f, q.Call)
		out = append(out, Release{Ticket: q.Ticket})
	}
	return out
}

func (o *Owner) observeWait(now time.Time, q queued, service time.Duration) {
	if q.withinShare {
		o.reserve.observe(now, now.Sub(q.offered), service, o.limit.limit)
	}
}

// part returns a multiple of a duration.
func part(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
