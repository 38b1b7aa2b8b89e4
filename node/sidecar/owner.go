package sidecar

import (
	"context"
	"sync"
	"time"

	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// owner shares the decisions on the target beside this node.
type owner struct {
	node *Node

	mu       sync.Mutex
	dispatch *dispatch.Owner
	waiting  map[dispatch.Ticket]chan *problem.Error
	last     dispatch.Ticket
	timer    *time.Timer
}

func newOwner(n *Node) *owner {
	o := &owner{node: n, dispatch: dispatch.New(dispatch.Options{ColdOvershoot: n.settings.ColdOvershoot, ColdSlack: n.settings.ColdSlack}), waiting: make(map[dispatch.Ticket]chan *problem.Error)}
	o.timer = time.AfterFunc(time.Hour, o.tick)
	return o
}

func (o *owner) stop() { o.timer.Stop() }

// do applies an event and ends the waits that it ends.
func (o *owner) do(event func(d *dispatch.Owner, now time.Time) []dispatch.Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.apply(event)
}

func (o *owner) apply(event func(d *dispatch.Owner, now time.Time) []dispatch.Decision) {
	for _, r := range event(o.dispatch, time.Now()) {
		if reply, ok := o.waiting[r.Ticket]; ok {
			delete(o.waiting, r.Ticket)
			reply <- r.Refusal
		}
	}
	o.timer.Reset(time.Until(o.dispatch.NextTick(time.Now())))
}

func (o *owner) tick() {
	o.do(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.Tick(now) })
}

// gate closes or opens a gate.
func (o *owner) gate(g dispatch.Gate, closed bool) {
	o.do(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.SetGate(now, g, closed) })
}

// closed reports whether one of the gates is closed.
func (o *owner) closed(g dispatch.Gate) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.Closed(g)
}

// held reports whether calls wait for a better pace of the target.
func (o *owner) held() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.WaitingForPace(time.Now())
}

// paceAge returns the age of what is known of the target's pace; false when
// the target states none.
func (o *owner) paceAge() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatch.PaceAge(time.Now())
}

// inputs are what a decision on a call rests on, for the log.
type inputs struct {
	pace    float64
	paceAge time.Duration
	cold    time.Duration
}

func (o *owner) inputs() inputs {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	age, _ := o.dispatch.PaceAge(now)
	return inputs{pace: o.dispatch.Pace(now), paceAge: age, cold: o.dispatch.ColdLeft(now)}
}

// report states the target's load.
func (o *owner) report() model.Report {
	o.mu.Lock()
	report := o.dispatch.Report(time.Now())
	o.mu.Unlock()
	report.Process = o.node.process
	report.Revision = o.node.configuration.revision()
	return report
}

// admit waits for a slot. The ticket is to be given back with finish.
func (o *owner) admit(ctx context.Context, call dispatch.Call) (dispatch.Ticket, *problem.Error) {
	reply := make(chan *problem.Error, 1)
	o.mu.Lock()
	o.last++
	call.Ticket = o.last
	start, refusal := o.dispatch.Offer(time.Now(), call)
	if !start && refusal == nil {
		o.waiting[call.Ticket] = reply
		o.timer.Reset(time.Until(o.dispatch.NextTick(time.Now())))
	}
	held := o.dispatch.WaitingForPace(time.Now())
	o.mu.Unlock()
	if held {
		o.node.target.look()
	}
	if start || refusal != nil {
		return call.Ticket, refusal
	}
	select {
	case refusal := <-reply:
		return call.Ticket, refusal
	case <-ctx.Done():
		return 0, o.abandon(call.Ticket, reply)
	}
}

// abandon withdraws a call that waits. If it was started meanwhile, its slot
// is given back.
func (o *owner) abandon(t dispatch.Ticket, reply chan *problem.Error) *problem.Error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, t)
	o.apply(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.Abandon(now, t) })
	select {
	case refusal := <-reply:
		if refusal == nil {
			o.apply(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.Finish(now, t, false) })
		}
	default:
	}
	return problem.New(problem.Canceled, model.RunNo, "the caller left while the call waited")
}

// finish gives a slot back.
func (o *owner) finish(t dispatch.Ticket, answered bool) {
	o.do(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.Finish(now, t, answered) })
}
