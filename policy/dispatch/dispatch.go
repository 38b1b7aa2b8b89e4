// Package dispatch decides, at an owner, which calls its target gets and when.
// The owner is the node beside the target; the entry is the node that a call
// enters by. Targets state their own capacity, warm-up and load.
//
// The owner is the only sender to its target, so it counts the calls in flight
// itself. It keeps them below the knee of the target's latency curve, the part
// of the slots beyond which targets slow down. A cold target gets calls at the
// rate that it tolerates, with its overshoot. A token bucket with a small
// burst limits these calls, so that no second holds more than it tolerates,
// also if calls arrive closer together than they were started. After a loss of
// power all targets of a service are cold at once, and this rate is the room
// that callers have. A target that states a limit gets them at that rate, one by one;
// package statedlimit decides when.
//
// Calls that find no slot are queued by priority. Among equal priorities, calls
// that can still meet their objective go first. After a burst, a queue in order
// of arrival would serve every call late; this order serves most calls in time
// and the others with the capacity that is left. Among calls in time, the one
// with the earliest latest start goes first, so that a queue of long calls does
// not starve short ones, for which a call that runs at another target may wait.
// Among calls of one priority that are equally in time, those of accounts beyond their
// share of the slots come last; share.go and bulk.go say how accounts and bulk calls
// share the slots. A late call waits for a short time only. When that ends, or when the call can
// no longer finish before its deadline, it is refused, so that its caller can
// decide how to use the remaining time.
package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/statedlimit"
	"zinniafall/policy/tokens"
)

const (
	// usableSlotsPercent is the percentage of the slots that is used.
	// Targets slow down when more than about four fifths of their slots are
	// taken.
	usableSlotsPercent = 80
	percent            = 100
	// coldSlackShare is the share of the slack that a cold target gets in a
	// burst. The rest of what it tolerates in a second is its rate.
	coldSlackShare = 0.8
	// coldArrivalJitter is how much closer together calls may arrive at the
	// target than they were started. The owner runs on the target's VM, so that
	// only pauses of its process delay a call.
	coldArrivalJitter = 50 * time.Millisecond
	// serviceWeight is the weight of one completion in the mean service
	// times.
	serviceWeight = 1.0 / 16
	// initialServiceTime is assumed before the first completion.
	initialServiceTime = 50 * time.Millisecond
	// minRemainingShare is the share of the expected service time that must
	// remain until the deadline for a call to be worth starting.
	minRemainingShare = 0.4
	// maxLateWait is how long a call waits beyond the time from which it
	// can no longer meet its objective.
	maxLateWait = 200 * time.Millisecond
	// lateStartWeight is the weight of one late call in the share of late
	// calls that were started. Below minLateStartShare late calls are
	// refused at once, except for maxLateProbes calls that stay queued to
	// detect when there is room again.
	lateStartWeight   = 1.0 / 8
	minLateStartShare = 0.4
	maxLateProbes     = 1
	// A held call stops waiting before its objective by holdMargin times
	// its expected service time plus holdTravelTime, the time to reach
	// another target, so that it can still go there.
	holdMargin     = 1.25
	holdTravelTime = 8 * time.Millisecond
	// holdDivisor divides the time until its objective that a held call has when
	// it is offered. It waits for one such part at most, so that the rest is left
	// for a target that has a slot.
	holdDivisor = 12
	// unknownClassDivisor divides the objective of a call of an unknown
	// class to estimate its service time: objectives are three to four
	// times the usual service time.
	unknownClassDivisor = 4
	// maxClasses bounds the number of classes with a mean service time.
	maxClasses = 1024
	// maxQueued bounds the number of queued calls.
	maxQueued = 256
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxLoadAge is the age up to which a load reading is used to estimate
	// the calls in flight that this owner did not send.
	maxLoadAge = 250 * time.Millisecond
	// slowPace is the pace from which on the target counts as slow.
	slowPace = 1.5
	// maxSlowWait is how long a call that has no other target waits for the
	// pace to improve: twice the time for which a pace usually lasts.
	maxSlowWait = 300 * time.Millisecond
	// maxPaceAge is the age up to which a pace reading is used.
	maxPaceAge = 200 * time.Millisecond
	// stalledPace is the pace from which on a target answers nearly all calls late:
	// objectives are three to four times the usual service time.
	stalledPace = 3
	// maxStallReport bounds the time for which entries avoid a stalled target after
	// one report, so that they find it again soon after it recovers.
	maxStallReport = 2 * time.Second
	// maxStallReadingAge is the age up to which a pace reading counts as that of a
	// stalled target. Its load is read every 500 ms while it is idle.
	maxStallReadingAge = time.Second
	// minTick is the least time between ticks.
	minTick = time.Millisecond
	// idleTick is the time between ticks when nothing is due.
	idleTick = time.Second
	// gateRetryTime is how long entries leave a target alone that refused a call
	// because of GateRollout, which usually opens again with the next message of
	// the rollout's controller.
	gateRetryTime = 300 * time.Millisecond
	// UnlimitedStarts is the number of starts that means no limit.
	UnlimitedStarts = math.MaxUint64
)

