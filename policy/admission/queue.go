package admission

import (
	"time"

	"zinniafall/policy/fairqueue"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

const (
	// minRemainingShare is the fraction of the estimated service time that
	// must remain until the deadline for a call to be worth starting.
	minRemainingShare = 0.5
	// minBacklogWait is the lower bound of the wait that is allowed to an
	// account with a standing queue.
	minBacklogWait = 2 * time.Millisecond
	// minReturnTime and maxReturnTime bound the time after which a call that a
	// stated limit refuses may return.
	minReturnTime = 50 * time.Millisecond
	maxReturnTime = 2 * time.Second
)

// flow is the state of one account in the queue.
type flow = fairqueue.Flow[queuedCall, accountState]

// queuedCall is a call that waits for a slot.
type queuedCall struct {
	Call
	concurrency int
	offered     time.Time
	expires     time.Time
	// withinShare is whether the account was within its share when the call
	// was offered. The waits of such calls set the size of the reserve.
	withinShare bool
}

func (c Call) expired(now time.Time) bool {
	return !c.Deadline.IsZero() && !now.Before(c.Deadline)
}

// expiry returns the time at which the call is refused if it is still queued.
func (o *Owner) expiry(now time.Time, c Call) time.Time {
	latest := now.Add(o.options.MaxWait)
	if !c.Deadline.IsZero() && c.Deadline.Before(latest) {
		return c.Deadline
	}
	return latest
}

// cannotFinish reports whether the call would miss its deadline even if it
// started now. It returns false while no call is in flight: otherwise an
// estimate that is too high could refuse all calls and never be corrected.
func (o *Owner) cannotFinish(now time.Time, f *flow, c Call) bool {
	if c.Deadline.IsZero() || len(o.running) == 0 {
		return false
	}
	return c.Deadline.Sub(now) < scale(f.EstimatedCost(), minRemainingShare)
}

// canStart reports whether the call may take a slot now.
func (o *Owner) canStart(f *flow, q queuedCall) bool {
	free := o.limit.limit - len(o.running)
	if free <= 0 || o.stated.Wait(o.now, 0) > 0 {
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

// reserved returns the number of slots that must stay free for other accounts
// when this account starts a call: the size of the reserve, or none while
// either the account's calls in flight, with this one, or its recent slot usage
// are within its share.
func (o *Owner) reserved(now time.Time, f *flow) int {
	share := o.share(f)
	if float64(f.InFlight()+1) <= max(share, 1) || o.withinShare(now, f) {
		return 0
	}
	return o.reserve.Size(now)
}

// share returns the account's share of the slots among the accounts that had a
// call recently.
func (o *Owner) share(f *flow) float64 {
	return float64(o.limit.limit) * f.Weight() / o.queue.TotalWeight()
}

// withinShare reports whether the account's recent slot usage is within its
// share and it has no standing queue.
func (o *Owner) withinShare(now time.Time, f *flow) bool {
	return f.BacklogAge(now) < o.options.MaxWait && f.State.slotUsage.At(now, f.InFlight(), usageTimeConstant) <= max(o.share(f), 1)
}

// enqueue queues the call if it can be served in time, and refuses it
// otherwise.
func (o *Owner) enqueue(now time.Time, f *flow, q queuedCall) Decision {
	wait := o.predictedWait(f, q)
	if wait > o.allowedWait(now, f) {
		return refuse(o.busyRefusal(f, q, wait))
	}
	if !q.Deadline.IsZero() && now.Add(wait+scale(f.EstimatedCost(), minRemainingShare)).After(q.Deadline) {
		return refuse(o.busyRefusal(f, q, wait))
	}
	q.withinShare = o.withinShare(now, f)
	if !o.queue.Push(now, f, q) {
		return refuse(o.busyRefusal(f, q, wait))
	}
	return Decision{Verdict: Wait}
}

// predictedWait returns the time until a call queued now would start, given
// the share of the slots that its account gets while the other accounts stay
// backlogged.
func (o *Owner) predictedWait(f *flow, q queuedCall) time.Duration {
	slots := float64(o.limit.limit) * o.queue.Share(f)
	if q.concurrency > 0 {
		slots = min(slots, float64(q.concurrency))
	}
	if slots <= 0 {
		return o.options.MaxWait
	}
	return max(scale(f.EstimatedCost(), float64(f.Queued()+1)/slots), o.stated.Wait(o.now, o.queue.Len()))
}

// allowedWait returns the longest predicted wait at which a new call of the
// account is queued. An account that has been backlogged for MaxWait has a
// standing queue, which adds delay but no throughput, so its limit is about
// one service time.
func (o *Owner) allowedWait(now time.Time, f *flow) time.Duration {
	if f.BacklogAge(now) < o.options.MaxWait {
		return o.options.MaxWait
	}
	return min(max(minBacklogWait, f.EstimatedCost()), o.options.MaxWait)
}

func (o *Owner) busyRefusal(f *flow, q queuedCall, wait time.Duration) *problem.Error {
	if q.concurrency > 0 && f.InFlight() >= q.concurrency {
		return problem.New(problem.AccountLimit, model.RunNo, "the account has as many calls in flight at the target as it may have").After(wait)
	}
	if o.stated.Limited() {
		after := o.stated.ReturnAfter(o.now, wait, minReturnTime, maxReturnTime)
		return problem.New(problem.Overloaded, model.RunNo, "the target's stated limit is used up").After(after)
	}
	return problem.New(problem.Overloaded, model.RunNo, "the target's queue would hold the call for too long").After(wait)
}

func deadlineRefusal() *problem.Error {
	return problem.New(problem.DeadlineExceeded, model.RunNo, "the call cannot be answered before its deadline")
}

// processQueue updates the queue after an event: it refuses calls that must
// not run, and starts queued calls in the free slots.
func (o *Owner) processQueue(now time.Time) []Release {
	o.now = now
	o.queue.EvictIdle(now)
	if o.queue.Len() == 0 {
		return nil
	}
	if p := o.closedReason(now); p != nil {
		return o.refuseAll(p)
	}
	return o.startQueued(now, o.refuseExpired(now))
}

func (o *Owner) refuseAll(p *problem.Error) []Release {
	var out []Release
	o.queue.Drop(
		func(queuedCall) bool { return true },
		func(q queuedCall) { out = append(out, Release{Ticket: q.Ticket, Refusal: p}) },
	)
	return out
}

func (o *Owner) refuseExpired(now time.Time) []Release {
	var out []Release
	o.queue.Drop(
		func(q queuedCall) bool { return !now.Before(q.expires) },
		func(q queuedCall) {
			o.observeWait(now, q, o.queue.MeanCost())
			out = append(out, Release{Ticket: q.Ticket, Refusal: o.expiryRefusal(now, q)})
		},
	)
	return out
}

func (o *Owner) expiryRefusal(now time.Time, q queuedCall) *problem.Error {
	if q.expired(now) {
		return deadlineRefusal()
	}
	return problem.New(problem.Overloaded, model.RunNo, "the call waited for a slot as long as the queue allows").After(o.options.MaxWait)
}

// startQueued starts queued calls while slots are free, and refuses those that
// can no longer finish before their deadline. It appends the releases to out.
func (o *Owner) startQueued(now time.Time, out []Release) []Release {
	for len(o.running) < o.limit.limit {
		f, q, ok := o.queue.Next(o.canStart)
		if !ok {
			break
		}
		if o.cannotFinish(now, f, q.Call) {
			f.DecayEstimate()
			out = append(out, Release{Ticket: q.Ticket, Refusal: deadlineRefusal()})
			continue
		}
		o.observeWait(now, q, f.EstimatedCost())
		o.start(now, f, q.Call)
		out = append(out, Release{Ticket: q.Ticket})
	}
	return out
}

func (o *Owner) observeWait(now time.Time, q queuedCall, service time.Duration) {
	if q.withinShare {
		o.reserve.Observe(now, now.Sub(q.offered), service, o.limit.limit)
	}
}

// scale returns the duration multiplied by the factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
