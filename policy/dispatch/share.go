package dispatch

import (
	"math"
	"slices"
	"time"

	"zinniafall/policy/fairqueue"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Calls of several accounts share the slots by max-min fairness: each account may hold an
// equal part, and what some leave unused is divided equally among the others. An account
// beyond its share comes last among calls of its priority, and leaves so many slots free as
// the trunk reservation asks for. Calls without an account count as within their share,
// because the calls that made them wait for them.

const (
	// usageHalfLife is the time in which slots held in the past lose half of their weight,
	// and usageTimeConstant the time constant of that decay.
	usageHalfLife     = 500 * time.Millisecond
	usageTimeConstant = usageHalfLife * 1_000 / 693
	// idleAccountTime is how long an account without calls is remembered. Slots that it
	// held before have a weight of a sixteenth then.
	idleAccountTime = 4 * usageHalfLife
	// minDemand is the number of slots, on average, below which an account counts as
	// absent.
	minDemand = 0.05
	// maxShareDelay is the largest factor by which the RetryAfter of a refusal grows with
	// the account's part of the queue, and retryAfterSpread the part by which it varies at
	// random in both directions.
	maxShareDelay    = 3
	retryAfterSpread = 0.25
	// declinesPerLate is the number of calls within their share refused at once that count as
	// one late call. With 1, a full site answered 14 in 100 calls less in time than without
	// shares, with 4 it is 8; without any, the others' p99 rose by 1.13 to 1.63 times beside
	// an account at 7 to 20 times its usual.
	declinesPerLate = 4
	// priorityLevels is the number of priorities with a reserve of their own. Lower
	// priorities share the last.
	priorityLevels = 4
)

// accountState is the state of an account at the target.
type accountState struct {
	usage fairqueue.Usage
	// beyondShare reports whether the account holds or lately held more than its share of
	// the slots while others wait.
	beyondShare bool
}

type flow = fairqueue.Flow[Ticket, accountState]

// shares divides the slots among accounts. The zero value has no accounts.
type shares struct {
	// queue accounts for the slots and the queue places of the accounts. The order of the
	// calls is that of Owner.queue.
	queue *fairqueue.Queue[Ticket, accountState]
	// reserves are the slots to leave free, by the priority of the calls that they are kept
	// for.
	reserves [priorityLevels]fairqueue.Reserve
	// level is the number of slots that an account may hold, and contended reports whether
	// any account wants more.
	level     float64
	contended bool
	// unnamed is the number of calls without an account, in flight and queued.
	unnamed int
	// present is the number of accounts with calls now or lately.
	present int
	// declines counts the calls within their share that were refused at once.
	declines int
}

// shareTick is the time between ticks while calls wait for the share of their account or for
// the slots of bulk calls although slots are free: the decay of past use lets them start.
const shareTick = 10 * time.Millisecond

// WaitsForShare reports whether queued calls may wait for a share.
func (o *Owner) WaitsForShare() bool {
	return len(o.queue) > 0 && (o.shares.active() || slices.ContainsFunc(o.queue, func(q queuedCall) bool { return q.Bulk }))
}

// account returns the state of an account, nil for calls without one.
func (s *shares) account(now time.Time, name model.Account) *flow {
	if name == "" {
		return nil
	}
	if s.queue == nil {
		s.queue = fairqueue.New[Ticket, accountState](fairqueue.Options{Length: maxQueued, IdleTimeout: idleAccountTime})
	}
	return s.queue.Flow(now, name, 1)
}

// active reports whether calls of any account came lately.
func (s *shares) active() bool { return s.queue != nil && s.queue.Flows() > 0 }

// enqueue records a queued call, and reports whether the account may have one more: the
// places are shared by the dynamic threshold of fairqueue.
func (s *shares) enqueue(now time.Time, f *flow, t Ticket) bool {
	if f == nil {
		s.unnamed++
		return true
	}
	return s.queue.Push(now, f, t)
}

func (s *shares) dequeue(f *flow, t Ticket) {
	if f == nil {
		s.unnamed--
		return
	}
	s.queue.Drop(func(queued Ticket) bool { return queued == t }, func(Ticket) {})
}

func (s *shares) start(now time.Time, f *flow) (charged time.Duration) {
	if f == nil {
		s.unnamed++
		return 0
	}
	f.State.usage.Advance(now, f.InFlight(), usageTimeConstant)
	return s.queue.Start(f)
}

func (s *shares) finish(now time.Time, f *flow, charged, held time.Duration) {
	if f == nil {
		s.unnamed--
		return
	}
	f.State.usage.Advance(now, f.InFlight(), usageTimeConstant)
	s.queue.Finish(f, charged, held)
}

// held returns the number of slots that the account holds or lately held.
func held(now time.Time, f *flow) float64 {
	return max(float64(f.InFlight()), f.State.usage.At(now, f.InFlight(), usageTimeConstant))
}

// update finds the accounts beyond their share. The arriving account, if any, wants one
// more slot than its queued calls.
func (s *shares) update(now time.Time, limit int, arriving *flow) {
	if !s.active() {
		return
	}
	s.queue.EvictIdle(now)
	var demands []float64
	s.present = 0
	s.queue.EachFlow(func(f *flow) {
		demand := max(float64(f.InFlight()+f.Queued()), held(now, f))
		if f == arriving {
			demand++
		}
		if demand >= minDemand {
			demands = append(demands, demand)
		}
	})
	s.present = len(demands)
	slots := max(float64(limit-s.unnamed), 1)
	s.level = max(fairLevel(demands, slots-float64(s.reserved(now, 0))), slots/float64(max(s.present, 1)), 1)
	s.contended = false
	s.queue.EachFlow(func(f *flow) {
		f.State.beyondShare = float64(f.InFlight()+1) > s.level || held(now, f) > s.level
		s.contended = s.contended || f.State.beyondShare
	})
}

// reserved returns the number of slots that calls of accounts beyond their share leave free:
// those kept for calls of their priority and of higher ones. It is none while no other calls
// come.
func (s *shares) reserved(now time.Time, priority int) int {
	if s.present <= 1 && s.unnamed == 0 {
		return 0
	}
	most := 0
	for i := range level(priority) + 1 {
		most = max(most, s.reserves[i].Size(now))
	}
	return most
}

// level returns the index of a priority's reserve.
func level(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// fairLevel returns the number of slots at which the demands, each cut off at it, use up
// the slots. It is infinite if the demands leave some free.
func fairLevel(demands []float64, slots float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		if level := slots / float64(len(demands)-i); demand >= level {
			return level
		}
		slots -= demand
	}
	return math.Inf(1)
}

// capacity returns the number of calls that the target runs at once, of which a cold or
// limited one has fewer than slots.
func (o *Owner) capacity(now time.Time) int {
	limit := max(o.limit(now), 1)
	if o.Cold(now) {
		limit = int(o.coldLimit(uint16(limit)))
	}
	if o.limiter.Limited() {
		limit = min(limit, max(int(math.Ceil(o.limiter.Rate()*o.meanTime.Seconds())), 1))
	}
	return limit
}

// updateShares finds the accounts beyond their share.
func (o *Owner) updateShares(now time.Time, arriving *flow) {
	if o.shares.active() {
		o.shares.update(now, o.capacity(now), arriving)
	}
}

// beyondShare reports whether the call's account is beyond its share.
func (q queuedCall) beyondShare() bool { return q.account != nil && q.account.State.beyondShare }

// shareAllows reports whether the call may take one of the free slots.
func (o *Owner) shareAllows(now time.Time, q queuedCall) bool {
	if q.Bulk && !o.bulkAllows(now, q) {
		return false
	}
	return !q.beyondShare() || o.limit(now)-len(o.running) > o.shares.reserved(now, q.Priority)
}

// shareWait returns the expected time until the reserve and the limit of bulk calls let the
// call start.
func (o *Owner) shareWait(now time.Time, c queuedCall) time.Duration {
	switch {
	case o.shareAllows(now, c):
		return 0
	case c.Bulk && !o.bulkAllows(now, c):
		return o.bulkWait(now)
	}
	return o.meanRunningTime() / time.Duration(o.capacity(now))
}

// shareRefuses reports whether a queued call of an account beyond its share is refused
// because calls of other accounts displaced it.
func (o *Owner) shareRefuses(now time.Time, q queuedCall) bool {
	return q.beyondShare() && now.Add(o.predictedWait(now, q)).After(o.waitLimit(q))
}

// observeWait adjusts the reserve by the wait of a call within its share. A wait counts as
// late only if an account beyond its share held slots then. A call that is refused at once
// has not waited, since its entry asks other targets: one in declinesPerLate counts as late.
func (o *Owner) observeWait(now time.Time, q queuedCall) {
	if !o.shares.active() || !q.withinShare || q.Bulk {
		return
	}
	wait := time.Duration(0)
	if q.noSlot && q.contended {
		wait = now.Sub(q.offered)
		if wait == 0 {
			if o.shares.declines++; o.shares.declines%declinesPerLate != 0 {
				return
			}
			wait = q.work
		}
	}
	o.shares.reserves[level(q.Priority)].Observe(now, wait, q.work, o.limit(now))
}

// Share is what an account holds of a target's slots, for the log.
type Share struct {
	// Held is the number of slots that the account holds or lately held, Most the number
	// that it may hold while others want more; Most is infinite while no account does.
	Held, Most float64
	// Kept is the number of free slots that are kept for accounts within their share.
	Kept int
}

// Share returns the share of the account; the second result is false if it made no call
// lately.
func (o *Owner) Share(now time.Time, account model.Account) (Share, bool) {
	if !o.shares.active() {
		return Share{}, false
	}
	f, ok := o.shares.queue.Find(account)
	if !ok {
		return Share{}, false
	}
	return Share{Held: held(now, f), Most: o.shares.level, Kept: o.shares.reserved(now, priorityLevels-1)}, true
}

// shareDelay returns the RetryAfter of a refused call of an account. It grows with the
// account's part of the queue, so that the callers of the account that fills it return after the others.
func (o *Owner) shareDelay(q queuedCall, after time.Duration) time.Duration {
	if q.account == nil {
		return after
	}
	part := 0.0
	if len(o.queue) > 0 {
		part = float64(q.account.Queued()) / float64(len(o.queue))
	}
	spread := 1 + retryAfterSpread*(2*o.random.Float64()-1)
	delay := float64(after) * (1 + (maxShareDelay-1)*part) * spread
	return min(time.Duration(delay), maxRetryAfter)
}

// shareRefusal returns the refusal of a call whose account has its share already.
func (o *Owner) shareRefusal(q queuedCall, after time.Duration, detail string) *problem.Error {
	return problem.New(problem.AccountShare, model.RunNo, detail).After(o.shareDelay(q, after))
}