// Ticket identifies one offered call.
type Ticket uint64

// Call is a request for a slot.
type Call struct {
	Ticket Ticket
	// Class groups calls with similar service times, such as those of one
	// route.
	Class string
	// Priority orders the queue; 0 is the highest.
	Priority int
	// Deadline is the time after which no caller waits for the answer.
	Deadline time.Time
	// Objective is the time by which the answer should arrive. A later
	// answer is worth less.
	Objective time.Time
	// Account is the account of the call, empty if it has none.
	Account model.Account
	// Bulk marks a call with a large body and little urgency, such as an upload.
	Bulk bool
	// AwaitsBody marks a Bulk call whose body has not arrived. Its start means only that
	// the body may be sent; the slot is requested by BodyArrived.
	AwaitsBody bool
	// Elsewhere reports whether the entry has another target to try.
	Elsewhere bool
	// Hold lets a call with Elsewhere set wait here for a part of the time until
	// its objective, as long as it can still meet that at another target.
	Hold bool
}

// Decision ends the wait of a queued call: the call starts if Refusal is nil and
// is refused otherwise.
type Decision struct {
	Ticket  Ticket
	Refusal *problem.Error
}

// Gate is a condition under which the target gets no new calls. A gate is
// closed while its condition holds.
type Gate uint8

// The gates.
const (
	// GateAbsent: no target is known.
	GateAbsent Gate = 1 << iota
	// GateDraining: the target is leaving.
	GateDraining
	// GateDomainOut: operators took the failure domain out of service.
	GateDomainOut
	// GateStopping: this node is stopping.
	GateStopping
	// GateDown: the target accepts no connections.
	GateDown
	// GateLag: this node's configuration is behind.
	GateLag
	// GateUnheard: the target's process has not answered yet. Its first answer
	// may state a limit, or that it leaves.
	GateUnheard
	// GateRollout: a rollout lets no further call start. SetStartsLeft sets it.
	GateRollout
)

// runningCall is a call in flight.
type runningCall struct {
	class   string
	started time.Time
	pace    float64
	bulk    bool
	account *flow
	charged time.Duration
}

// Owner admits, queues and refuses the calls of one target. It is not safe for
// concurrent use.
type Owner struct {
	gates   Gate
	slots   int
	running map[Ticket]runningCall
	queue   []queuedCall
	// meanTime is the mean service time of all calls at the usual pace,
	// classTimes that of each class.
	meanTime    time.Duration
	classTimes  map[string]time.Duration
	hasMeanTime bool
	sequence    uint64

	options    Options
	coldUntil  time.Time
	coldRate   float64
	coldTokens tokens.Bucket
	// warmStarts are the starts of calls since the target was last known to be warm, those of
	// the last second at most.
	warmStarts []time.Time

	pace       float64
	paceReadAt time.Time
	// stalledSince is the time of the first of the consecutive readings at or above
	// stalledPace, or zero.
	stalledSince      time.Time
	otherSendersCalls int
	// lateStartShare is the recent share of late queued calls that were
	// started rather than refused.
	lateStartShare float64
	loadReadAt     time.Time
	limiter        statedlimit.Limiter
	unproven       bool
	startsLeft     uint64

	shares shares
	bulk   bulk
	random *rand.Rand
}

