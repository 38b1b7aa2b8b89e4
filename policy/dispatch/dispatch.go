// Package dispatch decides at an owner which calls its target gets and when,
// for targets that state their own capacity, warm-up and load.
//
// The owner is the only sender to its target, so it counts the calls in flight
// itself. It keeps them under the target's knee, the part of the slots beyond
// which targets slow down. A cold target gets calls at its stated rate and a
// part of the overshoot that it bears, paced by a token bucket with a small
// burst, so that no second holds more than the rate and the burst together. Calls that find no slot wait in the order of
// their priority. Among equals those that can still be answered within their
// objective go first: after a burst a queue in the order of arrival would serve
// every call late, this one serves most of them in time and the others from
// what capacity is left. A call that would be late waits for a short time only;
// then, or as soon as it cannot finish before its deadline, it is refused, so
// that its caller can decide what to do with the time that is left.
package dispatch

import (
	"slices"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

const (
	// kneePercent is the part of the slots that is used. Targets slow down
	// when more than about four fifths of their slots are taken.
	kneePercent = 80
	percent     = 100
	// coldShare is the part of the overshoot that a cold target bears on its
	// stated rate, and coldBurst the part of the slack, that are used. The rest
	// covers calls that arrive closer together than they were sent.
	coldShare = 0.4
	coldBurst = 0.6
	// serviceWeight is the share of one completion in the mean service time.
	serviceWeight = 1.0 / 16
	// initialServiceTime is assumed before the first completion.
	initialServiceTime = 50 * time.Millisecond
	// finishShare is the part of the expected service time that must remain
	// until the deadline for a call to be worth starting.
	finishShare = 0.4
	// maxLateWait is how long a call waits beyond the time at which it can no
	// longer be answered within its objective.
	maxLateWait = 200 * time.Millisecond
	// lateWeight is the share of one late call in the share of those that were
	// started, leastLateStarts the share below which late calls are refused at
	// once, but for lateProbes that show when there is room again.
	lateWeight      = 1.0 / 8
	leastLateStarts = 0.4
	lateProbes      = 1
	// holdMargin is the part of the expected service time, and holdTrip the
	// time for the way to another target, that a call keeps in hand which could
	// go elsewhere.
	holdMargin = 1.25
	holdTrip   = 8 * time.Millisecond
	// maxClasses bounds the classes whose time is learned.
	maxClasses = 1024
	// maxQueued bounds the calls that wait.
	maxQueued = 256
	// minRetryAfter and maxRetryAfter bound the advice in a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// foreignAge is the age up to which a load reading tells of work in
	// flight that this owner did not send.
	foreignAge = 250 * time.Millisecond
	// slowPace is the factor on the usual time of work from which on the pace
	// is slow.
	slowPace = 1.5
	// maxSlowWait is how long a call that has nowhere else to go waits for a
	// better pace: two of the spans for which a pace lasts.
	maxSlowWait = 300 * time.Millisecond
	// paceAge is the age up to which a pace reading is believed.
	paceAge = 200 * time.Millisecond
	// minTick is the least time between ticks.
	minTick = time.Millisecond
	// idleTick is the time between ticks when nothing is due.
	idleTick = time.Second
)

// Ticket names one offered call.
type Ticket uint64

// Call asks for a slot.
type Call struct {
	Ticket Ticket
	// Class groups calls that take similarly long, such as those of a route.
	Class string
	// Priority orders the queue; 0 is the highest.
	Priority int
	// Deadline is when nobody waits for the answer any more.
	Deadline time.Time
	// Objective is the time until which an answer is worth most.
	Objective time.Time
	// Elsewhere is true when the entry has another target to try.
	Elsewhere bool
	// Hold lets a call that could go elsewhere wait here for as long as it can
	// still be answered within its objective.
	Hold bool
}

// Release ends the wait of a queued call; a nil Refusal starts it.
type Release struct {
	Ticket  Ticket
	Refusal *problem.Error
}

// Gate is a reason for which the target gets no new call.
type Gate uint8

// The gates.
const (
	// GateAbsent: no target is known.
	GateAbsent Gate = 1 << iota
	// GateDraining: the target is leaving.
	GateDraining
	// GateDomainOut: operators took the failure domain out of service.
	GateDomainOut
	// GateStopping: this node stops.
	GateStopping
	// GateDown: the target takes no connections.
	GateDown
	// GateLag: this node is behind on the configuration.
	GateLag
)

// run is a call in flight.
type run struct {
	class   string
	started time.Time
	pace    float64
}

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

// Owner decides for one target. It is not safe for concurrent use.
type Owner struct {
	gates   Gate
	slots   int
	running map[Ticket]run
	queue   []queued
	// service is the mean time of all calls, classes that of each class.
	service  time.Duration
	classes  map[string]time.Duration
	learned  bool
	sequence uint64

	options   Options
	coldUntil time.Time
	coldRate  float64
	tokens    float64
	filled    time.Time

	pace    float64
	pacedAt time.Time
	foreign int
	// lateStarts is the recent share of the calls that became late in the
	// queue and were started all the same.
	lateStarts float64
	readAt     time.Time
	lastDone   time.Time
}

// Options tell what a cold target bears beyond its stated rate.
type Options struct {
	// ColdOvershoot is the factor on the rate, and ColdSlack the number of
	// calls on top of that, that may arrive in one second. Below 1 and 0 the
	// rate itself and one call are used.
	ColdOvershoot float64
	ColdSlack     float64
}

// New returns an owner without a target.
func New(options Options) *Owner {
	return &Owner{options: options, gates: GateAbsent, running: make(map[Ticket]run), classes: make(map[string]time.Duration), service: initialServiceTime, pace: 1, lateStarts: 1}
}

// SetGate closes or opens a gate.
func (o *Owner) SetGate(now time.Time, g Gate, closed bool) []Release {
	if closed {
		o.gates |= g
	} else {
		o.gates &^= g
	}
	return o.settle(now)
}

// Closed reports whether the gate is closed.
func (o *Owner) Closed(g Gate) bool { return o.gates&g != 0 }

// SetSlots sets how many calls the target runs at once.
func (o *Owner) SetSlots(now time.Time, slots int) []Release {
	o.slots = max(slots, 1)
	return o.settle(now)
}

// SetCold says for how long the target stays cold. A target that turns cold
// starts with an empty burst.
func (o *Owner) SetCold(now time.Time, left time.Duration) {
	wasCold := o.Cold(now)
	if left <= 0 {
		o.coldUntil = time.Time{}
		return
	}
	o.coldUntil = now.Add(left)
	if !wasCold {
		o.tokens, o.filled = 0, now
	}
}

// ColdLeft returns how long the target stays cold.
func (o *Owner) ColdLeft(now time.Time) time.Duration { return max(o.coldUntil.Sub(now), 0) }

// Cold reports whether the target is cold.
func (o *Owner) Cold(now time.Time) bool { return now.Before(o.coldUntil) }

// Reading is the load that the target stated.
type Reading struct {
	// Running counts the calls at the target, from whatever sender.
	Running int
	// Slots is the number of calls that it runs at once; 0 when not stated.
	Slots int
	// Pace is how long work takes now relative to usual; 0 when not stated.
	Pace float64
}

// Read takes in a load reading.
func (o *Owner) Read(now time.Time, r Reading) []Release {
	if r.Slots > 0 {
		o.slots = r.Slots
	}
	o.foreign = max(0, r.Running-len(o.running))
	o.readAt = now
	if r.Pace > 0 {
		o.pace, o.pacedAt = r.Pace, now
	}
	return o.settle(now)
}

// Pace returns the factor on the usual time of work, as far as it is known.
func (o *Owner) Pace(now time.Time) float64 {
	if now.Sub(o.pacedAt) > paceAge {
		return 1
	}
	return o.pace
}

// limit returns the number of calls that may be in flight.
func (o *Owner) limit(now time.Time) int {
	limit := max(1, (o.slots*kneePercent+percent/4)/percent)
	if now.Sub(o.readAt) < foreignAge {
		limit -= o.foreign
	}
	return limit
}

// PaceAge returns the age of the last pace reading; stated is false when the
// target states none.
func (o *Owner) PaceAge(now time.Time) (age time.Duration, stated bool) {
	return now.Sub(o.pacedAt), !o.pacedAt.IsZero()
}

// work returns the expected time of a call of the class at the usual pace. A
// class that is not known yet takes no time, so that it can become known.
func (o *Owner) work(class string) time.Duration {
	if !o.learned {
		return 0
	}
	return o.classes[class]
}

// Offer asks to run a call. A nil refusal with start true starts it now; with
// start false it waits and exactly one Release ends the wait, unless Abandon
// comes first.
func (o *Owner) Offer(now time.Time, c Call) (start bool, refusal *problem.Error) {
	if p := o.closed(); p != nil {
		return false, p
	}
	q := queued{Call: c, offered: now, work: o.work(c.Class)}
	if p := q.hopeless(now); p != nil {
		return false, p
	}
	if o.free(now) && o.paced(now, q) && o.first(now) < 0 {
		o.start(now, c)
		return true, nil
	}
	wait := o.predictedWait(now, c.Priority)
	if o.turnsAway(now, q, wait) {
		return false, problem.New(problem.Overloaded, model.RunNo, "the target has no slot in time").After(bounded(wait))
	}
	o.queue = append(o.queue, q)
	return false, nil
}

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

// paced reports whether the call may start at the present pace.
func (o *Owner) paced(now time.Time, q queued) bool {
	pace := o.Pace(now)
	if pace < slowPace || q.work > 0 && !q.late(now, pace) {
		return true
	}
	return !q.Elsewhere && now.Sub(q.offered) >= maxSlowWait && now.Add(q.at(pace)).Before(q.Deadline)
}

// Held reports whether a call waits for a better pace only.
func (o *Owner) Held(now time.Time) bool {
	return len(o.queue) > 0 && o.Pace(now) >= slowPace && len(o.running) < o.limit(now)
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

func bounded(wait time.Duration) time.Duration { return min(max(wait, minRetryAfter), maxRetryAfter) }

func (q queued) hopeless(now time.Time) *problem.Error {
	if now.Add(q.needed()).Before(q.Deadline) {
		return nil
	}
	return problem.New(problem.DeadlineExceeded, model.RunNo, "the call cannot be answered before its deadline")
}

// free reports whether a call may start now.
func (o *Owner) free(now time.Time) bool {
	if len(o.running) >= o.limit(now) {
		return false
	}
	if !o.Cold(now) {
		return true
	}
	o.fill(now)
	return o.tokens >= 1
}

// coldPace returns the rate at which a cold target gets calls, in calls a
// second, and the calls that may come at once.
func (o *Owner) coldPace() (rate, burst float64) {
	rate = o.coldRate * (1 + coldShare*max(o.options.ColdOvershoot-1, 0))
	return rate, max(coldBurst*o.options.ColdSlack, 1)
}

// fill adds the cold rate's tokens.
func (o *Owner) fill(now time.Time) {
	if now.After(o.filled) {
		rate, burst := o.coldPace()
		o.tokens = min(o.tokens+now.Sub(o.filled).Seconds()*rate, burst)
		o.filled = now
	}
}

func (o *Owner) start(now time.Time, c Call) {
	if o.Cold(now) {
		o.fill(now)
		o.tokens--
	}
	o.running[c.Ticket] = run{class: c.Class, started: now, pace: max(o.Pace(now), 1)}
}

// predictedWait returns the time until a call of the priority that comes now
// would start.
func (o *Owner) predictedWait(now time.Time, priority int) time.Duration {
	ahead, work := 0, time.Duration(0)
	for _, q := range o.queue {
		if q.Priority < priority || q.Priority == priority && !q.late(now, 1) {
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
		work := o.work(r.class)
		if work == 0 {
			work = o.service
		}
		sum += work
	}
	return sum / time.Duration(max(len(o.running), 1))
}

// Finish records the end of a call that was in flight. Answered says whether
// its duration tells how long work takes.
func (o *Owner) Finish(now time.Time, t Ticket, answered bool) []Release {
	if r, ok := o.running[t]; ok {
		delete(o.running, t)
		if answered {
			o.learn(now, r)
		}
	}
	return o.settle(now)
}

func (o *Owner) learn(now time.Time, r run) {
	usual := time.Duration(float64(now.Sub(r.started)) / r.pace)
	if !o.learned {
		o.learned, o.service = true, usual
	}
	o.service += time.Duration(serviceWeight * float64(usual-o.service))
	known, ok := o.classes[r.class]
	if !ok && len(o.classes) >= maxClasses {
		return
	}
	if !ok {
		known = usual
	}
	o.classes[r.class] = known + time.Duration(serviceWeight*float64(usual-known))
}

// Abandon drops a call that waits. It does nothing for one in flight, which
// Finish ends.
func (o *Owner) Abandon(now time.Time, t Ticket) []Release {
	o.queue = slices.DeleteFunc(o.queue, func(q queued) bool { return q.Ticket == t })
	return o.settle(now)
}

// Tick does what is due at this time.
func (o *Owner) Tick(now time.Time) []Release { return o.settle(now) }

// NextTick returns when the next Tick may have work to do.
func (o *Owner) NextTick(now time.Time) time.Time {
	next := now.Add(idleTick)
	if len(o.queue) == 0 {
		return next
	}
	for _, q := range o.queue {
		next = earlier(next, o.patience(q))
		if slowEnd := q.offered.Add(maxSlowWait); slowEnd.After(now) {
			next = earlier(next, slowEnd)
		}
		next = earlier(next, q.Deadline.Add(-q.needed()))
	}
	if o.Cold(now) && o.coldRate > 0 {
		o.fill(now)
		rate, _ := o.coldPace()
		short := max(1-o.tokens, 0) / rate
		next = earlier(next, now.Add(time.Duration(short*float64(time.Second))))
		next = earlier(next, o.coldUntil)
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
	return earlier.late(now, 1) && !q.late(now, 1)
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
	inTime := q.Objective.Add(-q.work)
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
	wait := o.predictedWait(now, q.Priority)
	return problem.New(problem.Overloaded, model.RunNo, "the target had no slot in time").After(bounded(wait))
}

// closed returns why no call may start, or nil.
func (o *Owner) closed() *problem.Error {
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
	case o.Closed(GateLag):
		return problem.New(problem.ConfigurationLag, model.RunNo, "the node has no configuration yet")
	}
	return nil
}

// State returns the target's state as other nodes should treat it.
func (o *Owner) State(now time.Time) model.TargetState {
	switch {
	case o.Closed(GateAbsent):
		return model.TargetAbsent
	case o.Closed(GateDraining | GateDomainOut | GateStopping):
		return model.TargetDraining
	case o.Closed(GateDown | GateLag):
		return model.TargetFailing
	case o.Cold(now):
		return model.TargetCold
	}
	return model.TargetWarm
}

// Report states the target's load; the node fills in Process and Revision.
func (o *Owner) Report(now time.Time) model.Report {
	o.sequence++
	r := model.Report{
		Sequence: o.sequence, State: o.State(now), Slots: uint16(o.slots),
		InFlight: uint16(len(o.running)), Queued: uint16(len(o.queue)),
	}
	if o.closed() == nil {
		r.Limit = uint16(max(o.limit(now), 0))
	}
	if o.Cold(now) {
		r.Limit = o.coldLimit(r.Limit)
	}
	if o.learned {
		r.ServiceTime = o.service
	}
	return r
}

// coldLimit returns the calls that the cold rate keeps in flight.
func (o *Owner) coldLimit(limit uint16) uint16 {
	rate, _ := o.coldPace()
	inFlight := rate * o.service.Seconds()
	return min(limit, uint16(max(inFlight, 1)))
}

// Running returns the number of calls in flight.
func (o *Owner) Running() int { return len(o.running) }

// SetColdRate sets the rate that the target bears while it is cold.
func (o *Owner) SetColdRate(rate float64) {
	if rate > 0 {
		o.coldRate = rate
	}
}

// ReadPace takes in the part of a reading that does not depend on which calls
// it counts: an answer states the load at its own end.
func (o *Owner) ReadPace(now time.Time, r Reading) []Release {
	if r.Slots > 0 {
		o.slots = r.Slots
	}
	if r.Pace > 0 {
		o.pace, o.pacedAt = r.Pace, now
	}
	return o.settle(now)
}
