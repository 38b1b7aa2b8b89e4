package admission

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

// Report returns the load report of the target. The node fills in Process and
// Revision.
func (o *Owner) Report(now time.Time) model.Report {
	o.advance(now)
	o.sequence++
	return model.Report{
		Sequence:    o.sequence,
		State:       o.reportedState(),
		Slots:       clampUint16(o.limit.slots),
		Limit:       clampUint16(o.currentLimit(now)),
		InFlight:    clampUint16(len(o.running)),
		Queued:      clampUint16(o.queue.Len()),
		ServiceTime: o.serviceTime,
		StartsIn:    o.stated.Wait(now, o.queue.Len()),
	}
}

const (
	// decayHalfLife is the time without a completion in which the reported
	// service time halves.
	decayHalfLife = time.Second
	// minDecayedServiceTime is the decayed service time below which it is
	// reported as unknown.
	minDecayedServiceTime = 100 * time.Microsecond
)

// DecayServiceTime returns the service time to report when the last completion
// was idle ago. A target that was slow gets no calls, so no completion would
// ever show that it has recovered; the decay makes entries try it again now
// and then. 0 means that the service time is unknown.
func DecayServiceTime(service, idle time.Duration) time.Duration {
	if idle <= decayHalfLife {
		return service
	}
	faded := time.Duration(float64(service) * math.Exp2(1-idle.Seconds()/decayHalfLife.Seconds()))
	if faded < minDecayedServiceTime {
		return 0
	}
	return faded
}

// LastCompleted returns the time of the last completion, or the zero time
// before the first.
func (o *Owner) LastCompleted() time.Time { return o.lastCompleted }

// reportedState returns the state to report: while the node is stopping, a
// target that is present is reported as draining.
func (o *Owner) reportedState() model.TargetState {
	if o.gates.stopping && o.State() != model.TargetAbsent {
		return model.TargetDraining
	}
	return o.State()
}

// currentLimit returns the number of calls that may be in flight now.
func (o *Owner) currentLimit(now time.Time) int {
	if o.closedReason(now) != nil {
		return 0
	}
	return o.limit.limit
}

func clampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// SetProbeRate sets the budget of health and load requests that reach the
// target, in requests per second; 0 or below allows none.
func (o *Owner) SetProbeRate(perSecond float64) { o.probeRate = perSecond }

// AllowProbe takes one health or load request from the budget and reports
// whether it may be sent. The budget starts empty, so that processes that
// replace each other at one target send no more together than a single process
// would.
func (o *Owner) AllowProbe(now time.Time) bool {
	rate := o.probeRate
	if o.stated.Limited() {
		rate = min(rate, 1/o.stated.HealthInterval(0).Seconds())
	}
	o.probes.SetRate(now, rate)
	return o.probes.Allow(now)
}