// New returns an owner without a target.
func New(options Options) *Owner {
	return &Owner{
		options: options, gates: GateAbsent, running: make(map[Ticket]runningCall), classTimes: make(map[string]time.Duration),
		meanTime: initialServiceTime, pace: 1, lateStartShare: 1, startsLeft: UnlimitedStarts,
		bulk: bulk{awaited: make(map[Ticket]queuedCall)}, random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// SetGate closes or opens a gate.
func (o *Owner) SetGate(now time.Time, g Gate, closed bool) []Decision {
	if closed {
		o.gates |= g
	} else {
		o.gates &^= g
	}
	return o.processQueue(now)
}

// Closed reports whether the gate is closed.
func (o *Owner) Closed(g Gate) bool { return o.gates&g != 0 }

// SetStartsLeft sets how many more calls a rollout lets start, UnlimitedStarts for no
// limit. GateRollout is closed while none may.
func (o *Owner) SetStartsLeft(now time.Time, left uint64) []Decision {
	o.startsLeft = left
	return o.SetGate(now, GateRollout, left == 0)
}

// StartsLeft returns how many more calls a rollout lets start, or UnlimitedStarts.
func (o *Owner) StartsLeft() uint64 { return o.startsLeft }

// Occupancy returns the calls in flight and queued and the slots of the target. Calls of
// other senders count if the target stated them within maxAge.
func (o *Owner) Occupancy(now time.Time, maxAge time.Duration) (inFlight, queued, slots int) {
	inFlight = len(o.running)
	if now.Sub(o.loadReadAt) < maxAge {
		inFlight += o.otherSendersCalls
	}
	return inFlight, len(o.queue), o.slots
}

// SetSlots sets the number of calls that the target runs at once.
func (o *Owner) SetSlots(now time.Time, slots int) []Decision {
	o.slots = max(slots, 1)
	return o.processQueue(now)
}

// SetUnproven sets whether the target may get calls although its present process has
// answered nothing yet. It then gets one at a time.
func (o *Owner) SetUnproven(now time.Time, unproven bool) []Decision {
	o.unproven = unproven
	return o.processQueue(now)
}

// Unproven reports what SetUnproven has set.
func (o *Owner) Unproven() bool { return o.unproven }

// limit returns the number of calls that may be in flight.
func (o *Owner) limit(now time.Time) int {
	if o.unproven {
		return 1
	}
	limit := max(1, (o.slots*usableSlotsPercent+percent/4)/percent)
	if now.Sub(o.loadReadAt) < maxLoadAge {
		limit -= o.otherSendersCalls
	}
	return limit
}

// expectedTime returns the expected service time of a call at the usual pace.
// For a class without a mean it is a fraction of the time to the objective.
func (o *Owner) expectedTime(now time.Time, c Call) time.Duration {
	if known, ok := o.classTimes[c.Class]; ok {
		return known
	}
	return max(c.Objective.Sub(now), 0) / unknownClassDivisor
}

// Offer requests a slot for a call. If start is true, the call starts now. If
// start is false and refusal is nil, the call is queued, and exactly one
// Decision ends its wait unless Abandon is called first.
func (o *Owner) Offer(now time.Time, c Call) (start bool, refusal *problem.Error) {
	if !c.Bulk {
		o.bulk.lastShort = now
	}
	return o.offer(now, queuedCall{Call: c, offered: now, work: o.expectedTime(now, c)})
}

func (o *Owner) offer(now time.Time, q queuedCall) (start bool, refusal *problem.Error) {
	if p := o.blockedProblem(); p != nil {
		return false, p
	}
	if p := q.deadlineProblem(now); p != nil {
		return false, p
	}
	q.account = o.shares.account(now, q.Account)
	o.updateShares(now, q.account)
	q.withinShare, q.noSlot, q.contended = !q.beyondShare(), !o.canStart(now), o.shares.contended
	if o.canStart(now) && o.paceAllows(now, q) && o.shareAllows(now, q) && o.isNext(now, q) {
		o.observeWait(now, q)
		o.start(now, q)
		return true, nil
	}
	wait := o.predictedWait(now, q)
	if o.rejects(now, q, wait) {
		o.observeWait(now, q)
		return false, o.refuseOverload(now, q, wait, "the target has no slot in time")
	}
	if !o.shares.enqueue(now, q.account, q.Ticket) {
		if q.arrived { // its body would be lost: it takes a place outside of the account's part
			q.account = nil
			o.shares.enqueue(now, nil, q.Ticket)
			o.append(q)
			return false, nil
		}
		return false, o.shareRefusal(q, o.retryAfter(wait), "the account has its part of the target's queue")
	}
	o.append(q)
	return false, nil
}

// append adds a call to the queue.
func (o *Owner) append(q queuedCall) {
	if q.arrived {
		o.bulk.arrived++
	}
	o.queue = append(o.queue, q)
}

// isNext reports whether no queued call that may start goes before an arriving one. The
// calls that wait for the share of their account or for the slots of bulk calls may start
// when time has passed, without an event.
func (o *Owner) isNext(now time.Time, q queuedCall) bool {
	at := o.nextToStart(now)
	return at < 0 || (o.shares.active() || o.queue[at].Bulk) && o.precedes(now, q, o.queue[at])
}

// canStart reports whether a slot is available, and a token if the target is cold
// or limited.
func (o *Owner) canStart(now time.Time) bool {
	return !o.Closed(GateRollout) && len(o.running) < o.limit(now) && o.tokenWait(now, 0) == 0
}

// tokenWait returns the time until a cold or limited target lets one more call start
// after a number of others.
func (o *Owner) tokenWait(now time.Time, others int) time.Duration {
	return max(o.coldWait(now, others), o.limiter.Wait(now, others))
}

func (o *Owner) start(now time.Time, q queuedCall) {
	if q.AwaitsBody {
		o.bulk.awaited[q.Ticket] = q
		return
	}
	o.takeCold(now)
	o.limiter.Take(now)
	if o.startsLeft != UnlimitedStarts {
		o.startsLeft--
		if o.startsLeft == 0 {
			o.gates |= GateRollout
		}
	}
	o.bulk.startClass(now, q.Bulk)
	charged := o.shares.start(now, q.account)
	o.running[q.Ticket] = runningCall{class: q.Class, started: now, pace: max(o.Pace(now), 1), bulk: q.Bulk, account: q.account, charged: charged}
}

// Holds reports whether the call holds a slot.
func (o *Owner) Holds(t Ticket) bool {
	_, ok := o.running[t]
	return ok
}

// Finish records the end of a call in flight. Answered reports whether its
// duration is a valid sample of the service time.
func (o *Owner) Finish(now time.Time, t Ticket, answered bool) []Decision {
	if r, ok := o.running[t]; ok {
		delete(o.running, t)
		o.bulk.endClass(now, r.bulk)
		o.shares.finish(now, r.account, r.charged, now.Sub(r.started))
		if answered {
			o.recordTime(now, r)
		}
	}
	return o.processQueue(now)
}

func (o *Owner) recordTime(now time.Time, r runningCall) {
	usual := time.Duration(float64(now.Sub(r.started)) / r.pace)
	if !o.hasMeanTime {
		o.hasMeanTime, o.meanTime = true, usual
	}
	o.meanTime += time.Duration(serviceWeight * float64(usual-o.meanTime))
	known, ok := o.classTimes[r.class]
	if !ok && len(o.classTimes) >= maxClasses {
		return
	}
	if !ok {
		known = usual
	}
	o.classTimes[r.class] = known + time.Duration(serviceWeight*float64(usual-known))
}

// Tick starts and refuses the queued calls that are due.
func (o *Owner) Tick(now time.Time) []Decision { return o.processQueue(now) }

// NextTick returns when Tick may next have work to do.
func (o *Owner) NextTick(now time.Time) time.Time {
	next := now.Add(idleTick)
	if len(o.queue) == 0 {
		return next
	}
	for _, q := range o.queue {
		next = earlier(next, o.waitLimit(q))
		if slowEnd := q.offered.Add(maxSlowWait); slowEnd.After(now) {
			next = earlier(next, slowEnd)
		}
		next = earlier(next, q.Deadline.Add(-q.minRemaining()))
	}
	if wait := o.tokenWait(now, 0); wait > 0 {
		next = earlier(next, now.Add(wait))
	}
	if o.Cold(now) && o.coldRate > 0 {
		next = earlier(next, o.coldUntil)
	}
	if o.canStart(now) && o.WaitsForShare() {
		next = earlier(next, now.Add(shareTick))
	}
	if soonest := now.Add(minTick); next.Before(soonest) {
		return soonest
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// blockedProblem returns the problem for a closed gate, or nil when all gates
// are open.
func (o *Owner) blockedProblem() *problem.Error {
	switch {
	case o.Closed(GateDomainOut):
		return problem.New(problem.DomainOut, model.RunNo, "the target's failure domain is out of service")
	case o.Closed(GateStopping):
		return problem.New(problem.Draining, model.RunNo, "the node is stopping")
	case o.Closed(GateDraining):
		return problem.New(problem.Draining, model.RunNo, "the target is leaving")
	case o.Closed(GateAbsent):
		return problem.New(problem.NoTarget, model.RunNo, "the node has no target")
	case o.Closed(GateDown):
		return problem.New(problem.NoTarget, model.RunNo, "the target takes no connections")
	case o.Closed(GateUnheard):
		return problem.New(problem.NoTarget, model.RunNo, "the target has not answered a health request yet")
	case o.Closed(GateLag):
		return problem.New(problem.ConfigurationLag, model.RunNo, "the node has no configuration yet")
	case o.Closed(GateRollout):
		return problem.New(problem.Draining, model.RunNo, "the rollout of a version lets no further call start at this target").After(gateRetryTime)
	}
	return nil
}
