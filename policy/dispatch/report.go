package dispatch

import (
	"time"

	"zinniafall/policy/model"
)

// State returns the target's state for use by other nodes. GateRollout does not count:
// entries use a reported state for seconds, and that gate opens sooner.
func (o *Owner) State(now time.Time) model.TargetState {
	switch {
	case o.Closed(GateAbsent):
		return model.TargetAbsent
	case o.Closed(GateDraining | GateDomainOut | GateStopping):
		return model.TargetDraining
	case o.Closed(GateDown | GateUnheard | GateLag):
		return model.TargetFailing
	case o.Cold(now):
		return model.TargetCold
	}
	return model.TargetWarm
}

// Report returns the target's load. The node fills in Process and Revision.
func (o *Owner) Report(now time.Time) model.Report {
	o.sequence++
	r := model.Report{
		Sequence: o.sequence, State: o.State(now), Slots: uint16(o.slots),
		InFlight: uint16(len(o.running)), Queued: uint16(len(o.queue) + len(o.bulk.awaited)),
	}
	if o.gates&^GateRollout == 0 {
		r.Limit = uint16(max(o.limit(now), 0))
	}
	if o.Cold(now) {
		r.Limit = o.coldLimit(r.Limit)
	}
	o.limitReport(now, &r)
	if r.Limit > 0 {
		r.StartsIn = max(r.StartsIn, o.stalledFor(now))
	}
	if o.Closed(GateRollout) {
		r.StartsIn = max(r.StartsIn, gateRetryTime)
	}
	if o.hasMeanTime {
		r.ServiceTime = o.meanTime
	}
	return r
}
