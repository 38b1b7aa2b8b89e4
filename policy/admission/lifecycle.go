package admission

import (
	"time"

	"zinniafall/policy/chart"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/statedlimit"
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

// State returns the state of the target.
func (o *Owner) State() model.TargetState { return o.state }

// Announce records a first announcement or a renewal. A new instance starts
// cold whatever it reports, and so does one that comes back after it was gone;
// only the first target after the owner started may begin warm. A renewal
// never makes a target warm. One that reports cold after it reported warm
// returns the target to the initial limit.
func (o *Owner) Announce(now time.Time, a Announcement) []Release {
	o.advance(now)
	if a.Instance == o.left && a.Instance != "" {
		return o.processQueue(now)
	}
	previous := o.instance
	o.instance = a.Instance
	if previous != a.Instance {
		o.stated = statedlimit.Limiter{}
	}
	if previous != a.Instance || o.State() == model.TargetAbsent {
		o.trial++
	}
	o.leaseEnd = now.Add(orDefault(a.Lease, o.options.Lease))
	o.limit.setSlots(min(max(a.Slots, 1), orDefault(a.Connections, o.options.Connections)))
	switch {
	case o.State() == model.TargetAbsent && previous == "" && !a.Cold:
		o.becomeWarm()
	case o.State() == model.TargetAbsent, previous != a.Instance:
		o.becomeCold(now, eventAnnouncedCold)
	case a.Cold && !o.limit.reportedCold && o.chart.Can(eventTurnedCold):
		o.becomeCold(now, eventTurnedCold)
	}
	o.limit.reportedCold = a.Cold
	return o.processQueue(now)
}

// Drain records that the target is leaving: queued calls are refused and no
// call starts until another instance announces itself.
func (o *Owner) Drain(now time.Time) []Release {
	o.advance(now)
	o.left = o.instance
	if o.chart.Can(eventDrain) {
		o.sendEvent(eventDrain)
		o.limit.close()
	}
	return o.processQueue(now)
}

// Withdraw records that the target leaves at once and does not come back.
func (o *Owner) Withdraw(now time.Time) []Release {
	o.left = o.instance
	return o.Gone(now)
}

// Leave records that an instance has said that it leaves. It is not used from then on, also if
// it announces itself later.
func (o *Owner) Leave(now time.Time, instance string) []Release {
	if instance == o.instance {
		return o.Drain(now)
	}
	o.left = instance
	return nil
}

// Gone records that the target withdrew or died.
func (o *Owner) Gone(now time.Time) []Release {
	o.sendEvent(eventGone)
	o.limit.close()
	return o.processQueue(now)
}

// RecordLimit applies what the answer to a call in flight states about the limit of the
// target. A call of an earlier instance says nothing about the present one.
func (o *Owner) RecordLimit(now time.Time, t Ticket, st statedlimit.Statement) []Release {
	o.advance(now)
	if !o.isCurrent(t) || !o.stated.Record(now, st) {
		return nil
	}
	return o.processQueue(now)
}

// RecordLeaving applies that the answer to a call in flight states that the target
// leaves.
func (o *Owner) RecordLeaving(now time.Time, t Ticket) []Release {
	if !o.isCurrent(t) {
		return nil
	}
	return o.Drain(now)
}

// isCurrent reports whether the call is in flight at the present instance.
func (o *Owner) isCurrent(t Ticket) bool {
	for i := range o.running {
		if o.running[i].ticket == t {
			return o.running[i].instance == o.instance
		}
	}
	return false
}

// StatedLimit returns the limit that the target states, in requests per second, or
// statedlimit.Unlimited.
func (o *Owner) StatedLimit() float64 { return o.stated.Limit() }

// SetDomainOut records whether the failure domain is out of service. A target
// whose domain returns to service is cold.
func (o *Owner) SetDomainOut(now time.Time, out bool) []Release {
	o.advance(now)
	returning := o.gates.domainOut && !out
	o.gates.domainOut = out
	if returning && o.acceptsCalls() {
		o.becomeCold(now, eventTurnedCold)
	}
	return o.processQueue(now)
}

// SetStopping records that the node is stopping: no call starts any more.
func (o *Owner) SetStopping(now time.Time) []Release {
	o.advance(now)
	o.gates.stopping = true
	return o.processQueue(now)
}

// SetFresh records whether the node's view of the other nodes is recent enough
// to start calls at its target.
func (o *Owner) SetFresh(now time.Time, fresh bool) []Release {
	o.advance(now)
	o.gates.stale = !fresh
	return o.processQueue(now)
}

// closedReason returns the refusal for all calls if none may start now, or
// nil.
func (o *Owner) closedReason(now time.Time) *problem.Error {
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
		return problem.New(problem.Overloaded, model.RunNo, "the target is failing").After(o.breaker.remaining(now))
	}
	return nil
}

// sendEvent applies an event to the target chart.
func (o *Owner) sendEvent(e chart.Event) {
	// A forbidden event is reported to Options.OnForbidden and leaves the
	// state as it was.
	_ = o.chart.Send(e)
	o.state = targetStates[o.chart.State()]
}

// becomeWarm handles a target that was already running when the owner started.
// Half of the slots are open; the others open as calls complete.
func (o *Owner) becomeWarm() {
	o.sendEvent(eventAnnouncedWarm)
	o.limit.open((o.limit.slots + 1) / 2)
}

// becomeCold returns the target to the initial limit.
func (o *Owner) becomeCold(now time.Time, e chart.Event) {
	o.sendEvent(e)
	o.limit.clearFailedLimit()
	o.limit.open(initialLimit)
	o.latency.restart()
	o.outcomeWindow.clear()
	o.breaker.close()
}

// becomeFailing opens the circuit breaker.
func (o *Owner) becomeFailing(now time.Time) {
	o.sendEvent(eventFailed)
	o.limit.close()
	o.breaker.trip(now)
}
