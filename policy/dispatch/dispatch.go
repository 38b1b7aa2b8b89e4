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
// what capacity is left. Of those the one that has to start soonest is first, so
// that a queue of long calls does not shut out short ones, on which the run of
// another target may wait. A call that would be late waits for a short time only;
// then, or as soon as it cannot finish before its deadline, it is refused, so
// that its caller can decide what to do with the time that is left.
package dispatch

import (
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
	coldShare = 0.7
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
	// unknownShare is the part of its objective that a call of an unknown class
	// is taken to need: objectives are three to four times the usual work.
	unknownShare = 4
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

// limit returns the number of calls that may be in flight.
func (o *Owner) limit(now time.Time) int {
	limit := max(1, (o.slots*kneePercent+percent/4)/percent)
	if now.Sub(o.readAt) < foreignAge {
		limit -= o.foreign
	}
	return limit
}

// expected returns the expected time of a call at the usual pace. Of a class
// that is not known yet it is taken to be a part of the objective.
func (o *Owner) expected(now time.Time, c Call) time.Duration {
	if known, ok := o.classes[c.Class]; ok {
		return known
	}
	return max(c.Objective.Sub(now), 0) / unknownShare
}

// Offer asks to run a call. A nil refusal with start true starts it now; with
// start false it waits and exactly one Release ends the wait, unless Abandon
// comes first.
func (o *Owner) Offer(now time.Time, c Call) (start bool, refusal *problem.Error) {
	if p := o.closed(); p != nil {
		return false, p
	}
	q := queued{Call: c, offered: now, work: o.expected(now, c)}
	if p := q.hopeless(now); p != nil {
		return false, p
	}
	if o.free(now) && o.paced(now, q) && o.first(now) < 0 {
		o.start(now, c)
		return true, nil
	}
	wait := o.predictedWait(now, q)
	if o.turnsAway(now, q, wait) {
		return false, problem.New(problem.Overloaded, model.RunNo, "the target has no slot in time").After(o.advice(wait))
	}
	o.queue = append(o.queue, q)
	return false, nil
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

func (o *Owner) start(now time.Time, c Call) {
	if o.Cold(now) {
		o.fill(now)
		o.tokens--
	}
	o.running[c.Ticket] = run{class: c.Class, started: now, pace: max(o.Pace(now), 1)}
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
