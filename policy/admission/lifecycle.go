package admission

import (
	"time"

	"zinniafall/policy/chart"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// The events and states of the target chart.
const (
	eventAnnouncedCold chart.Event = "announced_cold"
	eventAnnouncedWarm chart.Event = "announced_warm"
	eventRamped        chart.Event = "ramped"
	eventTurnedCold    chart.Event = "turned_cold"
	eventFailed        chart.Event = "failed"
	eventDrain         chart.Event = "drain"
	eventGone          chart.Event = "gone"
)

var targetChart = chart.Load(chart.Target)

var targetStates = map[chart.State]model.TargetState{
	"absent":   model.TargetAbsent,
	"cold":     model.TargetCold,
	"warm":     model.TargetWarm,
	"draining": model.TargetDraining,
	"failing":  model.TargetFailing,
}

// State returns the target's state.
func (o *Owner) State() model.TargetState { return o.state }

// Announce records a first announcement or a renewal. A new instance starts
// cold whatever it says, and so does one that comes back after it was gone. A
// renewal never makes a target warm; one that says
// cold again after it said warm returns the target to the initial limit.
func (o *Owner) Announce(now time.Time, a Announcement) []Release {
	o.advance(now)
	known := o.instance
	o.instance = a.Instance
	if known != a.Instance || o.State() == model.TargetAbsent {
		o.trial++
	}
	o.leaseEnd = now.Add(orDefault(a.Lease, o.options.Lease))
	o.limit.setSlots(min(max(a.Slots, 1), orDefault(a.Connections, o.options.Connections)))
	switch {
	case o.State() == model.TargetAbsent && known == "" && !a.Cold:
		o.becomeWarm()
	case o.State() == model.TargetAbsent, known != a.Instance:
		o.becomeCold(now, eventAnnouncedCold)
	case a.Cold && !o.limit.claimed && o.chart.Can(eventTurnedCold):
		o.becomeCold(now, eventTurnedCold)
	}
	o.limit.claimed = a.Cold
	return o.settle(now)
}

// Drain records that the target leaves: queued calls are refused and nothing
// new starts until another instance announces itself.
func (o *Owner) Drain(now time.Time) []Release {
	o.advance(now)
	if o.chart.Can(eventDrain) {
		o.send(eventDrain)
		o.limit.close()
	}
	return o.settle(now)
}

// Gone records that the target withdrew or died.
func (o *Owner) Gone(now time.Time) []Release {
	o.send(eventGone)
	o.limit.close()
	return o.settle(now)
}

// SetDomainOut records whether the failure domain is out of service. A target
// whose domain comes back is cold.
func (o *Owner) SetDomainOut(now time.Time, out bool) []Release {
	o.advance(now)
	back := o.gates.domainOut && !out
	o.gates.domainOut = out
	if back && o.trying() {
		o.becomeCold(now, eventTurnedCold)
	}
	return o.settle(now)
}

// SetStopping records that the node stops: nothing new starts.
func (o *Owner) SetStopping(now time.Time) []Release {
	o.advance(now)
	o.gates.stopping = true
	return o.settle(now)
}

// SetFresh records whether the node's view of the others is recent enough to
// give its target new work.
func (o *Owner) SetFresh(now time.Time, fresh bool) []Release {
	o.advance(now)
	o.gates.stale = !fresh
	return o.settle(now)
}

// closed returns why no call may start now, or nil.
func (o *Owner) closed(now time.Time) *problem.Error {
	state := o.State()
	switch {
	case o.gates.domainOut:
		return problem.New(problem.DomainOut, model.RunNo, "the target's failure domain is out of service")
	case o.gates.stopping:
		return problem.New(problem.Draining, model.RunNo, "the node is stopping")
	case state == model.TargetDraining:
		return problem.New(problem.Draining, model.RunNo, "the target is leaving")
	case o.gates.stale:
		return problem.New(problem.NotFresh, model.RunNo, "the node has not heard from the others lately")
	case state == model.TargetAbsent || !now.Before(o.leaseEnd):
		return problem.New(problem.NoTarget, model.RunNo, "the node has no target")
	case state == model.TargetFailing:
		return problem.New(problem.Overloaded, model.RunNo, "the target is failing").After(o.circuit.remaining(now))
	}
	return nil
}

// send applies a chart event that the present state allows.
func (o *Owner) send(e chart.Event) {
	// A forbidden event has been counted by Options.Forbidden; the state
	// stays as it was.
	_ = o.chart.Send(e)
	o.state = targetStates[o.chart.State()]
}

// becomeWarm trusts a target that was running before this owner was. Half of
// the slots are open; the rest open on proven completions.
func (o *Owner) becomeWarm() {
	o.send(eventAnnouncedWarm)
	o.limit.open((o.limit.slots + 1) / 2)
}

// becomeCold returns the target to the initial limit.
func (o *Owner) becomeCold(now time.Time, e chart.Event) {
	o.send(e)
	o.limit.clearSetbacks()
	o.limit.open(initialLimit)
	o.latency.restart()
	o.outcomes.clear()
	o.circuit.close()
}

// becomeFailing stops the target's work for a probation time.
func (o *Owner) becomeFailing(now time.Time) {
	o.send(eventFailed)
	o.limit.close()
	o.circuit.trip(now)
}
