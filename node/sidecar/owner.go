package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// owner serializes access to the dispatcher, which decides on the slots of the
// target beside this node, and wakes the calls that wait for its decisions.
type owner struct {
	node *Node

	mu         sync.Mutex
	dispatch   *dispatch.Owner
	waiting    map[dispatch.Ticket]chan *problem.Error
	lastTicket dispatch.Ticket
	timer      *time.Timer
	rollout    rolloutGate
}

func newOwner(n *Node) *owner {
	o := &owner{node: n, dispatch: dispatch.New(dispatch.Options{ColdOvershoot: n.settings.ColdOvershoot, ColdSlack: n.settings.ColdSlack, Seed: rand.Uint64()}), waiting: make(map[dispatch.Ticket]chan *problem.Error), rollout: newRolloutGate(n)}
	o.timer = time.AfterFunc(time.Hour, o.tick)
	return o
}

func (o *owner) stop() { o.timer.Stop() }

// apply applies an event to the dispatcher and delivers the resulting decisions
// to waiting calls.
func (o *owner) apply(event func(d *dispatch.Owner, now time.Time) []dispatch.Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyLocked(event)
}

// applyLocked is apply for a caller that holds o.mu. Each waiting call's channel
// has room for its decision, so the send does not block.
func (o *owner) applyLocked(event func(d *dispatch.Owner, now time.Time) []dispatch.Decision) {
	o.deliver(event(o.dispatch, time.Now()))
	o.deliver(o.updateStartsLeft(time.Now()))
	o.timer.Reset(time.Until(o.dispatch.NextTick(time.Now())))
}

// deliver passes decisions to the waiting calls. The caller must hold o.mu.
func (o *owner) deliver(decisions []dispatch.Decision) {
	for _, r := range decisions {
		if r.Refusal == nil && o.dispatch.Holds(r.Ticket) {
			o.rollout.admitted(r.Ticket)
		}
		if reply, ok := o.waiting[r.Ticket]; ok {
			delete(o.waiting, r.Ticket)
			reply <- r.Refusal
		}
	}
}

func (o *owner) tick() {
	o.apply(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.Tick(now) })
}

// setGate closes or opens a gate.
func (o *owner) setGate(g dispatch.Gate, closed bool) {
	o.apply(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.SetGate(now, g, closed) })
}

// gateClosed reports whether one of the gates is closed.
func (o *owner) gateClosed(g dispatch.Gate) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.Closed(g)
}

// waitingForPace reports whether calls wait for the target's pace to improve.
func (o *owner) waitingForPace() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.WaitingForPace(time.Now())
}

// paceAge returns the age of the last pace reading, and false if the target
// states no pace.
func (o *owner) paceAge() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.PaceAge(time.Now())
}

// warmthUnsure reports whether the target must be asked whether it has turned cold.
func (o *owner) warmthUnsure() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.WarmthUnsure(time.Now())
}

// statedLimit returns the limit that the target states, in requests per second.
func (o *owner) statedLimit() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.StatedLimit()
}

// healthInterval returns the time until the next health request, given that to a
// target that states no limit.
func (o *owner) healthInterval(usual time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.HealthInterval(usual)
}

// decisionInputs are the inputs of a decision on a call, for the log.
type decisionInputs struct {
	pace        float64
	paceAge     time.Duration
	cold        time.Duration
	statedLimit float64
}

func (o *owner) decisionInputs() decisionInputs {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	age, _ := o.dispatch.PaceAge(now)
	return decisionInputs{pace: o.dispatch.Pace(now), paceAge: age, cold: o.dispatch.ColdLeft(now), statedLimit: o.dispatch.StatedLimit()}
}

// share returns the share of an account of the target's slots, for the log.
func (o *owner) share(account model.Account) (dispatch.Share, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.Share(time.Now(), account)
}

// report returns the target's load for entries.
func (o *owner) report() model.Report {
	o.mu.Lock()
	report := o.dispatch.Report(time.Now())
	o.mu.Unlock()
	report.Process = o.node.process
	report.Revision = o.node.configuration.revision()
	return report
}

// admit waits for a slot. If the problem is nil, the call holds a slot, and the
// caller must release the ticket with finish. A call that awaits its body holds none yet:
// its caller must go on with admitArrived or withdraw.
func (o *owner) admit(ctx context.Context, call dispatch.Call) (dispatch.Ticket, *problem.Error) {
	o.mu.Lock()
	o.lastTicket++
	call.Ticket = o.lastTicket
	o.mu.Unlock()
	return call.Ticket, o.await(ctx, call.Ticket, func(d *dispatch.Owner, now time.Time) (bool, *problem.Error) {
		return d.Offer(now, call)
	})
}

// admitArrived waits for the slot of a call whose body has arrived.
func (o *owner) admitArrived(ctx context.Context, t dispatch.Ticket) *problem.Error {
	p := o.await(ctx, t, func(d *dispatch.Owner, now time.Time) (bool, *problem.Error) { return d.BodyArrived(now, t) })
	if p != nil {
		o.tick() // the call has given up its place
	}
	return p
}

// startsLimited reports whether a rollout limits the calls that may start.
func (o *owner) startsLimited() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.StartsLeft() != dispatch.UnlimitedStarts
}

// withdraw ends the wait for the body of a call.
func (o *owner) withdraw(t dispatch.Ticket) {
	o.apply(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.Abandon(now, t) })
}

// await makes an offer and waits until it is decided.
func (o *owner) await(ctx context.Context, t dispatch.Ticket, offer func(*dispatch.Owner, time.Time) (bool, *problem.Error)) *problem.Error {
	reply := make(chan *problem.Error, 1)
	o.mu.Lock()
	if o.dispatch.WaitsForShare() {
		o.applyLocked(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.Tick(now) })
	}
	start, refusal := offer(o.dispatch, time.Now())
	if o.dispatch.Holds(t) {
		o.rollout.admitted(t)
		if o.dispatch.Closed(dispatch.GateRollout) {
			o.applyLocked(noEvent) // this start was the last; queued calls are refused
		}
	}
	if !start && refusal == nil {
		o.waiting[t] = reply
		o.timer.Reset(time.Until(o.dispatch.NextTick(time.Now())))
	}
	waitingForPace := o.dispatch.WaitingForPace(time.Now())
	o.mu.Unlock()
	if waitingForPace {
		// The answer to a health request carries the current pace, which may let
		// queued calls start.
		o.node.target.probeNow()
	}
	if start || refusal != nil {
		return refusal
	}
	select {
	case refusal := <-reply:
		return refusal
	case <-ctx.Done():
		return o.abandon(ctx, t, reply)
	}
}

// abandon removes a waiting call from the queue. If the call was started in the
// meantime, its slot is released. It always returns a problem: that of the context.
func (o *owner) abandon(ctx context.Context, t dispatch.Ticket, reply chan *problem.Error) *problem.Error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, t)
	o.applyLocked(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.Abandon(now, t) })
	select {
	case refusal := <-reply:
		if refusal == nil {
			o.applyLocked(func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
				delete(o.rollout.pending, t)
				return d.Finish(now, t, false)
			})
		}
	default:
	}
	return problem.Ended(ctx.Err(), model.RunNo, "the call waited for a slot")
}

// finish releases a slot.
func (o *owner) finish(t dispatch.Ticket, answered bool) {
	o.apply(func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		delete(o.rollout.pending, t)
		return d.Finish(now, t, answered)
	})
}
